"""The examples in the documents work as written."""

import json
import re
import subprocess

import harness
from proofs.registry import proof

API = harness.ROOT / "docs" / "api.md"


def _curl_commands(text):
    """The indented curl commands of a document, with their continuation lines."""
    lines = iter(text.splitlines())
    for line in lines:
        if not line.startswith("    curl "):
            continue
        command = line.strip()
        while command.endswith("\\"):
            command = command[:-1] + next(lines).strip()
        yield command


def _adapted(command, run, vm):
    """The command with the version in force and the document of this run in place of those of the page."""
    version = vm.configuration_version()
    document = run.deployment.processes.write("documented.json", run.deployment.configuration)
    command = command.replace("If-Match: 41", f"If-Match: {version}").replace("history/40", f"history/{version}")
    return command.replace("examples/zwolle.json", str(document))


@proof(short=True)
def documented_calls(run):
    """An example of docs/api.md no longer works, so that callers copy a call that fails."""
    vm = run.deployment.vms[0]
    commands = list(_curl_commands(API.read_text()))
    if len(commands) < 8:
        run.violation(f"only {len(commands)} examples were found in docs/api.md")
    for command in commands:
        environment = {"SERVER": f"{harness.HOST}:{vm.http_port}", "PATH": "/usr/bin:/bin"}
        done = subprocess.run(["bash", "-c", _adapted(command, run, vm)], env=environment, capture_output=True, text=True, timeout=60, check=False)
        what = re.sub(r"\s+", " ", command)[:100]
        try:
            answer = json.loads(done.stdout)
        except ValueError:
            run.violation(f"{what}: exit code {done.returncode}, no JSON: {done.stdout[:200]}")
            continue
        if done.returncode != 0 or "error" in answer:
            run.violation(f"{what}: exit code {done.returncode}, {done.stdout[:200]}")

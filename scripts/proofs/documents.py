"""A proof that the examples in the documentation work as written."""

import json
import re
import subprocess

import harness
from proofs.registry import proof

API = harness.ROOT / "docs" / "api.md"


def _curl_commands(text):
    """Yields the indented curl commands of a document, each joined with its continuation lines."""
    lines = iter(text.splitlines())
    for line in lines:
        if not line.startswith("    curl "):
            continue
        command = line.strip()
        while command.endswith("\\"):
            command = command[:-1] + next(lines).strip()
        yield command


def _adapt_command(command, run, vm):
    """Replaces the configuration version and document that a command names by those of this run."""
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
        run.add_violation(f"only {len(commands)} examples were found in docs/api.md")
    for command in commands:
        environment = {"SERVER": f"{harness.HOST}:{vm.http_port}", "PATH": "/usr/bin:/bin"}
        completed = subprocess.run(["bash", "-c", _adapt_command(command, run, vm)], env=environment, capture_output=True, text=True, timeout=60, check=False)
        label = re.sub(r"\s+", " ", command)[:100]
        try:
            answer = json.loads(completed.stdout)
        except ValueError:
            run.add_violation(f"{label}: exit code {completed.returncode}, no JSON: {completed.stdout[:200]}")
            continue
        if completed.returncode != 0 or "error" in answer:
            run.add_violation(f"{label}: exit code {completed.returncode}, {completed.stdout[:200]}")

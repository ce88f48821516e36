"""The demo behind scripts/demo: submits a mixed load as callers would and prints what came of each job class."""

import argparse
import collections
import concurrent.futures
import json
import os
import random
import sys
import threading
import time

import harness
from account import OutcomeCheck
from deployment import Caller, Deployment, LoadBalancer, Submission

SEED = 20261204
TIME_LIMIT_S = 90  # Leaves time for start and end within two minutes.
CALLERS = 50  # Instances of the planning and the analysis service.

# Job class: number of requests and range of run times in ms. Hours are shortened to seconds.
LOADS = {
    "zwolle": {"kiln-curve": (14, (4000, 9000)), "glaze-check": (300, (100, 400)), "crack-scan": (60, (500, 2000))},
    "stara-zagora": {"fermentation-profile": (10, (4000, 9000)), "moisture-check": (300, (50, 300)), "spectral-batch": (60, (500, 2500))},
}


def make_submissions(example, deployment, rng):
    organisations = deployment.organisations()
    made = []
    for job_class, (count, run_range) in LOADS[example].items():
        for number in range(count):
            key = f"{job_class}-{number:03d}-{os.getpid()}"
            made.append(Submission(key, job_class, rng.choice(organisations), rng.randint(*run_range)))
    rng.shuffle(made)
    return made


def with_primrosectl(processes, vm, submission, seconds):
    """Submits through the command-line tool, as an operator at a terminal would. The outcome is checked like any other."""
    submission.first_at = time.monotonic()
    submission.submitted_ms = time.time() * 1000
    command = [
        harness.binary_path("primrosectl"), "submit", f"--server={harness.HOST}:{vm.http_port}", f"--token=demo-{submission.organisation}",
        f"--class={submission.job_class}", f"--key={submission.key}", f"--payload={submission.payload}", "--wait", f"--timeout={seconds}", "--output=json",
    ]  # fmt: skip
    tool = processes.start(f"primrosectl-{submission.key}", command)
    if tool.wait(seconds + 10) is None:
        tool.kill()
    try:
        body = json.loads(tool.log())
    except ValueError:
        submission.reason = tool.log().strip()
        return submission
    submission.accepted = "outcome" in body
    submission.outcome = body.get("outcome", "pending")
    submission.result = body.get("result", "")
    submission.final_at = time.monotonic()
    return submission


def has_primrosectl():
    return (harness.BINARIES / "primrosectl").exists()


def submit_one(deployment, caller, submission, use_tool, deadline):
    if use_tool:
        with_primrosectl(deployment.processes, random.choice(deployment.vms), submission, 20)
    # Requests that the tool could not finish are asked for again over HTTP with the same key.
    return caller.run(submission, max(1.0, deadline - time.monotonic()))


def show_progress(submissions, stop):
    began = time.monotonic()
    while not stop.wait(3):
        final = sum(one.final() for one in submissions)
        sent = sum(one.first_at is not None for one in submissions)
        print(f"{time.monotonic() - began:5.0f} s  sent {sent}  finished {final}  of {len(submissions)}", flush=True)


def run_load(deployment, submissions):
    deadline = time.monotonic() + TIME_LIMIT_S
    tool_keys = {one.key for one in submissions[::40]} if has_primrosectl() else set()
    stop = threading.Event()
    progress = threading.Thread(target=show_progress, args=(submissions, stop), daemon=True)
    progress.start()
    try:
        with LoadBalancer(deployment) as balancer, concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
            caller = Caller(balancer)
            runs = [pool.submit(submit_one, deployment, caller, one, one.key in tool_keys, deadline) for one in submissions]
            try:
                concurrent.futures.wait(runs)
            except KeyboardInterrupt:
                caller.stop()
                pool.shutdown(wait=False, cancel_futures=True)
                deployment.processes.end_all()
                raise
            for run in runs:
                run.result()
    finally:
        stop.set()
        progress.join()
    return len(tool_keys)


def percentile(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else None


def milliseconds(value):
    return "-" if value is None else f"{value / 1000:.2f}"


def class_row(job_class, submissions, books):
    keys = {one.key: one for one in submissions if one.job_class == job_class}
    tasks = [task for task in books["tasks"] if task["key"] in keys and task["startedMs"]]
    first_start = {}
    for task in tasks:
        first_start[task["key"]] = min(task["startedMs"], first_start.get(task["key"], task["startedMs"]))
    waits = [max(0, start - keys[key].submitted_ms) for key, start in first_start.items()]
    runs = [task["finishedMs"] - task["startedMs"] for task in tasks if task["finishedMs"]]
    outcomes = collections.Counter(one.outcome for one in keys.values())
    zones = collections.Counter(task["zone"] for task in tasks)
    return [
        job_class,
        " ".join(f"{name}={count}" for name, count in sorted(outcomes.items())),
        f"{milliseconds(percentile(waits, 0.5))}/{milliseconds(percentile(waits, 0.95))}",
        f"{milliseconds(percentile(runs, 0.5))}/{milliseconds(percentile(runs, 0.95))}",
        " ".join(f"{zone}={count}" for zone, count in sorted(zones.items())) + f" ({len({task['worker'] for task in tasks})} workers)",
    ]


def print_table(rows):
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    for row in rows:
        print("  ".join(cell.ljust(width) for cell, width in zip(row, widths)).rstrip())


def report(example, submissions, account, from_tool):
    rows = [["job class", "outcomes", "wait s p50/p95", "run s p50/p95", "tasks by availability zone"]]
    rows += [class_row(job_class, submissions, account.books) for job_class in LOADS[example]]
    print()
    print_table(rows)
    source = f"{from_tool} through primrosectl, the others over HTTP" if has_primrosectl() else "all over HTTP, as primrosectl is not built"
    print(f"\n{len(submissions)} requests: {source}")
    print(f"cut {account.counts['cut']}, doubled {account.counts['doubled']}, lost {account.counts['lost'] + account.counts['refused']} (from the workers' books)")
    for violation in account.violations[:20]:
        print(f"violation: {violation}")


def main():
    parser = argparse.ArgumentParser(prog="scripts/demo", description=__doc__)
    parser.add_argument("example", nargs="?", default="zwolle", choices=sorted(LOADS))
    example = parser.parse_args().example
    with harness.Processes() as processes:
        deployment = Deployment(processes, example)
        print(f"starting {example}: {len(deployment.vms)} entry VMs, {len(deployment.configuration['workers'])} workers, one store", flush=True)
        deployment.start()
        submissions = make_submissions(example, deployment, random.Random(SEED))
        from_tool = run_load(deployment, submissions)
        account = OutcomeCheck(deployment, submissions)
        report(example, submissions, account, from_tool)
    return 1 if account.violations else 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except KeyboardInterrupt:
        print("interrupted; every process has ended", file=sys.stderr)
        sys.exit(130)
    except harness.HarnessError as error:
        print(error, file=sys.stderr)
        sys.exit(2)

"""Implements scripts/demo: submits a mixed load as callers would and prints the outcomes of each job class."""

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
from outcomecheck import OutcomeCheck
from deployment import Caller, Deployment, LoadBalancer, Submission

SEED = 20261204
TIME_LIMIT_S = 90  # Leaves time to start and stop the deployment, so that the demo takes less than two minutes.
CALLERS = 50  # Concurrent callers, which stand for instances of the planning and the analysis service.

# For each job class: the number of requests and the range of run times in ms. Run times of hours are shortened to seconds.
LOADS = {
    "zwolle": {"kiln-curve": (14, (4000, 9000)), "glaze-check": (300, (100, 400)), "crack-scan": (60, (500, 2000))},
    "stara-zagora": {"fermentation-profile": (10, (4000, 9000)), "moisture-check": (300, (50, 300)), "spectral-batch": (60, (500, 2500))},
}


def make_submissions(example, deployment, rng):
    organisations = deployment.organisation_ids()
    made = []
    for job_class, (count, run_range) in LOADS[example].items():
        for number in range(count):
            key = f"{job_class}-{number:03d}-{os.getpid()}"
            made.append(Submission(key, job_class, rng.choice(organisations), rng.randint(*run_range)))
    rng.shuffle(made)
    return made


def submit_with_primrosectl(processes, vm, submission, seconds):
    """Submits a request through the command-line tool, as an operator would, and stores the outcome in @p submission."""
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


def is_primrosectl_built():
    return (harness.BINARIES / "primrosectl").exists()


def submit_request(deployment, caller, submission, use_tool, deadline):
    if use_tool:
        submit_with_primrosectl(deployment.processes, random.choice(deployment.vms), submission, 20)
    # If the tool did not get a final outcome, the caller retries over HTTP with the same key.
    return caller.submit_until_final(submission, max(1.0, deadline - time.monotonic()))


def print_progress(submissions, stop):
    started_at = time.monotonic()
    while not stop.wait(3):
        final = sum(one.is_final() for one in submissions)
        sent = sum(one.first_at is not None for one in submissions)
        print(f"{time.monotonic() - started_at:5.0f} s  sent {sent}  finished {final}  of {len(submissions)}", flush=True)


def run_load(deployment, submissions):
    deadline = time.monotonic() + TIME_LIMIT_S
    tool_keys = {one.key for one in submissions[::40]} if is_primrosectl_built() else set()
    stop = threading.Event()
    progress = threading.Thread(target=print_progress, args=(submissions, stop), daemon=True)
    progress.start()
    try:
        with LoadBalancer(deployment) as balancer, concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
            caller = Caller(balancer)
            runs = [pool.submit(submit_request, deployment, caller, one, one.key in tool_keys, deadline) for one in submissions]
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


def format_seconds(value_ms):
    return "-" if value_ms is None else f"{value_ms / 1000:.2f}"


def summarize_class(job_class, submissions, records):
    keys = {one.key: one for one in submissions if one.job_class == job_class}
    tasks = [task for task in records["tasks"] if task["key"] in keys and task["startedMs"]]
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
        f"{format_seconds(percentile(waits, 0.5))}/{format_seconds(percentile(waits, 0.95))}",
        f"{format_seconds(percentile(runs, 0.5))}/{format_seconds(percentile(runs, 0.95))}",
        " ".join(f"{zone}={count}" for zone, count in sorted(zones.items())) + f" ({len({task['worker'] for task in tasks})} workers)",
    ]


def print_table(rows):
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    for row in rows:
        print("  ".join(cell.ljust(width) for cell, width in zip(row, widths)).rstrip())


def print_report(example, submissions, check, tool_submission_count):
    rows = [["job class", "outcomes", "wait s p50/p95", "run s p50/p95", "tasks by availability zone"]]
    rows += [summarize_class(job_class, submissions, check.records) for job_class in LOADS[example]]
    print()
    print_table(rows)
    source = f"{tool_submission_count} through primrosectl, the others over HTTP" if is_primrosectl_built() else "all over HTTP, as primrosectl is not built"
    print(f"\n{len(submissions)} requests: {source}")
    print(f"cut {check.counts['cut']}, doubled {check.counts['doubled']}, lost {check.counts['lost'] + check.counts['refused']} (from the workers' records)")
    for violation in check.violations[:20]:
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
        tool_submission_count = run_load(deployment, submissions)
        check = OutcomeCheck(deployment, submissions)
        print_report(example, submissions, check, tool_submission_count)
    return 1 if check.violations else 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except KeyboardInterrupt:
        print("interrupted; every process has ended", file=sys.stderr)
        sys.exit(130)
    except harness.HarnessError as error:
        print(error, file=sys.stderr)
        sys.exit(2)

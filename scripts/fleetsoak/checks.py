"""Checks the guarantees of the service after a soak, from the answers to callers and the run history of the workers."""

import collections
import datetime
import re

from fleetsoak.load import FINAL_STATES

ACCELERATORS = 8
# A task of a cancelled job may still start within this time after the acknowledgement, or after the last fault if that is later.
# The time covers a takeover and a task lease with slack.
CANCEL_TIMEOUT_S = 8.0
# State queries may be answered with "does not exist" this long after the job was accepted.
VISIBILITY_TIMEOUT_S = 3.0


def find_violations(jobs, run_history, clock_origin_s, last_fault_at):
    """Returns the violations, and the cases of the known limit in _is_known_limit(), as texts. @p clock_origin_s is the monotonic time, in seconds, at
    time 0 of the run history."""
    violations = []
    known_limit = []
    jobs_by_id = {job.id: job for job in jobs}
    runs = collections.defaultdict(list)
    for run in run_history["runs"]:
        runs[run["task"]].append(
            {**run, "started": run["started"] / 1000 + clock_origin_s, "ended": None if run["ended"] is None else run["ended"] / 1000 + clock_origin_s}
        )
    for task, task_runs in runs.items():
        violations += _check_task(task, sorted(task_runs, key=lambda run: run["started"]), jobs_by_id.get(task.split(".")[0]), last_fault_at, known_limit)
    violations += _check_worker_capacity(run_history["runs"], jobs_by_id)
    for job in jobs:
        violations += _check_job(job, runs)
    return violations, known_limit


# A line of the log about a start that a worker has accepted; its time is that of the answer.
_ACCEPTED_START = re.compile(r"^time=(\S+)Z .* event=start_answered .*task=(\S+) run=(\d+) .*after_ms=(\d+) outcome=accepted")


def accepted_start_times(log):
    """Returns the Unix times, in seconds, at which the starts were sent that a VM's log names as accepted, by task and run."""
    starts = {}
    for line in log.splitlines():
        match = _ACCEPTED_START.match(line)
        if match:
            answered = datetime.datetime.fromisoformat(match[1]).replace(tzinfo=datetime.timezone.utc).timestamp()
            starts[match[2], int(match[3])] = answered - int(match[4]) / 1000
    return starts


def find_starts_in_drained_zones(run_history, clock_origin_s, start_times, drains, bound_s):
    """Returns as texts the runs that a worker has begun in a drained zone by a start that was sent @p bound_s or more after the request.

    @p start_times are monotonic times by task and run. @p drains are (the names of the zone's workers, time of the request, time of its end). The
    worker's time must break the bound as well: a VM that is suspended while it handles the answer logs it late. The sender's time must, because an
    order that was sent in time may be held back on its way. A start without an answer in time is in no log and is not checked.
    """
    violations = []
    for run in run_history["runs"]:
        sent = start_times.get((run["task"], run["run"]))
        started = run["started"] / 1000 + clock_origin_s
        for workers, requested, ended in drains if sent is not None else ():
            if run["worker"] in workers and min(sent, started) >= requested + bound_s and started < ended:
                violations.append(
                    f"{run['task']} run {run['run']} starts on {run['worker']} {sent - requested:.3f} s after the request to drain its zone"
                )
    return violations


def _is_known_limit(run):
    """A start for the former process of a worker, executed by the next one before its first poll: only a poll tells that process its fence."""
    return run["late"] and not run["polled"]


def _describe_run(run):
    late = ", sent to the former process" if run["late"] else ""
    return f"run {run['run']} on {run['worker']}/{run['life']} from {run['started']:.3f} to {run['ended'] or 0:.3f} {run['how'] or 'running'}{late}"


def _check_task(task, runs, job, last_fault_at, known_limit):
    if job is None or not job.sent:
        return [f"{task} runs though nobody submitted it"]
    violations = []
    if job.only_refused:
        violations.append(f"{task} runs though every attempt to submit it was refused")
    for before, after in zip(runs, runs[1:]):
        if before["ended"] is None or before["ended"] > after["started"]:
            found = known_limit if _is_known_limit(before) or _is_known_limit(after) else violations
            found.append(f"{task} runs twice at a time: {_describe_run(before)}; {_describe_run(after)}")
        # An unacknowledged end may be lost: the worker may have restarted, or its lease may have expired, after which a new owner no
        # longer waits for it. In both cases the task has to run again.
        if before["how"] == "done" and before["taken"]:
            found = known_limit if _is_known_limit(after) else violations
            found.append(f"{task} runs again after it was done: {_describe_run(before)}; {_describe_run(after)}")
    if job.cancel_acknowledged_at:
        latest_start = max(job.cancel_acknowledged_at, min(last_fault_at, runs[-1]["started"])) + CANCEL_TIMEOUT_S
        violations += [f"{task} starts after its cancellation: {_describe_run(run)}" for run in runs if run["started"] > latest_start]
    return violations


def _gang_end_times(all_runs):
    """The time of the first successful end for each run of a step. Members of one gang end together; on the stand-ins, within milliseconds."""
    first_ends = {}
    for run in all_runs:
        if run["how"] == "done":
            key = (run["task"].rsplit(".", 1)[0], run["run"])
            first_ends[key] = min(run["ended"], first_ends.get(key, run["ended"]))
    return first_ends


def _check_worker_capacity(all_runs, jobs_by_id):
    """Checks that the tasks on each worker never need more accelerators than it has."""
    events = collections.defaultdict(list)
    gang_end_times = _gang_end_times(all_runs)
    for run in all_runs:
        job = jobs_by_id.get(run["task"].split(".")[0])
        if job is not None:
            key = (run["worker"], run["life"])
            name = f"{run['task']}/{run['run']}{'(sent to the former process)' if run['late'] else ''}"
            events[key].append((run["started"], job.accelerators, name))
            ended = run["ended"]
            if job.gang and ended is not None:
                ended = max(run["started"], min(ended, gang_end_times.get((run["task"].rsplit(".", 1)[0], run["run"]), ended)))
            if ended is not None:
                events[key].append((ended, -job.accelerators, name))
    violations = []
    for (worker, incarnation), changes in events.items():
        accelerators_in_use = {}
        for at, change, name in sorted(changes):
            accelerators_in_use[name] = accelerators_in_use.get(name, 0) + change
            if sum(accelerators_in_use.values()) > ACCELERATORS:
                names = " ".join(sorted(name for name, accelerators in accelerators_in_use.items() if accelerators))
                violations.append(f"{worker}/{incarnation} runs more than its {ACCELERATORS} accelerators hold at {at / 1000:.3f}, last {name}: {names}")
                break
    return violations


def _check_job(job, runs):
    if job.accepted_at is None:
        return []
    violations = []
    late_reports = [at for at in job.unknown_at if at > job.accepted_at + VISIBILITY_TIMEOUT_S]
    if late_reports:
        violations.append(f"{job.id} was reported as unknown at {late_reports[0]:.3f}, accepted at {job.accepted_at:.3f}")
    if job.last_state() not in FINAL_STATES:
        violations.append(f"{job.id} is {job.last_state() or 'in an unknown state'} at the end, accepted at {job.accepted_at:.3f}")
    if job.last_state() == "canceled" and job.cancel_sent_at is None:
        violations.append(f"{job.id} is canceled, but no caller has cancelled it")
    if job.last_state() == "failed":
        violations.append(f"{job.id} has failed, but the stand-in workers fail no run")
    completions = [(at, state) for at, state in job.states if state == "complete"]
    if completions:
        done_tasks = {task for task, task_runs in runs.items() for run in task_runs if run["how"] == "done" and run["ended"] <= completions[0][0]}
        required_tasks = {f"{job.id}.0.{step}.{index}" for step in range(job.step_count) for index in range(job.tasks_per_step)}
        # If one member of a gang has ended as done, all members count as done.
        missing = [
            task
            for task in required_tasks - done_tasks
            if not job.gang or not any(other.rsplit(".", 1)[0] == task.rsplit(".", 1)[0] for other in done_tasks)
        ]
        if missing:
            violations.append(f"{job.id} is complete at {completions[0][0]:.3f} though {sorted(missing)[0]} has not ended as done")
    return violations

"""What must hold, judged from what callers were told and from the workers' books."""

import collections

from fleetsoak.load import FINAL

ACCELERATORS = 8
# After the acknowledgement of a cancellation, or the end of the last fault after it: a takeover, a task lease and its slack.
CANCEL_S = 8.0
# An answer that a job does not exist is wrong this long after its acceptance.
VISIBLE_S = 3.0


def find_violations(jobs, books, offset, last_fault_at):
    """Violations as texts. @p offset is the monotonic time at which the books' clock was 0."""
    found = []
    by_id = {job.id: job for job in jobs}
    runs = collections.defaultdict(list)
    for run in books["runs"]:
        runs[run["task"]].append({**run, "started": run["started"] / 1000 + offset, "ended": None if run["ended"] is None else run["ended"] / 1000 + offset})
    for task, its_runs in runs.items():
        found += _check_task(task, sorted(its_runs, key=lambda run: run["started"]), by_id.get(task.split(".")[0]), last_fault_at)
    found += _check_room(books["runs"], by_id)
    for job in jobs:
        found += _check_job(job, runs)
    return found


def _describe(run):
    return f"run {run['run']} on {run['worker']}/{run['life']} from {run['started']:.3f} to {run['ended'] or 0:.3f} {run['how'] or 'running'}"


def _check_task(task, runs, job, last_fault_at):
    if job is None or not job.sent:
        return [f"{task} runs though nobody submitted it"]
    found = []
    if job.only_refused:
        found.append(f"{task} runs though every attempt to submit it was refused")
    for before, after in zip(runs, runs[1:]):
        if before["ended"] is None or before["ended"] > after["started"]:
            found.append(f"{task} runs twice at a time: {_describe(before)}; {_describe(after)}")
        # A worker that is restarted before the end was taken has forgotten it, and one whose lease lapsed before that may have been
        # given up by a new owner; in both cases the task has to run again.
        if before["how"] == "done" and before["taken"]:
            found.append(f"{task} runs again after it was done: {_describe(before)}; {_describe(after)}")
    if job.cancel_acknowledged_at:
        limit = max(job.cancel_acknowledged_at, min(last_fault_at, runs[-1]["started"])) + CANCEL_S
        found += [f"{task} starts after its cancellation: {_describe(run)}" for run in runs if run["started"] > limit]
    return found


def _gang_ends(all_runs):
    """The first end as done of each run of a step. The members of a gang end together, those of the stand-ins within milliseconds."""
    ends = {}
    for run in all_runs:
        if run["how"] == "done":
            key = (run["task"].rsplit(".", 1)[0], run["run"])
            ends[key] = min(run["ended"], ends.get(key, run["ended"]))
    return ends


def _check_room(all_runs, by_id):
    """No worker runs more than it has accelerators for."""
    events = collections.defaultdict(list)
    gang_ends = _gang_ends(all_runs)
    for run in all_runs:
        job = by_id.get(run["task"].split(".")[0])
        if job is not None:
            key = (run["worker"], run["life"])
            name = f"{run['task']}/{run['run']}"
            events[key].append((run["started"], job.accelerators, name))
            ended = run["ended"]
            if job.gang and ended is not None:
                ended = max(run["started"], min(ended, gang_ends.get((run["task"].rsplit(".", 1)[0], run["run"]), ended)))
            if ended is not None:
                events[key].append((ended, -job.accelerators, name))
    found = []
    for (worker, life), changes in events.items():
        present = {}
        for at, change, name in sorted(changes):
            present[name] = present.get(name, 0) + change
            if sum(present.values()) > ACCELERATORS:
                names = " ".join(sorted(name for name, accelerators in present.items() if accelerators))
                found.append(f"{worker}/{life} runs more than its {ACCELERATORS} accelerators hold at {at / 1000:.3f}, last {name}: {names}")
                break
    return found


def _check_job(job, runs):
    if job.accepted_at is None:
        return []
    found = []
    late = [at for at in job.unknown_at if at > job.accepted_at + VISIBLE_S]
    if late:
        found.append(f"{job.id} is said not to exist at {late[0]:.3f}, accepted at {job.accepted_at:.3f}")
    if job.state() not in FINAL:
        found.append(f"{job.id} is {job.state() or 'not answered for'} at the end, accepted at {job.accepted_at:.3f}")
    if job.state() == "canceled" and job.cancel_sent_at is None:
        found.append(f"{job.id} is canceled, which nobody asked for")
    if job.state() == "failed":
        found.append(f"{job.id} has failed though no run can fail")
    ends = [(at, state) for at, state in job.states if state == "complete"]
    if ends:
        done = {task for task, its_runs in runs.items() for run in its_runs if run["how"] == "done" and run["ended"] <= ends[0][0]}
        wanted = {f"{job.id}.0.{step}.{index}" for step in range(job.step_count) for index in range(job.tasks_per_step)}
        # One end as done stands for all members of a gang.
        missing = [task for task in wanted - done if not job.gang or not any(other.rsplit(".", 1)[0] == task.rsplit(".", 1)[0] for other in done)]
        if missing:
            found.append(f"{job.id} is complete at {ends[0][0]:.3f} though {sorted(missing)[0]} has not ended as done")
    return found

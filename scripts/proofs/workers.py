"""Proofs in which workers fail, leave, restart or send wrong answers, and callers cancel many requests at once."""

import collections
import time

import harness
from proofs.registry import proof
from proofs.run import GANG, ONCE, URGENT


def _worker_ids_in_zone(run, zone):
    return [worker["id"] for worker in run.deployment.configuration["workers"] if worker["zone"] == zone]


def _refused_hold_count(run):
    return run.platform.worker_records()["counts"].get("refusedLeaving", 0)


@proof(short=True)
def worker_fails_everything(run):
    """A worker that fails every task immediately appears fast and attracts all the work."""
    zone = run.zone()
    # Selects the worker that placement chooses most often. If placement never chose the failing worker, the proof would show nothing.
    probes = [run.submit(URGENT, 100, zone) for _ in range(16)]
    time.sleep(1)
    failing_worker = collections.Counter(task["worker"] for one in probes for task in run.tasks_of(one)).most_common(1)[0][0]
    run.allow_failed = True  # Checked by _check_failed_requests().
    run.platform.set_worker_faults(worker=failing_worker, failTasks=True)
    for _ in range(2):
        second_half_start_ms = time.time() * 1000
        for _ in range(5):
            for _ in range(8):
                run.submit(URGENT, 100, zone)
            time.sleep(0.5)
    if not any(task["worker"] == failing_worker and task["ending"] == "failed" for task in run.platform.worker_records()["tasks"]):
        run.add_violation("no task has failed, so the proof shows nothing")
    _check_work_share(run, zone, failing_worker, second_half_start_ms)
    run.wait_for_outcomes()
    _check_failed_requests(run)


def _check_work_share(run, zone, failing_worker, since_ms):
    """Checks that after @p since_ms the failing worker gets at most an equal share of the tasks, and that no other worker is ejected."""
    workers = run.wait_for_owner(zone).fetch_fleet_state().get("workers", [])
    ejected = {worker["id"] for worker in workers if worker["ejected"]}
    tasks = [task for task in run.platform.worker_records()["tasks"] if task["zone"] == zone and task["heldMs"] > since_ms]
    share = sum(task["worker"] == failing_worker for task in tasks)
    run.measurements["second_half_on_bad_worker"] = f"{share}/{len(tasks)}"
    run.measurements["ejected"] = ",".join(sorted(ejected)) or "none"
    if not tasks or share > len(tasks) / len(_worker_ids_in_zone(run, zone)):
        run.add_violation(f"the failing worker got {share} of {len(tasks)} tasks after its failures were known")
    if ejected - {failing_worker}:
        run.add_violation(f"healthy workers are ejected: {sorted(ejected - {failing_worker})}")


def _check_failed_requests(run):
    """Checks that idempotent requests fail only if the retry budget of their tier is exhausted, and that no other request fails."""
    for one in run.submissions:
        idempotent = one.job_class != ONCE
        if one.outcome == "failed" and not (idempotent and "retry budget" in one.reason):
            run.add_violation(f"{one.key} ({one.job_class}) failed: {one.reason}")


@proof()
def worker_leaves(run):
    """A leaving worker receives new work, or its running work is aborted."""
    zone = run.zone()
    leaving = _worker_ids_in_zone(run, zone)[:3]
    running = [run.submit(ONCE, 5000, zone) for _ in range(20)]
    for one in running:
        run.wait_for_start(one)
    for worker in leaving:
        run.platform.set_worker_faults(worker=worker, leaving=True)
    run.deployment.publish_vm_list(leaving)
    leave_time_ms = time.time() * 1000
    run.submit_load_for(1, per_second=10, zone=zone)
    refused_in_first_second = _refused_hold_count(run)
    run.submit_load_for(7, per_second=10, zone=zone)
    refused_late = _refused_hold_count(run) - refused_in_first_second
    run.measurements["refused_first_s"], run.measurements["refused_late"] = refused_in_first_second, refused_late
    # Leaving workers refuse every hold, so holds that were sent to them appear only in the count of refusals.
    if refused_late:
        run.add_violation(f"{refused_late} holds were sent to leaving workers more than 1 s after they had left")
    late_tasks = [task for task in run.platform.worker_records()["tasks"] if task["worker"] in leaving and task["heldMs"] > leave_time_ms + 1000]
    if late_tasks:
        run.add_violation(f"{len(late_tasks)} tasks were held on leaving workers more than 1 s after they had left")


@proof(short=True)
def wave_of_cancellations(run):
    """A burst of cancellations blocks other work, or a cancelled request keeps running."""
    zone = run.zone()
    cancelled = [run.submit(ONCE, 30000, zone) for _ in range(40)]
    time.sleep(2)
    for one in cancelled:
        run.caller.cancel(one)
    urgent_requests = [run.submit(URGENT, 100, zone) for _ in range(20)]
    run.wait_for_outcomes()
    uncancelled = [one for one in cancelled if one.outcome != "cancelled"]
    if uncancelled:
        run.add_violation(f"{len(uncancelled)} of {len(cancelled)} cancelled requests ended otherwise, such as {uncancelled[0].outcome} ({uncancelled[0].reason})")
    occupying_tasks = [task for one in cancelled for task in run.tasks_of(one) if task["state"] in ("held", "running")]
    if occupying_tasks:
        run.add_violation(f"{len(occupying_tasks)} tasks of cancelled requests still occupy workers")
    if any(one.outcome != "done" for one in urgent_requests):
        run.add_violation("urgent requests were not completed during the cancellations")


@proof(short=True)
def wrong_answers(run):
    """A caller receives a truncated result, or the result of another request."""
    for _ in range(5):
        run.platform.set_worker_faults(truncateResults=1, crossResults=1)
        run.submit_load_for(1, per_second=15)


@proof()
def worker_answers_lost(run):
    """A command whose answer was lost is treated as not received, and the task is placed a second time."""
    for _ in range(5):
        run.platform.set_worker_faults(loseAnswers=1, losePollAnswers=1)
        run.submit_load_for(1, per_second=10)


@proof()
def workers_restart(run):
    """Tasks that a restarted worker has lost are treated as running, or a non-idempotent one is run again as if it had never started."""
    zone = run.zone()
    run.allow_unknown = True  # It cannot be known how far a non-idempotent task ran before the restart.
    running = [run.submit(ONCE, 3000, zone) for _ in range(10)] + [run.submit(GANG, 3000, zone) for _ in range(2)]
    for one in running:
        run.wait_for_start(one)
    for worker in _worker_ids_in_zone(run, zone)[::2]:
        run.platform.set_worker_faults(worker=worker, restart=True)


@proof(short=True)
def gang_member_frozen(run):
    """Members of a gang start although one of its workers has not received the hold."""
    zone = run.zone()
    frozen = _worker_ids_in_zone(run, zone)[::2]
    for worker in frozen:
        run.platform.set_worker_faults(worker=worker, frozen=True)
    gangs = [run.submit(GANG, 1000, zone) for _ in range(3)]
    harness.wait_until(lambda: all(run.tasks_of(one) for one in gangs), 20, "every gang has a held member")
    time.sleep(1)
    held = [task for one in gangs for task in run.tasks_of(one)]
    started = sum(task["startedMs"] is not None for task in held)
    run.measurements["held_before_thaw"], run.measurements["started_before_thaw"] = len(held), started
    if started:
        run.add_violation(f"{started} of {len(held)} held members started while workers of their gangs were frozen")
    for worker in frozen:
        run.platform.set_worker_faults(worker=worker, frozen=False)


@proof()
def workers_frozen_past_lease(run):
    """Workers that are silent for longer than the task lease have their tasks run a second time elsewhere."""
    zone = run.zone()
    run.allow_failed = True  # Checked by _check_failed_requests().
    running = [run.submit(ONCE, 2000, zone) for _ in range(10)]
    for one in running:
        run.wait_for_start(one)
    frozen = _worker_ids_in_zone(run, zone)[::2]
    for worker in frozen:
        run.platform.set_worker_faults(worker=worker, frozen=True)
    run.submit_load_for(13, per_second=5, zone=zone)
    for worker in frozen:
        run.platform.set_worker_faults(worker=worker, frozen=False)
    run.wait_for_outcomes()
    _check_failed_requests(run)


@proof()
def accelerators_removed(run):
    """Tasks are placed on accelerators that were removed from a worker."""
    zone = run.zone()
    run.allow_failed = True  # Tasks on the accelerators at the time of removal fail.
    run.submit_mix(20, zone)
    stripped = _worker_ids_in_zone(run, zone)[:4]
    for worker in stripped:
        run.platform.set_worker_faults(worker=worker, usable=0x0F)
    removal_time_ms = time.time() * 1000
    run.submit_load_for(6, per_second=8, zone=zone)
    late_tasks = [
        task
        for task in run.platform.worker_records()["tasks"]
        if task["worker"] in stripped and task["heldMs"] > removal_time_ms + 1000 and task["accelerators"] & ~0x0F
    ]
    if late_tasks:
        run.add_violation(f"{len(late_tasks)} tasks were held on removed accelerators")

"""Workers fail, leave, and send wrong answers; callers cancel in bursts."""

import collections
import time

import harness
from proofs.registry import proof
from proofs.run import GANG, ONCE, URGENT


def _workers_in(run, zone):
    return [worker["id"] for worker in run.deployment.configuration["workers"] if worker["zone"] == zone]


def _refused_leaving(run):
    return run.platform.worker_records()["counts"].get("refusedLeaving", 0)


@proof(short=True)
def worker_fails_everything(run):
    """A worker that fails every task at once looks fast and draws all the work to itself."""
    zone = run.zone()
    # The worker that placement chooses most often, as one that it does not choose would prove nothing.
    probes = [run.submit(URGENT, 100, zone) for _ in range(16)]
    time.sleep(1)
    bad = collections.Counter(task["worker"] for one in probes for task in run.tasks(one)).most_common(1)[0][0]
    run.allow_failed = True  # Checked by _check_failed().
    run.platform.set_worker_faults(worker=bad, failTasks=True)
    for _ in range(2):
        half_ms = time.time() * 1000
        for _ in range(5):
            for _ in range(8):
                run.submit(URGENT, 100, zone)
            time.sleep(0.5)
    if not any(task["worker"] == bad and task["ending"] == "failed" for task in run.platform.worker_records()["tasks"]):
        run.violation("no task has failed, so the proof shows nothing")
    _check_share(run, zone, bad, half_ms)
    run.settle()
    _check_failed(run)


def _check_share(run, zone, bad, since_ms):
    """Once its failures are known, the bad worker gets no more than its equal share, and no other worker is ejected."""
    workers = run.owner(zone).fleet().get("workers", [])
    ejected = {worker["id"] for worker in workers if worker["ejected"]}
    tasks = [task for task in run.platform.worker_records()["tasks"] if task["zone"] == zone and task["heldMs"] > since_ms]
    share = sum(task["worker"] == bad for task in tasks)
    run.figures["second_half_on_bad_worker"] = f"{share}/{len(tasks)}"
    run.figures["ejected"] = ",".join(sorted(ejected)) or "none"
    if not tasks or share > len(tasks) / len(_workers_in(run, zone)):
        run.violation(f"the bad worker got {share} of {len(tasks)} tasks after its failures were known")
    if ejected - {bad}:
        run.violation(f"healthy workers are ejected: {sorted(ejected - {bad})}")


def _check_failed(run):
    """An idempotent request may fail only because the retry budget of its tier is spent; others must not be told so at all."""
    for one in run.submissions:
        idempotent = one.job_class != ONCE
        if one.outcome == "failed" and not (idempotent and "retry budget" in one.reason):
            run.violation(f"{one.key} ({one.job_class}) failed: {one.reason}")


@proof()
def worker_leaves(run):
    """A leaving worker receives new work, or its running work is cut."""
    zone = run.zone()
    leaving = _workers_in(run, zone)[:3]
    running = [run.submit(ONCE, 5000, zone) for _ in range(20)]
    for one in running:
        run.wait_for_start(one)
    for worker in leaving:
        run.platform.set_worker_faults(worker=worker, leaving=True)
    run.deployment.publish_vm_list(leaving)
    left_ms = time.time() * 1000
    run.load_during(1, per_second=10, zone=zone)
    refused_at_first = _refused_leaving(run)
    run.load_during(7, per_second=10, zone=zone)
    refused_late = _refused_leaving(run) - refused_at_first
    run.figures["refused_first_s"], run.figures["refused_late"] = refused_at_first, refused_late
    # The workers refuse every hold, so a hold that was sent shows only in the count of refusals.
    if refused_late:
        run.violation(f"{refused_late} holds were sent to leaving workers more than 1 s after they had left")
    late = [task for task in run.platform.worker_records()["tasks"] if task["worker"] in leaving and task["heldMs"] > left_ms + 1000]
    if late:
        run.violation(f"{len(late)} tasks were held on leaving workers more than 1 s after they had left")


@proof(short=True)
def wave_of_cancellations(run):
    """A burst of cancellations blocks other work, or a cancelled request runs on."""
    zone = run.zone()
    cancelled = [run.submit(ONCE, 30000, zone) for _ in range(40)]
    time.sleep(2)
    for one in cancelled:
        run.caller.cancel(one)
    checks = [run.submit(URGENT, 100, zone) for _ in range(20)]
    run.settle()
    wrong = [one for one in cancelled if one.outcome != "cancelled"]
    if wrong:
        run.violation(f"{len(wrong)} of {len(cancelled)} cancelled requests ended otherwise, for example as {wrong[0].outcome} ({wrong[0].reason})")
    still = [task for one in cancelled for task in run.tasks(one) if task["state"] in ("held", "running")]
    if still:
        run.violation(f"{len(still)} tasks of cancelled requests still occupy workers")
    if any(one.outcome != "done" for one in checks):
        run.violation("urgent requests were not done next to the cancellations")


@proof(short=True)
def wrong_answers(run):
    """A truncated or crossed result is passed on to a caller."""
    for _ in range(5):
        run.platform.set_worker_faults(truncateResults=1, crossResults=1)
        run.load_during(1, per_second=15)


@proof()
def worker_answers_lost(run):
    """A command whose answer was lost is taken for not received, and the task is placed a second time."""
    for _ in range(5):
        run.platform.set_worker_faults(loseAnswers=1, losePollAnswers=1)
        run.load_during(1, per_second=10)


@proof()
def workers_restart(run):
    """A restarted worker's lost tasks are taken for running, or a non-idempotent one is run again as if it had not started."""
    zone = run.zone()
    run.allow_unknown = True  # Nobody can know how far a non-idempotent task got on a worker that has forgotten it.
    running = [run.submit(ONCE, 3000, zone) for _ in range(10)] + [run.submit(GANG, 3000, zone) for _ in range(2)]
    for one in running:
        run.wait_for_start(one)
    for worker in _workers_in(run, zone)[::2]:
        run.platform.set_worker_faults(worker=worker, restart=True)


@proof(short=True)
def gang_member_frozen(run):
    """Members of a gang start although one of its workers has not received the hold."""
    zone = run.zone()
    frozen = _workers_in(run, zone)[::2]
    for worker in frozen:
        run.platform.set_worker_faults(worker=worker, frozen=True)
    gangs = [run.submit(GANG, 1000, zone) for _ in range(3)]
    harness.wait_until(lambda: all(run.tasks(one) for one in gangs), 20, "every gang has a held member")
    time.sleep(1)
    held = [task for one in gangs for task in run.tasks(one)]
    started = sum(task["startedMs"] is not None for task in held)
    run.figures["held_before_thaw"], run.figures["started_before_thaw"] = len(held), started
    if started:
        run.violation(f"{started} of {len(held)} held members started while workers of their gangs were frozen")
    for worker in frozen:
        run.platform.set_worker_faults(worker=worker, frozen=False)


@proof()
def workers_frozen_past_lease(run):
    """Workers that are silent for longer than the task lease have their tasks run a second time elsewhere."""
    zone = run.zone()
    run.allow_failed = True  # Checked by _check_failed().
    running = [run.submit(ONCE, 2000, zone) for _ in range(10)]
    for one in running:
        run.wait_for_start(one)
    frozen = _workers_in(run, zone)[::2]
    for worker in frozen:
        run.platform.set_worker_faults(worker=worker, frozen=True)
    run.load_during(13, per_second=5, zone=zone)
    for worker in frozen:
        run.platform.set_worker_faults(worker=worker, frozen=False)
    run.settle()
    _check_failed(run)


@proof()
def accelerators_removed(run):
    """Tasks are placed on accelerators that were stripped from a worker."""
    zone = run.zone()
    run.allow_failed = True  # Tasks on the accelerators at the time of removal fail.
    run.submit_mix(20, zone)
    stripped = _workers_in(run, zone)[:4]
    for worker in stripped:
        run.platform.set_worker_faults(worker=worker, usable=0x0F)
    removed_ms = time.time() * 1000
    run.load_during(6, per_second=8, zone=zone)
    late = [
        task
        for task in run.platform.worker_records()["tasks"]
        if task["worker"] in stripped and task["heldMs"] > removed_ms + 1000 and task["accelerators"] & ~0x0F
    ]
    if late:
        run.violation(f"{len(late)} tasks were held on removed accelerators")

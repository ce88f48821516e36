"""The store is down, slow, or its answers are lost."""

import time

from proofs.registry import proof
from proofs.run import TASK_LEASE_S, URGENT, ONCE


@proof(short=True)
def store_down_longer_than_every_lease(run):
    """An outage of the store stops idempotent work, cuts running work, or lets non-idempotent work run without a record."""
    running = [run.submit(ONCE, 14000) for _ in range(4)]
    for one in running:
        run.wait_for_start(one)
    run.platform.store_faults(down="close")
    time.sleep(1)
    checks = [run.submit(URGENT, 100, seconds=TASK_LEASE_S) for _ in range(20)]
    run.load_during(TASK_LEASE_S + 2, per_second=5, patience=40)
    done = sum(one.outcome == "done" for one in checks)
    run.figures["urgent_done_during_outage"] = f"{done}/{len(checks)}"
    if done < len(checks):
        run.violation(f"{len(checks) - done} idempotent synchronous requests were not served during the outage")
    run.deployment.heal_platform()


@proof()
def store_hangs_longer_than_every_lease(run):
    """Calls to a store that accepts connections and never answers occupy every thread."""
    run.platform.store_faults(down="hang")
    run.load_during(TASK_LEASE_S + 2, per_second=5, patience=50)
    run.deployment.heal_platform()


@proof()
def store_slow(run):
    """A slow store makes owners lose their leases by turns, or doubles work through retries."""
    run.platform.store_faults(delayMs=250)
    run.load_during(10, per_second=5)
    run.deployment.heal_platform()


@proof(short=True)
def store_answers_lost(run):
    """A write that took effect and whose answer was lost is repeated, or taken for not done."""
    for _ in range(6):
        run.platform.store_faults(loseWriteAnswers=4)
        run.load_during(1, per_second=10)


@proof()
def store_watches_closed(run):
    """A closed watch is not opened again, so that a change of the owner or of the configuration is missed."""
    run.platform.store_faults(closeWatches=True)
    time.sleep(0.5)
    run.kill_owner(run.zone())
    run.submit_mix(20, run.zone())

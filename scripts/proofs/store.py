"""Proofs in which the store is down or slow, or its answers are lost."""

import time

import harness
from proofs.registry import proof
from proofs.run import ONCE, STORE_LEASE_S, TASK_LEASE_S, URGENT, URGENT_START_S


@proof(short=True)
def store_down_longer_than_every_lease(run):
    """An outage of the store stops idempotent work, aborts running work, or lets non-idempotent work run without a record."""
    running = [run.submit(ONCE, 14000) for _ in range(4)]
    for one in running:
        run.wait_for_start(one)
    run.platform.set_store_faults(down="close")
    time.sleep(1)
    urgent_requests = [run.submit(URGENT, 100, timeout_s=TASK_LEASE_S) for _ in range(20)]
    run.submit_load_for(TASK_LEASE_S + 2, per_second=5, request_timeout_s=40)
    done = sum(one.outcome == "done" for one in urgent_requests)
    run.measurements["urgent_done_during_outage"] = f"{done}/{len(urgent_requests)}"
    if done < len(urgent_requests):
        run.add_violation(f"{len(urgent_requests) - done} idempotent synchronous requests were not served during the outage")
    run.deployment.restore_platform()


@proof(short=True)
def store_down_before_intent(run):
    """A non-idempotent request starts while its intent cannot be written, and a second time under the next owner."""
    zone = run.zone()
    # While every worker is leaving, a request is accepted but not placed.
    run.platform.set_worker_faults(zone=zone, leaving=True)
    time.sleep(1)
    requests = [run.submit(ONCE, 1000, zone) for _ in range(6)]
    accepted = {f"active/{zone}/{one.key}" for one in requests}
    harness.wait_until(lambda: accepted <= set(run.deployment.read_store_prefix(f"active/{zone}/")), 20, "every request is accepted")
    owner = run.wait_for_owner(zone)
    run.platform.set_store_faults(down="close")
    run.platform.set_worker_faults(zone=zone, leaving=False)
    time.sleep(STORE_LEASE_S)
    sent_tasks = sum(len(run.tasks_of(one)) for one in requests)
    run.measurements["sent_without_intent"] = sent_tasks
    if sent_tasks:
        run.add_violation(f"{sent_tasks} tasks were sent to workers while their intents could not be written")
    owner.process.kill()
    run.deployment.restore_platform()
    run.expect_within("takeover after the outage", URGENT_START_S, lambda: run.deployment.owner(zone) not in (None, owner))


@proof()
def store_hangs_longer_than_every_lease(run):
    """Calls to a store that accepts connections and never answers occupy every thread."""
    run.platform.set_store_faults(down="hang")
    run.submit_load_for(TASK_LEASE_S + 2, per_second=5, request_timeout_s=50)
    run.deployment.restore_platform()


@proof()
def store_slow(run):
    """A slow store makes one owner after another lose its lease, or makes retries run work twice."""
    run.platform.set_store_faults(delayMs=250)
    run.submit_load_for(10, per_second=5)
    run.deployment.restore_platform()


@proof(short=True)
def store_answers_lost(run):
    """A write whose answer was lost after it took effect is repeated, or is treated as failed."""
    for _ in range(6):
        run.platform.set_store_faults(loseWriteAnswers=4)
        run.submit_load_for(1, per_second=10)


@proof()
def store_watches_closed(run):
    """A closed watch is not reopened, so that a change of the owner or of the configuration is missed."""
    run.platform.set_store_faults(closeWatches=True)
    time.sleep(0.5)
    run.kill_owner(run.zone())
    run.submit_mix(20, run.zone())

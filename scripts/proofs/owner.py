"""Proofs in which the owner of a zone is killed or paused at critical moments."""

import json
import time

import harness
from proofs.registry import proof
from proofs.run import GANG, ONCE, STORE_LEASE_S


def _has_intent(run, submission):
    record = run.deployment.read_store_prefix(f"active/{submission.zone}/").get(f"active/{submission.zone}/{submission.key}")
    return record is not None and json.loads(record).get("members")


@proof(short=True)
def owner_killed_after_intent(run):
    """A request whose intent is in the store but has not reached a worker is lost, or runs twice."""
    zone = run.zone()
    run.platform.set_worker_faults(zone=zone, frozen=True)
    requests = [run.submit(ONCE, 200, zone) for _ in range(6)]
    harness.wait_until(lambda: all(_has_intent(run, one) for one in requests), 20, "every intent is written")
    run.kill_owner(zone)
    run.platform.set_worker_faults(zone=zone, frozen=False)


@proof(short=True)
def owner_killed_after_dispatch(run):
    """A running request is lost when its owner is killed, or is run again by the next owner."""
    zone = run.zone()
    requests = [run.submit(ONCE, 6000, zone) for _ in range(8)]
    for one in requests:
        run.wait_for_start(one)
    run.kill_owner(zone)


@proof()
def owner_killed_before_answer(run):
    """A result that a worker has reported to a killed owner never reaches the caller."""
    zone = run.zone()
    requests = [run.submit(ONCE, 1500, zone) for _ in range(8)]
    for one in requests:
        run.wait_for_start(one)
    owner = run.wait_for_owner(zone)
    owner.process.pause()
    harness.wait_until(lambda: all(task["state"] == "done" for one in requests for task in run.tasks_of(one)), 10, "every task is done")
    owner.process.kill()


@proof(short=True)
def owner_killed_between_hold_and_start(run):
    """A gang that is held but not started keeps its accelerators forever, or runs with only some of its members."""
    zone = run.zone()
    # The workers execute the holds at once, but the owner is killed before it receives the answers.
    run.platform.set_worker_faults(zone=zone, answerDelayMs=3000)
    gangs = [run.submit(GANG, 1000, zone) for _ in range(2)]
    harness.wait_until(lambda: all(len(run.tasks_of(one)) >= 2 for one in gangs), 20, "every member is held")
    started = [task for one in gangs for task in run.tasks_of(one) if task["startedMs"]]
    run.measurements["started_before_kill"] = len(started)
    run.platform.set_worker_faults(zone=zone, answerDelayMs=0)
    run.kill_owner(zone)


@proof()
def owner_killed_during_start(run):
    """A gang keeps running although only some of its members have received the start command."""
    zone = run.zone()
    gangs = [run.submit(GANG, 4000, zone) for _ in range(3)]
    harness.wait_until(lambda: any(task["startedMs"] for one in gangs for task in run.tasks_of(one)), 20, "a member starts")
    run.kill_owner(zone)


@proof(short=True)
def owner_paused_past_lease(run):
    """An owner that resumes after its lease has expired sends commands or writes records alongside its successor."""
    zone = run.zone()
    run.submit_mix(20, zone)
    owner = run.wait_for_owner(zone)
    owner.process.pause()
    run.submit_load_for(STORE_LEASE_S * 2, per_second=5, zone=zone)
    successor = run.deployment.owner(zone)
    if successor in (None, owner):
        run.add_violation("no other entry VM owns the zone twice the lease after its owner was paused")
    owner.process.resume()
    run.submit_load_for(3, per_second=5, zone=zone)
    if run.deployment.owner(zone) is owner:
        run.add_violation("the paused owner took the zone back from its successor")


@proof(short=True)
def owner_paused_with_unwritten_intents(run):
    """A former owner overwrites a record of its successor with an old intent, and the next takeover runs the request again."""
    zone = run.zone()
    # While every worker is leaving, requests are accepted but not placed. Their intents are then delayed by the store outage below.
    run.platform.set_worker_faults(zone=zone, leaving=True)
    time.sleep(1)
    requests = [run.submit(ONCE, 200, zone) for _ in range(6)]
    records = {f"active/{zone}/{one.key}" for one in requests}
    harness.wait_until(lambda: records <= set(run.deployment.read_store_prefix(f"active/{zone}/")), 20, "every request is accepted")
    former = run.wait_for_owner(zone)
    run.platform.set_store_faults(down="close")
    run.platform.set_worker_faults(zone=zone, leaving=False)
    time.sleep(1)
    former.process.pause()
    run.deployment.restore_platform()
    harness.wait_until(lambda: run.deployment.owner(zone) not in (None, former), 15, f"another entry VM owns {zone}")
    harness.wait_until(lambda: not records & set(run.deployment.read_store_prefix(f"active/{zone}/")), 20, "the successor has written every outcome")
    former.process.resume()
    time.sleep(2)
    rewritten = len(records & set(run.deployment.read_store_prefix(f"active/{zone}/")))
    run.measurements["records_rewritten"] = rewritten
    if rewritten:
        run.add_violation(f"the former owner rewrote {rewritten} of {len(records)} records of finished requests")
    run.kill_owner(zone)


@proof()
def owner_paused_again_and_again(run):
    """Repeated changes of ownership lose work or run it twice."""
    zone = run.zone()
    for _ in range(3):
        owner = run.wait_for_owner(zone)
        owner.process.pause()
        run.submit_load_for(STORE_LEASE_S + 2, per_second=5, zone=zone)
        owner.process.resume()
        time.sleep(1)

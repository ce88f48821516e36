"""An availability zone is cut off.

A cut between zones is imitated by pausing the processes on its other side: connections are accepted and nothing is answered,
as with lost packets. The two sides are therefore observed one after the other, and callers reach the running side only.
"""

import harness
from proofs.registry import proof
from proofs.run import ONCE, TASK_LEASE_S, URGENT


def _inside(run, zone):
    return [vm for vm in run.deployment.vms if vm.zone == zone]


def _outside(run, zone):
    return [vm for vm in run.deployment.vms if vm.zone != zone]


def _pause(run, vms):
    run.balancer.restrict([vm for vm in run.deployment.vms if vm not in vms])
    for vm in vms:
        vm.process.pause()


def _resume(run, vms):
    for vm in vms:
        vm.process.resume()
    run.balancer.restrict(None)


def _serves(run, zone, count=10):
    """Submits urgent requests for the zone and reports those that were not done."""
    checks = [run.submit(URGENT, 100, zone, seconds=TASK_LEASE_S) for _ in range(count)]
    run.load_during(TASK_LEASE_S, per_second=3, zone=zone, patience=40)
    done = sum(one.outcome == "done" for one in checks)
    run.figures[f"done_in_{zone}"] = f"{done}/{count}"
    if done < count:
        run.violation(f"{zone} served {done} of {count} idempotent requests while it was cut off")


@proof()
def zone_cut_from_platform(run):
    """A zone that loses the store while its neighbours reach it stops serving, or runs non-idempotent work without a record."""
    zone = run.zone(3)
    run.deployment.cut_from_platform(_inside(run, zone))
    _serves(run, zone)
    run.deployment.heal_platform()


@proof()
def zone_cut_from_other_zones(run):
    """A zone waits for answers from zones that it cannot reach instead of serving its own callers."""
    zone = run.zone(3)
    outside = _outside(run, zone)
    _pause(run, outside)
    _serves(run, zone)
    _resume(run, outside)


@proof()
def other_zones_without_one(run):
    """Zones that have lost one neighbour wait for it."""
    zone = run.zone(3)
    inside = _inside(run, zone)
    _pause(run, inside)
    _serves(run, run.zone(1))
    _resume(run, inside)


@proof()
def zone_cut_from_both(run):
    """A zone that reaches neither the platform nor the other zones stops serving what it can."""
    zone = run.zone(3)
    outside = _outside(run, zone)
    run.deployment.cut_from_platform(_inside(run, zone))
    _pause(run, outside)
    _serves(run, zone)
    _resume(run, outside)
    run.deployment.heal_platform()


@proof()
def one_vm_cut_from_platform(run):
    """An owner that alone has lost the store keeps the zone from a peer that reaches it."""
    zone = run.zone()
    owner = run.owner(zone)
    run.deployment.cut_from_platform([owner])
    run.load_during(6, per_second=5, zone=zone)
    harness.wait_until(lambda: run.deployment.owner(zone) not in (None, owner), 15, "a peer takes the zone over")
    run.deployment.heal_platform()


@proof(short=True)
def same_key_in_two_zones(run):
    """A request that is submitted in two zones at once runs in both."""
    for number in range(10):
        first = run.submit(ONCE, 300, run.zone(number % 4))
        run.submit_again(first, run.zone((number + 1) % 4))
    run.settle()
    open_ones = [one for one in run.submissions if one.outcome != "done"]
    if open_ones:
        run.violation(f"{len(open_ones)} submissions did not receive the answer, for example {open_ones[0].outcome} ({open_ones[0].reason})")

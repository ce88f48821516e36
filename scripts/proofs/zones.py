"""Proofs in which an availability zone is partitioned from the platform or from the other zones.

A partition between zones is simulated by pausing all processes on one side: connections to them are accepted but not answered,
as with lost packets. The two sides are therefore observed one after the other, and callers reach only the running side.
"""

import harness
from proofs.registry import proof
from proofs.run import ONCE, TASK_LEASE_S, URGENT


def _vms_in_zone(run, zone):
    return [vm for vm in run.deployment.vms if vm.zone == zone]


def _vms_outside_zone(run, zone):
    return [vm for vm in run.deployment.vms if vm.zone != zone]


def _pause_vms(run, vms):
    run.balancer.set_reachable([vm for vm in run.deployment.vms if vm not in vms])
    for vm in vms:
        vm.process.pause()


def _resume_vms(run, vms):
    for vm in vms:
        vm.process.resume()
    run.balancer.set_reachable(None)


def _check_zone_serves(run, zone, count=10):
    """Submits urgent requests for the zone under a mixed load, and adds a violation unless all of them are done."""
    urgent_requests = [run.submit(URGENT, 100, zone, timeout_s=TASK_LEASE_S) for _ in range(count)]
    run.submit_load_for(TASK_LEASE_S, per_second=3, zone=zone, request_timeout_s=40)
    done = sum(one.outcome == "done" for one in urgent_requests)
    run.measurements[f"done_in_{zone}"] = f"{done}/{count}"
    if done < count:
        run.add_violation(f"{zone} served {done} of {count} idempotent requests while it was cut off")


@proof()
def zone_cut_from_platform(run):
    """A zone that alone cannot reach the store stops serving, or runs non-idempotent work without a record."""
    zone = run.zone(3)
    run.deployment.cut_from_platform(_vms_in_zone(run, zone))
    _check_zone_serves(run, zone)
    run.deployment.restore_platform()


@proof()
def zone_cut_from_other_zones(run):
    """A zone waits for answers from zones that it cannot reach instead of serving its own callers."""
    zone = run.zone(3)
    outside = _vms_outside_zone(run, zone)
    _pause_vms(run, outside)
    _check_zone_serves(run, zone)
    _resume_vms(run, outside)


@proof()
def other_zones_without_one(run):
    """Zones that cannot reach one other zone wait for it instead of serving their own callers."""
    zone = run.zone(3)
    inside = _vms_in_zone(run, zone)
    _pause_vms(run, inside)
    _check_zone_serves(run, run.zone(1))
    _resume_vms(run, inside)


@proof()
def zone_cut_from_both(run):
    """A zone that reaches neither the platform nor the other zones stops serving requests that it could still serve."""
    zone = run.zone(3)
    outside = _vms_outside_zone(run, zone)
    run.deployment.cut_from_platform(_vms_in_zone(run, zone))
    _pause_vms(run, outside)
    _check_zone_serves(run, zone)
    _resume_vms(run, outside)
    run.deployment.restore_platform()


@proof()
def one_vm_cut_from_platform(run):
    """An owner that alone cannot reach the store keeps the zone, although a peer in the zone can reach the store."""
    zone = run.zone()
    owner = run.wait_for_owner(zone)
    run.deployment.cut_from_platform([owner])
    run.submit_load_for(6, per_second=5, zone=zone)
    harness.wait_until(lambda: run.deployment.owner(zone) not in (None, owner), 15, "a peer takes the zone over")
    run.deployment.restore_platform()


@proof(short=True)
def same_key_in_two_zones(run):
    """A request that is submitted in two zones at the same time runs in both."""
    for number in range(10):
        first = run.submit(ONCE, 300, run.zone(number % 4))
        run.submit_again(first, run.zone((number + 1) % 4))
    run.wait_for_outcomes()
    unfinished = [one for one in run.submissions if one.outcome != "done"]
    if unfinished:
        run.add_violation(f"{len(unfinished)} submissions did not receive the result, for example {unfinished[0].outcome} ({unfinished[0].reason})")

"""Planned stops and replacements under load."""

import json
import threading

import harness
from proofs.registry import proof
from proofs.run import URGENT_START_S


def _stop_cleanly(run, vm):
    code = vm.process.terminate(45)
    if code != 0:
        run.violation(f"{vm.name} ended with exit code {code} after SIGTERM")


def _in_background(run, seconds, per_second=10):
    thread = threading.Thread(target=run.load_during, args=(seconds, per_second), daemon=True)
    thread.start()
    return thread


def _check_interruptions(run):
    broken = sum(one.broken for one in run.submissions)
    run.figures["connections_broken"] = broken
    if broken:
        run.violation(f"{broken} connections ended without an answer during planned stops")


@proof(short=True)
def sigterm_under_load(run):
    """A planned stop interrupts requests or leaves its zone without an owner."""
    load = _in_background(run, 8)
    owner = run.owner(run.zone())
    _stop_cleanly(run, owner)
    # A lease that has yet to end would give the zone another owner too, but later.
    key = f"control/owners/{owner.zone}"
    named = json.loads(run.deployment.store_list(key).get(key, "{}")).get("vm")
    run.figures["owner_named_after_exit"] = named
    if named == owner.name:
        run.violation(f"{owner.name} has exited and the store still names it as the owner of {owner.zone}")
    run.expect_within("another owner", URGENT_START_S, lambda: run.deployment.owner(owner.zone) not in (None, owner))
    load.join()
    run.settle()
    _check_interruptions(run)


@proof()
def all_vms_replaced(run):
    """Replacing every VM one after the other loses state that lived on the VMs alone."""
    load = _in_background(run, 45, per_second=5)
    for vm in list(run.deployment.vms):
        _stop_cleanly(run, vm)
        new = run.deployment.replace_vm(vm)
        harness.wait_until(new.ready, 20, f"{new.name} is ready")
    load.join()
    run.settle()
    _check_interruptions(run)


@proof()
def all_vms_killed_and_replaced(run):
    """Killing every VM one after the other loses durable work."""
    load = _in_background(run, 45, per_second=5)
    for vm in list(run.deployment.vms):
        vm.process.kill()
        new = run.deployment.replace_vm(vm)
        harness.wait_until(new.ready, 20, f"{new.name} is ready")
    load.join()


@proof()
def all_vms_killed_at_once(run):
    """A power failure of every entry VM loses accepted durable work."""
    run.submit_mix(60)
    run.load_during(2)
    for vm in run.deployment.vms:
        vm.process.kill()
    for vm in run.deployment.vms:
        run.deployment.start_vm(vm)
    for vm in run.deployment.vms:
        harness.wait_until(vm.ready, 20, f"{vm.name} is ready")

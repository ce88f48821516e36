"""Proofs with planned stops, kills and replacements of entry VMs under load."""

import json
import threading

import harness
from proofs.registry import proof
from proofs.run import URGENT_START_S


def _terminate_and_check(run, vm):
    code = vm.process.terminate(45)
    if code != 0:
        run.add_violation(f"{vm.name} exited with code {code} after SIGTERM")


def _start_background_load(run, duration_s, per_second=10):
    thread = threading.Thread(target=run.submit_load_for, args=(duration_s, per_second), daemon=True)
    thread.start()
    return thread


def _check_broken_connections(run):
    broken_connections = sum(one.broken_connections for one in run.submissions)
    run.measurements["connections_broken"] = broken_connections
    if broken_connections:
        run.add_violation(f"{broken_connections} connections ended without an answer during planned stops")


@proof(short=True)
def sigterm_under_load(run):
    """A planned stop of an owner interrupts requests or leaves its zone without an owner."""
    load = _start_background_load(run, 8)
    owner = run.wait_for_owner(run.zone())
    _terminate_and_check(run, owner)
    # The owner has to release the zone as it exits. Otherwise the zone gets another owner only after the lease has expired.
    key = f"control/owners/{owner.zone}"
    named = json.loads(run.deployment.read_store_prefix(key).get(key, "{}")).get("vm")
    run.measurements["owner_named_after_exit"] = named
    if named == owner.name:
        run.add_violation(f"{owner.name} has exited and the store still names it as the owner of {owner.zone}")
    run.expect_within("another owner", URGENT_START_S, lambda: run.deployment.owner(owner.zone) not in (None, owner))
    load.join()
    run.wait_for_outcomes()
    _check_broken_connections(run)


@proof()
def all_vms_replaced(run):
    """Replacing the VMs one after the other loses state that was stored only on the VMs."""
    load = _start_background_load(run, 45, per_second=5)
    for vm in list(run.deployment.vms):
        _terminate_and_check(run, vm)
        replacement = run.deployment.replace_vm(vm)
        harness.wait_until(replacement.ready, 20, f"{replacement.name} is ready")
    load.join()
    run.wait_for_outcomes()
    _check_broken_connections(run)


@proof()
def all_vms_killed_and_replaced(run):
    """Killing and replacing the VMs one after the other loses durable work."""
    load = _start_background_load(run, 45, per_second=5)
    for vm in list(run.deployment.vms):
        vm.process.kill()
        replacement = run.deployment.replace_vm(vm)
        harness.wait_until(replacement.ready, 20, f"{replacement.name} is ready")
    load.join()


@proof()
def all_vms_killed_at_once(run):
    """A simultaneous failure of all entry VMs loses accepted durable work."""
    run.submit_mix(60)
    run.submit_load_for(2)
    for vm in run.deployment.vms:
        vm.process.kill()
    for vm in run.deployment.vms:
        run.deployment.start_vm(vm)
    for vm in run.deployment.vms:
        harness.wait_until(vm.ready, 20, f"{vm.name} is ready")

"""The measurement behind `scripts/measure failures`: time without an owner, and configurations while a zone is cut off."""

import sys
import time

import harness
from capacity import CHANGES, LONG, Started, change_configurations, is_owner, submit
from demorun import percentile, print_table

KILLS = 4
VMS, ZONES, WORKERS = 8, 4, 13


def owner_of(deployment, zone):
    return harness.wait_until(lambda: next((vm for vm in deployment.vms if vm.zone == zone and vm.running() and is_owner(vm)), None), 20, f"{zone} has an owner")


def time_without_owner(deployment, number):
    """Seconds from kill -9 of an owner until another VM of its zone has named itself owner, and has run a new task."""
    zone = deployment.zones[number % len(deployment.zones)]
    killed = owner_of(deployment, zone)
    other = next(vm for vm in deployment.vms if vm.zone == zone and vm is not killed)
    killed.process.kill()
    began = time.monotonic()
    harness.wait_until(lambda: deployment.owner(zone) is other, 20, f"{zone} has another owner", 0.02)
    named = time.monotonic() - began
    # Refused submissions are repeated every 100 ms with the same key, as a caller does.
    body = submit(other, f"after-kill-{number}", LONG, 1, 0, 10000)
    served = time.monotonic() - began
    if body["outcome"] != "done":
        raise harness.HarnessError(f"the request after the kill ended as {body['outcome']}")
    deployment.start_vm(killed)
    harness.wait_until(killed.ready, 20, f"{killed.name} is ready again")
    return named, served


def cut_and_rejoin(deployment):
    """Seconds until the VMs that the store reaches have a version, while those of one zone do not reach it; then until all have it."""
    cut = [vm for vm in deployment.vms if vm.zone == deployment.zones[-1]]
    seen = deployment.vms[0].configuration_version()
    deployment.cut_from_platform(cut)
    time.sleep(5)  # Longer than the store lease, so that the zone is in degraded mode.
    answer = deployment.publish(deployment.vms[0], {**deployment.configuration, "deployment": "cut"}, seen)
    began = time.monotonic()
    if answer is None or answer.status != 200:
        raise harness.HarnessError(f"a configuration was refused: {answer and answer.text}")
    version = answer.body["version"]
    parts = []
    for vms in ([vm for vm in deployment.vms if vm not in cut], cut):
        harness.wait_until(lambda: all(vm.configuration_version() >= version for vm in vms), 20, f"{len(vms)} VMs have version {version}", 0.02)  # noqa: B023
        parts.append(time.monotonic() - began)
    deployment.heal_platform()
    return parts


def _milliseconds(values):
    return [f"{1000 * value:.0f}" for value in (percentile(values, 0.5), percentile(values, 0.99), max(values))]


def main():
    with Started(VMS, ZONES, WORKERS) as deployment:
        time.sleep(2)
        kills = [time_without_owner(deployment, number) for number in range(KILLS)]
        rows = [["", "samples", "p50 ms", "p99 ms", "max ms"]]
        rows.append(["another owner in the store after kill -9", str(KILLS), *_milliseconds([pair[0] for pair in kills])])
        rows.append(["new task done after kill -9", str(KILLS), *_milliseconds([pair[1] for pair in kills])])
        rows.append([f"version on each of {VMS} VMs", str(CHANGES), *_milliseconds(change_configurations(deployment))])
        connected, cut = cut_and_rejoin(deployment)
        rows.append(["version on every connected VM, one zone cut off from the store", "1", *_milliseconds([connected])])
        rows.append(["version on every VM of the cut zone, through peers", "1", *_milliseconds([cut])])
        began = time.monotonic()
        change_configurations(deployment)
        rows.append([f"{CHANGES} versions everywhere after the zone has rejoined", "1", *_milliseconds([time.monotonic() - began])])
        print(f"{VMS} entry VMs in {ZONES} zones, {WORKERS} workers a zone:")
        print_table(rows)
        deployment.end_vms()
    return 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except KeyboardInterrupt:
        print("interrupted; every process has ended", file=sys.stderr)
        sys.exit(130)
    except harness.HarnessError as error:
        print(error, file=sys.stderr)
        sys.exit(2)

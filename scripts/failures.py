"""Implements `scripts/measure failures`: the time without an owner after a kill, and configuration delays while a zone is cut off."""

import sys
import time

import harness
from capacity import CONFIGURATION_CHANGES, LONG, StartedDeployment, measure_configuration_delays, is_owner, submit_until_accepted
from demorun import percentile, print_table

KILL_COUNT = 4
VMS, ZONES, WORKERS = 8, 4, 13


def wait_for_owner(deployment, zone):
    return harness.wait_until(
        lambda: next((vm for vm in deployment.vms if vm.zone == zone and vm.running() and is_owner(vm)), None), 20, f"{zone} has an owner"
    )


def measure_takeover(deployment, number):
    """Kills an owner with SIGKILL. Returns the seconds until the store names the other VM of the zone as owner, and until that VM has run a new task."""
    zone = deployment.zones[number % len(deployment.zones)]
    killed = wait_for_owner(deployment, zone)
    other = next(vm for vm in deployment.vms if vm.zone == zone and vm is not killed)
    killed.process.kill()
    began = time.monotonic()
    harness.wait_until(lambda: deployment.owner(zone) is other, 20, f"{zone} has another owner", 0.02)
    named = time.monotonic() - began
    # submit_until_accepted() repeats refused submissions every 100 ms with the same key, as a caller would.
    body = submit_until_accepted(other, f"after-kill-{number}", LONG, 1, 0, 10000)
    served = time.monotonic() - began
    if body["outcome"] != "done":
        raise harness.HarnessError(f"the request after the kill ended as {body['outcome']}")
    deployment.start_vm(killed)
    harness.wait_until(killed.ready, 20, f"{killed.name} is ready again")
    return named, served


def measure_configuration_during_cut(deployment):
    """Cuts one zone off from the store and publishes a version. Returns the seconds until the connected VMs have it, and until the cut VMs do."""
    cut = [vm for vm in deployment.vms if vm.zone == deployment.zones[-1]]
    seen = deployment.vms[0].configuration_version()
    deployment.cut_from_platform(cut)
    time.sleep(5)  # Outlasts the store lease, so that the zone is in degraded mode.
    answer = deployment.publish_configuration(deployment.vms[0], {**deployment.configuration, "deployment": "cut"}, seen)
    began = time.monotonic()
    if answer is None or answer.status != 200:
        raise harness.HarnessError(f"a configuration was refused: {answer and answer.text}")
    version = answer.body["version"]
    elapsed_times = []
    for vms in ([vm for vm in deployment.vms if vm not in cut], cut):
        harness.wait_until(lambda: all(vm.configuration_version() >= version for vm in vms), 20, f"{len(vms)} VMs have version {version}", 0.02)  # noqa: B023
        elapsed_times.append(time.monotonic() - began)
    deployment.restore_platform()
    return elapsed_times


def _percentiles_ms(values):
    return [f"{1000 * value:.0f}" for value in (percentile(values, 0.5), percentile(values, 0.99), max(values))]


def main():
    with StartedDeployment(VMS, ZONES, WORKERS) as deployment:
        time.sleep(2)
        kills = [measure_takeover(deployment, number) for number in range(KILL_COUNT)]
        rows = [["", "samples", "p50 ms", "p99 ms", "max ms"]]
        rows.append(["another owner in the store after kill -9", str(KILL_COUNT), *_percentiles_ms([pair[0] for pair in kills])])
        rows.append(["new task done after kill -9", str(KILL_COUNT), *_percentiles_ms([pair[1] for pair in kills])])
        rows.append([f"version on each of {VMS} VMs", str(CONFIGURATION_CHANGES), *_percentiles_ms(measure_configuration_delays(deployment))])
        connected, cut = measure_configuration_during_cut(deployment)
        rows.append(["version on every connected VM, one zone cut off from the store", "1", *_percentiles_ms([connected])])
        rows.append(["version on every VM of the cut zone, through peers", "1", *_percentiles_ms([cut])])
        began = time.monotonic()
        measure_configuration_delays(deployment)
        rows.append([f"{CONFIGURATION_CHANGES} versions everywhere after the zone has rejoined", "1", *_percentiles_ms([time.monotonic() - began])])
        print(f"{VMS} entry VMs in {ZONES} zones, {WORKERS} workers a zone:")
        print_table(rows)
        deployment.kill_vms()
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

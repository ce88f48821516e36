"""Proofs for the configuration: each version takes effect on every VM in time, no VM returns to an older one, and only one of two rival changes succeeds."""

import concurrent.futures
import threading
import time

from proofs.registry import proof
from proofs.run import CONFIGURATION_S

ROUNDS = 8


class VersionWatch:
    """Polls the active configuration version of every entry VM, on one thread for each, and records every decrease as a violation."""

    def __init__(self, run):
        self._run = run
        self._stopping = threading.Event()
        self._highest_versions = {}
        self.regressions = []
        self._threads = [threading.Thread(target=self._poll_version, args=(number,), daemon=True) for number in range(len(run.deployment.vms))]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self._stopping.set()
        for thread in self._threads:
            thread.join()
        for text in self.regressions:
            self._run.add_violation(text)

    def _poll_version(self, number):
        while not self._stopping.wait(0.1):
            vm = self._run.deployment.vms[number]
            version = vm.configuration_version()
            highest = self._highest_versions.get(vm.name, 0)
            # Version 0 is no decrease: a process without a configuration has no active version and is not ready.
            if 0 < version < highest:
                self.regressions.append(f"{vm.name} returned from version {highest} to {version}")
            self._highest_versions[vm.name] = max(highest, version)


def _publish_weight(run, vm, seen, weight):
    document = {**run.deployment.configuration, "version": seen, "weights": {"completion": weight, "fragmentation": round(1 - weight, 3)}}
    return run.deployment.publish_configuration(vm, document, seen)


def _all_vms_have_version(run, version):
    return all(vm.configuration_version() >= version for vm in run.deployment.vms if vm.running())


@proof(short=True)
def configuration_in_force_everywhere(run):
    """A change reaches an availability zone late, or a process returns to an older version."""
    with VersionWatch(run):
        for round_number in range(ROUNDS):
            vm = run.rng.choice(run.deployment.vms)
            seen = vm.configuration_version()
            answer = _publish_weight(run, vm, seen, 0.1 + round_number * 0.1)
            if answer is None or answer.status != 200:
                run.add_violation(f"change {round_number} was refused: {answer and answer.text}")
                continue
            run.expect_within(f"round {round_number} in force", CONFIGURATION_S, lambda version=answer.body["version"]: _all_vms_have_version(run, version))
            time.sleep(0.2)


@proof(short=True)
def two_operators_race(run):
    """Two operators change the same version, and one of the changes is lost without an error."""
    first, second = run.deployment.vms[0], run.deployment.vms[5]
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        for round_number in range(ROUNDS):
            seen = max(vm.configuration_version() for vm in run.deployment.vms)
            run.expect_within(f"round {round_number} starts level", CONFIGURATION_S, lambda version=seen: _all_vms_have_version(run, version))
            weights = (0.2 + round_number * 0.05, 0.21 + round_number * 0.05)
            answers = list(pool.map(lambda pair, base=seen: _publish_weight(run, pair[0], base, pair[1]), zip((first, second), weights)))
            _check_race(run, round_number, seen, answers)


def _check_race(run, round_number, seen, answers):
    statuses = sorted(answer.status if answer else 0 for answer in answers)
    if statuses != [200, 409]:
        run.add_violation(f"round {round_number}: the two operators received {statuses} instead of 200 and 409")
        return
    loser = next(answer for answer in answers if answer.status == 409)
    if str(seen + 1) not in loser.text:
        run.add_violation(f"round {round_number}: the conflict does not name version {seen + 1}: {loser.text}")


@proof()
def configuration_kept_across_restart_during_outage(run):
    """A process that restarts while the store is down returns to an older version, or becomes ready without a configuration."""
    vm = run.deployment.vms[0]
    answer = _publish_weight(run, vm, vm.configuration_version(), 0.5)
    run.expect_within("change in force", CONFIGURATION_S, lambda: _all_vms_have_version(run, answer.body["version"]))
    run.platform.set_store_faults(down="close")
    with VersionWatch(run):
        for restarted in run.deployment.vms[:4]:
            restarted.process.kill()
            run.deployment.start_vm(restarted)
            # The design states no bound for a start. The settings name the peers, so a heartbeat and a fetch suffice.
            run.expect_within(f"{restarted.name} ready", CONFIGURATION_S, restarted.ready)
            if restarted.configuration_version() < answer.body["version"]:
                run.add_violation(f"{restarted.name} started with version {restarted.configuration_version()}")
    run.deployment.restore_platform()

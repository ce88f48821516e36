"""Injects the faults of a soak on several threads at once: signals to VMs, disrupted connections, and store and worker faults."""

import json
import signal
import threading
import time

from fleetsoak import proxy

# Kinds of faults that can be left out, to find the one that a violation depends on.
FURTHER_KINDS = ("machines", "lingering", "answers", "strays", "rollouts", "heartbeats", "former_calls", "zone_drains")


class FaultInjector:
    """Injects random faults until stop(), which also removes every fault. Use as a context manager."""

    def __init__(self, fleet, rng, thread_count, without=(), overlapping_workers=False):
        """@p without names kinds of FURTHER_KINDS to leave out. With @p overlapping_workers, a worker may start on the machine of one that still runs."""
        self._fleet = fleet
        self._rng = rng
        self._stop = threading.Event()
        self._lock = threading.Lock()  # Guards _reserved_vms.
        self._reserved_vms = set()  # The VMs with an active fault of their own; at least one VM never has any. Cuts of a zone don't count.
        self.log = []  # (monotonic time in seconds, text)
        self.violations = []
        self.zone_drains = []  # (zone number, monotonic times in seconds at which the store had the request and at which its end was asked for)
        fault_functions = (
            self._kill_vm, self._terminate_vm, self._pause_vm, self._disrupt_store_connections, self._inject_store_fault, self._inject_worker_fault,
            self._disrupt_worker_connections, self._restart_random_worker
        )  # fmt: skip
        fault_functions += (self._drain_random_worker, self._reload_vm, self._change_configuration)
        # Peer faults have a thread of their own and draw nothing from rng, so that the seeds in REGRESSIONS still give the same faults.
        thread_arguments = [(f"{rng.random()}", fault_functions) for _ in range(thread_count)]
        thread_arguments.append((f"{thread_arguments[0][0]}-peers", (self._disrupt_peer_connections,)))
        if fleet.zones > 1:
            # Zone faults and long pauses have threads of their own for the same reason. Two threads let pauses overlap.
            zone_faults = (
                self._cut_zone, self._cut_zone_from_store, self._cut_off_workers, self._cut_off_workers_then_owner_zone,
                self._cut_off_workers_then_owner_zone, self._cut_off_workers_then_owner_zone, self._change_owner_twice
            )  # fmt: skip
            thread_arguments.append((f"{thread_arguments[0][0]}-zones", zone_faults))
            thread_arguments += [(f"{thread_arguments[0][0]}-pauses-{index}", (self._pause_vm_long,)) for index in range(2)]
        further_kinds = {
            "machines": (self._crash_and_replace_worker, self._linger_after_drain),
            "lingering": (self._linger_after_drain,),  # A second thread, because a drain takes up to 18 s.
            "answers": (self._delay_answers, self._stall_workers),
            "strays": (self._write_stray_entry,),
            "rollouts": (self._roll_out_vms, self._kill_owner_twice),
            "heartbeats": (lambda _: self._fleet.write_heartbeats(),),
            "former_calls": (self._restart_workers_with_late_calls,),
            "zone_drains": (self._drain_zone,),
        }
        # As above, each kind has a thread and a generator of its own.
        first_seed = thread_arguments[0][0]
        thread_arguments += [(f"{first_seed}-{kind}", functions) for kind, functions in further_kinds.items() if kind not in without]
        if overlapping_workers:
            thread_arguments += [(f"{first_seed}-overlapping-{index}", (self._replace_running_worker,)) for index in range(2)]
        self._threads = [threading.Thread(target=self._inject_until_stopped, args=arguments, daemon=True) for arguments in thread_arguments]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.stop()

    def stop(self):
        self._stop.set()
        for thread in self._threads:
            thread.join(60)
        self._fleet.call_control("/store-faults", fault="none")
        for index, worker in enumerate(self._fleet.worker_proxies):
            worker.set_mode(proxy.PASS)
            self._fleet.call_worker("/worker-faults", index, fault="none")
        self._set_modes(self._fleet.zone_paths, proxy.PASS)
        for vm in self._fleet.vms:
            vm.store_proxy.set_mode(proxy.PASS)
            vm.peer_proxy.set_mode(proxy.PASS)
            if not vm.process.running():
                self.violations.append(f"{vm.name} exited unexpectedly; see its log")

    def _inject_until_stopped(self, seed, fault_functions):
        rng = type(self._rng)(seed)
        while not self._stop.wait(rng.uniform(0.1, 1.2)):
            rng.choice(fault_functions)(rng)

    def _log_fault(self, text):
        self.log.append((time.monotonic(), text))

    def _wait_unless_stopping(self, seconds):
        self._stop.wait(seconds)

    def _reserve_vm(self, rng, wanted=None):
        with self._lock:
            unreserved = [vm for vm in self._fleet.vms if vm not in self._reserved_vms]
            if len(unreserved) < 2 or wanted in self._reserved_vms:
                return None
            vm = wanted or rng.choice(unreserved)
            if not vm.process.running():
                self.violations.append(f"{vm.name} exited unexpectedly; see its log")
                vm.start()
                return None
            self._reserved_vms.add(vm)
            return vm

    def _run_on_reserved_vm(self, rng, action, wanted=None):
        vm = self._reserve_vm(rng, wanted)
        if vm is None:
            return
        try:
            action(vm)
        finally:
            with self._lock:
                self._reserved_vms.discard(vm)

    def _kill_vm(self, rng):
        def action(vm):
            self._log_fault(f"{vm.name} killed")
            vm.process.kill()
            self._wait_unless_stopping(rng.uniform(0.1, 2.5))
            vm.start()

        self._run_on_reserved_vm(rng, action)

    def _terminate_vm(self, rng):
        self._run_on_reserved_vm(rng, self._terminate_and_restart)

    def _terminate_and_restart(self, vm):
        self._log_fault(f"{vm.name} terminated")
        code = vm.process.terminate(8)
        if code != 0:
            self.violations.append(f"{vm.name} exited with code {code} after SIGTERM instead of 0 within 8 s")
            vm.process.kill()
        vm.start()

    def _pause_vm(self, rng, shortest_s=0.3, longest_s=4.0):
        def action(vm):
            self._log_fault(f"{vm.name} paused")
            vm.process.pause()
            self._wait_unless_stopping(rng.uniform(shortest_s, longest_s))
            vm.process.resume()
            self._log_fault(f"{vm.name} resumed")

        self._run_on_reserved_vm(rng, action)

    def _pause_vm_long(self, rng):
        self._wait_unless_stopping(rng.uniform(0.0, 15.0))
        self._pause_vm(rng, 2.0, 15.0)

    def _reload_vm(self, rng):
        def action(vm):
            self._log_fault(f"{vm.name} reloading")
            vm.process.signal(signal.SIGHUP)

        self._run_on_reserved_vm(rng, action)

    def _disrupt_connections(self, rng, select_proxy, name):
        def action(vm):
            mode = rng.choice((proxy.DELAY, proxy.RESET, proxy.SILENT, proxy.ONE_WAY))
            self._log_fault(f"{vm.name} {name} {mode}")
            select_proxy(vm).set_mode(mode)
            self._wait_unless_stopping(rng.uniform(0.5, 4.0))
            select_proxy(vm).set_mode(proxy.PASS)
            self._log_fault(f"{vm.name} {name} restored")

        self._run_on_reserved_vm(rng, action)

    def _disrupt_store_connections(self, rng):
        self._disrupt_connections(rng, lambda vm: vm.store_proxy, "store")

    def _disrupt_peer_connections(self, rng):
        self._disrupt_connections(rng, lambda vm: vm.peer_proxy, "peers")

    def _inject_store_fault(self, rng):
        fault = rng.choice(("refused", "answer_lost", "late", "history_lost"))
        probability = 1.0 if fault in ("refused", "history_lost") else 0.3
        self._log_fault(f"store {fault}")
        self._fleet.call_control("/store-faults", fault=fault, share=probability)
        self._wait_unless_stopping(rng.uniform(0.3, 3.0))
        self._fleet.call_control("/store-faults", fault="none")
        self._log_fault("store restored")

    def _random_worker(self, rng):
        return rng.randrange(len(self._fleet.worker_proxies))

    def _inject_worker_fault(self, rng):
        worker = self._random_worker(rng)
        fault = rng.choice(("answer_lost", "late", "unreachable"))
        self._log_fault(f"w{worker} {fault}")
        self._fleet.call_worker("/worker-faults", worker, fault=fault, share=rng.choice((0.3, 1.0)))
        self._wait_unless_stopping(rng.uniform(0.5, 3.0))
        self._fleet.call_worker("/worker-faults", worker, fault="none")

    def _disrupt_worker_connections(self, rng):
        worker = self._random_worker(rng)
        mode = rng.choice((proxy.DELAY, proxy.RESET, proxy.SILENT, proxy.ONE_WAY))
        self._log_fault(f"w{worker} {mode}")
        self._fleet.worker_proxies[worker].set_mode(mode)
        self._wait_unless_stopping(rng.uniform(0.5, 5.0))
        self._fleet.worker_proxies[worker].set_mode(proxy.PASS)

    def _restart_random_worker(self, rng):
        worker = self._random_worker(rng)
        self._log_fault(f"w{worker} restarted")
        self._fleet.restart_worker(worker)
        self._wait_unless_stopping(rng.uniform(0.0, 1.0))
        self._fleet.publish_worker(worker)

    def _drain_random_worker(self, rng):
        worker = self._random_worker(rng)
        self._log_fault(f"w{worker} draining")
        self._fleet.publish_worker(worker, "draining")
        self._wait_unless_stopping(rng.uniform(1.0, 3.0))
        self._fleet.restart_worker(worker)
        self._fleet.publish_worker(worker)

    def _change_configuration(self, _rng):
        self._fleet.change_configuration()
        self._log_fault(f"configuration {self._fleet.version}")

    @staticmethod
    def _set_modes(paths, mode):
        for path in paths:
            path.set_mode(mode)

    def _cut(self, rng, name, paths, reopened=(), reopen_after_s=0.0):
        """Cuts paths for 2 to 6 s, and opens others after a part of this time."""
        mode = rng.choice((proxy.RESET, proxy.SILENT))
        self._log_fault(f"{name} cut {mode}")
        self._set_modes(paths, mode)
        self._wait_unless_stopping(reopen_after_s)
        self._set_modes(reopened, proxy.PASS)
        self._wait_unless_stopping(rng.uniform(2.0, 6.0) - reopen_after_s)
        self._set_modes(paths, proxy.PASS)
        self._log_fault(f"{name} restored")

    def _cut_zone(self, rng):
        zone = rng.randrange(self._fleet.zones)
        self._cut(rng, f"zone {zone}", self._fleet.paths_across(zone))

    def _cut_zone_from_store(self, rng):
        zone = rng.randrange(self._fleet.zones)
        self._cut(rng, f"store of zone {zone}", [self._fleet.store_paths[zone]])

    def _cut_workers(self, rng, workers):
        mode = rng.choice((proxy.RESET, proxy.SILENT))
        for worker in workers:
            self._log_fault(f"w{worker} cut from every VM {mode}")
            self._set_modes(self._fleet.paths_of_worker(worker), mode)

    def _cut_off_workers(self, rng):
        workers = rng.sample(range(len(self._fleet.worker_proxies)), rng.randint(1, 3))
        without_entry = rng.random() < 0.5
        self._cut_workers(rng, workers)
        for worker in workers if without_entry else ():
            self._fleet.remove_entry(self._fleet.worker_name(worker))
        self._wait_unless_stopping(rng.uniform(1.0, 4.0))
        for worker in workers:
            self._set_modes(self._fleet.paths_of_worker(worker), proxy.PASS)
            if without_entry:
                self._fleet.publish_worker(worker)
            self._log_fault(f"w{worker} back")

    def _cut_off_workers_then_owner_zone(self, rng):
        """A successor renews the leases of runs that the former owner, which is cut off from their workers as well, still counts."""

        def action(owner):
            others = [worker for worker in range(len(self._fleet.worker_proxies)) if self._fleet.worker_zone(worker) != owner.zone]
            workers = rng.sample(others, rng.randint(1, len(others)))
            self._cut_workers(rng, workers)
            self._wait_unless_stopping(rng.uniform(0.8, 2.5))
            # The workers come back before the leases of 3 s that were renewed last before the cut have ended.
            cut_paths = self._fleet.paths_across(owner.zone)
            reopened = [path for worker in workers for path in self._fleet.paths_of_worker(worker) if path not in cut_paths]
            self._cut(rng, f"zone {owner.zone} of the owner {owner.name}", cut_paths, reopened, rng.uniform(0.0, 0.4))

        owner = self._fleet.owner()
        if owner is not None:
            self._run_on_reserved_vm(rng, action, owner)

    def _change_owner_twice(self, rng):
        """Cuts the owner's zone from the store until a VM of the other zone owns the fleet, then does the same with that zone."""
        for _ in range(2):
            owner = self._fleet.owner()
            if owner is None:
                return
            path = self._fleet.store_paths[owner.zone]
            self._log_fault(f"zone {owner.zone} of the owner {owner.name} cut from the store")
            path.set_mode(rng.choice((proxy.RESET, proxy.SILENT)))
            deadline = time.monotonic() + 4.0
            while time.monotonic() < deadline and not self._stop.is_set() and self._fleet.owner() in (None, owner):
                self._wait_unless_stopping(0.05)
            path.set_mode(proxy.PASS)
            self._log_fault(f"zone {owner.zone} has the store again")

    def _crash_and_replace_worker(self, rng):
        """The entry of the crashed worker outlasts it; the entry of its successor may appear before the store removes the former one."""
        worker = self._random_worker(rng)
        with self._fleet.machine_lock(worker):
            name = self._fleet.worker_name(worker)
            same_address = rng.random() < 0.5
            self._log_fault(f"{name} crashes; its machine gets another worker at {'the same' if same_address else 'another'} address")
            self._fleet.end_worker(self._fleet.worker_numbers[worker], self._fleet.worker_proxies[worker])
            removed_first = rng.random() < 0.5
            self._wait_unless_stopping(rng.uniform(0.0, 2.0))
            if removed_first:
                self._fleet.remove_entry(name)
                self._wait_unless_stopping(rng.uniform(0.0, 0.5))
            self._fleet.replace_worker(worker, same_address)
        self._fleet.publish_worker(worker)
        self._log_fault(f"{name} is followed by {self._fleet.worker_name(worker)}")
        self._wait_unless_stopping(rng.uniform(0.0, 2.0))
        self._fleet.remove_entry(name)
        self._wait_unless_stopping(rng.uniform(0.0, 3.0))

    def _linger_after_drain(self, rng):
        """A worker that has drained runs on for 3 to 12 s without an entry, and answers all calls or only some of them."""
        self._drain_with_successor(rng, overlapping=False)

    def _replace_running_worker(self, rng):
        """As _linger_after_drain(), but the worker runs on while its successor starts. The protocol does not plainly allow this."""
        self._drain_with_successor(rng, overlapping=True)

    def _drain_with_successor(self, rng, overlapping):
        worker = self._random_worker(rng)
        with self._fleet.machine_lock(worker):
            name, number, path = self._fleet.worker_name(worker), self._fleet.worker_numbers[worker], self._fleet.worker_proxies[worker]
            drain_s = rng.uniform(3.0, 8.0) if overlapping else rng.uniform(1.0, 3.0)
            self._fleet.begin_drain(worker, round(drain_s * 1000))
        self._log_fault(f"{name} draining for {drain_s:.1f} s")
        # Tasks are stopped shortly before the announced time is over, so the successor starts well before.
        self._wait_unless_stopping(rng.uniform(0.2, 2.5) if overlapping else drain_s)
        if overlapping:
            self._start_successor(worker, name, same_address=False)
        else:
            self._fleet.remove_draining_entry(worker, name)
        fault = rng.choice(("none", "unreachable", "answer_lost", "answer_delayed"))
        linger_s = rng.uniform(3.0, 12.0)
        self._log_fault(f"{name} lingers for {linger_s:.1f} s, {fault}")
        self._fleet.call_control("/worker-faults", worker=number, fault=fault, share=rng.uniform(0.3, 0.8))
        self._wait_unless_stopping(linger_s)
        self._fleet.call_control("/worker-faults", worker=number, fault="none")
        with self._fleet.machine_lock(worker):
            if overlapping:
                self._fleet.remove_entry(name)
            if overlapping or self._fleet.worker_name(worker) == name:
                self._log_fault(f"{name} exits")
                self._fleet.end_worker(number, path)
            self._wait_unless_stopping(rng.uniform(0.0, 1.0))
            if not overlapping:
                self._start_successor(worker, name, same_address=rng.random() < 0.5)
        self._fleet.remove_entry(name)  # The worker may have restarted, and so published its entry again, while it was draining.

    def _start_successor(self, worker, name, same_address):
        with self._fleet.machine_lock(worker):
            if self._fleet.worker_name(worker) == name:
                self._fleet.replace_worker(worker, same_address)
                self._fleet.publish_worker(worker)
                self._log_fault(f"{name} is followed by {self._fleet.worker_name(worker)}")

    def _delay_answers(self, rng):
        """Answers overtake each other, or calls are executed seconds late."""
        workers = rng.sample(range(len(self._fleet.worker_proxies)), rng.randint(1, 4))
        fault, share = rng.choice((("answer_delayed", 0.5), ("answer_delayed", 0.9), ("seconds_late", 0.2)))
        for worker in workers:
            self._log_fault(f"{self._fleet.worker_name(worker)} {fault}")
            self._fleet.call_worker("/worker-faults", worker, fault=fault, share=share)
        self._wait_unless_stopping(rng.uniform(1.0, 4.0))
        for worker in workers:
            self._fleet.call_worker("/worker-faults", worker, fault="none")

    def _restart_workers_with_late_calls(self, rng):
        """Workers leave calls unanswered, which are executed seconds late. Some restart meanwhile, and some of these are cut off for longer than a lease."""
        workers = rng.sample(range(len(self._fleet.worker_proxies)), rng.randint(2, 4))
        share = rng.uniform(0.1, 0.4)
        for worker in workers:
            self._log_fault(f"{self._fleet.worker_name(worker)} leaves {share:.2f} of its calls unanswered")
            self._fleet.call_worker("/worker-faults", worker, fault="seconds_late", share=share)
        self._wait_unless_stopping(rng.uniform(1.0, 3.0))
        restarted = [worker for worker in workers if rng.random() < 0.7]
        for worker in restarted:
            self._log_fault(f"{self._fleet.worker_name(worker)} restarted with late calls")
            self._fleet.restart_worker(worker)
            self._fleet.call_worker("/worker-faults", worker, fault="none")
        self._wait_unless_stopping(rng.uniform(0.0, 0.6))
        for worker in restarted:
            self._fleet.publish_worker(worker)
        self._wait_unless_stopping(rng.uniform(0.3, 1.5))
        cut_off = [worker for worker in restarted if rng.random() < 0.7]
        for worker in cut_off:
            self._log_fault(f"{self._fleet.worker_name(worker)} silent after its restart")
            self._fleet.worker_proxies[worker].set_mode(proxy.SILENT)
        for worker in workers:
            self._fleet.call_worker("/worker-faults", worker, fault="none")
        self._wait_unless_stopping(rng.uniform(3.0, 7.0))
        for worker in cut_off:
            self._fleet.worker_proxies[worker].set_mode(proxy.PASS)

    def _drain_zone(self, rng):
        """Drains a zone, mostly for longer than the bound, and pauses before the next one, because nothing starts there meanwhile."""
        self._wait_unless_stopping(rng.uniform(2.0, 6.0))
        zone = rng.randrange(self._fleet.zones)
        self._fleet.set_zone_drain(zone, True)
        requested_at = time.monotonic()
        self._log_fault(f"zone {zone} drained")
        self._wait_unless_stopping(rng.uniform(1.0, 6.0))
        self.zone_drains.append((zone, requested_at, time.monotonic()))
        self._fleet.set_zone_drain(zone, False)
        self._log_fault(f"drain of zone {zone} ended")

    def _stall_workers(self, rng):
        """The processes accept connections but read nothing for a while, and then answer everything at once."""
        numbers = [self._fleet.worker_numbers[worker] for worker in rng.sample(range(len(self._fleet.worker_proxies)), rng.randint(1, 3))]
        stall_s = rng.uniform(0.5, 2.0)
        for number in numbers:
            self._log_fault(f"w{number} stalls for {stall_s:.1f} s")
            self._fleet.call_control("/stall-worker", worker=number, stalled=True)
        self._wait_unless_stopping(stall_s)
        for number in numbers:
            self._fleet.call_control("/stall-worker", worker=number, stalled=False)

    def _write_stray_entry(self, rng):
        """An entry of another writer, which names no worker to use: the machine and address of a worker, a later start, and a fault in one field."""
        worker = self._random_worker(rng)
        entry = self._fleet.worker_entry(worker)
        entry["born"] += rng.randint(1, 1000)
        kind = rng.choice(("unknown service", "unknown state", "missing field", "wrong type", "unreadable"))
        field = rng.choice(sorted(set(entry) - {"seq", "clockMs", "labels"}))
        if kind == "unknown service":
            entry["service"] = "stray"
        elif kind == "unknown state":
            entry["state"] = "stray"
        elif kind == "missing field":
            del entry[field]
        elif kind == "wrong type":
            entry[field] = [entry[field]]
        value = json.dumps(entry)
        name = f"stray{rng.getrandbits(32)}"
        self._log_fault(f"{name} with the machine of {self._fleet.worker_name(worker)}: {kind}{f' {field}' if kind in ('missing field', 'wrong type') else ''}")
        self._fleet.call_control("/put", key=f"servers/{name}", value=value[: len(value) // 2] if kind == "unreadable" else value)
        self._wait_unless_stopping(rng.uniform(0.5, 4.0))
        self._fleet.remove_entry(name)

    def _roll_out_vms(self, rng):
        """Restarts one VM after the other by SIGTERM, and waits until each is ready."""
        self._wait_unless_stopping(rng.uniform(0.0, 10.0))
        for vm in self._fleet.vms:
            if self._stop.is_set():
                return
            self._run_on_reserved_vm(rng, self._terminate_and_restart, vm)
            deadline = time.monotonic() + 5.0
            while time.monotonic() < deadline and not self._stop.is_set() and not vm.ready():
                self._wait_unless_stopping(0.1)

    def _kill_owner_twice(self, rng):
        """Kills two owners in a row, the second one within 30 s."""

        def action(owner):
            self._log_fault(f"the owner {owner.name} killed")
            owner.process.kill()
            self._wait_unless_stopping(rng.uniform(0.1, 3.0))
            owner.start()

        self._wait_unless_stopping(rng.uniform(0.0, 10.0))
        for pause_s in (rng.uniform(0.5, 12.0), 0.0):
            owner = self._fleet.owner()
            if owner is not None:
                self._run_on_reserved_vm(rng, action, owner)
            self._wait_unless_stopping(pause_s)

"""Injects the faults of a soak on several threads at once: signals to VMs, disrupted connections, and store and worker faults."""

import signal
import threading
import time

from fleetsoak import proxy


class FaultInjector:
    """Injects random faults until stop(), which also removes every fault. Use as a context manager."""

    def __init__(self, fleet, rng, thread_count=2):
        self._fleet = fleet
        self._rng = rng
        self._stop = threading.Event()
        self._lock = threading.Lock()  # Guards _reserved_vms.
        self._reserved_vms = set()  # The VMs with an active fault; at least one VM never has any.
        self.log = []  # (monotonic time in seconds, text)
        self.violations = []
        fault_functions = (
            self._kill_vm, self._terminate_vm, self._pause_vm, self._disrupt_store_connections, self._inject_store_fault, self._inject_worker_fault,
            self._disrupt_worker_connections, self._restart_random_worker
        )  # fmt: skip
        fault_functions += (self._drain_random_worker, self._reload_vm, self._change_configuration)
        # Peer faults have a thread of their own and draw nothing from rng, so that the seeds in REGRESSIONS still give the same faults.
        thread_arguments = [(f"{rng.random()}", fault_functions) for _ in range(thread_count)]
        thread_arguments.append((f"{thread_arguments[0][0]}-peers", (self._disrupt_peer_connections,)))
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
            self._fleet.call_control("/worker-faults", worker=index, fault="none")
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

    def _reserve_vm(self, rng):
        with self._lock:
            unreserved = [vm for vm in self._fleet.vms if vm not in self._reserved_vms]
            if len(unreserved) < 2:
                return None
            vm = rng.choice(unreserved)
            if not vm.process.running():
                self.violations.append(f"{vm.name} exited unexpectedly; see its log")
                vm.start()
                return None
            self._reserved_vms.add(vm)
            return vm

    def _run_on_reserved_vm(self, rng, action):
        vm = self._reserve_vm(rng)
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
        def action(vm):
            self._log_fault(f"{vm.name} terminated")
            code = vm.process.terminate(8)
            if code != 0:
                self.violations.append(f"{vm.name} exited with code {code} after SIGTERM instead of 0 within 8 s")
                vm.process.kill()
            vm.start()

        self._run_on_reserved_vm(rng, action)

    def _pause_vm(self, rng):
        def action(vm):
            self._log_fault(f"{vm.name} paused")
            vm.process.pause()
            self._wait_unless_stopping(rng.uniform(0.3, 4.0))
            vm.process.resume()
            self._log_fault(f"{vm.name} resumed")

        self._run_on_reserved_vm(rng, action)

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
        self._fleet.call_control("/worker-faults", worker=worker, fault=fault, share=rng.choice((0.3, 1.0)))
        self._wait_unless_stopping(rng.uniform(0.5, 3.0))
        self._fleet.call_control("/worker-faults", worker=worker, fault="none")

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

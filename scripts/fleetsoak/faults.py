"""The faults of a soak, in series that overlap: signals to VMs, proxies, the store and the workers."""

import signal
import threading
import time

from fleetsoak import proxy


class Faults:
    """Injects faults until stop(), then mends everything. Use as a context."""

    def __init__(self, fleet, rng, series=2):
        self._fleet = fleet
        self._rng = rng
        self._stop = threading.Event()
        self._lock = threading.Lock()  # Guards the choice of VMs, so that one is always left alone.
        self._busy = set()
        self.log = []  # (time, text)
        self.violations = []
        kinds = (self._kill, self._terminate, self._pause, self._cut_store, self._harm_store, self._harm_worker, self._cut_worker, self._restart_worker)
        kinds += (self._drain_worker, self._reload, self._configure)
        # Cuts between VMs are a series of their own without a draw from rng, so that the seeds of REGRESSIONS do what they did.
        plans = [(f"{rng.random()}", kinds) for _ in range(series)]
        plans.append((f"{plans[0][0]}-peers", (self._cut_peers,)))
        self._threads = [threading.Thread(target=self._run, args=plan, daemon=True) for plan in plans]

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
        self._fleet.control("/store-faults", fault="none")
        for index, worker in enumerate(self._fleet.worker_proxies):
            worker.set(proxy.PASS)
            self._fleet.control("/worker-faults", worker=index, fault="none")
        for vm in self._fleet.vms:
            vm.store.set(proxy.PASS)
            vm.peers.set(proxy.PASS)
            if not vm.process.running():
                self.violations.append(f"{vm.name} ended by itself; see its log")

    def _run(self, seed, kinds):
        rng = type(self._rng)(seed)
        while not self._stop.wait(rng.uniform(0.1, 1.2)):
            rng.choice(kinds)(rng)

    def _note(self, text):
        self.log.append((time.monotonic(), text))

    def _wait(self, seconds):
        self._stop.wait(seconds)

    def _take_vm(self, rng):
        with self._lock:
            free = [vm for vm in self._fleet.vms if vm not in self._busy]
            if len(free) < 2:
                return None
            vm = rng.choice(free)
            if not vm.process.running():
                self.violations.append(f"{vm.name} ended by itself; see its log")
                vm.start()
                return None
            self._busy.add(vm)
            return vm

    def _with_vm(self, rng, action):
        vm = self._take_vm(rng)
        if vm is None:
            return
        try:
            action(vm)
        finally:
            with self._lock:
                self._busy.discard(vm)

    def _kill(self, rng):
        def action(vm):
            self._note(f"{vm.name} killed")
            vm.process.kill()
            self._wait(rng.uniform(0.1, 2.5))
            vm.start()

        self._with_vm(rng, action)

    def _terminate(self, rng):
        def action(vm):
            self._note(f"{vm.name} terminated")
            code = vm.process.terminate(8)
            if code != 0:
                self.violations.append(f"{vm.name} ended with {code} after SIGTERM instead of 0 within 8 s")
                vm.process.kill()
            vm.start()

        self._with_vm(rng, action)

    def _pause(self, rng):
        def action(vm):
            self._note(f"{vm.name} paused")
            vm.process.pause()
            self._wait(rng.uniform(0.3, 4.0))
            vm.process.resume()
            self._note(f"{vm.name} resumed")

        self._with_vm(rng, action)

    def _reload(self, rng):
        def action(vm):
            self._note(f"{vm.name} reloads")
            vm.process.signal(signal.SIGHUP)

        self._with_vm(rng, action)

    def _cut(self, rng, choose, name):
        def action(vm):
            mode = rng.choice((proxy.DELAY, proxy.RESET, proxy.SILENT, proxy.ONE_WAY))
            self._note(f"{vm.name} {name} {mode}")
            choose(vm).set(mode)
            self._wait(rng.uniform(0.5, 4.0))
            choose(vm).set(proxy.PASS)
            self._note(f"{vm.name} {name} mended")

        self._with_vm(rng, action)

    def _cut_store(self, rng):
        self._cut(rng, lambda vm: vm.store, "store")

    def _cut_peers(self, rng):
        self._cut(rng, lambda vm: vm.peers, "peers")

    def _harm_store(self, rng):
        fault = rng.choice(("refused", "answer_lost", "late", "history_lost"))
        share = 1.0 if fault in ("refused", "history_lost") else 0.3
        self._note(f"store {fault}")
        self._fleet.control("/store-faults", fault=fault, share=share)
        self._wait(rng.uniform(0.3, 3.0))
        self._fleet.control("/store-faults", fault="none")
        self._note("store mended")

    def _worker(self, rng):
        return rng.randrange(len(self._fleet.worker_proxies))

    def _harm_worker(self, rng):
        worker = self._worker(rng)
        fault = rng.choice(("answer_lost", "late", "unreachable"))
        self._note(f"w{worker} {fault}")
        self._fleet.control("/worker-faults", worker=worker, fault=fault, share=rng.choice((0.3, 1.0)))
        self._wait(rng.uniform(0.5, 3.0))
        self._fleet.control("/worker-faults", worker=worker, fault="none")

    def _cut_worker(self, rng):
        worker = self._worker(rng)
        mode = rng.choice((proxy.DELAY, proxy.RESET, proxy.SILENT, proxy.ONE_WAY))
        self._note(f"w{worker} {mode}")
        self._fleet.worker_proxies[worker].set(mode)
        self._wait(rng.uniform(0.5, 5.0))
        self._fleet.worker_proxies[worker].set(proxy.PASS)

    def _restart_worker(self, rng):
        worker = self._worker(rng)
        self._note(f"w{worker} restarted")
        self._fleet.restart_worker(worker)
        self._wait(rng.uniform(0.0, 1.0))
        self._fleet.publish_worker(worker)

    def _drain_worker(self, rng):
        worker = self._worker(rng)
        self._note(f"w{worker} draining")
        self._fleet.publish_worker(worker, "draining")
        self._wait(rng.uniform(1.0, 3.0))
        self._fleet.restart_worker(worker)
        self._fleet.publish_worker(worker)

    def _configure(self, _rng):
        self._fleet.change_configuration()
        self._note(f"configuration {self._fleet.version}")

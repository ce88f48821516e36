"""The processes of a soak: the fleet's stand-in and entry VMs, each with a proxy before the store and one before its own port for peers."""

import json
import random

import harness
from fleetsoak.proxy import PASS, RESET, Proxy

LEASE_MS = 3000  # Of tasks, so that a soak of a minute sees many of them lapse.
KEY = "soak-key"
HOST_NAME = "soak.example"
# Name, path, priority, attempts. The attempts are many because stand-in workers lose lives that count as failed for no job.
QUEUES = (("urgent", "/urgent/", 0), ("normal", "/normal/", 1), ("background", "/background/", 2))
ATTEMPTS = 4


def configuration(version):
    routes = [
        {"name": name, "host": HOST_NAME, "prefix": prefix, "service": "pool", "priority": priority, "attempts": ATTEMPTS, "slackFactor": 2.0, "latencyGoalMs": 1000}
        for name, prefix, priority in QUEUES
    ]
    tenants = [{"name": "org", "keys": [KEY, f"key-{version}"], "guaranteed": {"gpu": 32}}]
    return {"version": version, "routes": routes, "services": [{"name": "pool", "enforceCapacity": True}], "limits": {}, "tenants": tenants}


class SoakVm:
    """One entry VM, which can be started again."""

    def __init__(self, fleet, number):
        ports = fleet.processes.ports
        self.name = f"vm-{number}"
        self.front_port, self.ready_port, self.metrics_port, self.peer_port = (ports.allocate() for _ in range(4))
        self.store = Proxy(fleet.proxy_loop, ports.allocate(), fleet.addresses["store"])
        self.peers = Proxy(fleet.proxy_loop, ports.allocate(), f"{harness.HOST}:{self.peer_port}")
        self.process = None
        self.starts = 0
        self._fleet = fleet

    def start(self):
        path = self._fleet.processes.write(
            f"{self.name}.json",
            {
                "vm": self.name,
                "zone": "zone-a",
                "frontAddress": f"{harness.HOST}:{self.front_port}",
                "readinessAddress": f"{harness.HOST}:{self.ready_port}",
                "peerAddress": self.peers.address,
                "peerListenAddress": f"{harness.HOST}:{self.peer_port}",
                "metricsAddress": f"{harness.HOST}:{self.metrics_port}",
                "storeAddress": self.store.address,
                "taskLeaseMs": LEASE_MS,
                "shutdownBoundS": 6,
            },
        )
        self.starts += 1
        name = f"{self.name}-start-{self.starts}"
        self.process = self._fleet.processes.start(name, [harness.binary_path("primrosebridged")], {"PRIMROSEBRIDGE_CONFIG": str(path)})

    def ready(self):
        answer = harness.try_call(self.ready_port, "GET", "/readyz", timeout=1.0)
        return answer is not None and answer.status == 200


class SoakFleet:
    """Everything of one soak but its load. Ends with the processes that were passed in."""

    def __init__(self, processes, proxy_loop, seed, vms, workers):
        self.processes = processes
        self.proxy_loop = proxy_loop
        self.standin = processes.start(
            "standin", [harness.binary_path("primrosebridge-fleet-standin"), f"--workers={workers}", f"--lease_ms={LEASE_MS}", f"--seed={seed}", "--run_ms=900"]
        )
        harness.wait_until(lambda: self.standin.log().endswith("\n"), 10, "the stand-in starts")
        self.addresses = json.loads(self.standin.log())
        self._control_port = int(self.addresses["control"].rsplit(":", 1)[1])
        self.worker_proxies = [Proxy(proxy_loop, processes.ports.allocate(), address) for address in self.addresses["workers"]]
        self.version = 0
        self.change_configuration()
        for worker in range(workers):
            self.publish_worker(worker)
        self.vms = [SoakVm(self, number) for number in range(vms)]
        for vm in self.vms:
            vm.start()
        harness.wait_until(lambda: all(vm.ready() for vm in self.vms), 20, "every VM is ready")

    def control(self, path, **body):
        answer = harness.call(self._control_port, "POST", path, body)
        if answer.status != 200:
            raise harness.HarnessError(f"the stand-in refused {path}: {answer.text}")
        return answer.body

    def change_configuration(self):
        self.version += 1 + random.Random(self.version).randrange(5)  # Versions rise in uneven steps.
        self.control("/put", key="op/config", value=json.dumps(configuration(self.version)))

    def publish_worker(self, worker, state="ready"):
        entry = self.control("/entry", worker=worker, state=state)
        entry["addr"] = self.worker_proxies[worker].address
        self.control("/put", key=f"servers/w{worker}", value=json.dumps(entry))

    def restart_worker(self, worker):
        """Starts a new life of the worker. Its connections end, so that calls which are still on their way never arrive."""
        self.worker_proxies[worker].set(RESET)
        self.control("/restart-worker", worker=worker)
        self.worker_proxies[worker].set(PASS)

    def books(self):
        return self.control("/books")

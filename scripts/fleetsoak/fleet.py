"""The processes of a soak: a stand-in for the platform, and entry VMs. Each VM has a proxy in front of the store and one in front of its peer port."""

import json
import random

import harness
from fleetsoak.proxy import PASS, RESET, Proxy

LEASE_MS = 3000  # Task lease; short, so that many leases expire in a soak of one minute.
KEY = "soak-key"
HOST_NAME = "soak.example"
# (name, path prefix, priority) of each queue.
QUEUES = (("urgent", "/urgent/", 0), ("normal", "/normal/", 1), ("background", "/background/", 2))
MAX_ATTEMPTS = 4  # Restarted workers lose runs, and each lost run uses up an attempt although the job has not failed.


def make_configuration(version):
    routes = [
        {
            "name": name, "host": HOST_NAME, "prefix": prefix, "service": "pool", "priority": priority, "attempts": MAX_ATTEMPTS,
            "slackFactor": 2.0, "latencyGoalMs": 1000
        }  # fmt: skip
        for name, prefix, priority in QUEUES
    ]
    tenants = [{"name": "org", "keys": [KEY, f"key-{version}"], "guaranteed": {"gpu": 32}}]
    return {"version": version, "routes": routes, "services": [{"name": "pool", "enforceCapacity": True}], "limits": {}, "tenants": tenants}


class SoakVm:
    """An entry VM, which can be started again after its process has ended."""

    def __init__(self, fleet, number):
        ports = fleet.processes.ports
        self.name = f"vm-{number}"
        self.front_port, self.ready_port, self.metrics_port, self.peer_port = (ports.allocate() for _ in range(4))
        self.store_proxy = Proxy(fleet.proxy_loop, ports.allocate(), fleet.addresses["store"])
        self.peer_proxy = Proxy(fleet.proxy_loop, ports.allocate(), f"{harness.HOST}:{self.peer_port}")
        self.process = None
        self.start_count = 0
        self._fleet = fleet

    def start(self):
        path = self._fleet.processes.write(
            f"{self.name}.json",
            {
                "vm": self.name,
                "zone": "zone-a",
                "frontAddress": f"{harness.HOST}:{self.front_port}",
                "readinessAddress": f"{harness.HOST}:{self.ready_port}",
                "peerAddress": self.peer_proxy.address,
                "peerListenAddress": f"{harness.HOST}:{self.peer_port}",
                "metricsAddress": f"{harness.HOST}:{self.metrics_port}",
                "storeAddress": self.store_proxy.address,
                "taskLeaseMs": LEASE_MS,
                "shutdownBoundS": 6,
            },
        )
        self.start_count += 1
        name = f"{self.name}-start-{self.start_count}"
        self.process = self._fleet.processes.start(name, [harness.binary_path("primrosebridged")], {"PRIMROSEBRIDGE_CONFIG": str(path)})

    def ready(self):
        answer = harness.try_call(self.ready_port, "GET", "/readyz", timeout=1.0)
        return answer is not None and answer.status == 200


class SoakFleet:
    """All processes and proxies of one soak except the load generator. They end together with @p processes and @p proxy_loop."""

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

    def call_control(self, path, **body):
        answer = harness.call(self._control_port, "POST", path, body)
        if answer.status != 200:
            raise harness.HarnessError(f"the stand-in refused {path}: {answer.text}")
        return answer.body

    def change_configuration(self):
        self.version += 1 + random.Random(self.version).randrange(5)  # A version need not be the previous one plus 1.
        self.call_control("/put", key="op/config", value=json.dumps(make_configuration(self.version)))

    def publish_worker(self, worker, state="ready"):
        entry = self.call_control("/entry", worker=worker, state=state)
        entry["addr"] = self.worker_proxies[worker].address
        self.call_control("/put", key=f"servers/w{worker}", value=json.dumps(entry))

    def restart_worker(self, worker):
        """Simulates a restart of the worker process. Its connections are reset first, so that calls in transit never arrive."""
        self.worker_proxies[worker].set_mode(RESET)
        self.call_control("/restart-worker", worker=worker)
        self.worker_proxies[worker].set_mode(PASS)

    def run_history(self):
        return self.call_control("/books")

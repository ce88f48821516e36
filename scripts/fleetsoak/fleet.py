"""The processes of a soak: a stand-in for the platform, and entry VMs. Each VM has a proxy in front of the store and one in front of its peer port.

With several zones, further proxies carry what the VMs of one zone send to the store, to each worker, and to the VMs of the other zones.
"""

import json
import random
import threading

import harness
from fleetsoak.proxy import PASS, RESET, Proxy

LEASE_MS = 3000  # Task lease; short, so that many leases expire in a soak of one minute.
# Shorter than on the platform, so that starts after the bound are possible in a drain of a few seconds.
ZONE_DRAIN_BOUND_MS = 2500
KEY = "soak-key"
HOST_NAME = "soak.example"
# (name, path prefix, priority) of each queue.
QUEUES = (("urgent", "/urgent/", 0), ("normal", "/normal/", 1), ("background", "/background/", 2))
OWNER_KEY = "primrosebridge/control/owner"
WORKERS_PER_RACK = 4  # As in the stand-in. A rack lies in one zone.
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


def zone_name(zone):
    return f"zone-{'abcd'[zone]}"


class SoakVm:
    """An entry VM, which can be started again after its process has ended."""

    def __init__(self, fleet, number):
        ports = fleet.processes.ports
        self.zone = number % fleet.zones
        self.name = f"vm-{number}"
        self.front_port, self.ready_port, self.metrics_port, self.peer_port = (ports.allocate() for _ in range(4))
        self.store_proxy = Proxy(fleet.proxy_loop, ports.allocate(), fleet.store_addresses[self.zone])
        self.peer_proxy = Proxy(fleet.proxy_loop, ports.allocate(), f"{harness.HOST}:{self.peer_port}")
        self.process = None
        self.start_count = 0
        self._fleet = fleet

    def start(self):
        path = self._fleet.processes.write(
            f"{self.name}.json",
            {
                "vm": self.name,
                "zone": zone_name(self.zone),
                "frontAddress": f"{harness.HOST}:{self.front_port}",
                "readinessAddress": f"{harness.HOST}:{self.ready_port}",
                "peerAddress": self.peer_proxy.address,
                "peerListenAddress": f"{harness.HOST}:{self.peer_port}",
                "metricsAddress": f"{harness.HOST}:{self.metrics_port}",
                "storeAddress": self.store_proxy.address,
                "taskLeaseMs": LEASE_MS,
                "zoneDrainBoundMs": ZONE_DRAIN_BOUND_MS,
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

    def __init__(self, processes, proxy_loop, seed, vms, workers, zones=1):
        self.zones = zones
        self.processes = processes
        self.proxy_loop = proxy_loop
        flags = [f"--workers={workers}", f"--lease_ms={LEASE_MS}", f"--seed={seed}", "--run_ms=900"]
        zone_ports = f"--zone_ports={zones if zones > 1 else 0}"
        self.standin = processes.start("standin", [harness.binary_path("primrosebridge-fleet-standin"), *flags, zone_ports])
        harness.wait_until(lambda: self.standin.log().endswith("\n"), 10, "the stand-in starts")
        self.addresses = json.loads(self.standin.log())
        self._control_port = int(self.addresses["control"].rsplit(":", 1)[1])
        self.worker_proxies = [Proxy(proxy_loop, processes.ports.allocate(), address) for address in self.addresses["workers"]]
        self.store_paths = [Proxy(proxy_loop, processes.ports.allocate(), address) for address in self.addresses["zoneStores"]]
        self.zone_paths = list(self.store_paths)  # Every proxy that a cut of a zone closes.
        self.store_addresses = [path.address for path in self.store_paths] or [self.addresses["store"]]
        # From the VMs of a zone to each worker; empty in a soak with one zone.
        self.worker_paths = [[self._add_path(zone, worker.address) for worker in self.worker_proxies] for zone in range(len(self.store_paths))]
        # The present worker of each machine: its number at the stand-in. A machine keeps its rack and zone; w0 to wN are the first workers.
        self.worker_numbers = list(range(workers))
        self._zones_by_number = {number: self.worker_zone(number) for number in range(workers)}
        self._machine_locks = [threading.RLock() for _ in range(workers)]
        self._entries_lock = threading.Lock()
        self._entries = {}  # The entry of each worker that still writes it, by name. The store may hold further ones.
        self._leaving = {}  # Machine to the state of its worker's entry: "draining", or None if the store has removed the entry.
        self.version = 0
        self.change_configuration()
        for worker in range(workers):
            self.publish_worker(worker)
        self.vms = [SoakVm(self, number) for number in range(vms)]
        # From the VMs of a zone to each VM of another zone.
        self.peer_paths = [
            {vm: self._add_path(zone, vm.peer_proxy.address) for vm in self.vms if vm.zone != zone} for zone in range(len(self.store_paths))
        ]
        for vm in self.vms:
            vm.start()
        harness.wait_until(lambda: all(vm.ready() for vm in self.vms), 20, "every VM is ready")

    def _add_path(self, zone, address):
        path = Proxy(self.proxy_loop, self.processes.ports.allocate(), address)
        self.call_control("/replace-address", zone=zone, address=address, addressInZone=path.address)
        self.zone_paths.append(path)
        return path

    def worker_zone(self, worker):
        return worker // WORKERS_PER_RACK % self.zones

    def paths_of_worker(self, worker):
        return [paths[worker] for paths in self.worker_paths]

    def paths_across(self, zone):
        """The paths that a cut of @p zone closes: from its VMs to the store, and those to workers and VMs that cross its border."""
        paths = [self.store_paths[zone]]
        for source in range(self.zones):
            paths += [path for worker, path in enumerate(self.worker_paths[source]) if (source == zone) != (self.worker_zone(worker) == zone)]
            paths += [path for vm, path in self.peer_paths[source].items() if (source == zone) != (vm.zone == zone)]
        return paths

    def owner(self):
        """The VM that the store names as the owner, or None."""
        value = self.call_control("/value", key=OWNER_KEY)["value"]
        name = json.loads(value)["vm"] if value else None
        return next((vm for vm in self.vms if vm.name == name), None)

    def call_control(self, path, **body):
        answer = harness.call(self._control_port, "POST", path, body)
        if answer.status != 200:
            raise harness.HarnessError(f"the stand-in refused {path}: {answer.text}")
        return answer.body

    def change_configuration(self):
        self.version += 1 + random.Random(self.version).randrange(5)  # A version need not be the previous one plus 1.
        self.call_control("/put", key="op/config", value=json.dumps(make_configuration(self.version)))

    def call_worker(self, path, worker, **body):
        """A control call about the present worker of the machine with the number @p worker."""
        return self.call_control(path, worker=self.worker_numbers[worker], **body)

    def machine_lock(self, worker):
        """Reentrant. Held while one worker of the machine replaces another."""
        return self._machine_locks[worker]

    def worker_name(self, worker):
        return f"w{self.worker_numbers[worker]}"

    def worker_entry(self, worker, state="ready"):
        entry = self.call_worker("/entry", worker, state=state)
        entry["addr"] = self.worker_proxies[worker].address
        entry["zone"] = zone_name(self.worker_zone(worker))
        return entry

    def publish_worker(self, worker, state="ready", **fields):
        with self._machine_locks[worker]:
            state = self._leaving.get(worker, state)
            if state is not None:
                entry = {**self.worker_entry(worker, state), **fields}
                with self._entries_lock:
                    self._entries[self.worker_name(worker)] = entry
                    self.call_control("/put", key=f"servers/{self.worker_name(worker)}", value=json.dumps(entry))

    def remove_entry(self, name):
        with self._entries_lock:
            self._entries.pop(name, None)
            self.call_control("/remove", key=f"servers/{name}")

    def write_heartbeats(self):
        """Every worker that writes its entry writes it once more, with the next `seq`."""
        with self._entries_lock:
            for name, entry in self._entries.items():
                entry["seq"] += 1
                self.call_control("/put", key=f"servers/{name}", value=json.dumps(entry))

    def begin_drain(self, worker, remaining_ms):
        """The worker's entry stays "draining" until the worker restarts or has a successor."""
        with self._machine_locks[worker]:
            self._leaving[worker] = "draining"
            self.publish_worker(worker, remainingMs=remaining_ms)

    def remove_draining_entry(self, worker, name):
        """The entry stays away until the worker restarts or has a successor. Does nothing if the worker @p name has restarted."""
        with self._machine_locks[worker]:
            if worker in self._leaving and self.worker_name(worker) == name:
                self._leaving[worker] = None
                self.remove_entry(name)

    def restart_worker(self, worker):
        """Simulates a restart of the worker process. Its connections are reset first, so that calls in transit never arrive."""
        with self._machine_locks[worker]:
            self._leaving.pop(worker, None)
            self.worker_proxies[worker].set_mode(RESET)
            self.call_worker("/restart-worker", worker)
            self.worker_proxies[worker].set_mode(PASS)

    def end_worker(self, number, path):
        """Simulates the end of the worker process with the stand-in's @p number behind the proxy @p path."""
        with self._entries_lock:
            self._entries.pop(f"w{number}", None)
        path.set_mode(RESET)
        self.call_control("/exit-worker", worker=number)

    def replace_worker(self, worker, same_address):
        """Starts a worker with another identifier on the machine, at the same address or at another one. The caller ends the earlier one."""
        with self._machine_locks[worker]:
            successor = self.call_worker("/add-successor", worker)
            if same_address:
                self.worker_proxies[worker].forward_to(successor["addr"])
            else:
                self.worker_proxies[worker] = Proxy(self.proxy_loop, self.processes.ports.allocate(), successor["addr"])
                for zone, paths in enumerate(self.worker_paths):
                    paths[worker] = self._add_path(zone, self.worker_proxies[worker].address)
            self._leaving.pop(worker, None)
            self.worker_numbers[worker] = successor["worker"]
            self._zones_by_number[successor["worker"]] = self.worker_zone(worker)

    def zones_by_worker(self):
        """The zone of each worker that the fleet has had, by name."""
        return {f"w{number}": zone_name(zone) for number, zone in self._zones_by_number.items()}

    def set_zone_drain(self, zone, drained):
        """Requests or ends the drain of a zone. Returns once the store has the change."""
        key = f"op/evacuate/{zone_name(zone)}"
        if drained:
            self.call_control("/put", key=key, value="{}")
        else:
            self.call_control("/remove", key=key)

    def vm_logs(self):
        return [path.read_text(errors="replace") for path in sorted(self.processes.folder.glob("vm-*-start-*.log"))]

    def run_history(self):
        return self.call_control("/books")

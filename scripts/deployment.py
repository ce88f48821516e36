"""A whole deployment on loopback: 8 entry VMs, the platform's stand-ins, and callers with the retries of a planning service."""

import base64
import concurrent.futures
import json
import random
import threading
import time

import harness

ENTRY_VMS = 8
OPERATOR_TOKEN = "demo-operator"
FINAL = {"done", "failed", "cancelled", "not_run"}
STORE_PREFIX = "primrosebridge/"


def strip_comments(text):
    """JSON with // and /* */ comments as plain JSON."""
    result, position, in_string = [], 0, False
    while position < len(text):
        character = text[position]
        if in_string:
            result.append(text[position : position + 2] if character == "\\" else character)
            position += 2 if character == "\\" else 1
            in_string = character != '"'
            continue
        if text.startswith("//", position):
            position = _end_of(text, "\n", position)
            continue
        if text.startswith("/*", position):
            position = _end_of(text, "*/", position) + 2
            continue
        in_string = character == '"'
        result.append(character)
        position += 1
    return "".join(result)


def _end_of(text, mark, position):
    found = text.find(mark, position)
    return len(text) if found < 0 else found


def read_example(name):
    """The configuration document examples/NAME.json."""
    path = harness.ROOT / "examples" / f"{name}.json"
    if not path.exists():
        raise harness.HarnessError(f"examples/{name}.json does not exist; use zwolle or stara-zagora")
    return json.loads(strip_comments(path.read_text()))


def zones_of(configuration):
    return [zone for region in configuration["regions"] for zone in region["zones"]]


class Vm:
    """One entry VM: its addresses, its settings and its process, which can be started again."""

    def __init__(self, name, zone, ports):
        self.name = name
        self.zone = zone
        self.http_port = ports.allocate()
        self.peer_port = ports.allocate()
        self.store_port = ports.allocate()
        self.process = None

    @property
    def peer_address(self):
        return f"{harness.HOST}:{self.peer_port}"

    def running(self):
        return self.process is not None and self.process.running()

    def ready(self):
        answer = harness.try_call(self.http_port, "GET", "/readyz", timeout=1.0)
        return answer is not None and answer.status == 200

    def operator(self, method, path, body=None, headers=None, timeout=10.0):
        """A call with the operator's token; None if there is no whole answer."""
        all_headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}", **(headers or {})}
        return harness.try_call(self.http_port, method, path, body, all_headers, timeout)

    def fleet(self):
        answer = self.operator("GET", "/v1/fleet")
        return answer.body if answer is not None and answer.status == 200 else {}

    def configuration_version(self):
        answer = self.operator("GET", "/v1/configuration", timeout=2.0)
        return answer.body["version"] if answer is not None and answer.status == 200 else 0


class Deployment:
    """Starts the platform and the entry VMs of one example. Use start() first; processes.end_all() ends everything."""

    def __init__(self, processes, example, vm_count=ENTRY_VMS, configuration=None):
        """Takes the document examples/EXAMPLE.json, or @p configuration if one is given."""
        self.processes = processes
        self.configuration = configuration or read_example(example)
        self.zones = zones_of(self.configuration)
        self.vms = [self._vm(number) for number in range(vm_count)]
        self._workers_address = f"{harness.HOST}:{processes.ports.take()}"
        self._replacements = 0
        for worker in self.configuration["workers"]:
            worker["address"] = self._workers_address
        self.platform = None

    def _vm(self, number):
        zone = self.zones[number % len(self.zones)]
        return Vm(f"entry-{number + 1}", zone, self.processes.ports)

    def start(self, timeout=30):
        """Starts everything and waits until every entry VM is ready and every zone has an owner."""
        self.start_platform()
        for vm in self.vms:
            self.start_vm(vm)
        harness.wait_until(self._publish_first, timeout, "the first configuration is accepted", 0.25)
        harness.wait_until(lambda: all(vm.ready() for vm in self.vms), timeout, "every entry VM is ready")
        harness.wait_until(lambda: all(self.owner(zone) for zone in self.zones), timeout, "every zone has an owner")

    def start_platform(self):
        path = self.processes.write("configuration.json", self.configuration)
        store_ports = [vm.store_port for vm in self.vms] + [self.processes.ports.allocate()]
        control = self.processes.ports.allocate()
        self.platform = harness.StandIn(self.processes, "platform", store_ports, path, self._workers_address, control)
        # The last port is the harness's own; it is never cut off.
        self.control_store_port = store_ports[-1]
        self.publish_vm_list()

    def publish_vm_list(self, leaving=()):
        vms = [{"vm": vm.name, "zone": vm.zone, "address": vm.peer_address, "leaving": vm.name in leaving} for vm in self.vms]
        vms += [
            {"vm": worker["id"], "zone": worker["zone"], "address": worker["address"], "leaving": worker["id"] in leaving}
            for worker in self.configuration["workers"]
        ]
        self.platform.set_store_faults(vms=vms)

    def publish(self, vm, document, seen_version, timeout=10.0):
        """Publishes a configuration document through an entry VM; the answer, or None if there is no whole one."""
        return vm.operator("PUT", "/v1/configuration", json.dumps(document), {"If-Match": str(seen_version)}, timeout)

    def _publish_first(self):
        answer = self.publish(self.vms[0], self.configuration, 0)
        return answer is not None and answer.status == 200

    def store_list(self, prefix):
        """Keys and values below a prefix, without primrosebridge/."""
        start = STORE_PREFIX + prefix
        message = {"key": _encode(start), "range_end": _encode(start[:-1] + chr(ord(start[-1]) + 1))}
        answer = harness.call(self.control_store_port, "POST", "/v3/kv/range", message)
        pairs = answer.body.get("kvs", [])
        return {_decode(pair["key"])[len(STORE_PREFIX) :]: _decode(pair.get("value", "")) for pair in pairs}

    def settings(self, vm):
        return {
            "vm": vm.name,
            "zone": vm.zone,
            "httpAddress": f"{harness.HOST}:{vm.http_port}",
            "peerAddress": vm.peer_address,
            "store": {"host": harness.HOST, "port": vm.store_port},
            "vmList": {"host": harness.HOST, "port": vm.store_port},
            "peers": [{"vm": other.name, "zone": other.zone, "address": other.peer_address} for other in self.vms if other is not vm],
            "logLevel": "info",
            "httpThreads": 64,
        }

    def start_vm(self, vm):
        path = self.processes.write(f"{vm.name}.json", self.settings(vm))
        vm.process = self.processes.start(vm.name, [harness.binary_path("primrosebridged"), f"--settings={path}"])

    def replace_vm(self, vm):
        """A new VM with another name takes the place of one that has ended; the store port stays, as the platform has fixed ports."""
        self._replacements += 1
        new = Vm(f"{vm.name.split('-r')[0]}-r{self._replacements}", vm.zone, self.processes.ports)
        new.store_port = vm.store_port
        self.vms[self.vms.index(vm)] = new
        self.publish_vm_list()
        self.start_vm(new)
        return new

    def owner(self, zone):
        """The entry VM that the store names as the zone's owner, if it runs."""
        value = self.store_list("control/owners/").get(f"control/owners/{zone}")
        if not value:
            return None
        name = json.loads(value).get("vm")
        return next((vm for vm in self.vms if vm.name == name and vm.running()), None)

    def cut_from_platform(self, vms, refusal="hang"):
        self.platform.set_store_faults(refusePorts=[vm.store_port for vm in vms], refusal=refusal)

    def heal_platform(self):
        self.platform.set_store_faults(refusePorts=[], down="none", delayMs=0)

    def job_classes_by_id(self):
        return {one["id"]: one for one in self.configuration["jobClasses"]}

    def organisations(self):
        return [one["id"] for one in self.configuration["organisations"]]


def _encode(text):
    return base64.b64encode(text.encode()).decode()


def _decode(text):
    return base64.b64decode(text).decode("utf-8", "replace")


class LoadBalancer:
    """Chooses among the entry VMs whose health check succeeds, as the platform's load balancer does. Thread-safe."""

    CHECK_PERIOD = 0.25

    def __init__(self, deployment):
        self._deployment = deployment
        self._lock = threading.Lock()
        self._ready = []
        self._reachable = None
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self):
        self._check()
        self._thread.start()
        return self

    def __exit__(self, *_):
        self._stopping.set()
        self._thread.join()

    def choose(self):
        with self._lock:
            return random.choice(self._ready) if self._ready else None

    def restrict(self, vms):
        """Only these VMs are reachable for callers, as in a network partition; None lifts the restriction."""
        with self._lock:
            self._reachable = vms
        self._check()

    def _run(self):
        while not self._stopping.wait(self.CHECK_PERIOD):
            self._check()

    def _check(self):
        with self._lock:
            reachable = list(self._deployment.vms if self._reachable is None else self._reachable)
        # At once, so that a VM that does not answer delays the news of the others by no more than its own time-out.
        with concurrent.futures.ThreadPoolExecutor(len(reachable)) as pool:
            states = list(pool.map(lambda vm: vm.running() and vm.ready(), reachable))
        with self._lock:
            if reachable == list(self._deployment.vms if self._reachable is None else self._reachable):
                self._ready = [vm for vm, ready in zip(reachable, states) if ready]


class Submission:
    """One request of a caller and what became of it."""

    def __init__(self, key, job_class, organisation, run_ms, zone=None):
        self.key = key
        self.job_class = job_class
        self.organisation = organisation
        self.run_ms = run_ms
        self.zone = zone
        self.outcome = "pending"
        self.result = ""
        self.reason = ""
        self.attempt = 0
        self.accepted = False  # A 200 or 202 was received: the system has taken responsibility.
        self.broken = 0  # Connections that ended without an answer.
        self.refused = 0
        self.ambiguous = False  # Some call ended without saying whether it took effect.
        self.submitted_ms = None  # Unix time, as in the workers' books.
        self.first_at = None
        self.final_at = None

    @property
    def expected_result(self):
        # Long enough that a truncated result differs, and unlike the result of any other request.
        return f"result of {self.key} " + "." * 64

    @property
    def payload(self):
        return json.dumps({"runMs": self.run_ms, "result": self.expected_result})

    def final(self):
        return self.outcome in FINAL


class Caller:
    """Submits requests over HTTP and asks again with the same key until the outcome is final. Thread-safe."""

    def __init__(self, balancer):
        self._balancer = balancer
        self._stopping = threading.Event()

    def stop(self):
        """Makes every run() return after the call that it is in."""
        self._stopping.set()

    def run(self, submission, seconds):
        """Submits and waits up to @p seconds for a final outcome."""
        deadline = time.monotonic() + seconds
        submission.first_at = submission.first_at or time.monotonic()
        submission.submitted_ms = submission.submitted_ms or time.time() * 1000
        while not submission.final() and time.monotonic() < deadline and not self._stopping.is_set():
            vm = self._balancer.choose()
            pause = 0.2 if vm is None else self._ask(vm, submission, deadline)
            self._stopping.wait(min(pause, max(0.0, deadline - time.monotonic())))
        return submission

    def cancel(self, submission):
        vm = self._balancer.choose()
        return vm and self._call(vm, submission, "DELETE", f"/v1/requests/{submission.key}", 5.0)

    def _ask(self, vm, submission, deadline):
        """One call; returns the pause before the next one."""
        wait_ms = max(0, min(5000, int((deadline - time.monotonic()) * 1000)))
        if submission.accepted:
            answer = self._call(vm, submission, "GET", f"/v1/requests/{submission.key}?wait_ms={wait_ms}", 15.0)
        else:
            answer = self._call(vm, submission, "POST", f"/v1/requests?wait_ms={wait_ms}", 15.0, self._body(submission))
        if answer is None:
            submission.broken += 1
            submission.ambiguous = True
            return 0.1
        return self._take(answer, submission)

    @staticmethod
    def _body(submission):
        body = {"key": submission.key, "class": submission.job_class, "payload": submission.payload, "declaredRunTimeMs": max(1, submission.run_ms)}
        return {**body, "zone": submission.zone} if submission.zone else body

    @staticmethod
    def _call(vm, submission, method, path, timeout, body=None):
        headers = {"Authorization": f"Bearer demo-{submission.organisation}"}
        return harness.try_call(vm.http_port, method, path, body, headers, timeout)

    @staticmethod
    def _take(answer, submission):
        body = answer.body if isinstance(answer.body, dict) else {}
        if answer.status in (200, 202) and "outcome" in body:
            submission.accepted = True
            submission.outcome = body["outcome"]
            submission.result = body.get("result", "")
            submission.reason = body.get("reason", "")
            submission.attempt = body.get("attempt", 0)
            submission.final_at = time.monotonic() if submission.final() else None
            return 0.1
        submission.refused += 1
        submission.ambiguous = submission.ambiguous or answer.status >= 500 and answer.status != 503
        error = body.get("error", body)
        submission.reason = f"{answer.status} {error.get('kind', '')}: {error.get('message', '')}" if isinstance(error, dict) else answer.text
        if answer.status == 404:
            submission.accepted = False  # An unrecorded request ended with its owner; submitting it again is the caller's part.
        retry_ms = error.get("retryAfterMs", 500) if isinstance(error, dict) else 500
        return min(2.0, retry_ms / 1000)

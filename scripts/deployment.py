"""A complete deployment on loopback: 8 entry VMs, stand-ins for the platform, a load balancer, and callers that retry."""

import base64
import concurrent.futures
import json
import random
import threading
import time

import harness

ENTRY_VMS = 8
OPERATOR_TOKEN = "demo-operator"
FINAL_OUTCOMES = {"done", "failed", "cancelled", "not_run"}
STORE_PREFIX = "primrosebridge/"


def strip_comments(text):
    """Removes // and /* */ comments from a JSON text; strings are left unchanged."""
    result, position, in_string = [], 0, False
    while position < len(text):
        character = text[position]
        if in_string:
            result.append(text[position : position + 2] if character == "\\" else character)
            position += 2 if character == "\\" else 1
            in_string = character != '"'
            continue
        if text.startswith("//", position):
            position = _find_or_end(text, "\n", position)
            continue
        if text.startswith("/*", position):
            position = _find_or_end(text, "*/", position) + 2
            continue
        in_string = character == '"'
        result.append(character)
        position += 1
    return "".join(result)


def _find_or_end(text, mark, position):
    found = text.find(mark, position)
    return len(text) if found < 0 else found


def read_example(name):
    """Reads the configuration document examples/NAME.json; raises HarnessError if it does not exist."""
    path = harness.ROOT / "examples" / f"{name}.json"
    if not path.exists():
        raise harness.HarnessError(f"examples/{name}.json does not exist; use zwolle or stara-zagora")
    return json.loads(strip_comments(path.read_text()))


def zones_of(configuration):
    return [zone for region in configuration["regions"] for zone in region["zones"]]


class Vm:
    """An entry VM: its name, zone, ports and process, which can be started again."""

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

    def call_as_operator(self, method, path, body=None, headers=None, timeout=10.0):
        """Sends a request with the operator's token; returns None if no complete answer arrives."""
        all_headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}", **(headers or {})}
        return harness.try_call(self.http_port, method, path, body, all_headers, timeout)

    def fetch_fleet_state(self):
        answer = self.call_as_operator("GET", "/v1/fleet")
        return answer.body if answer is not None and answer.status == 200 else {}

    def configuration_version(self):
        answer = self.call_as_operator("GET", "/v1/configuration", timeout=2.0)
        return answer.body["version"] if answer is not None and answer.status == 200 else 0


class Deployment:
    """The stand-in platform and the entry VMs of one example. Call start() first; processes.end_all() ends all processes."""

    def __init__(self, processes, example, vm_count=ENTRY_VMS, configuration=None):
        """Uses the configuration document examples/EXAMPLE.json unless @p configuration is given."""
        self.processes = processes
        self.configuration = configuration or read_example(example)
        self.zones = zones_of(self.configuration)
        self.vms = [self._make_vm(number) for number in range(vm_count)]
        self._workers_address = f"{harness.HOST}:{processes.ports.allocate()}"
        self._replacements = 0
        for worker in self.configuration["workers"]:
            worker["address"] = self._workers_address
        self.platform = None

    def _make_vm(self, number):
        zone = self.zones[number % len(self.zones)]
        return Vm(f"entry-{number + 1}", zone, self.processes.ports)

    def start(self, timeout=30):
        """Starts everything and waits until every entry VM is ready and every zone has an owner."""
        self.start_platform()
        for vm in self.vms:
            self.start_vm(vm)
        harness.wait_until(self._publish_first_version, timeout, "the first configuration is accepted", 0.25)
        harness.wait_until(lambda: all(vm.ready() for vm in self.vms), timeout, "every entry VM is ready")
        harness.wait_until(lambda: all(self.owner(zone) for zone in self.zones), timeout, "every zone has an owner")

    def start_platform(self):
        path = self.processes.write("configuration.json", self.configuration)
        store_ports = [vm.store_port for vm in self.vms] + [self.processes.ports.allocate()]
        control = self.processes.ports.allocate()
        self.platform = harness.StandIn(self.processes, "platform", store_ports, path, self._workers_address, control)
        # The harness uses the last port for its own store calls; cut_from_platform() never blocks it.
        self.control_store_port = store_ports[-1]
        self.publish_vm_list()

    def publish_vm_list(self, leaving=()):
        vms = [{"vm": vm.name, "zone": vm.zone, "address": vm.peer_address, "leaving": vm.name in leaving} for vm in self.vms]
        vms += [
            {"vm": worker["id"], "zone": worker["zone"], "address": worker["address"], "leaving": worker["id"] in leaving}
            for worker in self.configuration["workers"]
        ]
        self.platform.set_store_faults(vms=vms)

    def publish_configuration(self, vm, document, seen_version, timeout=10.0):
        """Publishes a configuration document through an entry VM; returns None if no complete answer arrives."""
        return vm.call_as_operator("PUT", "/v1/configuration", json.dumps(document), {"If-Match": str(seen_version)}, timeout)

    def _publish_first_version(self):
        answer = self.publish_configuration(self.vms[0], self.configuration, 0)
        return answer is not None and answer.status == 200

    def read_store_prefix(self, prefix):
        """Returns the values of all keys with a prefix, by key. Neither @p prefix nor the keys include "primrosebridge/"."""
        start = STORE_PREFIX + prefix
        message = {"key": _encode(start), "range_end": _encode(start[:-1] + chr(ord(start[-1]) + 1))}
        answer = harness.call(self.control_store_port, "POST", "/v3/kv/range", message)
        pairs = answer.body.get("kvs", [])
        return {_decode(pair["key"])[len(STORE_PREFIX) :]: _decode(pair.get("value", "")) for pair in pairs}

    def make_settings(self, vm):
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
        path = self.processes.write(f"{vm.name}.json", self.make_settings(vm))
        vm.process = self.processes.start(vm.name, [harness.binary_path("primrosebridged"), f"--settings={path}"])

    def replace_vm(self, vm):
        """Starts a VM with a new name in place of one that has ended. It keeps the store port, because the stand-in's ports are fixed."""
        self._replacements += 1
        new = Vm(f"{vm.name.split('-r')[0]}-r{self._replacements}", vm.zone, self.processes.ports)
        new.store_port = vm.store_port
        self.vms[self.vms.index(vm)] = new
        self.publish_vm_list()
        self.start_vm(new)
        return new

    def owner(self, zone):
        """Returns the entry VM that the store names as the zone's owner, or None if there is none or it is not running."""
        value = self.read_store_prefix("control/owners/").get(f"control/owners/{zone}")
        if not value:
            return None
        name = json.loads(value).get("vm")
        return next((vm for vm in self.vms if vm.name == name and vm.running()), None)

    def cut_from_platform(self, vms, refusal="hang"):
        self.platform.set_store_faults(refusePorts=[vm.store_port for vm in vms], refusal=refusal)

    def restore_platform(self):
        self.platform.set_store_faults(refusePorts=[], down="none", delayMs=0)

    def job_classes_by_id(self):
        return {one["id"]: one for one in self.configuration["jobClasses"]}

    def organisation_ids(self):
        return [one["id"] for one in self.configuration["organisations"]]


def _encode(text):
    return base64.b64encode(text.encode()).decode()


def _decode(text):
    return base64.b64decode(text).decode("utf-8", "replace")


class LoadBalancer:
    """Chooses a random entry VM among those whose health check succeeds, as the platform's load balancer does. Thread-safe."""

    CHECK_PERIOD_S = 0.25

    def __init__(self, deployment):
        self._deployment = deployment
        self._lock = threading.Lock()
        self._ready = []
        self._reachable = None
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._check_periodically, daemon=True)

    def __enter__(self):
        self._check_health()
        self._thread.start()
        return self

    def __exit__(self, *_):
        self._stopping.set()
        self._thread.join()

    def choose_vm(self):
        with self._lock:
            return random.choice(self._ready) if self._ready else None

    def set_reachable(self, vms):
        """Limits callers to these VMs, as a network partition would; None lifts the limit."""
        with self._lock:
            self._reachable = vms
        self._check_health()

    def _check_periodically(self):
        while not self._stopping.wait(self.CHECK_PERIOD_S):
            self._check_health()

    def _check_health(self):
        with self._lock:
            reachable = list(self._deployment.vms if self._reachable is None else self._reachable)
        # Checks all VMs in parallel, so that a VM that does not answer delays the results by no more than one timeout.
        with concurrent.futures.ThreadPoolExecutor(len(reachable)) as pool:
            states = list(pool.map(lambda vm: vm.running() and vm.ready(), reachable))
        with self._lock:
            if reachable == list(self._deployment.vms if self._reachable is None else self._reachable):
                self._ready = [vm for vm, ready in zip(reachable, states) if ready]


class Submission:
    """A request of a caller, its outcome, and the errors of the calls that submitted it."""

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
        self.accepted = False  # True after an answer with status 200 or 202, which makes the system responsible for the request.
        self.broken_connections = 0  # The number of connections that ended without an answer.
        self.refusal_count = 0
        self.ambiguous = False  # True if it is unknown whether some call took effect.
        self.submitted_ms = None  # Unix time, as in the workers' records.
        self.first_at = None
        self.final_at = None

    @property
    def expected_result(self):
        # Contains the key, so that it differs from all other results, and is long enough to show a truncation.
        return f"result of {self.key} " + "." * 64

    @property
    def payload(self):
        return json.dumps({"runMs": self.run_ms, "result": self.expected_result})

    def is_final(self):
        return self.outcome in FINAL_OUTCOMES


class Caller:
    """Submits requests over HTTP and retries with the same key until the outcome is final. Thread-safe."""

    def __init__(self, balancer):
        self._balancer = balancer
        self._stopping = threading.Event()

    def stop(self):
        """Makes every submit_until_final() return after its current call."""
        self._stopping.set()

    def submit_until_final(self, submission, timeout_s):
        """Submits the request and waits up to @p timeout_s for a final outcome; returns the submission."""
        deadline = time.monotonic() + timeout_s
        submission.first_at = submission.first_at or time.monotonic()
        submission.submitted_ms = submission.submitted_ms or time.time() * 1000
        while not submission.is_final() and time.monotonic() < deadline and not self._stopping.is_set():
            vm = self._balancer.choose_vm()
            delay_s = 0.2 if vm is None else self._submit_or_poll(vm, submission, deadline)
            self._stopping.wait(min(delay_s, max(0.0, deadline - time.monotonic())))
        return submission

    def cancel(self, submission):
        vm = self._balancer.choose_vm()
        return vm and self._send_request(vm, submission, "DELETE", f"/v1/requests/{submission.key}", 5.0)

    def _submit_or_poll(self, vm, submission, deadline):
        """Makes one call, which polls the request if it has been accepted; returns the seconds to wait before the next call."""
        wait_ms = max(0, min(5000, int((deadline - time.monotonic()) * 1000)))
        if submission.accepted:
            answer = self._send_request(vm, submission, "GET", f"/v1/requests/{submission.key}?wait_ms={wait_ms}", 15.0)
        else:
            answer = self._send_request(vm, submission, "POST", f"/v1/requests?wait_ms={wait_ms}", 15.0, self._submission_body(submission))
        if answer is None:
            submission.broken_connections += 1
            submission.ambiguous = True
            return 0.1
        return self._apply_answer(answer, submission)

    @staticmethod
    def _submission_body(submission):
        body = {"key": submission.key, "class": submission.job_class, "payload": submission.payload, "declaredRunTimeMs": max(1, submission.run_ms)}
        return {**body, "zone": submission.zone} if submission.zone else body

    @staticmethod
    def _send_request(vm, submission, method, path, timeout, body=None):
        headers = {"Authorization": f"Bearer demo-{submission.organisation}"}
        return harness.try_call(vm.http_port, method, path, body, headers, timeout)

    @staticmethod
    def _apply_answer(answer, submission):
        body = answer.body if isinstance(answer.body, dict) else {}
        if answer.status in (200, 202) and "outcome" in body:
            submission.accepted = True
            submission.outcome = body["outcome"]
            submission.result = body.get("result", "")
            submission.reason = body.get("reason", "")
            submission.attempt = body.get("attempt", 0)
            submission.final_at = time.monotonic() if submission.is_final() else None
            return 0.1
        submission.refusal_count += 1
        submission.ambiguous = submission.ambiguous or answer.status >= 500 and answer.status != 503
        error = body.get("error", body)
        submission.reason = f"{answer.status} {error.get('kind', '')}: {error.get('message', '')}" if isinstance(error, dict) else answer.text
        if answer.status == 404:
            submission.accepted = False  # An unrecorded request is lost with its owner, and the caller has to submit it again.
        retry_ms = error.get("retryAfterMs", 500) if isinstance(error, dict) else 500
        return min(2.0, retry_ms / 1000)

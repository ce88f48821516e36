"""Stand-ins of the platform for the cases of review/11 to review/15: the metadata store, minions and entry VMs on loopback.

They follow PROTOCOL.md: the store of "The platform's metadata store", minions of "Running tasks" and "Service discovery".
Standard library only.
"""

import asyncio
import base64
import bisect
import http.client
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
USED_PORTS = set()


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self._file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self._origin = time.monotonic()
        self._lock = threading.Lock()

    def now(self):
        return time.monotonic() - self._origin

    def write(self, text, at=None):
        with self._lock:
            self._file.write(f"{self.now() if at is None else at:8.3f} {text}\n")
            self._file.flush()


class Loop:
    """An asyncio event loop on a thread of its own."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self):
        asyncio.set_event_loop(self.loop)
        self.loop.run_forever()

    def call(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(10)

    def run(self, function, *arguments):
        async def inner():
            return function(*arguments)

        return self.call(inner())


class Connection:
    def __init__(self, writer):
        self.writer = writer
        self.silent = False  # Everything that arrives is dropped, and nothing is answered.


class HttpServer:
    """HTTP/1.1 with keep-alive. handle(method, path, query, headers, body) returns (status, document), or None to leave the call unanswered."""

    def __init__(self, loop, handle):
        self.connections = set()
        self._handle = handle
        self._server = loop.call(asyncio.start_server(self._serve, HOST, 0))
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader, writer):
        connection = Connection(writer)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connections.add(connection)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, target, _ = head[0].split(" ", 2)
                headers = {name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in head[1:] if line)}
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                if connection.silent:
                    continue
                path, _, query = target.partition("?")
                answer = await self._handle(method, path, dict(urllib.parse.parse_qsl(query)), headers, body)
                if answer is None or connection.silent:
                    connection.silent = True  # A connection on which an answer is lost returns nothing further.
                    continue
                status, document = answer
                text = json.dumps(document).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, ValueError):
            pass  # The peer is gone, or does not speak HTTP.
        finally:
            self.connections.discard(connection)
            writer.close()

    def silence_open_connections(self):
        """On the loop: the open connections go silent for good; new ones work."""
        for connection in self.connections:
            connection.silent = True
        return len(self.connections)

    def end(self):
        """On the loop: the process is gone; its port refuses connections."""
        self._server.close()
        for connection in list(self.connections):
            connection.writer.transport.abort()


class Store:
    """The platform's metadata store. Each VM has a port of its own, so that its connections can be told from those of others."""

    def __init__(self, loop):
        self.loop = loop
        self._items = {}
        self._history = []
        self._leases = {}
        self._revision = 10
        self._next_lease = 100
        self._sorted = None  # (revision, sorted keys) of the last listing.
        self._changed = asyncio.Condition() if sys.version_info >= (3, 10) else None
        loop.loop.call_soon_threadsafe(lambda: asyncio.ensure_future(self._expire_leases()))

    def add_port(self):
        return HttpServer(self.loop, self._handle)

    async def _expire_leases(self):
        while True:
            await asyncio.sleep(0.02)
            for lease in [number for number, (_, ends) in self._leases.items() if ends <= time.monotonic()]:
                await self._end_lease(lease)

    async def _end_lease(self, lease):
        self._leases.pop(lease, None)
        for key in [key for key, item in self._items.items() if item["lease"] == lease]:
            await self._apply([], [key])

    async def _apply(self, writes, removals):
        self._revision += 1
        for key, value, lease in writes:
            created = self._items[key]["created"] if key in self._items else self._revision
            self._items[key] = {"key": key, "value": base64.b64encode(value).decode(), "rev": self._revision, "created": created, "lease": lease}
            self._history.append((self._revision, key, dict(self._items[key])))
        for key in removals:
            if self._items.pop(key, None):
                self._history.append((self._revision, key, {"key": key, "rev": self._revision, "deleted": True}))
        async with self._changed:
            self._changed.notify_all()
        return self._revision

    def put(self, key, document):
        """The write of an operator or a minion; returns once it is acknowledged."""
        return self.loop.call(self._apply([(key, json.dumps(document).encode(), 0)], []))

    async def put_on_loop(self, key, document):
        await self._apply([(key, json.dumps(document).encode(), 0)], [])

    async def remove_on_loop(self, key):
        await self._apply([], [key])

    def value(self, key):
        item = self._items.get(key)
        return base64.b64decode(item["value"]).decode() if item else None

    async def _handle(self, method, path, query, _headers, body):
        if path == "/kv-key":
            item = self._items.get(query["key"])
            return (200, {**item, "atRev": self._revision}) if item else (404, {})
        if path == "/kv-range":
            return 200, self._page(query["prefix"], query.get("after", ""))
        if path == "/kv-watch":
            return await self._watch(query["prefix"], int(query["after"]), int(query["waitMs"]) / 1000)
        if path == "/kv-txn":
            return await self._commit(json.loads(body))
        if path == "/kv-lease":
            lifetime = json.loads(body)["ttlMs"] / 1000
            self._next_lease += 1
            self._leases[self._next_lease] = (lifetime, time.monotonic() + lifetime)
            return 200, {"lease": self._next_lease, "ttlMs": round(lifetime * 1000)}
        lease = int(path.rsplit("/", 1)[1])
        if lease not in self._leases:
            return 404, {}
        if method == "DELETE":
            await self._end_lease(lease)
            return 200, {}
        lifetime = self._leases[lease][0]
        self._leases[lease] = (lifetime, time.monotonic() + lifetime)
        return 200, {"ttlMs": round(lifetime * 1000)}

    def _page(self, prefix, after):
        """At most 500 items or 1 MB; the next page begins after the last key."""
        if self._sorted is None or self._sorted[0] != self._revision:
            self._sorted = (self._revision, sorted(self._items))
        keys = self._sorted[1]
        position = max(bisect.bisect_left(keys, prefix), bisect.bisect_right(keys, after))
        items, size = [], 0
        while position < len(keys) and keys[position].startswith(prefix) and len(items) < 500 and size < 1_000_000:
            items.append(self._items[keys[position]])
            size += len(items[-1]["value"])
            position += 1
        truncated = position < len(keys) and keys[position].startswith(prefix)
        return {"items": items, "truncated": truncated, "atRev": self._revision}

    async def _watch(self, prefix, after, wait_s):
        until = time.monotonic() + wait_s
        while True:
            events = [event for revision, key, event in self._history if revision > after and key.startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "atRev": self._revision}
            async with self._changed:
                try:
                    await asyncio.wait_for(self._changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def _commit(self, body):
        expected = body.get("expected", [])
        if any(self._items.get(row["key"], {"rev": 0})["rev"] != row["rev"] for row in expected):
            return 412, {"items": [self._items[row["key"]] for row in expected if row["key"] in self._items]}
        if any(row.get("lease", 0) and row["lease"] not in self._leases for row in body.get("setKeys", [])):
            return 404, {}
        writes = [(row["key"], base64.b64decode(row["value"]), row.get("lease", 0)) for row in body.get("setKeys", [])]
        return 200, {"rev": await self._apply(writes, body.get("remove", []))}


class Run:
    def __init__(self, number, ends_at, at_work_at):
        self.started_at = time.monotonic()
        self.number = number
        self.ends_at = ends_at  # None: runs until it is stopped.
        self.at_work_at = at_work_at


class Minion:
    """One minion. A spec of the form "runMs=N" runs for N ms; "runMs=0" lasts."""

    def __init__(self, loop, store, record, name, zone, labels, hold_max_ms, heartbeat_ms, capacity):
        self.loop, self.store, self.record, self.name = loop, store, record, name
        self.zone, self.labels, self.capacity = zone, labels, capacity
        self.hold_max_s, self.heartbeat_s = hold_max_ms / 1000, heartbeat_ms / 1000
        self.born = round(time.time() * 1000)
        self.origin = time.monotonic()
        self.fence = 0
        self.lease_end = 0.0
        self.running = {}
        self.highest_ended = {}
        self.ended = []
        self.next_end = 1
        self.starts = []  # (time of the record, task, run)
        self.shedding = False  # Unhealthy: start orders are refused with 503.
        self.alive = True
        self.leaves_at = None  # Monotonic time at which the announced time is over; None: not draining.
        self.stop_s = 0.0  # Time that a stop takes; at most stopMs.
        self.startup_s = 0.2  # Time until a task that lasts is at work.
        self.seq = 0
        self._wake = asyncio.Event()
        self.server = HttpServer(loop, self._handle)
        loop.loop.call_soon_threadsafe(lambda: asyncio.ensure_future(self._beat()))
        loop.loop.call_soon_threadsafe(lambda: asyncio.ensure_future(self._advance()))

    def clock_ms(self):
        return int((time.monotonic() - self.origin) * 1000)

    async def _beat(self):
        while self.alive:
            await self._write_entry()
            await asyncio.sleep(self.heartbeat_s)
        if self.leaves_at is None:
            await asyncio.sleep(2 * self.heartbeat_s)  # Removed after three intervals of silence; one has passed.
            await self._remove_entry()

    async def _remove_entry(self):
        await self.store.remove_on_loop("servers/" + self.name)
        self.record.write(f"the store has removed the entry of {self.name}")

    async def drain_and_leave(self, announced_s, longer_s):
        """Reports `draining`, serves for the announced time and a little longer, and leaves. Returns the tasks that ended with it."""
        self.leaves_at = time.monotonic() + announced_s
        await self._write_entry()
        self.record.write(f"{self.name} reports draining, at least {announced_s:.1f} s left, with {len(self.running)} tasks")
        await asyncio.sleep(announced_s + longer_s)
        lost = self.crash()
        await self._remove_entry()
        self.record.write(f"{self.name} has left; {len(lost)} tasks ended with it: {' '.join(lost)}")
        return lost

    async def _write_entry(self):
        self.seq += 1
        entry = {
            "service": "pool", "addr": self.server.address, "zone": self.zone, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
            "capacity": self.capacity, "labels": self.labels, "clockMs": self.clock_ms(), "machine": "m-" + self.name, "born": self.born,
            "seq": self.seq,
        }  # fmt: skip
        if self.leaves_at is not None:
            entry["state"] = "draining"
            entry["remainingMs"] = max(0, int((self.leaves_at - time.monotonic()) * 1000))
        await self.store.put_on_loop("servers/" + self.name, entry)

    async def _advance(self):
        while self.alive:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            lapsed = self.running and now - self.origin > self.lease_end
            for task, run in list(self.running.items()):
                if lapsed or (run.ends_at is not None and run.ends_at <= now):
                    self._end(task, "lapsed" if lapsed else "done")

    def _end(self, task, how):
        run = self.running.pop(task)
        self.highest_ended[task] = max(self.highest_ended.get(task, 0), run.number)
        self.ended.append([self.next_end, task, run.number, how, ""])
        self.next_end += 1
        self.record.write(f"{self.name}: {task} run {run.number} ends {how}")
        self._wake.set()

    async def _handle(self, method, path, _query, headers, body):
        if method == "GET":
            return 200, {}
        if headers.get("expect-instance", self.name) != self.name:
            return 421, {}
        order = json.loads(body)
        if path == "/run-start" and self.shedding:
            self.record.write(f"{self.name}: refuses the start of {order['task']} run {order['runId']} with 503")
            return 503, {}
        if order.get("fence", 0) < self.fence:
            return self._reply(409, reason="fence")
        self.fence = order.get("fence", 0)
        now = time.monotonic() - self.origin
        if "deadlineMs" in order:
            self.lease_end = max(self.lease_end, min(now + self.hold_max_s, order["deadlineMs"] / 1000))
        if path == "/run-start":
            return self._start(order)
        if path == "/run-stop":
            task, number = order["task"], order["runId"]
            self.highest_ended[task] = max(self.highest_ended.get(task, 0), number)
            if task in self.running and self.running[task].number <= number:
                asyncio.ensure_future(self._stop(task, self.running[task]))
            return self._reply(200)
        return await self._hold(order)

    async def _stop(self, task, run):
        if self.stop_s:
            await asyncio.sleep(self.stop_s)
        if self.running.get(task) is run:
            self._end(task, "stopped")

    def _start(self, order):
        task, number = order["task"], order["runId"]
        if task in self.running and self.running[task].number == number:
            return self._reply(200)
        if task in self.running or number <= self.highest_ended.get(task, 0):
            return self._reply(409, reason="old")
        if order["deadlineMs"] <= self.clock_ms():
            return self._reply(409, reason="late")
        run_s = int(re.search(r"runMs=(\d+)", order["spec"])[1]) / 1000
        now = time.monotonic()
        self.running[task] = Run(number, now + run_s if run_s else None, now + self.startup_s)
        self.starts.append((self.record.now(), task, number))
        self.record.write(f"{self.name}: starts {task} run {number} of '{order['spec'][:40]}'")
        return self._reply(200)

    async def _hold(self, order):
        self.ended = [row for row in self.ended if row[0] > order["lastSeen"]]
        until = time.monotonic() + order.get("waitMs", 0) / 1000
        while not self.ended and time.monotonic() < until:
            self._wake.clear()
            try:
                await asyncio.wait_for(self._wake.wait(), max(0.001, until - time.monotonic()))
            except asyncio.TimeoutError:
                pass
        now = time.monotonic()
        rows = [[task, run.number, "", self._percent(run, now), 0] for task, run in self.running.items()]
        return self._reply(200, running=rows, ended=self.ended[:500])

    @staticmethod
    def _percent(run, now):
        if run.ends_at is None:
            return 100 if now >= run.at_work_at else 0
        started = run.started_at
        return max(0, min(99, round(100 * (now - started) / max(0.001, run.ends_at - started))))

    def _reply(self, status, **body):
        return status, {"clockMs": self.clock_ms(), "born": self.born, **body}

    def crash(self):
        """On the loop: lost for good."""
        self.alive = False
        lost = sorted(self.running)
        self.running.clear()
        self.server.end()
        return lost


def free_ports(count):
    """Ports below the kernel's ephemeral ones, so that no outgoing connection takes them before a VM listens."""
    ports = []
    while len(ports) < count:
        port = random.SystemRandom().randrange(10000, 32000)
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        if port not in USED_PORTS:
            USED_PORTS.add(port)
            ports.append(port)
    return ports


def fill_in(template, fields):
    """Fills in deploy/fleet.json.template as DEPLOY.md tells: values, `|json` and sections."""

    def look_up(path):
        value = fields
        for part in path.split("."):
            value = value[int(part)] if isinstance(value, list) else (value.get(part) if isinstance(value, dict) else None)
            if value is None:
                return None
        return value

    template = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", lambda match: match[2] if look_up(match[1]) else "", template, flags=re.S)

    def value_of(match):
        value = look_up(match[1])
        return json.dumps(value) if match[2] else ("" if value is None else str(value))

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value_of, template)


class Vm:
    """An entry VM: the command of the deploy file with settings from its template."""

    def __init__(self, fleet, number):
        front, ready, peer, metrics = free_ports(4)
        self.name = f"edge-z{number % 4}-{number}"
        self.front = front
        self.ready_port = ready
        self.store_port = fleet.store.add_port()
        fields = {
            "node": self.name, "zone": f"z{number % 4}", "ip": HOST, "portRange": [peer, metrics],
            "listen": {"front": f"{HOST}:{front}", "ready": f"{HOST}:{ready}"},
            "platform": {"addr": self.store_port.address, "ttlMinMs": 1000},
            "limits": {"cpuShare": 0.25, "cores": 1}, "bounds": fleet.bounds,
        }  # fmt: skip
        self.settings = fleet.folder / f"{self.name}.json"
        self.settings.write_text(fill_in((ROOT / "deploy/fleet.json.template").read_text(), fields))
        self.log_path = fleet.folder / f"{self.name}.log"
        self.process = None
        self.start()

    def start(self):
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                ["target/bin/primrosebridged"], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                env={"PATH": os.environ.get("PATH", ""), "PRIMROSEBRIDGE_CONFIG": str(self.settings)},
            )  # fmt: skip

    def ready(self):
        answer = call(self.ready_port, "GET", "/readyz", timeout_s=1)
        return answer is not None and answer[0] == 200


def call(port, method, path, document=None, headers=None, timeout_s=3.0):
    """Returns the status and the document of the answer, or None if there is no answer."""
    connection = http.client.HTTPConnection(HOST, port, timeout=timeout_s)
    try:
        connection.request(method, path, None if document is None else json.dumps(document), headers or {})
        response = connection.getresponse()
        text = response.read().decode()
        return response.status, (json.loads(text) if text else {})
    except (OSError, http.client.HTTPException, ValueError):
        return None
    finally:
        connection.close()


# The bounds of sites/zdz-crockplan.toml, a small deployment, as SYSTEM.md gives them.
ZDZ_BOUNDS = {
    "contactMs": 3000, "configMs": 2000, "holdMaxMs": 10000, "stopMs": 900, "graceS": 6, "visible_ms": 3000, "cancel_ms": 3000, "reclaimMs": 3400,
    "remoteFactor": 3, "evacuateMs": None,
}  # fmt: skip
HEARTBEAT_MS = 1500
QUEUE_HOST = "nony24.example"


class Fleet:
    """A small deployment: store, minions and entry VMs. Use as a context manager."""

    def __init__(self, folder, vms=8, minions=16, bounds=None, labels_of=None, other_tenants=None):
        if not (ROOT / "target/bin/primrosebridged").exists():
            raise CannotRun("target/bin/primrosebridged is not built")
        self.record = Record(folder)
        self.bounds = bounds or ZDZ_BOUNDS
        self.folder = Path(tempfile.mkdtemp(prefix="review3-"))
        self.loop = Loop()
        self.store = Store(self.loop)
        self.version = 5
        self.keys = ["key-a", "key-b"]
        self.other_tenants = other_tenants or []  # Beside "org", which holds self.keys.
        self.vms = []
        self.write_configuration()
        label = labels_of or (lambda number: ["a", f"r{number // 6}"])
        self.minions = [
            Minion(self.loop, self.store, self.record, f"i-{number:04x}", f"z{number % 4}", label(number), self.bounds["holdMaxMs"], HEARTBEAT_MS,
                   {"cpu": 32000, "memMb": 128000, "gpu": 8})
            for number in range(minions)
        ]  # fmt: skip
        self._vm_count = vms

    def __enter__(self):
        try:
            for number in range(self._vm_count):
                self.vms.append(Vm(self, number))
            self.wait(lambda: all(vm.ready() for vm in self.vms), 20, "every VM is ready")
            self.wait(self.owner, 10, "a VM owns the fleet")
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_):
        for vm in self.vms:
            if vm.process.poll() is None:
                vm.process.send_signal(signal.SIGCONT)
                vm.process.kill()
        for vm in self.vms:
            vm.process.wait()
        if os.environ.get("KEEP"):
            print("logs:", self.folder)
            return
        for path in self.folder.iterdir():
            path.unlink()
        self.folder.rmdir()

    def write_configuration(self):
        """The operator writes a new version. Returns the time of its acknowledgement in the record."""
        routes = [
            {"name": name, "host": QUEUE_HOST, "prefix": f"/{name}/", "kind": "non_idempotent", "timeoutMs": 3000, "latencyGoalMs": 1000,
             "priority": priority, "service": "pool", "attempts": 4, "slackFactor": 2.0, "public": False}
            for name, priority in (("urgent", 0), ("normal", 1), ("patient", 2))
        ]  # fmt: skip
        self.version += 3
        self.store.put("op/config", {
            "version": self.version, "routes": routes,
            "services": [{"name": "pool", "healthPath": "/healthz", "maxConns": 64, "enforceCapacity": True, "standby": False}],
            "limits": {"maxBodyBytes": 262144}, "tenants": [{"name": "org", "keys": list(self.keys), "guaranteed": {"gpu": 16}}, *self.other_tenants],
        })  # fmt: skip
        self.record.write(f"operator: version {self.version} is acknowledged, keys {' '.join(self.keys)}")
        return self.record.now()

    def owner(self):
        value = self.store.value("primrosebridge/control/owner")
        name = json.loads(value)["vm"] if value else None
        return next((vm for vm in self.vms if vm.name == name), None)

    @staticmethod
    def wait(condition, timeout_s, what):
        until = time.monotonic() + timeout_s
        while True:
            value = condition()
            if value:
                return value
            if time.monotonic() > until:
                raise CannotRun(f"{what}: not within {timeout_s} s")
            time.sleep(0.03)

    def client(self, vm, method, path, document=None, key="key-a", timeout_s=3.0):
        """One call of a client, recorded. Returns (status, document) or None."""
        sent = self.record.now()
        answer = call(vm.front, method, path, document, {"Host": QUEUE_HOST, "Authorization": f"Bearer {key}"}, timeout_s)
        text = "no answer" if answer is None else f"{answer[0]} {json.dumps(answer[1])}"
        self.record.write(f"client: sent at {sent:.3f} to {vm.name}: {method} {path} with {key} -> {text}")
        return answer

    def starts(self):
        """All (time, task, run) that minions have begun, in order."""
        return sorted(start for minion in self.minions for start in minion.starts)


def job_id():
    return f"{random.SystemRandom().getrandbits(64):016x}"


def phase(run_ms, **fields):
    return {"count": 1, "cpu": 1000, "memMb": 1000, "estimateMs": run_ms, **fields}


def main(case):
    """Runs case(folder), which returns the broken rules as texts, and exits as the issue asks."""
    folder = Path(sys.argv[0]).resolve().parent
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # Leaves the context managers, which end the processes.
    try:
        broken = case(folder)
    except CannotRun as error:
        print("cannot run:", error)
        sys.exit(2)
    for text in broken:
        print("broken:", text)
    if not broken:
        print("held")
    sys.exit(1 if broken else 0)

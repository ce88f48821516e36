"""Stand-ins for the platform's store and minions, and the start of primrosebridged as deploy/system.toml runs it.

Everything runs on loopback and the real clock. The store has one port for each entry VM, so that a test can disturb the connections of
one VM. Standard library only.
"""

import asyncio
import base64
import bisect
import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
HEARTBEAT_S = 1.5
STORE_ANSWER_S = 0.004
HOLD_MAX_MS = 10000
CONFIG_MS = 2000
FINISH_S = 14.0
SERVICE = "huvo11a"
HOST_NAME = "nony24.example"
KEY = "d4a3hwrr6x73d3zji9n7"


_used_ports = set()


def free_port():
    """A port below the kernel's ephemeral ports, so that no outgoing connection takes it before it is bound."""
    while True:
        port = random.SystemRandom().randrange(10000, 32000)
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        if port not in _used_ports:
            _used_ports.add(port)
            return port


class Record:
    """record.txt: what was sent, answered and run, with the time in seconds since the start. Thread-safe."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._lock = threading.Lock()
        self.origin = time.monotonic()

    def __call__(self, text):
        with self._lock:
            self._file.write(f"{time.monotonic() - self.origin:8.3f}  {text}\n")
            self._file.flush()


async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    method, target = lines[0].split(" ")[:2]
    return method, target, headers, body


class JsonServer:
    """An HTTP/1.1 server; @p answer is a coroutine function (method, path, query, headers, body) -> (status, document) or None for no answer."""

    def __init__(self, answer):
        self._answer = answer
        self.port = free_port()
        self._server = None
        self._writers = set()
        self._busy = set()  # Connections with a call that is not answered yet.

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    async def open(self):
        self._server = await asyncio.start_server(self._serve, HOST, self.port, limit=1 << 24)

    async def close(self):
        """Stops listening and resets all connections."""
        if self._server:
            self._server.close()
            self._server = None
        await self.reset_connections()

    async def reset_busy_connections(self):
        """Resets the connections with a call in progress. Returns their number and that of all connections."""
        busy, all_open = list(self._busy), len(self._writers)
        for writer in busy:
            writer.transport.abort()
        return len(busy), all_open

    async def reset_connections(self):
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                method, target, headers, body = await read_message(reader)
                parts = urlsplit(target)
                query = {name: values[0] for name, values in parse_qs(parts.query, keep_blank_values=True).items()}
                document = json.loads(body) if body else {}
                self._busy.add(writer)
                result = await self._answer(method, parts.path, query, headers, document)
                self._busy.discard(writer)
                if result is None:
                    await asyncio.sleep(3600)  # The connection returns nothing further.
                status, reply = result
                data = json.dumps(reply).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            self._busy.discard(writer)
            writer.close()


class Store:
    """The platform's metadata store. Runs on the platform's event loop."""

    def __init__(self):
        self.revision = 100
        self.items = {}
        self.sorted_keys = None  # Computed at the first listing after a key was added or removed.
        self.events = []
        self.leases = {}
        self.keys_by_lease = {}
        self.next_lease = 5000
        self.changed = asyncio.Condition()
        self.before_answer = None  # Coroutine function (vm, method, path, query, body) -> False for no answer.

    async def write(self, sets, removes):
        self.revision += 1
        if removes or any(key not in self.items for key, _, _ in sets):
            self.sorted_keys = None
        for key, value, lease in sets:
            created = self.items[key]["created"] if key in self.items else self.revision
            item = {"key": key, "value": base64.b64encode(value).decode(), "rev": self.revision, "created": created, "lease": lease}
            self.items[key] = item
            if lease:
                self.keys_by_lease.setdefault(lease, set()).add(key)
            self.events.append((self.revision, key, item))
        for key in removes:
            if self.items.pop(key, None) is not None:
                self.events.append((self.revision, key, {"key": key, "rev": self.revision, "deleted": True}))
        async with self.changed:
            self.changed.notify_all()
        return self.revision

    async def end_lease(self, lease):
        if self.leases.pop(lease, None) is not None:
            keys = self.keys_by_lease.pop(lease, set())
            await self.write([], [key for key in keys if self.items.get(key, {}).get("lease") == lease])

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.02)
            for lease, (_, ends) in list(self.leases.items()):
                if ends <= time.monotonic():
                    await self.end_lease(lease)

    async def answer(self, vm, method, path, query, body):
        await asyncio.sleep(STORE_ANSWER_S)
        if self.before_answer and await self.before_answer(vm, method, path, query, body) is False:
            return None
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "atRev": self.revision}) if item else (404, {"atRev": self.revision})
        if path == "/kv-range":
            return 200, self.list_page(query["prefix"], query.get("after", ""))
        if path == "/kv-watch":
            return await self.watch(vm, method, path, query, body)
        if path == "/kv-txn":
            return await self.transact(body)
        if path == "/kv-lease":
            self.next_lease += 1
            self.leases[self.next_lease] = (body["ttlMs"], time.monotonic() + body["ttlMs"] / 1000)
            return 200, {"lease": self.next_lease, "ttlMs": body["ttlMs"]}
        lease = int(path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        if path.startswith("/kv-keep/"):
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"ttlMs": ttl}
        await self.end_lease(lease)
        return 200, {}

    def list_page(self, prefix, after):
        """A page of at most 500 items or about 1 MB."""
        if self.sorted_keys is None:
            self.sorted_keys = sorted(self.items)
        keys = self.sorted_keys
        position = bisect.bisect_right(keys, after) if after > prefix else bisect.bisect_left(keys, prefix)
        page, size = [], 0
        while position < len(keys) and keys[position].startswith(prefix) and len(page) < 500 and size < 1000000:
            page.append(self.items[keys[position]])
            size += len(page[-1]["value"])
            position += 1
        more = position < len(keys) and keys[position].startswith(prefix)
        return {"items": page, "truncated": more, "atRev": self.revision}

    async def watch(self, vm, method, path, query, body):
        deadline = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        after = int(query["after"])
        while True:
            events = [event for revision, key, event in self.events if revision > after and key.startswith(query["prefix"])]
            left = deadline - time.monotonic()
            if events or left <= 0:
                await asyncio.sleep(STORE_ANSWER_S)
                if self.before_answer and await self.before_answer(vm, method, path + "-answer", query, body) is False:
                    return None
                return 200, {"events": events, "atRev": self.revision if not events else max(event["rev"] for event in events)}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def transact(self, body):
        expected = body.get("expected", [])
        if any(self.items.get(row["key"], {"rev": 0})["rev"] != row["rev"] for row in expected):
            return 412, {"items": [self.items[row["key"]] for row in expected if row["key"] in self.items]}
        sets = [(row["key"], base64.b64decode(row["value"]), row.get("lease", 0)) for row in body.get("setKeys", [])]
        if any(lease and lease not in self.leases for _, _, lease in sets):
            return 404, {}
        if any(key.startswith(("op/", "servers/")) for key, _, _ in sets):
            return 403, {}
        return 200, {"rev": await self.write(sets, body.get("remove", []))}


class Run:
    def __init__(self, task, number, spec, started, work_s, how):
        self.task, self.number, self.spec, self.started, self.work_s, self.how = task, number, spec, started, work_s, how


class Minion:
    """One minion that guards its capacity. @p behaviour(task, run number, spec) returns (seconds of work or None for ever, how it ends)."""

    def __init__(self, platform, index, capacity, behaviour):
        self.platform, self.capacity, self.behaviour = platform, capacity, behaviour
        self.name = f"i-{random.getrandbits(32):08x}"
        self.index = index
        self.born = int(time.time() * 1000)
        self.origin = time.monotonic()
        self.fence = 0
        self.deadline = 0
        self.running = {}
        self.ends = []
        self.next_end = 1
        self.highest_ended = {}
        self.seq = 0
        self.state = "ready"
        self.kind = "a"
        self.left = False
        self.cut_from_store = False
        self.last_beat = time.monotonic()
        self.drained_at = 0.0
        self.unhealthy = False  # Answers 503 to starts and does nothing.
        self.server = JsonServer(self.answer)
        self.changed = asyncio.Condition()

    def clock(self):
        return int((time.monotonic() - self.origin) * 1000)

    async def beat(self):
        while not self.left:
            if not self.cut_from_store:
                await self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    async def write_entry(self):
        self.last_beat = time.monotonic()
        self.seq += 1
        entry = {
            "service": SERVICE, "addr": self.server.address, "zone": "zwolle-noord", "version": "v1", "slots": 8, "state": self.state, "coldLeftMs": 0,
            "capacity": self.capacity, "labels": [self.kind, f"r1-{self.index // 6}"], "clockMs": self.clock(), "seq": self.seq, "born": self.born,
        }  # fmt: skip
        if self.state == "draining":
            entry["remainingMs"] = max(0, int((self.drained_at - time.monotonic()) * 1000))
        await self.platform.store.write([(f"servers/{self.name}", json.dumps(entry).encode(), 0)], [])

    async def drain(self, drain_s):
        self.state, self.drained_at = "draining", time.monotonic() + drain_s
        self.platform.record(f"minion {self.index}: draining")
        await self.write_entry()

    async def leave(self):
        """The end of a planned shutdown: everything that runs terminates, then the entry goes."""
        self.left = True
        for task in list(self.running):
            await self.end(task, "gone with the minion")
        await self.server.close()
        await self.platform.store.write([], [f"servers/{self.name}"])
        self.platform.record(f"minion {self.index}: has left")

    async def expire_entry(self):
        """The platform removes the entry after three heartbeat intervals of silence."""
        while not self.left:
            await asyncio.sleep(0.02)
            if f"servers/{self.name}" in self.platform.store.items and time.monotonic() - self.last_beat > 3 * HEARTBEAT_S:
                self.platform.record(f"store: the entry of minion {self.index} is removed for its silence")
                await self.platform.store.write([], [f"servers/{self.name}"])

    async def end(self, task, how):
        run = self.running.pop(task)
        self.highest_ended[task] = max(self.highest_ended.get(task, 0), run.number)
        self.ends.append([self.next_end, task, run.number, how, ""])
        self.next_end += 1
        self.platform.record(f"minion {self.index}: run {run.number} of {task} ended {how}")
        self.platform.runs.append((task, run.number, self.index, run.started, time.monotonic(), how))
        async with self.changed:
            self.changed.notify_all()

    async def tick(self):
        while True:
            await asyncio.sleep(0.01)
            for task, run in list(self.running.items()):
                if self.clock() > self.deadline:
                    await self.end(task, "lapsed")
                elif run.work_s is not None and time.monotonic() - run.started >= run.work_s:
                    await self.end(task, run.how)

    def reply(self, status, document):
        return status, {**document, "clockMs": self.clock(), "born": self.born}

    async def answer(self, method, path, query, headers, body):
        if path == "/healthz":
            return 200, {}
        if headers.get("expect-instance", self.name) != self.name:
            return self.reply(421, {})
        if body.get("fence", 0) < self.fence:
            return self.reply(409, {"reason": "fence"})
        self.fence = body.get("fence", 0)
        if "deadlineMs" in body:
            self.deadline = max(self.deadline, min(body["deadlineMs"], self.clock() + HOLD_MAX_MS))
        if path == "/run-start" and self.unhealthy:
            self.platform.record(f"minion {self.index}: 503 to the start of run {body['runId']} of {body['task']}")
            return self.reply(503, {})
        if path == "/run-start":
            return await self.start(body)
        if path == "/run-stop":
            task, number = body["task"], body["runId"]
            self.highest_ended[task] = max(self.highest_ended.get(task, 0), number)
            if task in self.running and self.running[task].number <= number:
                await self.end(task, "stopped")
            return self.reply(200, {})
        if path == "/hold":
            last = body.get("lastSeen", 0)
            self.ends = [end for end in self.ends if end[0] > last]
            deadline = time.monotonic() + body.get("waitMs", 0) / 1000
            while not self.ends and (left := deadline - time.monotonic()) > 0:
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
            running = [[run.task, run.number, "", self.percent(run), run.spec and 0] for run in self.running.values()]
            return self.reply(200, {"running": running, "ended": self.ends[:500]})
        return self.reply(404, {})

    def percent(self, run):
        if run.work_s is None or run.how != "done":
            return min(100, int((time.monotonic() - run.started) * 200))
        return min(99, int(100 * (time.monotonic() - run.started) / run.work_s))

    async def start(self, body):
        task, number = body["task"], body["runId"]
        if task in self.running and self.running[task].number == number:
            return self.reply(200, {})
        if task in self.running or number <= self.highest_ended.get(task, 0):
            return self.reply(409, {"reason": "old"})
        if body["deadlineMs"] <= self.clock():
            return self.reply(409, {"reason": "late"})
        need = self.platform.needs(task)
        used = {name: sum(self.platform.needs(other)[name] for other in self.running) for name in need}
        if any(used[name] + need[name] > self.capacity[name] for name in need):
            return self.reply(409, {"reason": "room"})
        work_s, how = self.behaviour(task, number, body["spec"])
        self.running[task] = Run(task, number, body["spec"], time.monotonic(), work_s, how)
        self.platform.record(f"minion {self.index}: run {number} of {task} started")
        self.platform.starts.append((task, number, self.index, time.monotonic()))
        return self.reply(200, {})


class Vm:
    """An entry VM: one primrosebridged, started with the command and the template of deploy/system.toml."""

    def __init__(self, platform, name, zone):
        self.platform, self.name, self.zone = platform, name, zone
        self.front_port, self.ready_port = free_port(), free_port()
        self.store_server = JsonServer(lambda *call: platform.store_answer(self, *call))
        self.process = None

    def settings(self):
        # portRange has ports of our choice, because several VMs share one address here.
        first = free_port()
        second = free_port()
        values = {
            "node": self.name, "zone": self.zone, "listen.front": f"{HOST}:{self.front_port}", "listen.ready": f"{HOST}:{self.ready_port}",
            "ip": HOST, "portRange.0": first, "portRange.1": second, "platform.addr": self.store_server.address, "platform.ttlMinMs": 1000,
            "bounds.holdMaxMs": HOLD_MAX_MS, "bounds.reclaimMs": 3400, "bounds.stopMs": 900, "bounds.graceS": 6, "limits.cpuShare": 0.25,
            "limits.cores": 1, "bounds.remoteFactor": 3,
        }  # fmt: skip
        text = (ROOT / "deploy/fleet.json.template").read_text()
        text = re.sub(r"\{\{[#/^][^}]*\}\}", "", text)
        text = re.sub(r"\{\{([A-Za-z.0-9]+)\|json\}\}", lambda match: json.dumps(values[match.group(1)]), text)
        return re.sub(r"\{\{([A-Za-z.0-9]+)\}\}", lambda match: str(values[match.group(1)]), text)

    def start(self):
        path = self.platform.folder / f"{self.name}.json"
        path.write_text(self.settings())
        run = re.search(r'^run = "([^"]+)"', (ROOT / "deploy/system.toml").read_text(), re.M).group(1).split()
        log = open(self.platform.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            [str(ROOT / run[0])] + run[1:], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log, start_new_session=True,
            env={"PATH": os.environ.get("PATH", ""), "HOME": str(self.platform.folder), "LANG": "C.UTF-8", "PRIMROSEBRIDGE_CONFIG": str(path)},
        )  # fmt: skip

    def kill(self):
        """Ends the process with SIGKILL, as a loss of power or the platform's limit of memory does."""
        self.process.kill()
        self.process.wait()

    def resident_mb(self):
        """The private memory of the process; 0 if it has ended."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(r"RssAnon:\s+(\d+) kB", text)
        return int(found.group(1)) / 1024 if found else 0.0

    def ready(self):
        try:
            return self.call_port(self.ready_port, "GET", "/readyz", None, 1.0)[0] == 200
        except (OSError, http.client.HTTPException):
            return False

    @staticmethod
    def call_port(port, method, path, body, timeout):
        connection = http.client.HTTPConnection(HOST, port, timeout=timeout)
        try:
            headers = {"Host": HOST_NAME, "Authorization": f"Bearer {KEY}", "Deadline-Ms": str(int(timeout * 1000))}
            data = None
            if body is not None:
                data = json.dumps(body)
                headers["Content-Type"] = "application/json"
            connection.request(method, path, data, headers)
            response = connection.getresponse()
            return response.status, response.read().decode("utf-8", "replace")
        finally:
            connection.close()

    def call(self, method, path, body=None, timeout=3.0):
        """A client's call; returns (status, text), or (0, reason) without an answer."""
        try:
            status, text = self.call_port(self.front_port, method, path, body, timeout)
        except (OSError, http.client.HTTPException) as error:
            status, text = 0, type(error).__name__
        self.platform.record(f"client to {self.name}: {method} {path} -> {status or 'no answer'} {text}")
        return status, text


class Platform:
    """The store, the minions, the operator and the VMs of one run. Use as a context manager; leaving it ends all processes."""

    def __init__(self, folder, vms, minions, capacity, behaviour, kinds=""):
        self.record = Record(Path(folder) / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="primrosebridge-review-"))
        self.runs, self.starts = [], []
        self.step_needs = {}
        self.version = 6
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self._thread.start()
        self.run_in_loop(self._create(vms, minions, capacity, behaviour, kinds))

    def run_in_loop(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(30)

    def add_items(self, items):
        """Adds items to the store that were written before the run; no watch reports them."""

        async def add():
            for key, value in items:
                self.store.revision += 1
                self.store.items[key] = {"key": key, "value": value, "rev": self.store.revision, "created": self.store.revision, "lease": 0}
            self.store.sorted_keys = None

        self.run_in_loop(add())

    async def _create(self, vms, minions, capacity, behaviour, kinds):
        self.store = Store()
        self.tasks = [asyncio.ensure_future(self.store.expire_leases())]
        self.minions = [Minion(self, index, capacity, behaviour) for index in range(minions)]
        for minion, kind in zip(self.minions, kinds):
            minion.kind = kind
        for minion in self.minions:
            await minion.server.open()
            self.tasks += [asyncio.ensure_future(minion.beat()), asyncio.ensure_future(minion.tick()), asyncio.ensure_future(minion.expire_entry())]
        self.vms = [Vm(self, f"edge-zwolle-noord-{number + 1}", "zwolle-noord") for number in range(vms)]
        for vm in self.vms:
            await vm.store_server.open()

    async def _end_tasks(self):
        for server in [vm.store_server for vm in self.vms] + [minion.server for minion in self.minions]:
            await server.close()
        others = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)

    async def store_answer(self, vm, method, path, query, headers, body):
        return await self.store.answer(vm, method, path, query, body)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for vm in self.vms:
            if vm.process and vm.process.poll() is None:
                vm.process.send_signal(signal.SIGCONT)
                vm.process.kill()
                vm.process.wait()
        self.run_in_loop(self._end_tasks())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join(5)
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def route(self, name, prefix, **fields):
        return {
            "name": name, "host": HOST_NAME, "prefix": prefix, "kind": "non_idempotent", "timeoutMs": 3000, "latencyGoalMs": 300, "priority": 1,
            "service": SERVICE, "attempts": 4, "slackFactor": 3.0, "public": False, **fields,
        }  # fmt: skip

    def configure(self, routes):
        """The operator writes a new version. Returns when the store has acknowledged it."""
        self.version += random.randrange(1, 4)
        document = {
            "version": self.version, "routes": routes,
            "services": [
                {"name": SERVICE, "healthPath": "/healthz", "maxConns": 64, "proto": "h1", "tls": False, "enforceCapacity": True, "standby": False}
            ],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": "kaje80", "keys": [KEY], "priority": 1, "guaranteed": {"gpu": 8}}],
        }  # fmt: skip
        self.run_in_loop(self.store.write([("op/config", json.dumps(document).encode(), 0)], []))
        self.record(f"operator: version {self.version} acknowledged, routes {[route['name'] for route in routes]}")

    def start_vms(self, timeout_s=20):
        for vm in self.vms:
            vm.start()
        deadline = time.monotonic() + timeout_s
        while not all(vm.ready() for vm in self.vms) or self.owner() is None:
            if time.monotonic() > deadline:
                raise RuntimeError("the VMs are not ready")
            time.sleep(0.1)
        time.sleep(1.0)  # The owner has read its snapshot and taken the fence at the minions.

    def owner(self):
        """The VM that the store names as the holder of the orders, or None."""
        item = self.store.items.get("primrosebridge/control/owner")
        if item is None:
            return None
        name = json.loads(base64.b64decode(item["value"]))["vm"]
        return next(vm for vm in self.vms if vm.name == name)

    def needs(self, task):
        job, _, step, _ = task.split(".")
        return self.step_needs[(job, int(step))]

    def declare(self, job, phases):
        for step, phase in enumerate(phases):
            self.step_needs[(job, step)] = {name: phase.get(name, 0) for name in ("cpu", "memMb", "gpu")}

    def running_tasks(self, job):
        return [task for minion in self.minions for task in list(minion.running) if task.startswith(job + ".")]

    def busy_minions(self):
        return sum(1 for minion in self.minions if minion.running)


def new_job_id():
    return f"{random.getrandbits(64):016x}"


def run_case(main):
    """Runs main() and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run."""
    def give_up(*_):
        raise RuntimeError("the case takes too long")

    signal.signal(signal.SIGALRM, give_up)
    signal.alarm(110)
    try:
        broken = main()
    except Exception as error:  # noqa: BLE001
        print(f"the case could not run: {type(error).__name__}: {error}")
        raise SystemExit(2) from error
    print("rule broken" if broken else "rule held")
    raise SystemExit(1 if broken else 0)

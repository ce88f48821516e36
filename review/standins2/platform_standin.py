"""Stand-ins for the platform's store and workers, after the users' pages, for the scripts of this review. Python 3, no dependencies."""

import asyncio
import base64
import json
import random
import time
import urllib.parse
import zlib

HOST = "127.0.0.1"


def now_ms():
    return time.monotonic() * 1000.0


class Http:
    """A minimal HTTP/1.1 server for one handler: async handler(method, path, query, headers, body) -> (status, document) or None.

    None closes the connection without an answer. The handler may raise Hang to leave the call unanswered for good.
    """

    def __init__(self, handler, on_connection=None):
        self.handler = handler
        self.on_connection = on_connection
        self.port = 0
        self.server = None
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._serve, HOST, port, limit=8 * 1024 * 1024, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    def reset_all(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length) if length else b""
                path, _, query_text = target.partition("?")
                query = dict(urllib.parse.parse_qsl(query_text, keep_blank_values=True))
                answer = await self.handler(method, path, query, headers, body)
                if answer is None:
                    writer.transport.abort()
                    return
                status, document = answer
                payload = document if isinstance(document, bytes) else json.dumps(document).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(payload)}\r\n\r\n".encode() + payload
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, ValueError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


class Store:
    """The platform's store. Each VM gets a port of its own, so that the store may turn away single machines."""

    def __init__(self, record=lambda *_: None, value_bytes=1048576, history_s=20.0):
        self.items = {}  # key -> dict(key, value(b64), rev, created, lease)
        self.rev = 100
        self.events = []  # (rev, event)
        self.first_event_rev = 0
        self.leases = {}  # id -> dict(ttl, ends)
        self.next_lease = 7000
        self.value_bytes = value_bytes
        self.history_s = history_s
        self.changed = asyncio.Condition()
        self.record = record
        self.ports = {}  # name -> Http
        self.faults = {}  # name -> async fn(method, path, execute) -> answer, or absent
        self.refused_values = 0  # Transactions with a value over the limit.

    async def add_port(self, name):
        async def handler(method, path, query, headers, body):
            fault = self.faults.get(name)

            async def execute():
                return await self.execute(method, path, query, body)

            if fault:
                return await fault(method, path, execute)
            return await execute()

        self.ports[name] = await Http(handler).start()
        return self.ports[name].address

    async def run_leases(self):
        while True:
            await asyncio.sleep(0.02)
            for lease_id, lease in list(self.leases.items()):
                if lease["ends"] <= now_ms():
                    await self.end_lease(lease_id)

    async def end_lease(self, lease_id):
        self.leases.pop(lease_id, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease_id]:
            await self.remove(key)

    async def _notify(self):
        async with self.changed:
            self.changed.notify_all()

    def _set(self, key, value_b64, lease, rev):
        created = self.items[key]["created"] if key in self.items else rev
        item = {"key": key, "value": value_b64, "rev": rev, "created": created, "lease": lease}
        self.items[key] = item
        self.events.append((rev, time.monotonic(), dict(item)))

    async def put(self, key, value, lease=0):
        self.rev += 1
        if isinstance(value, str):
            value = value.encode()
        self._set(key, base64.b64encode(value).decode(), lease, self.rev)
        await self._notify()
        return self.rev

    async def remove(self, key):
        if key in self.items:
            self.rev += 1
            del self.items[key]
            self.events.append((self.rev, time.monotonic(), {"key": key, "rev": self.rev, "deleted": True}))
            await self._notify()

    def value(self, key):
        item = self.items.get(key)
        return base64.b64decode(item["value"]) if item else None

    async def execute(self, method, path, query, body):
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, item) if item else (404, {})
        if path == "/kv-range":
            keys = sorted(key for key in self.items if key.startswith(query["prefix"]) and key > query.get("after", ""))
            page, size = [], 0
            for key in keys:
                if len(page) >= 500 or (page and size > 1000000):
                    break
                page.append(self.items[key])
                size += len(self.items[key]["value"])
            return 200, {"items": page, "truncated": len(page) < len(keys), "atRev": self.rev}
        if path == "/kv-watch":
            return await self.watch(query["prefix"], int(query["after"]), int(query["waitMs"]))
        document = json.loads(body) if body else {}
        if path == "/kv-txn":
            return await self.transact(document)
        if path == "/kv-lease":
            self.next_lease += 1
            ttl = max(1000, int(document["ttlMs"]))
            self.leases[self.next_lease] = {"ttl": ttl, "ends": now_ms() + ttl}
            return 200, {"lease": self.next_lease, "ttlMs": ttl}
        if path.startswith("/kv-keep/"):
            lease = self.leases.get(int(path.rsplit("/", 1)[1]))
            if not lease:
                return 404, {}
            lease["ends"] = now_ms() + lease["ttl"]
            return 200, {"ttlMs": lease["ttl"]}
        if path.startswith("/kv-lease-end/"):
            lease_id = int(path.rsplit("/", 1)[1])
            if lease_id not in self.leases:
                return 404, {}
            await self.end_lease(lease_id)
            return 200, {}
        return 400, {}

    async def transact(self, document):
        expected, writes, removals = document.get("expected", []), document.get("setKeys", []), document.get("remove", [])
        if len(expected) + len(writes) + len(removals) > 32:
            return 400, {}
        current = {row["key"]: self.items.get(row["key"]) for row in expected}
        if any((current[row["key"]]["rev"] if current[row["key"]] else 0) != row["rev"] for row in expected):
            return 412, {"items": [item for item in current.values() if item]}
        for row in writes:
            if row["key"].startswith(("op/", "servers/")):
                return 403, {}
            if row.get("lease", 0) and row["lease"] not in self.leases:
                return 404, {}
            if len(base64.b64decode(row["value"])) > self.value_bytes:
                self.refused_values += 1
                return 400, {}
        self.rev += 1
        for row in writes:
            self._set(row["key"], row["value"], row.get("lease", 0), self.rev)
        for key in removals:
            if key in self.items:
                del self.items[key]
                self.events.append((self.rev, time.monotonic(), {"key": key, "rev": self.rev, "deleted": True}))
        await self._notify()
        return 200, {"rev": self.rev}

    async def watch(self, prefix, after, wait):
        while self.events and time.monotonic() - self.events[0][1] > self.history_s:
            self.first_event_rev = self.events.pop(0)[0]
        if after < self.first_event_rev:
            return 410, {}
        ends = now_ms() + wait
        while True:
            found = [event for rev, _, event in self.events if rev > after and event["key"].startswith(prefix)]
            if found or now_ms() >= ends:
                return 200, {"events": found, "atRev": self.rev}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), max(0.001, (ends - now_ms()) / 1000.0))
                except asyncio.TimeoutError:
                    pass


class Worker:
    """One worker of the platform: orders by calls, fences, leases on its own clock, listed ends."""

    def __init__(self, name, store, record, rack="r0", zone="zone-a", lease_ms=6000, run_ms=1500, stop_ms=200, capacity=None, pool="pool", spread=0.0):
        self.name, self.store, self.record = name, store, record
        self.rack, self.zone, self.pool = rack, zone, pool
        self.lease_ms, self.run_ms, self.stop_ms = lease_ms, run_ms, stop_ms
        self.spread = spread  # The run times of tasks differ by up to this share, either way.
        self.capacity = capacity or {"cpu": 32000, "memMb": 131072, "gpu": 8}
        self.state, self.seq, self.remaining_ms = "ready", 0, None
        self.fault = None  # async fn(path, body, execute) -> answer
        self.changed = asyncio.Condition()
        self.up = True
        self.cut = False  # Partitioned from all machines: it runs on, and no call or answer passes.
        self._fresh_life()

    def _fresh_life(self):
        self.born = int(time.time() * 1000)
        self.started = now_ms()
        self.fence, self.lease_end = 0, 0.0
        self.running = {}  # task -> dict(run, ends_at, started, spec, stopping)
        self.highest = {}
        self.ends, self.next_end = [], 1
        self.lapsed_ends = set()  # Numbers of ends that were listed when the lease lapsed.

    async def start(self):
        self.http = await Http(self._handle).start()
        self.task = asyncio.ensure_future(self._tick())
        await self.publish()
        return self

    def clock(self):
        return now_ms() - self.started

    async def publish(self):
        self.seq += 1
        entry = {
            "service": self.pool, "addr": self.http.address, "zone": self.zone, "version": "1", "slots": 8, "state": self.state, "coldLeftMs": 0,
            "seq": self.seq, "machine": "m-" + self.name, "capacity": self.capacity, "labels": ["a", self.rack], "born": self.born,
            "clockMs": int(self.clock()),
        }  # fmt: skip
        if self.state == "draining" and self.remaining_ms is not None:
            entry["remainingMs"] = self.remaining_ms
        await self.store.put("servers/" + self.name, json.dumps(entry))

    async def _end(self, task, how):
        run = self.running.pop(task)
        self.highest[task] = max(self.highest.get(task, 0), run["run"])
        self.ends.append([self.next_end, task, run["run"], how, ""])
        self.next_end += 1
        self.record("end", worker=self.name, task=task, run=run["run"], how=how)
        async with self.changed:
            self.changed.notify_all()

    async def _tick(self):
        while True:
            await asyncio.sleep(0.02)
            if not self.up:
                continue
            if self.ends and self.clock() > self.lease_end:
                self.lapsed_ends.update(end[0] for end in self.ends)
            for task, run in list(self.running.items()):
                if self.clock() > self.lease_end:
                    await self._end(task, "lapsed")
                elif run["stopping"] and now_ms() >= run["stopping"]:
                    await self._end(task, "stopped")
                elif now_ms() >= run["ends_at"]:
                    await self._end(task, "done")

    async def crash(self):
        self.up = False
        self.http.reset_all()
        for task, run in self.running.items():
            self.record("lost", worker=self.name, task=task, run=run["run"])
        self._fresh_life()

    async def restart(self):
        self.up = True
        self._fresh_life()
        await self.publish()

    def _reply(self, status, document):
        return status, {**document, "clockMs": int(self.clock()), "born": self.born}

    async def _handle(self, method, path, query, headers, body):
        if not self.up:
            return None
        if self.cut:
            return await self._lose_call()
        if headers.get("expect-instance", self.name) != self.name:
            return 421, {}
        document = json.loads(body) if body else {}

        async def execute():
            return await self.execute(path, document)

        answer = await self.fault(path, document, execute) if self.fault else await execute()
        return await self._lose_call() if self.cut else answer

    async def _lose_call(self):
        """The call or its answer is lost in the partition; the connection breaks when that heals."""
        while self.cut:
            await asyncio.sleep(0.05)
        return None

    async def execute(self, path, body):
        fence = body.get("fence", 0)
        if fence < self.fence:
            if path != "/hold":
                self.record("fenced", worker=self.name, path=path, task=body.get("task", ""), fence=fence, highest=self.fence)
            return self._reply(409, {"reason": "fence"})
        self.fence = fence
        if body.get("deadlineMs"):
            self.lease_end = max(self.lease_end, min(body["deadlineMs"], self.clock() + self.lease_ms))
        if path == "/run-start":
            return self._start(body)
        if path == "/run-stop":
            task, number = body["task"], body["runId"]
            self.highest[task] = max(self.highest.get(task, 0), number)
            run = self.running.get(task)
            if run and run["run"] <= number and not run["stopping"]:
                run["stopping"] = now_ms() + self.stop_ms
            self.record("stop", worker=self.name, task=task, run=number, fence=fence)
            return self._reply(200, {})
        if path == "/hold":
            seen = body.get("lastSeen", 0)
            for end in self.ends:
                if end[0] <= seen:
                    self.record("noted", worker=self.name, task=end[1], run=end[2], how=end[3], lapsed=end[0] in self.lapsed_ends)
            self.ends = [end for end in self.ends if end[0] > seen]
            ends_at = now_ms() + body.get("waitMs", 0)
            while not self.ends and now_ms() < ends_at:
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), max(0.001, (ends_at - now_ms()) / 1000.0))
                    except asyncio.TimeoutError:
                        pass
            rows = [[task, run["run"], "", self._percent(run), 0.0] for task, run in self.running.items()]
            return self._reply(200, {"running": rows, "ended": self.ends[:500]})
        return 400, {}

    @staticmethod
    def _percent(run):
        total = max(1.0, run["ends_at"] - run["started"])
        return int(max(0.0, min(99.0, 100.0 * (now_ms() - run["started"]) / total)))

    def _start(self, body):
        task, number = body["task"], body["runId"]
        run = self.running.get(task)
        if run and run["run"] == number:
            return self._reply(200, {})
        if run or number <= self.highest.get(task, 0):
            return self._reply(409, {"reason": "old"})
        if body.get("deadlineMs", 0) <= self.clock():
            return self._reply(409, {"reason": "late"})
        spec = body.get("spec", "")
        run_ms = float(spec.rsplit("runMs=", 1)[1]) if "runMs=" in spec else self.run_ms
        run_ms *= 1.0 + self.spread * (2.0 * zlib.crc32(task.encode()) / 0xFFFFFFFF - 1.0)
        self.running[task] = {"run": number, "started": now_ms(), "ends_at": now_ms() + run_ms, "stopping": 0, "spec": spec}
        self.record("start", worker=self.name, task=task, run=number, fence=body.get("fence", 0))
        return self._reply(200, {})


class Record:
    """The record of a script: one line of JSON for each thing sent, answered or run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.origin = time.monotonic()
        self.rows = []

    def __call__(self, event, **fields):
        row = {"at": round(time.monotonic() - self.origin, 3), "event": event, **fields}
        self.rows.append(row)
        self.file.write(json.dumps(row) + "\n")
        self.file.flush()


async def call(port, method, path, headers=None, body=None, timeout=5.0, connection=None):
    """Sends one call and returns (status, document), or (0, reason) without an answer. Uses and keeps @p connection if given."""
    payload = json.dumps(body).encode() if body is not None else b""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {(headers or {}).get('Host', HOST)}", f"Content-Length: {len(payload)}"]
    if payload:
        lines.append("Content-Type: application/json")
    lines += [f"{name}: {value}" for name, value in (headers or {}).items() if name != "Host"]
    try:
        if connection and connection.get("reader"):
            reader, writer = connection["reader"], connection["writer"]
        else:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(HOST, port, limit=8 * 1024 * 1024), timeout)
            if connection is not None:
                connection.update(reader=reader, writer=writer)
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + payload)
        head = (await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), timeout)).decode("latin-1")
        status = int(head.split(" ", 2)[1])
        length = next((int(line.split(":")[1]) for line in head.split("\r\n") if line.lower().startswith("content-length:")), 0)
        content = await asyncio.wait_for(reader.readexactly(length), timeout) if length else b""
        if connection is None:
            writer.close()
        try:
            return status, json.loads(content) if content else {}
        except ValueError:
            return status, content.decode("latin-1")
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
        if connection is not None:
            connection.clear()
        return 0, type(error).__name__


def new_job_id():
    return f"{random.getrandbits(64):016x}"

"""A small deployment on loopback: the daemon of the deploy file on several VMs, the stand-in store and the stand-in workers."""

import asyncio
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

from platform_standin import HOST, Record, Store, Worker, call

ROOT = Path(__file__).resolve().parents[2]
HOST_NAME = "review.example"
KEYS = {"org-a": "key-a-1", "org-b": "key-b-1"}
# (name, path prefix, priority)
QUEUES = (("urgent", "/urgent/", 0), ("normal", "/normal/", 1), ("background", "/background/", 2))


class CannotRun(Exception):
    """The case could not run; this says nothing about the rule."""


def configuration(version, keys=None, queues=QUEUES, attempts=2):
    return {
        "version": version,
        "routes": [
            {
                "name": name, "host": HOST_NAME, "prefix": prefix, "service": "pool", "priority": priority, "attempts": attempts, "slackFactor": 2.0,
                "latencyGoalMs": 1000, "timeoutMs": 3000,
            }
            for name, prefix, priority in queues
        ],
        "services": [{"name": "pool", "enforceCapacity": True}],
        "limits": {},
        "tenants": [{"name": name, "keys": [key], "guaranteed": {"gpu": 16}} for name, key in (keys or KEYS).items()],
    }  # fmt: skip


def settings_from_template(values):
    """Fills in deploy/fleet.json.template as the pages describe, as far as that template goes."""
    text = (ROOT / "deploy/fleet.json.template").read_text(encoding="utf-8")

    def lookup(name):
        value = values
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else value.get(part)
            if value is None:
                return None
        return value

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", lambda match: match.group(2) if lookup(match.group(1)) is not None else "", text)

    def fill(match):
        name, _, form = match.group(1).partition("|")
        value = lookup(name)
        return json.dumps(value) if form == "json" else str(value)

    return re.sub(r"\{\{([\w.]+(?:\|json)?)\}\}", fill, text)


class Vm:
    def __init__(self, deployment, number, zone):
        self.deployment, self.number, self.zone = deployment, number, zone
        self.name = f"vm-{number}"
        # An address of its own on the loopback network, so that the ports of the template, which follow portRange, are free.
        self.front, self.ready, self.peer, self.metrics = free_ports(4)
        self.process = None
        self.log_path = deployment.folder / f"{self.name}.log"

    def start(self):
        values = {
            "node": self.name, "zone": self.zone, "ip": HOST, "listen": {"front": f"{HOST}:{self.front}", "ready": f"{HOST}:{self.ready}"},
            "portRange": [self.peer, self.metrics], "platform": {"addr": self.store_address, "ttlMinMs": 1000},
            "bounds": self.deployment.bounds, "limits": {"cpuShare": 0.25, "cores": 1},
        }  # fmt: skip
        path = self.deployment.folder / f"{self.name}.json"
        path.write_text(settings_from_template(values), encoding="utf-8")
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": str(self.deployment.folder), "LANG": "C.UTF-8", "PRIMROSEBRIDGE_CONFIG": str(path)}
        log = open(self.log_path, "ab")
        self.process = subprocess.Popen([str(ROOT / "target/bin/primrosebridged")], cwd=ROOT, env=environment, stdout=log, stderr=log)
        log.close()
        self.deployment.record("vm_started", vm=self.name)

    def send_signal(self, number):
        self.deployment.record("signal", vm=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    def memory_mb(self):
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text(encoding="utf-8")
            return int(re.search(r"VmRSS:\s+(\d+)", text).group(1)) / 1024.0
        except (OSError, AttributeError):
            return 0.0

    def log(self):
        return self.log_path.read_text(encoding="utf-8", errors="replace")

    async def is_ready(self):
        status, _ = await call(self.ready, "GET", "/readyz", timeout=1.0)
        return status == 200


def free_ports(count):
    """Free ports below those that the system gives to outgoing connections, which might take one before its VM listens."""
    ports = []
    while len(ports) < count:
        port = random.randrange(11000, 32000)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        if port not in used_ports:
            used_ports.add(port)
            ports.append(port)
    return ports


used_ports = set()


class Deployment:
    def __init__(self, record, vms=4, workers=12, lease_ms=6000, zones=("zone-a", "zone-b"), run_ms=1500, stop_ms=200, rack_size=4, spread=0.0):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="primrosebridge-review-"))
        self.bounds = {"holdMaxMs": lease_ms, "reclaimMs": 3400, "stopMs": 900, "graceS": 6, "remoteFactor": 3}
        self.store = Store()
        self.vms = [Vm(self, number, zones[number % len(zones)]) for number in range(vms)]
        self.workers = [
            Worker(f"w{number}", self.store, record, rack=f"r{number // rack_size}", zone=zones[number // rack_size % len(zones)], lease_ms=lease_ms, run_ms=run_ms,
                   stop_ms=stop_ms, spread=spread)
            for number in range(workers)
        ]  # fmt: skip
        self.tasks = []

    async def start(self):
        if not (ROOT / "target/bin/primrosebridged").exists():
            raise CannotRun("target/bin/primrosebridged is missing; run the build of the deploy file")
        self.tasks.append(asyncio.ensure_future(self.store.run_leases()))
        for vm in self.vms:
            vm.store_address = await self.store.add_port(vm.name)
        await self.store.put("op/config", json.dumps(configuration(3)))
        for worker in self.workers:
            await worker.start()
        self.tasks.append(asyncio.ensure_future(self._heartbeats()))
        for vm in self.vms:
            vm.start()
        await self.wait_for(self._all_ready, 20, "every VM is ready")
        await asyncio.sleep(2.0)

    async def _all_ready(self):
        return all([await vm.is_ready() for vm in self.vms])

    async def _heartbeats(self):
        while True:
            await asyncio.sleep(1.5)
            for worker in self.workers:
                if worker.up and not getattr(worker, "mute_entry", False):
                    await worker.publish()

    async def wait_for(self, condition, seconds, what):
        ends = time.monotonic() + seconds
        while time.monotonic() < ends:
            if await condition():
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"not within {seconds} s: {what}")

    def owner(self):
        value = self.store.value("primrosebridge/control/owner")
        name = json.loads(value)["vm"] if value else None
        return next((vm for vm in self.vms if vm.name == name), None)

    async def submit(self, vm, job, phases, queue="/urgent/", key=KEYS["org-a"], spec="", timeout=3.0, connection=None, **fields):
        document = {"spec": spec, "phases": phases, **fields}
        status, answer = await call(
            vm.front, "POST", queue + job, {"Host": HOST_NAME, "Authorization": f"Bearer {key}", "Deadline-Ms": str(int(timeout * 1000))}, document, timeout, connection
        )
        self.record("submitted", vm=vm.name, job=job, queue=queue, key=key, status=status, answer=answer)
        return status

    async def state(self, vm, job, queue="/urgent/", key=KEYS["org-a"], timeout=3.0, connection=None):
        status, answer = await call(vm.front, "GET", queue + job, {"Host": HOST_NAME, "Authorization": f"Bearer {key}"}, None, timeout, connection)
        self.record("state", vm=vm.name, job=job, status=status, answer=answer)
        return status, answer.get("state", "") if isinstance(answer, dict) else ""

    def kill_all(self):
        for vm in self.vms:
            if vm.process and vm.process.poll() is None:
                vm.process.kill()
                vm.process.wait()

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        self.kill_all()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder, scenario, **options):
    """Runs @p scenario(deployment, record, with_trouble) and exits with 1 if it returns a list of violations, 0 for none, 2 if it cannot run."""
    record = Record(Path(folder) / "record.txt")
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    record("begin", trouble=with_trouble)

    async def main():
        deployment = Deployment(record, **options)
        deployment_holder.append(deployment)
        try:
            await deployment.start()
            return await scenario(deployment, record, with_trouble)
        finally:
            await deployment.stop()

    def end_late():
        record("cannot_run", reason="the case took too long")
        deployment_holder[0].kill_all()
        os._exit(2)

    deployment_holder = []
    watchdog = threading.Timer(116, end_late)
    watchdog.daemon = True
    watchdog.start()
    loop = asyncio.new_event_loop()
    try:
        violations = loop.run_until_complete(main())
    except Exception as error:  # A fault of the script says nothing about the rule.
        record("cannot_run", reason=f"{type(error).__name__}: {error}")
        print(f"cannot run: {type(error).__name__}: {error}", flush=True)
        os._exit(2)
    for violation in violations:
        record("violation", what=violation)
        print(violation)
    record("result", broken=bool(violations))
    print("the rule was broken" if violations else "the rule held", flush=True)
    os._exit(1 if violations else 0)  # The tasks of the stand-ins need not end in order.

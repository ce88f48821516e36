"""The measurement behind `scripts/measure capacity`: what entry VMs, workers, tasks and teams cost, as slopes."""

import argparse
import concurrent.futures
import hashlib
import json
import os
import statistics
import sys
import threading
import time

import harness
import usage
from demorun import percentile, print_table
from deployment import OPERATOR_TOKEN, Deployment
from relay import Relay, loopback_address

REST_S = 5.0  # Heartbeats and lease renewals have a period of 1 s, polls one of 5 s.
SETTLE_S = 2.0
CHANGES = 10
TIME_LIMIT_S = 280
TARGET = {"vms": 16, "zones": 7, "workers": 60, "tasks": 1800, "teams": 230}
LONG_RUN_MS = 3600000
LONG, ONCE = "long", "once"  # Classes without accelerators; ONCE is recorded in the store.


def _sha256(text):
    return hashlib.sha256(text.encode()).hexdigest()


def make_configuration(zones, workers_per_zone, teams):
    """A document with 8 workers a rack and 4 accelerators on every third worker, as 560 on 420 at the target scale."""
    names = [f"zone-{number + 1}" for number in range(zones)]
    half = (zones + 1) // 2
    regions = [{"id": f"region-{number + 1}", "zones": part} for number, part in enumerate((names[:half], names[half:])) if part]
    workers = []
    for zone in names:
        for number in range(workers_per_zone):
            workers.append({
                "id": f"{zone}-{number + 1:03d}", "zone": zone, "rack": f"{zone}-rack-{number // 8 + 1}", "cores": 64, "memoryMb": 131072,
                "accelerators": 4 if number % 3 == 0 else 0, "address": loopback_address(len(workers)),
            })  # fmt: skip
    organisations = [
        {"id": f"team-{number + 1:03d}", "quotaAccelerators": 16, "queueLimit": 4000, "tokenSha256": _sha256(f"demo-team-{number + 1:03d}")}
        for number in range(teams)
    ]
    shape = {"accelerators": 0, "adjacency": "SameWorker", "cores": 1, "memoryMb": 512}
    times = {"expectedRunTimeMs": LONG_RUN_MS, "shape": shape, "tier": "urgent"}
    job_classes_by_id = [
        {"id": LONG, "idempotent": True, "durable": False, "restartable": True, **times},
        {"id": ONCE, "idempotent": False, "durable": True, "restartable": False, **times},
    ]
    return {
        "version": 0, "deployment": "capacity", "operatorTokenSha256": _sha256(OPERATOR_TOKEN), "regions": regions, "workers": workers,
        "organisations": organisations, "jobClasses": job_classes_by_id, "guarantees": [],
    }  # fmt: skip


class CapacityDeployment(Deployment):
    """A deployment in which every worker has an address of its own. The stand-in serves them all from one process."""

    def __init__(self, processes, vms, zones, workers, teams):
        super().__init__(processes, "", vms, make_configuration(zones, workers, teams))
        self.worker_port = processes.ports.allocate()
        for number, worker in enumerate(self.configuration["workers"]):
            worker["address"] = f"{loopback_address(number)}:{self.worker_port}"
        self.worker_count = len(self.configuration["workers"])

    def start_platform(self):
        published = self.configuration
        served = [{**worker, "address": self._workers_address} for worker in published["workers"]]
        self.configuration = {**published, "workers": served}  # What the stand-in reads.
        super().start_platform()
        self.configuration = published
        self.publish_vm_list()

    def relay(self):
        return Relay(self.worker_count, self.worker_port, self._workers_address)

    def end_vms(self):
        for vm in self.vms:
            vm.process.kill()

    def restart_all(self):
        """Kills and starts every VM at once; returns the seconds until all are ready and all zones owned, and the store's calls."""
        self.end_vms()
        before = self.platform.store_call_counts()["byKind"]
        began = time.monotonic()
        for vm in self.vms:
            self.start_vm(vm)
        with BooksSampler(self.platform) as sampler:
            harness.wait_until(lambda: all(vm.ready() for vm in self.vms), 25, "every entry VM is ready again")
            harness.wait_until(lambda: sum(metric(vm, "primrosebridge_owns_zone") for vm in self.vms) >= len(self.zones), 25, "every zone has an owner", 0.2)
        return time.monotonic() - began, difference(before, self.platform.store_call_counts()["byKind"]), sampler.highest


class BooksSampler:
    """The most store calls in any second of a block, by kind of call: (reads, writes)."""

    def __init__(self, platform):
        self._platform = platform
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._samples = []

    def __enter__(self):
        self._take()
        self._thread.start()
        return self

    def __exit__(self, *_):
        self._stop.set()
        self._thread.join()
        self._take()

    def _take(self):
        books = self._platform.store_call_counts()
        self._samples.append((time.monotonic(), books["reads"], books["writes"]))

    def _run(self):
        while not self._stop.wait(0.1):
            self._take()

    @property
    def highest(self):
        best = [0, 0]
        for at, *counts in self._samples:
            later = [sample for sample in self._samples if at <= sample[0] <= at + 1.0][-1]
            best = [max(old, new - count) for old, new, count in zip(best, later[1:], counts)]
        return tuple(best)


def difference(before, after):
    return {kind: count - before.get(kind, 0) for kind, count in after.items() if count > before.get(kind, 0)}


def metric(vm, name):
    """The value of a metric without labels; 0 if the VM does not answer."""
    answer = harness.try_call(vm.http_port, "GET", "/metrics", timeout=3.0)
    for line in answer.text.splitlines() if answer else ():
        if line.startswith(name + " "):
            return float(line.split()[1])
    return 0.0


def is_owner(vm):
    return metric(vm, "primrosebridge_owns_zone") >= 1


class Rest:
    """What each VM and the store do in a window without requests of callers."""

    def __init__(self, deployment, seconds=REST_S):
        self.deployment = deployment
        vms = deployment.vms
        self.owners = [vm for vm in vms if is_owner(vm)]
        self.standbys = [vm for vm in vms if vm not in self.owners]
        heartbeat = {vm: metric(vm, "primrosebridge_heartbeat_bytes") for vm in vms}
        pids = [vm.process.pid for vm in vms]
        time.sleep(1.2)  # The work for the metrics pages above is over.
        books = deployment.platform.store_call_counts()["byKind"]
        sockets, sockets_at = usage.connections(pids), time.monotonic()
        times, times_at = {vm: usage.thread_times(vm.process.pid) for vm in vms}, time.monotonic()
        time.sleep(seconds)
        passed = time.monotonic() - times_at
        self.cpu = {vm: 100 * usage.seconds_between(times[vm], usage.thread_times(vm.process.pid)) / passed for vm in vms}
        later, passed = usage.connections(pids), time.monotonic() - sockets_at
        self.traffic = {vm: self._traffic(vm, sockets[vm.process.pid], later[vm.process.pid], passed) for vm in vms}
        self.store = {kind: count / passed for kind, count in difference(books, deployment.platform.store_call_counts()["byKind"]).items()}
        self.memory = {vm: usage.memory(vm.process.pid) for vm in vms}
        self.threads = {vm: usage.thread_count(vm.process.pid) for vm in vms}
        elapsed = time.monotonic() - times_at + 1.2
        self.heartbeat = {vm: (metric(vm, "primrosebridge_heartbeat_bytes") - heartbeat[vm]) / elapsed for vm in vms}

    def _kind(self, vm, ends):
        local, remote = (int(end.rsplit(":", 1)[1]) for end in ends)
        if remote == self.deployment.worker_port:
            return "workers"
        if vm.store_port == remote:
            return "store"
        if vm.peer_port == local or remote in {other.peer_port for other in self.deployment.vms}:
            return "peers"
        return "other"

    def _traffic(self, vm, before, after, passed):
        """Payload bytes a second by kind, and with the headers of all three "sent" and, in both directions, "wire"."""
        rates = dict.fromkeys(("peers", "workers", "store", "other", "sent", "wire"), 0.0)
        for ends, now in after.items():
            sent, received, segments_out, segments_in = (new - old for new, old in zip(now, before.get(ends, (0, 0, 0, 0))))
            kind = self._kind(vm, ends)
            rates[kind] += (sent + received) / passed
            if kind != "other":
                rates["sent"] += (sent + usage.HEADER_BYTES * segments_out) / passed
                rates["wire"] += (sent + received + usage.HEADER_BYTES * (segments_out + segments_in)) / passed
        return rates

    def row(self):
        """Means over the owners and over the standbys, in the order of ROW."""
        cells = []
        for vms in (self.owners, self.standbys):
            cells += [_mean(self.cpu, vms), _mean({vm: pair[0] for vm, pair in self.memory.items()}, vms)]
            cells += [_mean({vm: pair[1] for vm, pair in self.memory.items()}, vms), _mean(self.threads, vms)]
            cells += [_mean(self.heartbeat, vms)]
            cells += [_mean({vm: rates[kind] for vm, rates in self.traffic.items()}, vms) for kind in ("peers", "workers", "store", "sent", "wire")]
        return cells


ROW = ["cpu %", "rss MB", "anon MB", "threads", "heartbeat B/s", "peers B/s", "workers B/s", "store B/s", "sent B/s", "wire B/s"]


def _mean(values, vms):
    return statistics.fmean(values[vm] for vm in vms) if vms else None


def slope(points):
    """Least squares through (x, y): (value at 0, change per unit of x)."""
    xs, ys = zip(*points)
    mean_x, mean_y = statistics.fmean(xs), statistics.fmean(ys)
    spread = sum((x - mean_x) ** 2 for x in xs)
    gain = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return mean_y - gain * mean_x, gain


class Table:
    """Points of one series and the slopes through them."""

    def __init__(self, title, unit):
        self.title = title
        self.unit = unit
        self.points = []

    def add(self, x, rest):
        self.points.append((x, rest.row(), os.getloadavg()[0], rest.store))
        print(f"  {self.title}: {x} {self.unit} done, load {os.getloadavg()[0]:.1f}", file=sys.stderr, flush=True)

    def show(self):
        for role, offset in (("owner", 0), ("standby", len(ROW))):
            rows = [[self.unit, *ROW, "load"]]
            for x, cells, load, _ in self.points:
                rows.append([str(x), *(_cell(cell) for cell in cells[offset : offset + len(ROW)]), f"{load:.1f}"])
            self._add_slopes(rows, offset)
            print(f"\n{self.title}, {role} at rest, mean of all:")
            print_table(rows)

    def _add_slopes(self, rows, offset):
        if len(self.points) < 2:
            return
        fits = []
        for column in range(offset, offset + len(ROW)):
            points = [(x, cells[column]) for x, cells, _, _ in self.points if cells[column] is not None]
            fits.append(slope(points) if len(points) > 1 else None)
        rows.append(["at 0", *("-" if fit is None else f"{fit[0]:.2f}" for fit in fits), ""])
        rows.append(["per unit", *("-" if fit is None else f"{fit[1]:.4f}" for fit in fits), ""])


def _cell(value):
    return "-" if value is None else f"{value:.2f}" if value < 100 else f"{value:.0f}"


def show_store(title, rows_by_x):
    kinds = sorted({kind for _, counts in rows_by_x for kind in counts})
    print(f"\n{title}:")
    print_table([["", *kinds], *([str(x), *(f"{counts.get(kind, 0):.2f}" for kind in kinds)] for x, counts in rows_by_x)])


class Started:
    """A running deployment with its relay, ended when the block is left."""

    def __init__(self, vms, zones, workers, teams=4):
        self._processes = harness.Processes()
        self._shape = (vms, zones, workers, teams)
        self._relay = None

    def __enter__(self):
        self._processes.__enter__()
        try:
            deployment = CapacityDeployment(self._processes, *self._shape)
            self._relay = deployment.relay().__enter__()
            deployment.start()
            time.sleep(SETTLE_S)
        except BaseException:
            self.__exit__(*sys.exc_info())
            raise
        return deployment

    def __exit__(self, kind, value, traceback):
        self._processes.__exit__(kind, value, traceback)
        if self._relay:
            self._relay.__exit__()


def submit(vm, key, job_class, team, run_ms, wait_ms=0):
    body = {"key": key, "class": job_class, "payload": json.dumps({"runMs": run_ms}), "declaredRunTimeMs": max(1, run_ms), "zone": vm.zone}
    headers = {"Authorization": f"Bearer demo-team-{team:03d}"}
    for _ in range(50):
        answer = harness.try_call(vm.http_port, "POST", f"/v1/requests?wait_ms={wait_ms}", body, headers, 15.0)
        if answer is not None and answer.status in (200, 202):
            return answer.body
        time.sleep(0.1)
    raise harness.HarnessError(f"{key} was not accepted: {answer and answer.text}")


def fill(owners, count, already, teams):
    """Runs long tasks until each zone runs its share of @p count."""
    with concurrent.futures.ThreadPoolExecutor(16) as pool:
        runs = [
            pool.submit(submit, owners[number % len(owners)], f"long-{number:05d}", LONG, number % teams + 1, LONG_RUN_MS) for number in range(already, count)
        ]
        for run in runs:
            run.result()
    harness.wait_until(lambda: sum(vm.fleet().get("running", 0) for vm in owners) >= count, 20, f"{count} tasks run", 0.25)
    time.sleep(SETTLE_S)


def change_configurations(deployment):
    """Seconds from the call that publishes a version until each VM answers with it, for every VM and change."""
    samples = []
    seen = deployment.vms[0].configuration_version()
    for number in range(CHANGES):
        publisher = deployment.vms[number % len(deployment.vms)]
        document = {**deployment.configuration, "deployment": f"capacity {number}"}
        with concurrent.futures.ThreadPoolExecutor(len(deployment.vms)) as pool:
            began = time.monotonic()
            waits = [pool.submit(_wait_for_version, vm, seen + 1, began) for vm in deployment.vms]
            answer = deployment.publish(publisher, document, seen)
            if answer is None or answer.status != 200:
                raise harness.HarnessError(f"a configuration was refused: {answer and answer.text}")
            samples += [wait.result() for wait in waits]
        seen = answer.body["version"]
    return samples


def _wait_for_version(vm, version, began):
    harness.wait_until(lambda: vm.configuration_version() >= version, 10, f"{vm.name} has version {version}", 0.02)
    return time.monotonic() - began


def jobs_and_store(deployment, rest):
    """Store calls of a recorded and of an unrecorded job, beyond those at rest, one after the other and 16 at once."""
    owner = rest.owners[0]
    rows = []
    for job_class in (LONG, ONCE):
        for width, count in ((1, 30), (16, 160)):
            before, began = deployment.platform.store_call_counts()["byKind"], time.monotonic()
            with concurrent.futures.ThreadPoolExecutor(width) as pool:
                done = list(pool.map(lambda number: submit(owner, f"{job_class}-{width}-{number}", job_class, 1, 0, 10000), range(count)))  # noqa: B023
            passed = time.monotonic() - began
            finished = sum(body["outcome"] == "done" for body in done)
            counts = difference(before, deployment.platform.store_call_counts()["byKind"])
            extra = {kind: (counts.get(kind, 0) - rest.store.get(kind, 0) * passed) / count for kind in counts}
            rows.append((f"{job_class}, {width} at once: {finished}/{count} done in {passed:.1f} s", extra))
    return rows


class Run:
    def __init__(self):
        self._began = time.monotonic()
        self._tables = []
        self._changes = [["entry VMs", "changes", "p50 ms", "p99 ms", "max ms"]]
        self._starts = [["entry VMs", "seconds", "calls by kind", "most reads in 1 s", "most writes in 1 s"]]
        self._jobs = []

    def _table(self, title, unit):
        self._tables.append(Table(title, unit))
        return self._tables[-1]

    def _skip(self, what):
        late = time.monotonic() - self._began > TIME_LIMIT_S - 30
        if late:
            print(f"not measured, as the time is over: {what}", file=sys.stderr)
        return late

    def entry_vms(self):
        table = self._table("entry VMs over up to 7 zones, 13 workers a zone", "entry VMs")
        for count in (2, 4, 8, 16):
            if self._skip(f"{count} entry VMs"):
                return
            with Started(count, min(count, 7), 13) as deployment:
                rest = Rest(deployment)
                table.add(count, rest)
                self._change_rows(deployment, count)
                if count == 8:
                    self._jobs = jobs_and_store(deployment, rest)
                seconds, calls, highest = deployment.restart_all()
                text = " ".join(f"{kind}={calls[kind]}" for kind in sorted(calls))
                self._starts.append([str(count), f"{seconds:.1f}", text, *(str(one) for one in highest)])
                deployment.end_vms()

    def _change_rows(self, deployment, name):
        samples = change_configurations(deployment)
        figures = [f"{1000 * value:.0f}" for value in (percentile(samples, 0.5), percentile(samples, 0.99), max(samples))]
        self._changes.append([str(name), str(CHANGES), *figures])

    def workers(self):
        table = self._table("workers of one zone with 2 entry VMs", "workers")
        for count in (13, 50, 100, 200, 420):
            if self._skip(f"{count} workers"):
                return
            with Started(2, 1, count) as deployment:
                table.add(count, Rest(deployment))
                deployment.end_vms()

    def tasks(self):
        table = self._table("running tasks of one zone with 60 workers and 2 entry VMs", "tasks")
        if self._skip("running tasks"):
            return
        with Started(2, 1, 60) as deployment:
            table.add(0, Rest(deployment))
            already = 0
            for count in (100, 400, 1800):
                fill([vm for vm in deployment.vms if is_owner(vm)], count, already, 4)
                already = count
                table.add(count, Rest(deployment))
            deployment.end_vms()

    def teams(self):
        table = self._table("teams, one zone with 13 workers and 2 entry VMs", "teams")
        for count in (4, 60, 230):
            if self._skip(f"{count} teams"):
                return
            with Started(2, 1, 13, count) as deployment:
                table.add(count, Rest(deployment))
                deployment.end_vms()

    def target(self):
        table = self._table("target scale: 16 entry VMs, 7 zones, 420 workers, 230 teams", "tasks")
        if self._skip("the target scale"):
            return
        with Started(TARGET["vms"], TARGET["zones"], TARGET["workers"], TARGET["teams"]) as deployment:
            table.add(0, Rest(deployment))
            owners = [vm for vm in deployment.vms if is_owner(vm)]
            fill(owners, TARGET["tasks"], 0, TARGET["teams"])
            table.add(TARGET["tasks"], Rest(deployment))
            self._change_rows(deployment, "16, target scale")
            deployment.end_vms()

    def show(self):
        print(f"load average now {os.getloadavg()[0]:.1f} of {os.cpu_count()} cores; the column load is that at the end of each window")
        for table in self._tables:
            table.show()
            show_store(f"{table.title}, store calls a second at rest", [(x, store) for x, _, _, store in table.points])
        print("\nstart of all entry VMs at once, until all are ready and every zone has an owner:")
        print_table(self._starts)
        if self._jobs:
            show_store("store calls per accepted job, beyond those at rest, 8 entry VMs", self._jobs)
        print("\ntime until every entry VM has the version in force, over all VMs and changes:")
        print_table(self._changes)
        print(f"\n{time.monotonic() - self._began:.0f} s in total", flush=True)


SERIES = ("entry_vms", "workers", "tasks", "teams", "target")


def main():
    parser = argparse.ArgumentParser(prog="scripts/measure capacity", description=__doc__)
    parser.add_argument("series", nargs="*", help=f"any of {', '.join(SERIES)}; all without a name")
    names = parser.parse_args().series or SERIES
    if unknown := set(names) - set(SERIES):
        parser.error(f"series {', '.join(sorted(unknown))} do not exist; use {', '.join(SERIES)}")
    run = Run()
    try:
        for name in names:
            getattr(run, name)()
    finally:
        run.show()
    return 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except KeyboardInterrupt:
        print("interrupted; every process has ended", file=sys.stderr)
        sys.exit(130)
    except harness.HarnessError as error:
        print(error, file=sys.stderr)
        sys.exit(2)

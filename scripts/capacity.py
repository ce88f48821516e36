"""Implements `scripts/measure capacity`: the resources that each entry VM, worker, task and team costs, from linear fits."""

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
from relay import WorkerRelay, loopback_address

IDLE_WINDOW_S = 5.0  # Covers several periods of heartbeats and lease renewals (1 s each) and one period of polls (5 s).
SETTLE_DELAY_S = 2.0
CONFIGURATION_CHANGES = 10
TIME_LIMIT_S = 280
TARGET_SCALE = {"vms": 16, "zones": 7, "workers": 60, "tasks": 1800, "teams": 230}
LONG_RUN_MS = 3600000
LONG, ONCE = "long", "once"  # Job classes without accelerators. Requests of the class ONCE are recorded in the store.


def _sha256(text):
    return hashlib.sha256(text.encode()).hexdigest()


def make_configuration(zones, workers_per_zone, teams):
    """A document with 8 workers in each rack and 4 accelerators on every third worker, which gives 560 on 420 workers at the target scale."""
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
    """A deployment in which every worker has its own address, although one stand-in process serves all of them."""

    def __init__(self, processes, vms, zones, workers, teams):
        super().__init__(processes, "", vms, make_configuration(zones, workers, teams))
        self.worker_port = processes.ports.allocate()
        for number, worker in enumerate(self.configuration["workers"]):
            worker["address"] = f"{loopback_address(number)}:{self.worker_port}"
        self.worker_count = len(self.configuration["workers"])

    def start_platform(self):
        published = self.configuration
        served = [{**worker, "address": self._workers_address} for worker in published["workers"]]
        self.configuration = {**published, "workers": served}  # The stand-in reads this document, in which all workers have its own address.
        super().start_platform()
        self.configuration = published
        self.publish_vm_list()

    def make_relay(self):
        return WorkerRelay(self.worker_count, self.worker_port, self._workers_address)

    def kill_vms(self):
        for vm in self.vms:
            vm.process.kill()

    def restart_all(self):
        """Kills and starts all VMs at once. Returns the seconds until all are ready and all zones have owners, the store calls by kind,
        and the highest (reads, writes) of the store in one second."""
        self.kill_vms()
        before = self.platform.store_call_counts()["byKind"]
        started_at = time.monotonic()
        for vm in self.vms:
            self.start_vm(vm)
        with StoreCallRateSampler(self.platform) as sampler:
            harness.wait_until(lambda: all(vm.ready() for vm in self.vms), 25, "every entry VM is ready again")
            harness.wait_until(
                lambda: sum(read_metric(vm, "primrosebridge_owns_zone") for vm in self.vms) >= len(self.zones), 25, "every zone has an owner", 0.2
            )
        return time.monotonic() - started_at, count_increases(before, self.platform.store_call_counts()["byKind"]), sampler.peak_counts


class StoreCallRateSampler:
    """Samples the store's call counts during a block and finds the highest (reads, writes) in any second. Use as a context manager."""

    def __init__(self, platform):
        self._platform = platform
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._sample_until_stopped, daemon=True)
        self._samples = []

    def __enter__(self):
        self._take_sample()
        self._thread.start()
        return self

    def __exit__(self, *_):
        self._stop.set()
        self._thread.join()
        self._take_sample()

    def _take_sample(self):
        call_counts = self._platform.store_call_counts()
        self._samples.append((time.monotonic(), call_counts["reads"], call_counts["writes"]))

    def _sample_until_stopped(self):
        while not self._stop.wait(0.1):
            self._take_sample()

    @property
    def peak_counts(self):
        best = [0, 0]
        for at, *counts in self._samples:
            later = [sample for sample in self._samples if at <= sample[0] <= at + 1.0][-1]
            best = [max(old, new - count) for old, new, count in zip(best, later[1:], counts)]
        return tuple(best)


def count_increases(before, after):
    return {kind: count - before.get(kind, 0) for kind, count in after.items() if count > before.get(kind, 0)}


def read_metric(vm, name):
    """Returns the value of a metric without labels, or 0 if the VM does not answer."""
    answer = harness.try_call(vm.http_port, "GET", "/metrics", timeout=3.0)
    for line in answer.text.splitlines() if answer else ():
        if line.startswith(name + " "):
            return float(line.split()[1])
    return 0.0


def is_owner(vm):
    return read_metric(vm, "primrosebridge_owns_zone") >= 1


class IdleUsage:
    """The resource usage of each VM and the store calls, measured in a time window without requests from callers."""

    def __init__(self, deployment, seconds=IDLE_WINDOW_S):
        self.deployment = deployment
        vms = deployment.vms
        self.owners = [vm for vm in vms if is_owner(vm)]
        self.standbys = [vm for vm in vms if vm not in self.owners]
        heartbeat = {vm: read_metric(vm, "primrosebridge_heartbeat_bytes") for vm in vms}
        pids = [vm.process.pid for vm in vms]
        time.sleep(1.2)  # Waits until the VMs have finished serving the metrics requests above.
        call_counts = deployment.platform.store_call_counts()["byKind"]
        sockets, sockets_at = usage.connection_counters(pids), time.monotonic()
        times, times_at = {vm: usage.thread_cpu_seconds(vm.process.pid) for vm in vms}, time.monotonic()
        time.sleep(seconds)
        elapsed_s = time.monotonic() - times_at
        self.cpu = {vm: 100 * usage.cpu_seconds_between(times[vm], usage.thread_cpu_seconds(vm.process.pid)) / elapsed_s for vm in vms}
        later, elapsed_s = usage.connection_counters(pids), time.monotonic() - sockets_at
        self.traffic = {vm: self._byte_rates(vm, sockets[vm.process.pid], later[vm.process.pid], elapsed_s) for vm in vms}
        self.store = {kind: count / elapsed_s for kind, count in count_increases(call_counts, deployment.platform.store_call_counts()["byKind"]).items()}
        self.memory = {vm: usage.resident_memory(vm.process.pid) for vm in vms}
        self.threads = {vm: usage.thread_count(vm.process.pid) for vm in vms}
        heartbeat_window_s = time.monotonic() - times_at + 1.2
        self.heartbeat = {vm: (read_metric(vm, "primrosebridge_heartbeat_bytes") - heartbeat[vm]) / heartbeat_window_s for vm in vms}

    def _connection_kind(self, vm, ends):
        local, remote = (int(end.rsplit(":", 1)[1]) for end in ends)
        if remote == self.deployment.worker_port:
            return "workers"
        if vm.store_port == remote:
            return "store"
        if vm.peer_port == local or remote in {other.peer_port for other in self.deployment.vms}:
            return "peers"
        return "other"

    def _byte_rates(self, vm, before, after, elapsed_s):
        """Returns payload bytes a second by kind of connection. "sent" and "wire" include headers and exclude the kind "other"; "wire" counts
        both directions."""
        rates = dict.fromkeys(("peers", "workers", "store", "other", "sent", "wire"), 0.0)
        for ends, now in after.items():
            sent, received, segments_out, segments_in = (new - old for new, old in zip(now, before.get(ends, (0, 0, 0, 0))))
            kind = self._connection_kind(vm, ends)
            rates[kind] += (sent + received) / elapsed_s
            if kind != "other":
                rates["sent"] += (sent + usage.HEADER_BYTES * segments_out) / elapsed_s
                rates["wire"] += (sent + received + usage.HEADER_BYTES * (segments_out + segments_in)) / elapsed_s
        return rates

    def mean_row(self):
        """Returns the means over the owners, then those over the standbys, each in the order of COLUMNS."""
        cells = []
        for vms in (self.owners, self.standbys):
            cells += [_mean_over(self.cpu, vms), _mean_over({vm: pair[0] for vm, pair in self.memory.items()}, vms)]
            cells += [_mean_over({vm: pair[1] for vm, pair in self.memory.items()}, vms), _mean_over(self.threads, vms)]
            cells += [_mean_over(self.heartbeat, vms)]
            cells += [_mean_over({vm: rates[kind] for vm, rates in self.traffic.items()}, vms) for kind in ("peers", "workers", "store", "sent", "wire")]
        return cells


COLUMNS = ["cpu %", "rss MB", "anon MB", "threads", "heartbeat B/s", "peers B/s", "workers B/s", "store B/s", "sent B/s", "wire B/s"]


def _mean_over(values, vms):
    return statistics.fmean(values[vm] for vm in vms) if vms else None


def linear_fit(points):
    """Fits a line to points (x, y) by least squares; returns its value at 0 and its slope."""
    xs, ys = zip(*points)
    mean_x, mean_y = statistics.fmean(xs), statistics.fmean(ys)
    spread = sum((x - mean_x) ** 2 for x in xs)
    gain = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return mean_y - gain * mean_x, gain


class SeriesTable:
    """The measured points of one series, printed as a table with a linear fit of each column."""

    def __init__(self, title, unit):
        self.title = title
        self.unit = unit
        self.points = []

    def add_point(self, x, idle_usage):
        self.points.append((x, idle_usage.mean_row(), os.getloadavg()[0], idle_usage.store))
        print(f"  {self.title}: {x} {self.unit} done, load {os.getloadavg()[0]:.1f}", file=sys.stderr, flush=True)

    def print_with_fits(self):
        for role, offset in (("owner", 0), ("standby", len(COLUMNS))):
            rows = [[self.unit, *COLUMNS, "load"]]
            for x, cells, load, _ in self.points:
                rows.append([str(x), *(_format_cell(cell) for cell in cells[offset : offset + len(COLUMNS)]), f"{load:.1f}"])
            self._append_fit_rows(rows, offset)
            print(f"\n{self.title}, {role} at rest, mean of all:")
            print_table(rows)

    def _append_fit_rows(self, rows, offset):
        if len(self.points) < 2:
            return
        fits = []
        for column in range(offset, offset + len(COLUMNS)):
            points = [(x, cells[column]) for x, cells, _, _ in self.points if cells[column] is not None]
            fits.append(linear_fit(points) if len(points) > 1 else None)
        rows.append(["at 0", *("-" if fit is None else f"{fit[0]:.2f}" for fit in fits), ""])
        rows.append(["per unit", *("-" if fit is None else f"{fit[1]:.4f}" for fit in fits), ""])


def _format_cell(value):
    return "-" if value is None else f"{value:.2f}" if value < 100 else f"{value:.0f}"


def print_store_calls(title, rows_by_x):
    kinds = sorted({kind for _, counts in rows_by_x for kind in counts})
    print(f"\n{title}:")
    print_table([["", *kinds], *([str(x), *(f"{counts.get(kind, 0):.2f}" for kind in kinds)] for x, counts in rows_by_x)])


class StartedDeployment:
    """Starts a deployment with its relay and ends both when the block is left. Use as a context manager."""

    def __init__(self, vms, zones, workers, teams=4):
        self._processes = harness.Processes()
        self._shape = (vms, zones, workers, teams)
        self._relay = None

    def __enter__(self):
        self._processes.__enter__()
        try:
            deployment = CapacityDeployment(self._processes, *self._shape)
            self._relay = deployment.make_relay().__enter__()
            deployment.start()
            time.sleep(SETTLE_DELAY_S)
        except BaseException:
            self.__exit__(*sys.exc_info())
            raise
        return deployment

    def __exit__(self, kind, value, traceback):
        self._processes.__exit__(kind, value, traceback)
        if self._relay:
            self._relay.__exit__()


def submit_until_accepted(vm, key, job_class, team, run_ms, wait_ms=0):
    body = {"key": key, "class": job_class, "payload": json.dumps({"runMs": run_ms}), "declaredRunTimeMs": max(1, run_ms), "zone": vm.zone}
    headers = {"Authorization": f"Bearer demo-team-{team:03d}"}
    for _ in range(50):
        answer = harness.try_call(vm.http_port, "POST", f"/v1/requests?wait_ms={wait_ms}", body, headers, 15.0)
        if answer is not None and answer.status in (200, 202):
            return answer.body
        time.sleep(0.1)
    raise harness.HarnessError(f"{key} was not accepted: {answer and answer.text}")


def run_long_tasks(owners, count, running_count, teams):
    """Submits long tasks to the owners in turn until @p count tasks run; @p running_count of them run already."""
    with concurrent.futures.ThreadPoolExecutor(16) as pool:
        runs = [
            pool.submit(submit_until_accepted, owners[number % len(owners)], f"long-{number:05d}", LONG, number % teams + 1, LONG_RUN_MS)
            for number in range(running_count, count)
        ]
        for run in runs:
            run.result()
    harness.wait_until(lambda: sum(vm.fetch_fleet_state().get("running", 0) for vm in owners) >= count, 20, f"{count} tasks run", 0.25)
    time.sleep(SETTLE_DELAY_S)


def measure_configuration_delays(deployment):
    """Publishes CONFIGURATION_CHANGES versions. Returns, for every VM and version, the seconds from the publishing call until the VM has it."""
    samples = []
    seen = deployment.vms[0].configuration_version()
    for number in range(CONFIGURATION_CHANGES):
        publisher = deployment.vms[number % len(deployment.vms)]
        document = {**deployment.configuration, "deployment": f"capacity {number}"}
        with concurrent.futures.ThreadPoolExecutor(len(deployment.vms)) as pool:
            started_at = time.monotonic()
            waits = [pool.submit(_wait_for_version, vm, seen + 1, started_at) for vm in deployment.vms]
            answer = deployment.publish_configuration(publisher, document, seen)
            if answer is None or answer.status != 200:
                raise harness.HarnessError(f"a configuration was refused: {answer and answer.text}")
            samples += [wait.result() for wait in waits]
        seen = answer.body["version"]
    return samples


def _wait_for_version(vm, version, started_at):
    harness.wait_until(lambda: vm.configuration_version() >= version, 10, f"{vm.name} has version {version}", 0.02)
    return time.monotonic() - started_at


def measure_store_calls_per_job(deployment, idle_usage):
    """Measures the store calls per job beyond those at rest, for an unrecorded and a recorded job class, with 1 and 16 jobs at a time."""
    owner = idle_usage.owners[0]
    rows = []
    for job_class in (LONG, ONCE):
        for width, count in ((1, 30), (16, 160)):
            before, started_at = deployment.platform.store_call_counts()["byKind"], time.monotonic()
            with concurrent.futures.ThreadPoolExecutor(width) as pool:
                done = list(pool.map(lambda number: submit_until_accepted(owner, f"{job_class}-{width}-{number}", job_class, 1, 0, 10000), range(count)))  # noqa: B023
            elapsed_s = time.monotonic() - started_at
            finished = sum(body["outcome"] == "done" for body in done)
            counts = count_increases(before, deployment.platform.store_call_counts()["byKind"])
            extra = {kind: (counts.get(kind, 0) - idle_usage.store.get(kind, 0) * elapsed_s) / count for kind in counts}
            rows.append((f"{job_class}, {width} at once: {finished}/{count} done in {elapsed_s:.1f} s", extra))
    return rows


class CapacityMeasurement:
    def __init__(self):
        self._began = time.monotonic()
        self._tables = []
        self._changes = [["entry VMs", "changes", "p50 ms", "p99 ms", "max ms"]]
        self._starts = [["entry VMs", "seconds", "calls by kind", "most reads in 1 s", "most writes in 1 s"]]
        self._jobs = []

    def _new_table(self, title, unit):
        self._tables.append(SeriesTable(title, unit))
        return self._tables[-1]

    def _skip_if_late(self, what):
        late = time.monotonic() - self._began > TIME_LIMIT_S - 30
        if late:
            print(f"not measured, as the time is over: {what}", file=sys.stderr)
        return late

    def entry_vms(self):
        table = self._new_table("entry VMs over up to 7 zones, 13 workers a zone", "entry VMs")
        for count in (2, 4, 8, 16):
            if self._skip_if_late(f"{count} entry VMs"):
                return
            with StartedDeployment(count, min(count, 7), 13) as deployment:
                idle_usage = IdleUsage(deployment)
                table.add_point(count, idle_usage)
                self._add_change_row(deployment, count)
                if count == 8:
                    self._jobs = measure_store_calls_per_job(deployment, idle_usage)
                seconds, calls, peak_counts = deployment.restart_all()
                text = " ".join(f"{kind}={calls[kind]}" for kind in sorted(calls))
                self._starts.append([str(count), f"{seconds:.1f}", text, *(str(one) for one in peak_counts)])
                deployment.kill_vms()

    def _add_change_row(self, deployment, name):
        samples = measure_configuration_delays(deployment)
        figures = [f"{1000 * value:.0f}" for value in (percentile(samples, 0.5), percentile(samples, 0.99), max(samples))]
        self._changes.append([str(name), str(CONFIGURATION_CHANGES), *figures])

    def workers(self):
        table = self._new_table("workers of one zone with 2 entry VMs", "workers")
        for count in (13, 50, 100, 200, 420):
            if self._skip_if_late(f"{count} workers"):
                return
            with StartedDeployment(2, 1, count) as deployment:
                table.add_point(count, IdleUsage(deployment))
                deployment.kill_vms()

    def tasks(self):
        table = self._new_table("running tasks of one zone with 60 workers and 2 entry VMs", "tasks")
        if self._skip_if_late("running tasks"):
            return
        with StartedDeployment(2, 1, 60) as deployment:
            table.add_point(0, IdleUsage(deployment))
            running_count = 0
            for count in (100, 400, 1800):
                run_long_tasks([vm for vm in deployment.vms if is_owner(vm)], count, running_count, 4)
                running_count = count
                table.add_point(count, IdleUsage(deployment))
            deployment.kill_vms()

    def teams(self):
        table = self._new_table("teams, one zone with 13 workers and 2 entry VMs", "teams")
        for count in (4, 60, 230):
            if self._skip_if_late(f"{count} teams"):
                return
            with StartedDeployment(2, 1, 13, count) as deployment:
                table.add_point(count, IdleUsage(deployment))
                deployment.kill_vms()

    def target(self):
        table = self._new_table("target scale: 16 entry VMs, 7 zones, 420 workers, 230 teams", "tasks")
        if self._skip_if_late("the target scale"):
            return
        with StartedDeployment(TARGET_SCALE["vms"], TARGET_SCALE["zones"], TARGET_SCALE["workers"], TARGET_SCALE["teams"]) as deployment:
            table.add_point(0, IdleUsage(deployment))
            owners = [vm for vm in deployment.vms if is_owner(vm)]
            run_long_tasks(owners, TARGET_SCALE["tasks"], 0, TARGET_SCALE["teams"])
            table.add_point(TARGET_SCALE["tasks"], IdleUsage(deployment))
            self._add_change_row(deployment, "16, target scale")
            deployment.kill_vms()

    def print_results(self):
        print(f"load average now {os.getloadavg()[0]:.1f} of {os.cpu_count()} cores; the column load is that at the end of each window")
        for table in self._tables:
            table.print_with_fits()
            print_store_calls(f"{table.title}, store calls a second at rest", [(x, store) for x, _, _, store in table.points])
        print("\nstart of all entry VMs at once, until all are ready and every zone has an owner:")
        print_table(self._starts)
        if self._jobs:
            print_store_calls("store calls per accepted job, beyond those at rest, 8 entry VMs", self._jobs)
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
    run = CapacityMeasurement()
    try:
        for name in names:
            getattr(run, name)()
    finally:
        run.print_results()
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

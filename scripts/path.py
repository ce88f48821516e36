"""Implements `scripts/measure path`: requests a second and latency through one entry VM on loopback."""

import collections
import http.client
import json
import multiprocessing
import os
import sys
import threading
import time

import harness
import usage
from capacity import LONG, ONCE, IdleUsage, StartedDeployment
from demorun import percentile, print_table

CONNECTION_COUNTS = (1, 8, 32)
WINDOW_S = 3.0
THREADS_PER_PROCESS = 8  # A Python process executes only one thread at a time, so more connections need more processes.
WAIT_MS = 10000


def _submit_repeatedly(port, zone, job_class, prefix, deadline, latencies):
    """Submits requests one after the other on one connection until @p deadline, and appends (latency in seconds, outcome or error) of each."""
    connection = http.client.HTTPConnection(harness.HOST, port, timeout=30)
    headers = {"Authorization": "Bearer demo-team-001", "Content-Type": "application/json"}
    number = 0
    while time.monotonic() < deadline:
        number += 1
        body = {"key": f"{prefix}-{number}", "class": job_class, "payload": '{"runMs": 0}', "declaredRunTimeMs": 1, "zone": zone}
        began = time.monotonic()
        connection.request("POST", f"/v1/requests?wait_ms={WAIT_MS}", json.dumps(body), headers)
        answer = connection.getresponse()
        text = answer.read()
        latencies.append((time.monotonic() - began, _describe_answer(answer.status, text)))
    connection.close()


def _describe_answer(status, text):
    """Returns the outcome in an answer, or the status, kind and message of an error."""
    body = json.loads(text)
    return body["outcome"] if "outcome" in body else f"{status} {body['error']['kind']}: {body['error']['message']}"


def _submit_from_threads(port, zone, job_class, prefix, threads, results):
    deadline = time.monotonic() + WINDOW_S
    samples_by_thread = [[] for _ in range(threads)]
    running = [
        threading.Thread(target=_submit_repeatedly, args=(port, zone, job_class, f"{prefix}-{number}", deadline, samples), daemon=True)
        for number, samples in enumerate(samples_by_thread)
    ]
    for thread in running:
        thread.start()
    for thread in running:
        thread.join(WINDOW_S + 30)
    results.put([pair for samples in samples_by_thread for pair in samples])


def measure_throughput(deployment, vm, job_class, connections, name):
    """Returns a table row: name, connections, requests a second, p50 and p99 in ms, requests not done, % of a core of each VM, and load."""
    results = multiprocessing.Queue()
    counts = [min(THREADS_PER_PROCESS, connections - first) for first in range(0, connections, THREADS_PER_PROCESS)]
    times = [usage.thread_cpu_seconds(one.process.pid) for one in deployment.vms]
    began = time.monotonic()
    # Daemon processes end together with this one, even if it is interrupted.
    clients = [
        multiprocessing.Process(
            target=_submit_from_threads, args=(vm.http_port, vm.zone, job_class, f"{name}-{connections}-{part}", count, results), daemon=True
        )
        for part, count in enumerate(counts)
    ]
    for client in clients:
        client.start()
    timed_endings = [pair for _ in clients for pair in results.get(timeout=WINDOW_S + 40)]
    passed = time.monotonic() - began
    for client in clients:
        client.join(5)
    shares = [100 * usage.cpu_seconds_between(before, usage.thread_cpu_seconds(one.process.pid)) / passed for before, one in zip(times, deployment.vms)]
    latencies = [1000 * seconds for seconds, ending in timed_endings if ending == "done"]
    others = collections.Counter(ending for _, ending in timed_endings if ending != "done")
    for ending, count in others.items():
        print(f"{name}, {connections} connections: {count} requests ended with {ending}")
    return [
        name, str(connections), f"{len(latencies) / passed:.0f}", f"{percentile(latencies, 0.5):.1f}", f"{percentile(latencies, 0.99):.1f}", str(sum(others.values())),
        " / ".join(f"{share:.0f}" for share in shares), f"{os.getloadavg()[0]:.1f}",
    ]  # fmt: skip


def main():
    with StartedDeployment(2, 1, 13) as deployment:
        idle_usage = IdleUsage(deployment)
        owner, standby = idle_usage.owners[0], idle_usage.standbys[0]
        deployment.vms = [owner, standby]
        print("at rest:")
        print_table([["role", "cpu %", "rss MB", "anon MB", "threads"]] + [
            [role, f"{idle_usage.cpu[vm]:.2f}", *(f"{part:.1f}" for part in idle_usage.memory[vm]), str(idle_usage.threads[vm])]
            for role, vm in (("owner", owner), ("standby", standby))
        ])  # fmt: skip
        rows = [["path", "connections", "requests/s", "p50 ms", "p99 ms", "not done", "% of a core, owner / standby", "load"]]
        for vm, job_class, name in ((owner, LONG, "owner"), (standby, LONG, "forwarded"), (owner, ONCE, "recorded")):
            for connections in CONNECTION_COUNTS:
                rows.append(measure_throughput(deployment, vm, job_class, connections, name))
        print("\ntasks of 0 ms on 13 workers, one keep-alive connection each, one request at a time on each:")
        print_table(rows)
        after = {vm: usage.resident_memory(vm.process.pid)[0] for vm in deployment.vms}
        print(f"\nresident MB afterwards: owner {after[owner]:.1f}, standby {after[standby]:.1f}", flush=True)
        deployment.kill_vms()
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

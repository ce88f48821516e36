"""Reads the resource usage of processes from /proc and their TCP traffic from `ss`."""

import re
import subprocess
from pathlib import Path

# Size of the IPv4 and TCP headers with the timestamp option. Loopback adds no link-layer header.
HEADER_BYTES = 52
COUNTER_NAMES = ("bytes_sent", "bytes_received", "segs_out", "segs_in")


def thread_cpu_seconds(pid):
    """Returns the processor time of each thread in seconds, with a finer resolution than the 10 ms ticks of /proc/PID/stat."""
    times = {}
    for task in Path(f"/proc/{pid}/task").iterdir():
        try:
            times[task.name] = int((task / "schedstat").read_text().split()[0]) / 1e9
        except (OSError, IndexError):
            continue  # The thread has ended.
    return times


def cpu_seconds_between(before, after):
    """Returns the processor time in seconds between two results of thread_cpu_seconds(). Threads that ended in between are not counted."""
    return sum(time - before.get(thread, 0.0) for thread, time in after.items())


def resident_memory(pid):
    """Returns the resident memory in MiB: the total, and the part that is not mapped from a file (heap and stacks)."""
    fields = dict(line.split(":", 1) for line in Path(f"/proc/{pid}/status").read_text().splitlines() if ":" in line)
    return tuple(int(fields[name].split()[0]) / 1024 for name in ("VmRSS", "RssAnon"))


def thread_count(pid):
    return len(list(Path(f"/proc/{pid}/task").iterdir()))


def connection_counters(pids):
    """Returns (bytes sent, bytes received, segments sent, segments received) by process and connection, or nothing without iproute2."""
    try:
        text = subprocess.run(["ss", "-tinpHO", "state", "established"], capture_output=True, text=True, timeout=20, check=True).stdout
    except (OSError, subprocess.SubprocessError):
        return {pid: {} for pid in pids}
    found = {pid: {} for pid in pids}
    for line in text.splitlines():
        owner = re.search(r"pid=(\d+)", line)
        if owner and int(owner.group(1)) in found:
            fields = line.split()
            found[int(owner.group(1))][fields[2], fields[3]] = tuple(_counter_value(line, name) for name in COUNTER_NAMES)
    return found


def _counter_value(line, name):
    match = re.search(rf"\b{name}:(\d+)", line)
    return int(match.group(1)) if match else 0

"""Reads what a process uses from /proc and its TCP traffic from `ss`."""

import re
import subprocess
from pathlib import Path

# IPv4 and TCP headers with the time stamp option; loopback has no other frame.
HEADER_BYTES = 52
FIELDS = ("bytes_sent", "bytes_received", "segs_out", "segs_in")


def thread_times(pid):
    """Processor time of each thread in seconds. Finer than the ticks of 10 ms in /proc/PID/stat."""
    times = {}
    for task in Path(f"/proc/{pid}/task").iterdir():
        try:
            times[task.name] = int((task / "schedstat").read_text().split()[0]) / 1e9
        except (OSError, IndexError):
            continue  # The thread has ended.
    return times


def seconds_between(before, after):
    """Processor time between two results of thread_times(); threads that have ended in between are left out."""
    return sum(time - before.get(thread, 0.0) for thread, time in after.items())


def memory(pid):
    """Resident MB: in total, and those of no file (heap and stacks)."""
    fields = dict(line.split(":", 1) for line in Path(f"/proc/{pid}/status").read_text().splitlines() if ":" in line)
    return tuple(int(fields[name].split()[0]) / 1024 for name in ("VmRSS", "RssAnon"))


def thread_count(pid):
    return len(list(Path(f"/proc/{pid}/task").iterdir()))


def connections(pids):
    """Per process and connection: (bytes sent, bytes received, segments sent, segments received). Empty without iproute2."""
    try:
        text = subprocess.run(["ss", "-tinpHO", "state", "established"], capture_output=True, text=True, timeout=20, check=True).stdout
    except (OSError, subprocess.SubprocessError):
        return {pid: {} for pid in pids}
    found = {pid: {} for pid in pids}
    for line in text.splitlines():
        owner = re.search(r"pid=(\d+)", line)
        if owner and int(owner.group(1)) in found:
            fields = line.split()
            found[int(owner.group(1))][fields[2], fields[3]] = tuple(_field(line, name) for name in FIELDS)
    return found


def _field(line, name):
    match = re.search(rf"\b{name}:(\d+)", line)
    return int(match.group(1)) if match else 0

"""A minion drains and serves on after its time; it is cut off from the store until its entry lapses; then one of its connections is reset."""

import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
from platform_standin import Platform, new_job_id, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CAPACITY = {"cpu": 32000, "memMb": 131072, "gpu": 8}
STEP = {"count": 1, "cpu": 13000, "memMb": 38000, "gpu": 4, "estimateMs": 11000, "longRunning": True}
DRAIN_S = 2.0
LINGER_S = 14.0  # "a little longer (at times many seconds)"
CUT_S = 5.5


def main():
    with Platform(FOLDER, vms=3, minions=10, capacity=CAPACITY, behaviour=lambda task, number, spec: (None, "done")) as platform:
        record, call = platform.record, platform.run_in_loop
        platform.configure([platform.route("r-7ejsmzz", "/lohu930/")])
        platform.start_vms()
        job = new_job_id()
        platform.declare(job, [STEP])
        status, _ = platform.vms[0].call("POST", "/lohu930/" + job, {"spec": "kiln watch", "phases": [STEP]})
        if status != 200:
            raise RuntimeError("the job was not accepted")
        time.sleep(6.0)
        minion = next((minion for minion in platform.minions if minion.running), None)
        if minion is None:
            raise RuntimeError("the job does not run")
        call(minion.drain(DRAIN_S))
        drained_at = time.monotonic()
        time.sleep(0.5)
        if TROUBLE:
            minion.cut_from_store = True
            record(f"minion {minion.index}: cut off from the store")
            time.sleep(CUT_S - 0.5)
            busy, all_open = call(minion.server.reset_busy_connections())
            record(f"minion {minion.index}: {busy} of its {all_open} connections is reset")
            time.sleep(0.5)
            minion.cut_from_store = False
            record(f"minion {minion.index}: reaches the store again")
        time.sleep(max(0.0, drained_at + DRAIN_S + LINGER_S - time.monotonic()))
        call(minion.leave())
        time.sleep(6.0)
        ends = {(task, number): ended for task, number, _, _, ended, _ in platform.runs}
        starts = sorted((started, task, number) for task, number, _, started in platform.starts)
        # Every end of a run that is not in the books is still to come.
        overlaps = [ends.get((task, number), time.monotonic()) - later for (_, task, number), (later, _, _) in zip(starts, starts[1:])]
        twice = max(overlaps, default=0.0)
        record(f"longest time with two runs of the one task on minions that are up: {max(twice, 0.0):.3f} s")
        for vm in platform.vms:
            vm.call("GET", "/lohu930/" + job)
        if not platform.running_tasks(job):
            record("the task does not run at the end")
        return twice > 0.0


run_case(main)

"""A minion drains and serves on after its time; it is cut off from the store until its entry lapses; then its connections are reset once."""

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
    with Platform(FOLDER, vms=3, minions=6, capacity=CAPACITY, behaviour=lambda task, number, spec: (None, "done")) as platform:
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
            call(minion.server.reset_connections())
            record(f"minion {minion.index}: its connections are reset once")
            time.sleep(0.5)
            minion.cut_from_store = False
            record(f"minion {minion.index}: reaches the store again")
        twice = 0.0
        while time.monotonic() < drained_at + DRAIN_S + LINGER_S:
            both = len(platform.running_tasks(job)) > 1
            twice += 0.01 if both else 0.0
            time.sleep(0.01)
        call(minion.leave())
        time.sleep(6.0)
        record(f"time with two runs of the one task on minions that are up: about {twice:.1f} s")
        for vm in platform.vms:
            vm.call("GET", "/lohu930/" + job)
        if not platform.running_tasks(job):
            record("the task does not run at the end")
        return twice > 0.0


run_case(main)

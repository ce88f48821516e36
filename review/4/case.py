"""A route is added while one open connection between the holder of the orders and the store goes silent; a job of the route fails once."""

import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
from platform_standin import Platform, new_job_id, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CAPACITY = {"cpu": 32000, "memMb": 131072, "gpu": 8}
STEP = {"count": 1, "cpu": 3700, "memMb": 15000, "gpu": 1, "estimateMs": 2500}
ATTEMPTS = 4


def main():
    # The first run of each task fails by its own fault, all others end as done.
    with Platform(FOLDER, vms=3, minions=6, capacity=CAPACITY, behaviour=lambda task, number, spec: (1.0, "failed" if number == 1 else "done")) as platform:
        record = platform.record
        old = platform.route("r-7ejsmzz", "/lohu930/")
        platform.configure([old])
        platform.start_vms()
        owner = platform.owner()
        other = next(vm for vm in platform.vms if vm is not owner)
        record(f"holder of the orders: {owner.name}")
        silent = {"left": 1 if TROUBLE else 0}

        async def before_answer(vm, method, path, query, body):
            # The connection on which the holder waits for the configuration goes silent for good. New connections work.
            if vm is owner and path == "/kv-watch-answer" and query["prefix"].startswith("op/") and silent["left"] > 0 and changed["at"]:
                silent["left"] -= 1
                record(f"store: the open connection of {vm.name} for {query['prefix']} is silent from now on")
                return False
            return True

        changed = {"at": None}
        platform.store.before_answer = before_answer
        time.sleep(0.5)
        changed["at"] = time.monotonic()
        platform.configure([old, platform.route("r-jwyy7yx", "/pule252/", attempts=ATTEMPTS)])
        job = new_job_id()
        platform.declare(job, [STEP])
        for _ in range(40):
            status, _ = other.call("POST", "/pule252/" + job, {"spec": "glaze check", "phases": [STEP]})
            if status != 404:
                break
            time.sleep(0.1)
        if status != 200:
            raise RuntimeError("the job was not accepted")
        accepted_at = time.monotonic()
        state = ""
        while time.monotonic() - accepted_at < 30 and not any(end in state for end in ("complete", "failed", "canceled")):
            time.sleep(0.5)
            _, state = other.call("GET", "/pule252/" + job)
        failed_runs = sum(1 for task, *_, how in platform.runs if task.startswith(job + ".") and how == "failed")
        record(f"failed runs {failed_runs}, attempts of the route {ATTEMPTS}, state {state}")
        if TROUBLE and silent["left"]:
            raise RuntimeError("the disruption did not happen")
        return "failed" in state and failed_runs < ATTEMPTS


run_case(main)

"""One job that can never be done, repeated every ten minutes for a year and without a first time, beside a steady stream of urgent jobs."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins2"))

from deployment import KEYS, run_case  # noqa: E402
from platform_standin import new_job_id  # noqa: E402

FINISH_S = 14.0  # finish_s of the small deployments.
WATCH_S = 3.0  # "for 3 s, a job has nothing running"
URGENT_JOBS = 40
REPEATS = 52560  # Every ten minutes for a year.
INTERVAL_MS = 600000
ACCELERATORS = 8  # Of each worker.
URGENT_STEP = [{"count": 1, "cpu": 2000, "memMb": 1000, "gpu": 1, "estimateMs": 500}]
HOPELESS_STEP = [{"count": 1, "cpu": 2000, "memMb": 1000, "gpu": 2 * ACCELERATORS, "estimateMs": 500}]


def runs_of(record):
    """(task, worker, start, end or None, how) of each run."""
    runs = {}
    for row in record.rows:
        key = (row.get("worker"), row.get("task"), row.get("run"))
        if row["event"] == "start":
            runs[key] = [row["task"], row["worker"], row["at"], None, ""]
        elif row["event"] in ("end", "lost") and key in runs:
            runs[key][3:] = [row["at"], row.get("how", "lost")]
    return list(runs.values())


async def scenario(deployment, record, with_trouble):
    vms = deployment.vms
    accepted = []
    for number in range(URGENT_JOBS):
        job = new_job_id()
        vm = vms[number % len(vms)]
        if await deployment.submit(vm, job, URGENT_STEP, spec="runMs=500") == 200:
            accepted.append(job)
        if with_trouble and number == 10:
            await deployment.submit(
                vms[1], new_job_id(), HOPELESS_STEP, queue="/background/", key=KEYS["org-b"], repeatCount=REPEATS, intervalMs=INTERVAL_MS
            )
        await asyncio.sleep(0.3)
    record("traffic_ended")
    await asyncio.sleep(FINISH_S + WATCH_S)
    checked_at = record("checked") or record.rows[-1]["at"]
    since = checked_at - WATCH_S
    for vm in vms:
        record("memory", vm=vm.name, mb=round(vm.memory_mb(), 1), alive=vm.process.poll() is None)
    runs = runs_of(record)
    busy = sum(1 for _, _, start, end, _ in runs if start <= checked_at and (end is None or end >= since))
    record("capacity", accelerators=ACCELERATORS * len(deployment.workers), in_use_at_most=busy)
    violations = []
    if busy * 2 < ACCELERATORS * len(deployment.workers):
        for job in accepted:
            own = [run for run in runs if run[0].startswith(job + ".")]
            done = any(how == "done" for *_, how in own)
            running = any(start <= checked_at and (end is None or end >= since) for _, _, start, end, _ in own)
            if not done and not running:
                violations.append(f"LOST: job {job} could run and doesn't, {FINISH_S:.0f} s after the end of the traffic and for {WATCH_S:.0f} s")
    for job in accepted:
        await deployment.state(vms[0], job)
    return violations


run_case(Path(__file__).resolve().parent, scenario)

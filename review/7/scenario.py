"""The owner is suspended beyond its lease; some workers crash and are back, under their identifiers, just as it wakes up."""

import asyncio
import signal
import sys
import time
from collections import defaultdict
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins2"))

from deployment import CannotRun, run_case  # noqa: E402
from platform_standin import new_job_id  # noqa: E402

ROUNDS = 10
RACKS = 7  # One worker crashes in each of 7 of 8 racks: 7 of 48 workers.
FREEZE_S = 3.0  # The site files have up to 4 s.
CRASH_AFTER_S = 1.7  # After the freeze: another VM owns the fleet, and each worker has answered it.
DUE_AFTER_S = 2.3  # After the freeze: a task of each job is due.
RUN_MS = 3000
STEP = {"count": 1, "cpu": 2000, "memMb": 1000, "gpu": 8, "estimateMs": RUN_MS}


def twice(record):
    """Violations of TWICE: two runs of a task at the same time, on workers that are up."""
    runs = defaultdict(list)
    for row in record.rows:
        if row["event"] == "start":
            runs[row["task"]].append({"key": (row["worker"], row["run"]), "start": row["at"], "end": None, "fence": row["fence"]})
        elif row["event"] in ("end", "lost"):
            for run in runs[row["task"]]:
                if run["key"] == (row["worker"], row["run"]) and run["end"] is None:
                    run["end"] = row["at"]
    violations = []
    for task, all_runs in runs.items():
        for index, run in enumerate(all_runs):
            for later in all_runs[index + 1 :]:
                if run["end"] is None or later["start"] < run["end"]:
                    violations.append(
                        f"TWICE: {task} runs on {run['key'][0]} since {run['start']} (fence {run['fence']}) "
                        f"and on {later['key'][0]} since {later['start']} (fence {later['fence']})"
                    )
    return violations


async def play_round(deployment, record, with_trouble):
    owner = deployment.owner()
    if not owner:
        raise CannotRun("nobody owns the fleet")
    others = [vm for vm in deployment.vms if vm is not owner]
    due_ms = int(time.time() * 1000) + int((0.5 + DUE_AFTER_S) * 1000)
    jobs = [
        deployment.submit(
            others[rack % len(others)], new_job_id(), [{**STEP, "requires": f"r{rack}"}], queue="/normal/", spec=f"runMs={RUN_MS}", repeatCount=1,
            startAtMs=due_ms,
        )
        for rack in range(RACKS)
    ]  # fmt: skip
    if any(status != 200 for status in await asyncio.gather(*jobs)):
        raise CannotRun("a job was not accepted")
    await asyncio.sleep(max(0.0, due_ms / 1000.0 - DUE_AFTER_S - time.time()))
    frozen_at = time.monotonic()
    if with_trouble:
        owner.send_signal(signal.SIGSTOP)
        await asyncio.sleep(CRASH_AFTER_S)
        crashed = [min((worker for worker in deployment.workers if worker.rack == f"r{rack}"), key=lambda worker: worker.name) for rack in range(RACKS)]
        for worker in crashed:
            record("crash", worker=worker.name)
            await worker.crash()
        await asyncio.sleep(max(0.0, frozen_at + FREEZE_S - time.monotonic()))
        for worker in crashed:
            worker.up = True
            worker._fresh_life()
        record("restarted", workers=[worker.name for worker in crashed])
        owner.send_signal(signal.SIGCONT)
        await asyncio.sleep(0.2)
        for worker in crashed:
            await worker.publish()
    await asyncio.sleep(max(0.0, frozen_at + DUE_AFTER_S + RUN_MS / 1000.0 + 3.5 - time.monotonic()))


async def scenario(deployment, record, with_trouble):
    for _ in range(ROUNDS):
        await play_round(deployment, record, with_trouble)
        violations = twice(record)
        if violations:
            return violations
    return []


run_case(
    Path(__file__).resolve().parent, scenario, workers=48, rack_size=6, zones=("zone-a", "zone-b", "zone-c", "zone-d"), lease_ms=10000, run_ms=RUN_MS
)

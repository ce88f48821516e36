"""A worker with more than 500 small tasks is cut off for some seconds, runs on, and comes back within its lease."""

import asyncio
import sys
from collections import defaultdict
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins2"))

from deployment import CannotRun, run_case  # noqa: E402
from platform_standin import new_job_id  # noqa: E402

TASKS = 1800  # The brief plans for 1,800 running tasks. A worker of 32 cores has room for 640 of these.
RUN_MS = 4000
SPREAD = 0.3  # The run times are 2.8 to 5.2 s.
CUT_S = 5.5  # The length of `node_cut` in the site files.
WATCH_S = 20.0


def twice(record):
    """Violations of TWICE: two runs of a task at a time, or a start after an end `done` that was taken note of and whose lease held."""
    runs = defaultdict(list)
    noted = set()
    for row in record.rows:
        key = (row.get("worker"), row.get("run"))
        if row["event"] == "start":
            runs[row["task"]].append({"key": key, "start": row["at"], "end": None, "how": ""})
        elif row["event"] in ("end", "lost"):
            for run in runs[row["task"]]:
                if run["key"] == key and run["end"] is None:
                    run["end"], run["how"] = row["at"], row.get("how", "lost")
        elif row["event"] == "noted" and not row["lapsed"]:
            noted.add((row["task"], key))
    violations = []
    for task, all_runs in runs.items():
        for index, run in enumerate(all_runs):
            for later in all_runs[index + 1 :]:
                if run["end"] is None or later["start"] < run["end"]:
                    violations.append(f"TWICE: {task} runs at the same time on {run['key'][0]} and {later['key'][0]}")
                elif run["how"] == "done" and (task, run["key"]) in noted:
                    violations.append(
                        f"TWICE: {task} run {run['key'][1]} ended done on {run['key'][0]} at {run['end']}, which was taken note of, "
                        f"and run {later['key'][1]} started on {later['key'][0]} at {later['start']}"
                    )
    return violations


async def scenario(deployment, record, with_trouble):
    job = new_job_id()
    step = [{"count": TASKS, "cpu": 50, "memMb": 100, "estimateMs": RUN_MS}]
    if await deployment.submit(deployment.vms[0], job, step, queue="/normal/", spec=f"runMs={RUN_MS}") != 200:
        raise CannotRun("the job was not accepted")

    async def all_started():
        return sum(1 for row in record.rows if row["event"] == "start") >= TASKS

    await deployment.wait_for(all_started, 25, "all tasks have started")
    fullest = max(deployment.workers, key=lambda worker: len(worker.running))
    record("all_started", fullest=fullest.name, tasks=len(fullest.running))
    if with_trouble:
        record("cut", worker=fullest.name, seconds=CUT_S)
        fullest.cut = True
        await asyncio.sleep(CUT_S)
        record("healed", worker=fullest.name, ends=len(fullest.ends), running=len(fullest.running))
        fullest.cut = False
    await asyncio.sleep(WATCH_S)
    await deployment.state(deployment.vms[0], job, queue="/normal/")
    return twice(record)


run_case(
    Path(__file__).resolve().parent, scenario, vms=8, workers=48, rack_size=6, zones=("zone-a", "zone-b", "zone-c", "zone-d"), lease_ms=10000, run_ms=RUN_MS,
    spread=SPREAD,
)  # fmt: skip

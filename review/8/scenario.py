"""One large repeated job, whose record of progress outgrows a value of the store, beside a steady stream of urgent jobs."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins2"))

from deployment import KEYS, run_case  # noqa: E402
from platform_standin import new_job_id  # noqa: E402

ACK_S = 4.0  # ackMs of the small deployments.
FINISH_S = 14.0  # finish_s of the small deployments.
URGENT_JOBS = 40
REPEATS = 2190  # Every four hours for a year.
INTERVAL_MS = 4 * 3600 * 1000
STEPS = 20
LARGE_JOB = "2b7c9d10e4f58a36"
URGENT_STEP = [{"count": 1, "cpu": 2000, "memMb": 1000, "gpu": 1, "estimateMs": 500}]
LARGE_STEPS = [
    {"count": 1, "cpu": 2000, "memMb": 1000, "gpu": 1, "estimateMs": 500, **({"after": [step - 1]} if step else {})} for step in range(STEPS)
]


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
                vms[1], LARGE_JOB, LARGE_STEPS, queue="/background/", key=KEYS["org-b"], spec="runMs=500", repeatCount=REPEATS, intervalMs=INTERVAL_MS
            )
        await asyncio.sleep(0.3)
    record("traffic_ended")
    await asyncio.sleep(FINISH_S)
    listed = {(row["worker"], row["task"], row["run"]): row["at"] for row in record.rows if row["event"] == "end"}
    noted = {(row["worker"], row["task"], row["run"]) for row in record.rows if row["event"] == "noted"}
    now = record.rows[-1]["at"]
    old = [key for key, at in listed.items() if at < now - ACK_S]
    missing = [key for key in old if key not in noted]
    record("ends", listed_for_ack_s=len(old), not_taken_note_of=len(missing), refused_values=deployment.store.refused_values)
    violations = []
    if len(missing) * 5 > len(old):
        violations.append(f"Acks: {len(missing)} of {len(old)} ends that workers have listed for {ACK_S:.0f} s aren't taken note of")
    unfinished = 0
    for job in accepted:
        _, state = await deployment.state(vms[0], job)
        unfinished += state != "complete"
    record("states", jobs=len(accepted), not_shown_complete=unfinished)
    return violations


run_case(Path(__file__).resolve().parent, scenario)

"""Runs the real programs under random faults and checks the promises: scripts/soak [--seed N] [--seeds N] [--seconds N] [--vms N]."""

import argparse
import random
import sys
import time

import harness
from fleetsoak.checks import find_violations
from fleetsoak.faults import Faults
from fleetsoak.fleet import SoakFleet
from fleetsoak.load import FINAL, Callers
from fleetsoak.proxy import ProxyLoop

# Seeds that once showed a violation, each with its cause.
REGRESSIONS = (
    302,  # A start that a worker's new life carried out before the store named that life was given to another worker, too.
    200009,  # The stand-in worker counted an end as taken after its lease had lapsed, and noted lapses late.
    401,  # A new owner started work beside runs that it was still stopping.
)
# After the last fault: a takeover, the longest task lease, and the work that waits.
SETTLE_S = 40.0


def run_one(seed, seconds, vms, workers):
    """Prints one line; returns the violations."""
    rng = random.Random(seed)
    with harness.Processes() as processes, ProxyLoop() as proxy_loop:
        fleet = SoakFleet(processes, proxy_loop, seed, vms, workers)
        before = time.monotonic()
        offset = (before + time.monotonic()) / 2 - fleet.books()["now"] / 1000
        with Callers(fleet, seed, per_second=8.0) as callers:
            with Faults(fleet, rng) as faults:
                time.sleep(seconds)
            last_fault_at = time.monotonic()
            time.sleep(2)  # Some work arrives after the last fault.
            callers.stop()
            settled = _settle(callers, rng)
        violations = faults.violations + find_violations(callers.jobs, fleet.books(), offset, last_fault_at)
        accepted = [job for job in callers.jobs if job.accepted_at]
        states = {state: sum(job.state() == state for job in accepted) for state in sorted(FINAL)}
        figures = " ".join(f"{name}={count}" for name, count in states.items())
        print(
            f"seed={seed}: {'ok' if not violations else 'VIOLATED'} jobs={len(callers.jobs)} accepted={len(accepted)} {figures}"
            f" faults={len(faults.log)} settled_s={settled:.1f}",
            flush=True,
        )
        for violation in violations[:10]:
            print(f"  {violation}", flush=True)
        if violations:
            processes.keep_folder = True
            (processes.folder / "faults.log").write_text("".join(f"{at:.3f} {text}\n" for at, text in faults.log))
            print(f"  logs: {processes.folder}", flush=True)
    return violations


def _settle(callers, rng):
    """Asks for every accepted job until all have ended; returns the seconds that it took."""
    began = time.monotonic()
    connections = {}
    while time.monotonic() - began < SETTLE_S:
        waiting = [job for job in callers.jobs if job.accepted_at and job.state() not in FINAL]
        if not waiting:
            break
        for job in waiting:
            callers.ask(rng, connections, job)
        time.sleep(0.1)
    return time.monotonic() - began


def main():
    parser = argparse.ArgumentParser(prog="scripts/soak", description=__doc__)
    parser.add_argument("--seed", type=int, help="the first seed; a fresh one if left out")
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds, counted up from the first")
    parser.add_argument("--seconds", type=float, default=25, help="how long faults are injected")
    parser.add_argument("--vms", type=int, default=5)
    parser.add_argument("--workers", type=int, default=12)
    parser.add_argument("--regressions", action="store_true", help="run the seeds that once failed, too")
    arguments = parser.parse_args()
    first = arguments.seed if arguments.seed is not None else random.SystemRandom().randrange(1, 1_000_000_000)
    seeds = (list(REGRESSIONS) if arguments.regressions else []) + list(range(first, first + arguments.seeds))
    broken = [seed for seed in seeds if run_one(seed, arguments.seconds, arguments.vms, arguments.workers)]
    print(f"{len(seeds) - len(broken)} of {len(seeds)} seeds hold" + (f"; not: {' '.join(map(str, broken))}" if broken else ""))
    return 1 if broken else 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except KeyboardInterrupt:
        print("interrupted; every process has ended", file=sys.stderr)
        sys.exit(130)
    except harness.HarnessError as error:
        print(error, file=sys.stderr)
        sys.exit(2)

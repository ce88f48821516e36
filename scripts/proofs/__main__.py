"""Command line of scripts/failure-proofs. Prints one line of figures for each proof; the exit code is 1 if a promise was violated."""

import argparse
import sys
import time

import harness
import proofs  # noqa: F401  (registers the proofs)
from proofs.registry import PROOFS
from proofs.run import ProofRun

DEFAULT_SEED = 20261204


def run_proof(one, seed):
    """Returns the violations of one proof."""
    began = time.monotonic()
    with harness.Processes() as processes:
        with ProofRun(processes, one.name, seed) as run:
            one.function(run)
            run.settle()
            account = run.account()
        figures = " ".join(f"{name}={value}" for name, value in run.figures.items())
        verdict = "VIOLATED" if run.violations else "ok"
        print(f"{one.name}: {verdict} seed={seed} {account.line()} {figures} took_s={time.monotonic() - began:.0f}", flush=True)
        for violation in run.violations[:10]:
            print(f"  {violation}", flush=True)
        if run.violations:
            _keep_logs(processes)
    return run.violations


def _keep_logs(processes):
    processes.keep_folder = True
    print(f"  logs: {processes.folder}", flush=True)


def try_proof(one, seed):
    """True if the proof ran and no promise was violated."""
    try:
        return not run_proof(one, seed)
    except (harness.HarnessError, OSError) as error:
        print(f"{one.name}: NOT RUN seed={seed} {error}", flush=True)
        return False


def select(arguments, parser):
    unknown = [name for name in arguments.names if name not in PROOFS]
    if unknown:
        parser.error(f"no such proof: {', '.join(unknown)}; use --list")
    chosen = [PROOFS[name] for name in arguments.names] or list(PROOFS.values())
    return [one for one in chosen if one.short] if arguments.short else chosen


def main():
    parser = argparse.ArgumentParser(prog="scripts/failure-proofs", description=__doc__)
    parser.add_argument("names", nargs="*", metavar="NAME", help="proofs to run; all if none is named")
    parser.add_argument("--seed", type=int, default=DEFAULT_SEED)
    parser.add_argument("--short", action="store_true", help="only the proofs that CI runs, about two minutes")
    parser.add_argument("--list", action="store_true", help="print every proof and what it guards against")
    arguments = parser.parse_args()
    chosen = select(arguments, parser)
    if arguments.list:
        for one in chosen:
            print(f"{one.name}{' (short)' if one.short else ''}: {one.purpose}")
        return 0
    failed = [one.name for one in chosen if not try_proof(one, arguments.seed)]
    print(f"{len(chosen) - len(failed)} of {len(chosen)} proofs hold" + (f"; not: {' '.join(failed)}" if failed else ""))
    return 1 if failed else 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except KeyboardInterrupt:
        print("interrupted; every process has ended", file=sys.stderr)
        sys.exit(130)

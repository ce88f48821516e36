"""The command line of scripts/failure-proofs. Prints one line of measurements for each proof; the exit code is 1 if a proof failed."""

import argparse
import sys
import time

import harness
import proofs  # noqa: F401  (registers the proofs)
from proofs.registry import PROOFS
from proofs.run import ProofRun

DEFAULT_SEED = 20261204


def run_proof(proof, seed):
    """Runs one proof, prints its result and returns the violations as texts."""
    started_at = time.monotonic()
    with harness.Processes() as processes:
        with ProofRun(processes, proof.name, seed) as run:
            proof.function(run)
            run.wait_for_outcomes()
            outcome_check = run.check_outcomes()
        measurements = " ".join(f"{name}={value}" for name, value in run.measurements.items())
        verdict = "VIOLATED" if run.violations else "ok"
        print(f"{proof.name}: {verdict} seed={seed} {outcome_check.summary_line()} {measurements} took_s={time.monotonic() - started_at:.0f}", flush=True)
        for violation in run.violations[:10]:
            print(f"  {violation}", flush=True)
        if run.violations:
            _keep_logs(processes)
    return run.violations


def _keep_logs(processes):
    processes.keep_folder = True
    print(f"  logs: {processes.folder}", flush=True)


def try_proof(proof, seed):
    """Returns True if the proof ran to its end without a violation."""
    try:
        return not run_proof(proof, seed)
    except (harness.HarnessError, OSError) as error:
        print(f"{proof.name}: NOT RUN seed={seed} {error}", flush=True)
        return False


def select_proofs(arguments, parser):
    unknown = [name for name in arguments.names if name not in PROOFS]
    if unknown:
        parser.error(f"no such proof: {', '.join(unknown)}; use --list")
    chosen = [PROOFS[name] for name in arguments.names] or list(PROOFS.values())
    return [proof for proof in chosen if proof.short] if arguments.short else chosen


def main():
    parser = argparse.ArgumentParser(prog="scripts/failure-proofs", description=__doc__)
    parser.add_argument("names", nargs="*", metavar="NAME", help="proof to run; all proofs if no name is given")
    parser.add_argument("--seed", type=int, default=DEFAULT_SEED)
    parser.add_argument("--short", action="store_true", help="run only the proofs that CI runs, which take about two minutes")
    parser.add_argument("--list", action="store_true", help="print every proof and what it guards against")
    arguments = parser.parse_args()
    chosen = select_proofs(arguments, parser)
    if arguments.list:
        for proof in chosen:
            print(f"{proof.name}{' (short)' if proof.short else ''}: {proof.purpose}")
        return 0
    failed = [proof.name for proof in chosen if not try_proof(proof, arguments.seed)]
    print(f"{len(chosen) - len(failed)} of {len(chosen)} proofs hold" + (f"; not: {' '.join(failed)}" if failed else ""))
    return 1 if failed else 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except KeyboardInterrupt:
        print("interrupted; every process has ended", file=sys.stderr)
        sys.exit(130)

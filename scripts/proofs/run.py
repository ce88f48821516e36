"""The run of one proof: a new deployment, a load, and a check of every outcome at the end."""

import concurrent.futures
import random
import time

import harness
from outcomecheck import OutcomeCheck
from deployment import Caller, Deployment, LoadBalancer, Submission

# Bounds that the design page states.
URGENT_START_S = 4.5  # Section 1.4; section 8 states the same bound for the time without an owner.
STORE_LEASE_S = 3.0
TASK_LEASE_S = 10.0
POLL_S = 5.0
CONFIGURATION_S = 4.0  # Invariant 8 in section 1.1.
# Allows for a takeover, one task lease, one poll and the retries of the callers after the last fault.
SETTLE_S = URGENT_START_S + TASK_LEASE_S + POLL_S + 10.0

# The job classes of examples/zwolle.json: urgent, gang-scheduled, and non-idempotent.
URGENT, GANG, ONCE = "glaze-check", "kiln-curve", "crack-scan"
# (job class, range of run times in ms, weight) of a mixed load.
MIX = ((URGENT, (50, 300), 12), (ONCE, (100, 800), 6), (GANG, (1000, 3000), 1))
CALLER_THREADS = 48


class ProofRun:
    def __init__(self, processes, name, seed):
        self.name = name
        self.rng = random.Random(f"{name}-{seed}")
        self.deployment = Deployment(processes, "zwolle")
        self.submissions = []
        self.measurements = {}
        self.violations = []
        self.allow_unknown = False
        self.allow_failed = False
        self._pool = concurrent.futures.ThreadPoolExecutor(CALLER_THREADS)
        self._calls = []
        self.balancer = LoadBalancer(self.deployment)
        self.caller = Caller(self.balancer)

    def __enter__(self):
        self.deployment.start()
        self.balancer.__enter__()
        self._serve_first_requests()
        return self

    def _serve_first_requests(self):
        """Serves one request in each zone. An owner places no task on a worker before the worker has answered its first poll."""
        first_requests = [self.submit(URGENT, 10, zone, 20) for zone in self.deployment.zones]
        harness.wait_until(lambda: all(one.is_final() for one in first_requests), 20, "every zone serves a first request")

    def __exit__(self, *_):
        self.caller.stop()
        self._pool.shutdown(wait=False, cancel_futures=True)
        self.balancer.__exit__()

    @property
    def platform(self):
        return self.deployment.platform

    def zone(self, number=0):
        return self.deployment.zones[number]

    def add_violation(self, text):
        self.violations.append(text)

    def expect_within(self, description, bound_s, condition):
        """Waits until the condition holds and returns the seconds elapsed, or None on a timeout. Adds a violation beyond @p bound_s."""
        started_at = time.monotonic()
        try:
            harness.wait_until(condition, bound_s * 3 + 10, description)
        except harness.HarnessError as error:
            self.add_violation(str(error))
            return None
        elapsed_s = time.monotonic() - started_at
        self.measurements[description.replace(" ", "_") + "_s"] = f"{elapsed_s:.2f}"
        if elapsed_s > bound_s:
            self.add_violation(f"{description}: after {elapsed_s:.2f} s, above {bound_s} s")
        return elapsed_s

    def submit(self, job_class, run_ms, zone=None, timeout_s=60):
        """Submits a request in the background and waits there up to @p timeout_s for its outcome."""
        key = f"{self.name}-{len(self.submissions):04d}"
        submission = Submission(key, job_class, self.rng.choice(self.deployment.organisation_ids()), run_ms, zone)
        self.submissions.append(submission)
        self._calls.append(self._pool.submit(self.caller.submit_until_final, submission, timeout_s))
        return submission

    def submit_again(self, submission, zone, timeout_s=60):
        """Submits the request again in the background, in another zone but with the same key."""
        repeated = Submission(submission.key, submission.job_class, submission.organisation, submission.run_ms, zone)
        self.submissions.append(repeated)
        self._calls.append(self._pool.submit(self.caller.submit_until_final, repeated, timeout_s))
        return repeated

    def submit_mix(self, count, zone=None, timeout_s=60):
        """Submits @p count requests of random job classes, weighted as in MIX, in the background."""
        weights = [share for _, _, share in MIX]
        for job_class, run_range, _ in self.rng.choices(MIX, weights, k=count):
            self.submit(job_class, self.rng.randint(*run_range), zone, timeout_s)

    def submit_load_for(self, duration_s, per_second=10, zone=None, request_timeout_s=60):
        """Submits mixed requests at a steady rate and returns after @p duration_s; the requests are awaited in the background."""
        deadline = time.monotonic() + duration_s
        while time.monotonic() < deadline:
            self.submit_mix(max(1, per_second // 5), zone, request_timeout_s)
            time.sleep(0.2)

    def wait_for_start(self, submission, timeout_s=20):
        """Waits until a worker is running a task of the request."""
        harness.wait_until(lambda: any(task["state"] == "running" for task in self.tasks_of(submission)), timeout_s, f"{submission.key} starts")

    def tasks_of(self, submission):
        return [task for task in self.platform.worker_records()["tasks"] if task["key"] == submission.key]

    def wait_for_owner(self, zone):
        return harness.wait_until(lambda: self.deployment.owner(zone), 15, f"{zone} has an owner")

    def kill_owner(self, zone):
        """Kills the zone's owner with SIGKILL and measures the time until another VM owns the zone; returns the killed VM."""
        killed = self.wait_for_owner(zone)
        killed.process.kill()
        self.expect_within(f"takeover of {zone}", URGENT_START_S, lambda: self.deployment.owner(zone) not in (None, killed))
        return killed

    def wait_for_outcomes(self, timeout_s=SETTLE_S):
        """Waits for the outcome of every request; requests without a final outcome are then retried for up to @p timeout_s."""
        concurrent.futures.wait(self._calls, timeout=timeout_s + 60)
        open_submissions = [one for one in self.submissions if not one.is_final()]
        retries = [self._pool.submit(self.caller.submit_until_final, one, timeout_s) for one in open_submissions]
        concurrent.futures.wait(retries)

    def check_outcomes(self):
        outcome_check = OutcomeCheck(self.deployment, self.submissions, self.allow_unknown, self.allow_failed)
        self.violations += outcome_check.violations
        return outcome_check

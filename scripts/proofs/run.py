"""One run of one proof: a fresh deployment, a load, and the account at its end."""

import concurrent.futures
import random
import time

import harness
from account import OutcomeCheck
from deployment import Caller, Deployment, LoadBalancer, Submission

# Bounds from the design page.
URGENT_START_S = 4.5  # Section 1.4; also the longest time without an owner, section 8.
STORE_LEASE_S = 3.0
TASK_LEASE_S = 10.0
POLL_S = 5.0
CONFIGURATION_S = 4.0  # Section 1.1, invariant 8.
# After the last fault has ended: a takeover, one task lease and one poll, then the retries of the callers.
SETTLE_S = URGENT_START_S + TASK_LEASE_S + POLL_S + 10.0

# The classes of examples/zwolle.json: name, run times in ms, share of a mixed load.
URGENT, GANG, ONCE = "glaze-check", "kiln-curve", "crack-scan"
MIX = ((URGENT, (50, 300), 12), (ONCE, (100, 800), 6), (GANG, (1000, 3000), 1))
CALLERS = 48


class ProofRun:
    def __init__(self, processes, name, seed):
        self.name = name
        self.rng = random.Random(f"{name}-{seed}")
        self.deployment = Deployment(processes, "zwolle")
        self.submissions = []
        self.figures = {}
        self.violations = []
        self.allow_unknown = False
        self.allow_failed = False
        self._pool = concurrent.futures.ThreadPoolExecutor(CALLERS)
        self._runs = []
        self.balancer = LoadBalancer(self.deployment)
        self.caller = Caller(self.balancer)

    def __enter__(self):
        self.deployment.start()
        self.balancer.__enter__()
        self._warm_up()
        return self

    def _warm_up(self):
        """One request in each zone, because an owner places nothing before its workers have answered it."""
        first = [self.submit(URGENT, 10, zone, 20) for zone in self.deployment.zones]
        harness.wait_until(lambda: all(one.final() for one in first), 20, "every zone serves a first request")

    def __exit__(self, *_):
        self.caller.stop()
        self._pool.shutdown(wait=False, cancel_futures=True)
        self.balancer.__exit__()

    @property
    def platform(self):
        return self.deployment.platform

    def zone(self, number=0):
        return self.deployment.zones[number]

    def violation(self, text):
        self.violations.append(text)

    def expect_within(self, what, bound_s, condition):
        """Measures how long it takes until the condition holds; a violation if it is longer than the bound."""
        began = time.monotonic()
        try:
            harness.wait_until(condition, bound_s * 3 + 10, what)
        except harness.HarnessError as error:
            self.violation(str(error))
            return None
        took = time.monotonic() - began
        self.figures[what.replace(" ", "_") + "_s"] = f"{took:.2f}"
        if took > bound_s:
            self.violation(f"{what}: after {took:.2f} s, above {bound_s} s")
        return took

    def submit(self, job_class, run_ms, zone=None, seconds=60):
        """Submits one request in the background."""
        key = f"{self.name}-{len(self.submissions):04d}"
        submission = Submission(key, job_class, self.rng.choice(self.deployment.organisations()), run_ms, zone)
        self.submissions.append(submission)
        self._runs.append(self._pool.submit(self.caller.run, submission, seconds))
        return submission

    def submit_again(self, submission, zone, seconds=60):
        """Submits the same request under the same key in another zone in the background."""
        again = Submission(submission.key, submission.job_class, submission.organisation, submission.run_ms, zone)
        self.submissions.append(again)
        self._runs.append(self._pool.submit(self.caller.run, again, seconds))
        return again

    def submit_mix(self, count, zone=None, seconds=60):
        """Submits a mixed load of about @p count requests in the background."""
        weights = [share for _, _, share in MIX]
        for job_class, run_range, _ in self.rng.choices(MIX, weights, k=count):
            self.submit(job_class, self.rng.randint(*run_range), zone, seconds)

    def load_during(self, seconds, per_second=10, zone=None, patience=60):
        """Submits a steady mixed load for a time, in the calling thread."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.submit_mix(max(1, per_second // 5), zone, patience)
            time.sleep(0.2)

    def wait_for_start(self, submission, seconds=20):
        """Waits until a worker runs a task of the request."""
        harness.wait_until(lambda: any(task["state"] == "running" for task in self.tasks(submission)), seconds, f"{submission.key} starts")

    def tasks(self, submission):
        return [task for task in self.platform.worker_records()["tasks"] if task["key"] == submission.key]

    def owner(self, zone):
        return harness.wait_until(lambda: self.deployment.owner(zone), 15, f"{zone} has an owner")

    def kill_owner(self, zone):
        """kill -9 of the zone's owner; measures the time until another one is in office."""
        killed = self.owner(zone)
        killed.process.kill()
        self.expect_within(f"takeover of {zone}", URGENT_START_S, lambda: self.deployment.owner(zone) not in (None, killed))
        return killed

    def settle(self, seconds=SETTLE_S):
        """Waits until every request has an outcome, then asks once more for those that have none."""
        concurrent.futures.wait(self._runs, timeout=seconds + 60)
        open_ones = [one for one in self.submissions if not one.final()]
        asked = [self._pool.submit(self.caller.run, one, seconds) for one in open_ones]
        concurrent.futures.wait(asked)

    def account(self):
        account = OutcomeCheck(self.deployment, self.submissions, self.allow_unknown, self.allow_failed)
        self.violations += account.violations
        return account

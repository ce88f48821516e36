"""The load of a soak: threads that submit jobs, retry unanswered calls at random VMs, cancel some jobs, and poll job states."""

import http.client
import json
import random
import threading
import time

import harness
from fleetsoak.fleet import HOST_NAME, KEY, QUEUES

RUN_MS = 900
GANG_RUN_MS = (4000, 8000)  # Longer than a task lease.
GANG_PERIOD_S = (2.0, 5.0)
LONG_RUN_MS = 5000  # Outlasts a task lease, so that a run can go on by a renewal that its owner does not count.
MAX_TRIES = 6
CALL_TIMEOUT_S = 4.0
HEADERS = {"Host": HOST_NAME, "Authorization": f"Bearer {KEY}", "Content-Type": "application/json"}
FINAL_STATES = {"complete", "failed", "canceled"}


class SoakJob:
    """A job and what the VMs have answered about it. Times are from time.monotonic(), in seconds."""

    def __init__(self, rng, number, long_run_period=0):
        """One job in @p long_run_period has long runs, chosen by its identifier; none if it is 0."""
        self.id = f"{rng.getrandbits(64):016x}"
        self.path = rng.choice(QUEUES)[1] + self.id
        self.tasks_per_step = rng.choice((1, 1, 2, 3, 4))
        self.step_count = rng.choice((1, 1, 1, 2))
        self.gang = self.tasks_per_step > 1 and rng.random() < 0.5
        self.accelerators = rng.choice((1, 1, 2, 4))
        self.will_cancel = rng.random() < 0.12
        self.number = number
        self.run_ms = LONG_RUN_MS if long_run_period and int(self.id, 16) % long_run_period == 0 else RUN_MS
        self.sent = False
        self.accepted_at = None
        self.only_refused = True  # True as long as every attempt to submit the job was refused with status 429 or 503.
        self.cancel_acknowledged_at = None
        self.cancel_sent_at = None
        self.states = []  # (time, state) of each successful state query.
        self.unknown_at = []  # The times of state queries that were answered with status 410, which means that the job does not exist.

    @classmethod
    def long_gang(cls, rng, number):
        """A gang that outlasts a task lease, so that its members end on their own only if every lease is renewed."""
        job = cls(rng, number)
        job.tasks_per_step, job.step_count, job.gang, job.accelerators = rng.choice((2, 3, 4, 6)), 1, True, rng.choice((1, 2))
        job.run_ms = rng.randint(*GANG_RUN_MS)
        return job

    def submission_body(self):
        step = {"count": self.tasks_per_step, "cpu": 1000, "memMb": 100, "gpu": self.accelerators, "estimateMs": self.run_ms, "gang": self.gang}
        spec = f"job {self.number}" + ("" if self.run_ms == RUN_MS else f" runMs={self.run_ms}")
        return {"spec": spec, "phases": [step] + [{**step, "after": [index]} for index in range(self.step_count - 1)]}

    def last_state(self):
        return self.states[-1][1] if self.states else ""


class LoadGenerator:
    """Submits about @p per_second jobs a second until stop(). Use as a context manager."""

    def __init__(self, fleet, seed, per_second, thread_count):
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._submission_period_s = thread_count / per_second
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self.jobs = []
        self._threads = [
            threading.Thread(target=self._submit_periodically, args=(random.Random(f"{seed}-{index}"),), daemon=True) for index in range(thread_count)
        ]
        self._threads.append(threading.Thread(target=self._submit_long_gangs, args=(random.Random(f"{seed}-gangs"),), daemon=True))
        self._threads.append(threading.Thread(target=self._poll_open_jobs, args=(random.Random(f"{seed}-ask"),), daemon=True))

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.stop()

    def stop(self):
        self._stop.set()
        for thread in self._threads:
            thread.join(60)

    def _submit_periodically(self, rng):
        # One connection to each VM, kept open until a call on it fails.
        connections = {}
        while not self._stop.wait(rng.uniform(0.5, 1.5) * self._submission_period_s):
            with self._lock:
                job = SoakJob(rng, len(self.jobs), long_run_period=4 if self._fleet.zones > 1 else 10)
                self.jobs.append(job)
            self._submit_job(rng, connections, job)

    def _submit_long_gangs(self, rng):
        connections = {}
        while not self._stop.wait(rng.uniform(*GANG_PERIOD_S)):
            with self._lock:
                job = SoakJob.long_gang(rng, len(self.jobs))
                self.jobs.append(job)
            self._submit_job(rng, connections, job)

    def _submit_job(self, rng, connections, job):
        for _ in range(MAX_TRIES):
            job.sent = True
            answer = self._try_call(connections, rng.choice(self._fleet.vms), "POST", job.path, job.submission_body())
            if answer is not None and answer.status == 200:
                job.accepted_at = time.monotonic()
                job.only_refused = False
                break
            job.only_refused = job.only_refused and answer is not None and answer.status in (429, 503)
            if self._stop.wait(rng.uniform(0.1, 0.5)):
                return
        if job.will_cancel and job.accepted_at and not self._stop.wait(rng.uniform(0.0, 1.0)):
            self.cancel_job(rng, connections, job)

    def cancel_job(self, rng, connections, job):
        job.cancel_sent_at = time.monotonic()
        for _ in range(MAX_TRIES):
            answer = self._try_call(connections, rng.choice(self._fleet.vms), "DELETE", job.path, None)
            if answer is not None and answer.status == 200:
                job.cancel_acknowledged_at = time.monotonic()
                return
            if self._stop.wait(0.2):
                return

    def _poll_open_jobs(self, rng):
        connections = {}
        while not self._stop.wait(0.05):
            with self._lock:
                open_jobs = [job for job in self.jobs if job.accepted_at and job.last_state() not in FINAL_STATES]
            if open_jobs:
                self.poll_job_state(rng, connections, rng.choice(open_jobs))

    def poll_job_state(self, rng, connections, job):
        sent_at = time.monotonic()
        answer = self._try_call(connections, rng.choice(self._fleet.vms), "GET", job.path, None)
        if answer is None:
            return
        if answer.status == 200:
            job.states.append((time.monotonic(), answer.body.get("state", "")))
        elif answer.status == 410:
            job.unknown_at.append(sent_at)

    def _try_call(self, connections, vm, method, path, body):
        connection = connections.get(vm.name) or http.client.HTTPConnection(harness.HOST, vm.front_port, timeout=CALL_TIMEOUT_S)
        connections[vm.name] = connection
        try:
            connection.request(method, path, json.dumps(body) if body else None, HEADERS)
            response = connection.getresponse()
            return harness.Answer(response.status, dict(response.getheaders()), response.read().decode("utf-8", "replace"))
        except (OSError, http.client.HTTPException):
            connection.close()
            del connections[vm.name]
            return None

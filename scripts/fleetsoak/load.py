"""The callers of a soak: they submit jobs, repeat what got no answer at another VM, cancel some jobs, and ask for states."""

import http.client
import json
import random
import threading
import time

import harness
from fleetsoak.fleet import HOST_NAME, KEY, QUEUES

TRIES = 6
CALL_TIMEOUT_S = 4.0
HEADERS = {"Host": HOST_NAME, "Authorization": f"Bearer {KEY}", "Content-Type": "application/json"}
FINAL = {"complete", "failed", "canceled"}


class SoakJob:
    """One job with what its caller was told. Times are those of time.monotonic()."""

    def __init__(self, rng, number):
        self.id = f"{rng.getrandbits(64):016x}"
        self.path = rng.choice(QUEUES)[1] + self.id
        self.tasks_per_step = rng.choice((1, 1, 2, 3, 4))
        self.step_count = rng.choice((1, 1, 1, 2))
        self.gang = self.tasks_per_step > 1 and rng.random() < 0.5
        self.accelerators = rng.choice((1, 1, 2, 4))
        self.cancels = rng.random() < 0.12
        self.number = number
        self.sent = False
        self.accepted_at = None
        self.only_refused = True  # Every answer so far said that the job was not accepted.
        self.cancel_acknowledged_at = None
        self.cancel_sent_at = None
        self.states = []  # (time, state) of each answer to a question.
        self.unknown_at = []  # Times at which the job was said not to exist.

    def body(self):
        step = {"count": self.tasks_per_step, "cpu": 1000, "memMb": 100, "gpu": self.accelerators, "estimateMs": 900, "gang": self.gang}
        return {"spec": f"job {self.number}", "phases": [step] + [{**step, "after": [index]} for index in range(self.step_count - 1)]}

    def state(self):
        return self.states[-1][1] if self.states else ""


class Callers:
    """Threads that submit jobs at a steady rate until stop(). Use as a context."""

    def __init__(self, fleet, seed, per_second, threads=6):
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._period = threads / per_second
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self.jobs = []
        self._threads = [threading.Thread(target=self._submit_all, args=(random.Random(f"{seed}-{index}"),), daemon=True) for index in range(threads)]
        self._threads.append(threading.Thread(target=self._ask_all, args=(random.Random(f"{seed}-ask"),), daemon=True))

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

    def _submit_all(self, rng):
        # One connection to each VM, kept open until the VM ends it.
        connections = {}
        while not self._stop.wait(rng.uniform(0.5, 1.5) * self._period):
            with self._lock:
                job = SoakJob(rng, len(self.jobs))
                self.jobs.append(job)
            self._submit(rng, connections, job)

    def _submit(self, rng, connections, job):
        for _ in range(TRIES):
            job.sent = True
            answer = self._call(connections, rng.choice(self._fleet.vms), "POST", job.path, job.body())
            if answer is not None and answer.status == 200:
                job.accepted_at = time.monotonic()
                job.only_refused = False
                break
            job.only_refused = job.only_refused and answer is not None and answer.status in (429, 503)
            if self._stop.wait(rng.uniform(0.1, 0.5)):
                return
        if job.cancels and job.accepted_at and not self._stop.wait(rng.uniform(0.0, 1.0)):
            self.cancel(rng, connections, job)

    def cancel(self, rng, connections, job):
        job.cancel_sent_at = time.monotonic()
        for _ in range(TRIES):
            answer = self._call(connections, rng.choice(self._fleet.vms), "DELETE", job.path, None)
            if answer is not None and answer.status == 200:
                job.cancel_acknowledged_at = time.monotonic()
                return
            if self._stop.wait(0.2):
                return

    def _ask_all(self, rng):
        connections = {}
        while not self._stop.wait(0.05):
            with self._lock:
                open_jobs = [job for job in self.jobs if job.accepted_at and job.state() not in FINAL]
            if open_jobs:
                self.ask(rng, connections, rng.choice(open_jobs))

    def ask(self, rng, connections, job):
        asked_at = time.monotonic()
        answer = self._call(connections, rng.choice(self._fleet.vms), "GET", job.path, None)
        if answer is None:
            return
        if answer.status == 200:
            job.states.append((time.monotonic(), answer.body.get("state", "")))
        elif answer.status == 410:
            job.unknown_at.append(asked_at)

    def _call(self, connections, vm, method, path, body):
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

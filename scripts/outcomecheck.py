"""Compares what callers were told with what the workers' own books say."""

# A gang member may be missing for one task lease and one poll period (design page, section 1.1, invariant 2).
GANG_BOUND_MS = 10000 + 5000


class OutcomeCheck:
    """Counts over a set of submissions. violations lists every broken promise as a text."""

    def __init__(self, deployment, submissions, allow_unknown=False, allow_failed=False):
        self.submissions = submissions
        self._allow_failed = allow_failed
        self._classes = deployment.job_classes_by_id()
        self.books = deployment.platform.worker_records()
        self._finished = {task["key"] for task in self.books["tasks"] if task["state"] == "done"}
        self.counts = {name: 0 for name in ("sent", "done", "failed", "cancelled", "not_run", "unknown", "refused", "doubled", "cut", "lost")}
        self.reruns = 0
        self.violations = []
        for submission in submissions:
            self._add(submission, allow_unknown)
        self._check_workers()

    def _violation(self, submission, text):
        self.violations.append(f"{submission.key} ({submission.job_class}): {text}")

    def _add(self, submission, allow_unknown):
        self.counts["sent"] += 1
        summary = self.books["keys"].get(submission.key, {"starts": 0, "repeatedRuns": 0, "overlappingRuns": 0, "longestPartialMs": 0})
        self._count_outcome(submission, allow_unknown)
        self._check_outcome(submission, summary)
        self._check_runs(submission, summary)

    def _count_outcome(self, submission, allow_unknown):
        if submission.final():
            self.counts[submission.outcome] += 1
        elif not submission.accepted:
            self.counts["refused"] += 1
            self._violation(submission, f"refused by every call until after the last fault ({submission.reason})")
        elif submission.outcome == "unknown" and allow_unknown:
            self.counts["unknown"] += 1
        else:
            self.counts["lost"] += 1
            self._violation(submission, f"lost: accepted, and {submission.outcome} at the end ({submission.reason})")

    def _check_outcome(self, submission, summary):
        if submission.outcome == "done" and submission.result != submission.expected_result:
            self.counts["cut"] += 1
            self._violation(submission, f"cut or crossed: the answer is {submission.result[:60]!r}")
        if submission.outcome == "done" and submission.key not in self._finished:
            self._violation(submission, "done, but no worker has finished it")
        if submission.outcome == "failed" and not self._allow_failed:
            self._violation(submission, f"failed, but no worker was made to fail ({submission.reason})")
        if not submission.accepted and not submission.ambiguous and summary["starts"] > 0:
            self._violation(submission, f"every call was refused, but workers started it {summary['starts']} times")
        if submission.outcome == "not_run" and summary["starts"] > 0:
            self._violation(submission, f"not run, but workers started it {summary['starts']} times")

    def _check_runs(self, submission, summary):
        job_class = self._classes[submission.job_class]
        if summary["repeatedRuns"] or summary["overlappingRuns"]:
            if job_class["idempotent"]:
                self.reruns += 1
            else:
                self.counts["doubled"] += 1
                self._violation(submission, f"doubled: {summary['repeatedRuns']} repeated and {summary['overlappingRuns']} overlapping runs")
        if self._early_starts(submission):
            self._violation(submission, f"{self._early_starts(submission)} of its attempts started a member before every member was held")
        if summary["longestPartialMs"] > GANG_BOUND_MS:
            self._violation(submission, f"its gang ran partially for {summary['longestPartialMs']} ms, above {GANG_BOUND_MS} ms")

    def _early_starts(self, submission):
        """Attempts with a member that started before another one was held. One process stamps all times, in whole milliseconds."""
        attempts = {}
        for task in self.books["tasks"]:
            if task["key"] == submission.key and "heldMs" in task:
                attempts.setdefault((task["fence"], task["attempt"]), []).append(task)
        last_holds = ((tasks, max(task["heldMs"] for task in tasks)) for tasks in attempts.values())
        return sum(any(task["startedMs"] is not None and task["startedMs"] < held for task in tasks) for tasks, held in last_holds)

    def _check_workers(self):
        out_of_order = self.books["counts"].get("acceptedOutOfOrder", 0)
        if out_of_order:
            self.violations.append(f"workers accepted {out_of_order} commands of a former owner")

    def line(self):
        figures = " ".join(f"{name}={count}" for name, count in self.counts.items())
        return f"{figures} reruns={self.reruns} stale_refused={self.books['counts'].get('refusedAuthority', 0)}"

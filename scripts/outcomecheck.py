"""Compares the outcomes that callers received with the records that the stand-in workers keep of their tasks."""

# A gang may run without some member for one task lease and one poll period (design page, section 1.1, invariant 2).
GANG_BOUND_MS = 10000 + 5000


class OutcomeCheck:
    """Counts the outcomes of submissions; violations holds one text for each violated guarantee."""

    def __init__(self, deployment, submissions, allow_unknown=False, allow_failed=False):
        self.submissions = submissions
        self._allow_failed = allow_failed
        self._job_classes = deployment.job_classes_by_id()
        self.records = deployment.platform.worker_records()
        self._finished_keys = {task["key"] for task in self.records["tasks"] if task["state"] == "done"}
        self.counts = {name: 0 for name in ("sent", "done", "failed", "cancelled", "not_run", "unknown", "refused", "doubled", "cut", "lost")}
        self.reruns = 0
        self.violations = []
        for submission in submissions:
            self._check_submission(submission, allow_unknown)
        self._check_worker_commands()

    def _add_violation(self, submission, text):
        self.violations.append(f"{submission.key} ({submission.job_class}): {text}")

    def _check_submission(self, submission, allow_unknown):
        self.counts["sent"] += 1
        summary = self.records["keys"].get(submission.key, {"starts": 0, "repeatedRuns": 0, "overlappingRuns": 0, "longestPartialMs": 0})
        self._count_outcome(submission, allow_unknown)
        self._check_outcome(submission, summary)
        self._check_run_counts(submission, summary)

    def _count_outcome(self, submission, allow_unknown):
        if submission.is_final():
            self.counts[submission.outcome] += 1
        elif not submission.accepted:
            self.counts["refused"] += 1
            self._add_violation(submission, f"refused by every call until after the last fault ({submission.reason})")
        elif submission.outcome == "unknown" and allow_unknown:
            self.counts["unknown"] += 1
        else:
            self.counts["lost"] += 1
            self._add_violation(submission, f"lost: accepted, and {submission.outcome} at the end ({submission.reason})")

    def _check_outcome(self, submission, summary):
        if submission.outcome == "done" and submission.result != submission.expected_result:
            self.counts["cut"] += 1
            self._add_violation(submission, f"cut or crossed: the answer is {submission.result[:60]!r}")
        if submission.outcome == "done" and submission.key not in self._finished_keys:
            self._add_violation(submission, "done, but no worker has finished it")
        if submission.outcome == "failed" and not self._allow_failed:
            self._add_violation(submission, f"failed, but no worker was made to fail ({submission.reason})")
        if not submission.accepted and not submission.ambiguous and summary["starts"] > 0:
            self._add_violation(submission, f"every call was refused, but workers started it {summary['starts']} times")
        if submission.outcome == "not_run" and summary["starts"] > 0:
            self._add_violation(submission, f"not run, but workers started it {summary['starts']} times")

    def _check_run_counts(self, submission, summary):
        job_class = self._job_classes[submission.job_class]
        if summary["repeatedRuns"] or summary["overlappingRuns"]:
            if job_class["idempotent"]:
                self.reruns += 1
            else:
                self.counts["doubled"] += 1
                self._add_violation(submission, f"doubled: {summary['repeatedRuns']} repeated and {summary['overlappingRuns']} overlapping runs")
        if self._count_early_start_attempts(submission):
            self._add_violation(submission, f"{self._count_early_start_attempts(submission)} of its attempts started a member before every member was held")
        if summary["longestPartialMs"] > GANG_BOUND_MS:
            self._add_violation(submission, f"its gang ran partially for {summary['longestPartialMs']} ms, above {GANG_BOUND_MS} ms")

    def _count_early_start_attempts(self, submission):
        """Counts attempts in which a member started before every member was held. One process takes all times, so they are comparable."""
        attempts = {}
        for task in self.records["tasks"]:
            if task["key"] == submission.key and "heldMs" in task:
                attempts.setdefault((task["fence"], task["attempt"]), []).append(task)
        last_hold_times = ((tasks, max(task["heldMs"] for task in tasks)) for tasks in attempts.values())
        return sum(any(task["startedMs"] is not None and task["startedMs"] < held for task in tasks) for tasks, held in last_hold_times)

    def _check_worker_commands(self):
        out_of_order = self.records["counts"].get("acceptedOutOfOrder", 0)
        if out_of_order:
            self.violations.append(f"workers accepted {out_of_order} commands of a former owner")

    def summary_line(self):
        counts_text = " ".join(f"{name}={count}" for name, count in self.counts.items())
        return f"{counts_text} reruns={self.reruns} stale_refused={self.records['counts'].get('refusedAuthority', 0)}"

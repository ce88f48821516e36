"""Tests of the soak's checks: a violation that they do not see would make every soak pass."""

import random
import sys
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[3] / "scripts"))
from fleetsoak.checks import find_violations  # noqa: E402
from fleetsoak.load import SoakJob  # noqa: E402


def job(tasks_per_step=1, gang=False, accelerators=1, state="complete"):
    one = SoakJob(random.Random(1), 0)
    one.id, one.tasks_per_step, one.step_count, one.gang, one.accelerators = "aa", tasks_per_step, 1, gang, accelerators
    one.sent, one.only_refused, one.accepted_at = True, False, 0.0
    one.states = [(9.0, state)]
    return one


def run(started, ended, how="done", task="aa.0.0.0", worker="w0", number=1, taken=True):
    return {"task": task, "run": number, "worker": worker, "life": 1, "started": started, "ended": ended, "how": how, "taken": taken}


def found(jobs, runs):
    return find_violations(jobs, {"runs": runs}, 0.0, 0.0)


class Checks(unittest.TestCase):
    def test_a_calm_run_passes(self):
        self.assertEqual(found([job()], [run(1000, 2000)]), [])

    def test_two_runs_at_a_time_are_reported(self):
        self.assertIn("runs twice at a time", found([job()], [run(1000, 2000, "stopped"), run(1500, 2500, number=2, worker="w1")])[0])

    def test_a_run_after_a_taken_end_is_reported(self):
        self.assertIn("runs again after it was done", found([job()], [run(1000, 2000), run(2500, 3000, number=2)])[0])

    def test_a_run_after_an_end_that_the_worker_forgot_is_allowed(self):
        self.assertEqual(found([job()], [run(1000, 2000, taken=False), run(2500, 3000, number=2)]), [])

    def test_a_run_of_a_refused_job_is_reported(self):
        refused = job()
        refused.only_refused, refused.accepted_at = True, None
        self.assertIn("every attempt to submit it was refused", found([refused], [run(1000, 2000)])[0])

    def test_a_run_that_nobody_asked_for_is_reported(self):
        self.assertIn("nobody submitted it", found([], [run(1000, 2000)])[0])

    def test_a_start_long_after_the_cancellation_is_reported(self):
        cancelled = job(state="canceled")
        cancelled.cancel_sent_at = cancelled.cancel_acknowledged_at = 1.0
        self.assertIn("starts after its cancellation", found([cancelled], [run(20000, 21000)])[0])

    def test_an_accepted_job_that_never_ends_or_is_unknown_is_reported(self):
        lost = job(state="queued")
        lost.unknown_at = [8.0]
        self.assertEqual(len(found([lost], [])), 2)

    def test_an_early_completion_is_reported(self):
        self.assertIn("has not ended as done", found([job()], [run(8000, 9500)])[0])

    def test_an_overfull_worker_is_reported(self):
        wide = job(tasks_per_step=3, accelerators=4)
        runs = [run(1000, 2000, task=f"aa.0.0.{index}") for index in range(3)]
        self.assertIn("more than its 8 accelerators", found([wide], runs)[0])

    def test_members_of_a_gang_count_until_the_first_of_them_is_done(self):
        gang = job(tasks_per_step=2, gang=True, accelerators=8)
        self.assertEqual(found([gang], [run(1000, 2000), run(2001, 2003, task="aa.0.0.1")]), [])


if __name__ == "__main__":
    unittest.main()

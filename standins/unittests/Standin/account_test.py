"""Tests of the outcome check: a violation that it does not detect would make every failure proof pass."""

import json
import sys
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[3] / "scripts"))
import deployment as module  # noqa: E402
from outcomecheck import GANG_BOUND_MS, OutcomeCheck  # noqa: E402


class FakePlatform:
    def __init__(self, books):
        self._books = books

    def worker_records(self):
        return self._books


class FakeDeployment:
    def __init__(self, books):
        self.platform = FakePlatform(books)

    def job_classes_by_id(self):
        return {"once": {"idempotent": False}, "again": {"idempotent": True}}


def submission(outcome="done", job_class="once", accepted=True):
    one = module.Submission("k", job_class, "org", 100)
    one.outcome, one.accepted = outcome, accepted
    one.result = one.expected_result if outcome == "done" else ""
    return one


def books(state="done", counts=None, **summary):
    task = {"key": "k", "state": state}
    return {
        "tasks": [task] if state else [],
        "keys": {"k": {"starts": 1, "repeatedRuns": 0, "overlappingRuns": 0, "longestPartialMs": 0, **summary}} if state else {},
        "counts": counts or {},
    }


def gang_books(first_started_ms):
    """The books of a gang of two whose last member was held at 20 ms."""
    gang = books()
    common = {"key": "k", "state": "done", "fence": 3, "attempt": 1}
    gang["tasks"] = [{**common, "heldMs": 10, "startedMs": first_started_ms}, {**common, "heldMs": 20, "startedMs": 20}]
    return gang


class AccountTest(unittest.TestCase):
    def check(self, one, worker_records, **options):
        return OutcomeCheck(FakeDeployment(worker_records), [one], **options)

    def test_a_whole_answer_is_no_violation(self):
        """Guards against false alarms."""
        account = self.check(submission(), books())
        self.assertEqual((account.violations, account.counts["done"]), ([], 1))

    def test_members_that_start_after_the_last_hold_are_no_violation(self):
        """Guards against a false alarm for a gang whose members start in the millisecond of the last hold."""
        self.assertEqual(self.check(submission(), gang_books(first_started_ms=20)).violations, [])

    def test_each_broken_promise_is_seen(self):
        """Guards against proofs that pass whatever happens."""
        cut = submission()
        cut.result = cut.expected_result[:20]
        cases = {
            "cut or crossed": (cut, books()),
            "no worker has finished": (submission(), books(state="stopped")),
            "doubled": (submission(), books(starts=2, repeatedRuns=1)),
            "overlapping": (submission(), books(overlappingRuns=1)),
            "not run, but": (submission("not_run"), books(state="stopped")),
            "lost": (submission("pending"), books(state="stopped")),
            "unknown at the end": (submission("unknown"), books(state="stopped")),
            "failed, but": (submission("failed"), books(state="failed")),
            "refused by every call": (submission("pending", accepted=False), books(state=None)),
            "every call was refused, but": (submission("pending", accepted=False), books(state="running")),
            "before every member was held": (submission(), gang_books(first_started_ms=19)),
            "ran partially": (submission(), books(longestPartialMs=GANG_BOUND_MS + 1)),
            "former owner": (submission(), books(counts={"acceptedOutOfOrder": 1})),
        }
        for text, (one, worker_records) in cases.items():
            with self.subTest(text):
                violations = self.check(one, worker_records).violations
                self.assertTrue(any(text in violation for violation in violations), violations)

    def test_a_rerun_of_an_idempotent_request_is_counted_but_allowed(self):
        """Guards against an alarm for what the design permits."""
        account = self.check(submission(job_class="again"), books(starts=2, repeatedRuns=1))
        self.assertEqual((account.violations, account.reruns), ([], 1))

    def test_unknown_is_allowed_only_where_the_proof_says_so(self):
        """Guards against unknown outcomes that hide lost requests."""
        self.assertEqual(self.check(submission("unknown"), books(state="stopped"), allow_unknown=True).violations, [])

    def test_comments_are_stripped_outside_strings_only(self):
        """Guards against a configuration whose addresses lose everything after //."""
        text = '{ // note\n "a": "http://x/*y*/\\"//z", /* b */ "c": 1 }'
        self.assertEqual(json.loads(module.strip_comments(text)), {"a": 'http://x/*y*/"//z', "c": 1})

    def test_examples_can_be_read(self):
        """Guards against an example that only the daemon can read."""
        for name in ("zwolle", "stara-zagora"):
            configuration = module.read_example(name)
            self.assertGreaterEqual(len(module.zones_of(configuration)), 3)
            self.assertEqual(len({worker["id"] for worker in configuration["workers"]}), len(configuration["workers"]))


if __name__ == "__main__":
    unittest.main()

"""Tests of the optional retry helper."""

import unittest

from returns.result import Failure, Success

from endivepick.client import (
    Answer,
    GaveUp,
    NotRun,
    OutcomeUnknown,
    RetryPolicy,
    request_with_retry,
)


class FakeFlow:
    """Flow that returns given results in order."""

    def __init__(self, *results):
        self.results = list(results)

    def request(self, *_):
        result = self.results.pop(0)
        return Failure(result) if isinstance(result, Exception) else Success(result)


class TestRequestWithRetry(unittest.TestCase):
    def setUp(self):
        self.waits_s = []
        self.policy = RetryPolicy(sleep=self.waits_s.append)

    def _run(self, *results, idempotent=False):
        self.flow = FakeFlow(*results)
        return request_with_retry(
            self.flow, self.policy, idempotent=idempotent, deadline_s=60.0
        )

    def test_not_run_is_retried_after_the_requested_delay(self):
        result = self._run(NotRun("overloaded", 700), Answer(200))
        self.assertEqual(result.unwrap().status, 200)
        self.assertGreaterEqual(self.waits_s[0], 0.7)

    def test_unknown_outcome_is_retried_only_if_idempotent(self):
        result = self._run(OutcomeUnknown("lost"), Answer(200))
        self.assertIsInstance(result.failure(), OutcomeUnknown)
        result = self._run(OutcomeUnknown("lost"), Answer(200), idempotent=True)
        self.assertEqual(result.unwrap().status, 200)

    def test_not_run_after_an_unknown_outcome_stays_unknown(self):
        errors = [OutcomeUnknown("lost"), *(NotRun("busy") for _ in range(3))]
        result = self._run(*errors, idempotent=True)
        self.assertNotIsInstance(result.failure(), NotRun)

    def test_deadline_ends_the_attempts(self):
        result = self._run(GaveUp(), Answer(200), idempotent=True)
        self.assertIsInstance(result.failure(), GaveUp)

    def test_wait_beyond_the_deadline_is_not_started(self):
        result = self._run(NotRun("overloaded", 60_000), Answer(200))
        self.assertIsInstance(result.failure(), NotRun)
        self.assertEqual(self.waits_s, [])

    def test_budget_bounds_the_retries_of_all_requests(self):
        for _ in range(40):
            self._run(*(NotRun("busy") for _ in range(4)))
        self.assertLess(len(self.waits_s), 20)


if __name__ == "__main__":
    unittest.main()

import random
import unittest

from endivepick.backoff import Backoff, BackoffSettings


class TestBackoff(unittest.TestCase):
    def test_waits_stay_within_bounds_and_spread(self):
        bounds = BackoffSettings(base_s=0.2, cap_s=10.0)
        numbers = random.Random(7)
        waits_s = []
        for _ in range(200):
            backoff = Backoff(bounds)
            for _ in range(8):
                backoff = backoff.failed(numbers.random())
                self.assertLessEqual(bounds.base_s, backoff.wait_s)
                self.assertLessEqual(backoff.wait_s, bounds.cap_s)
            waits_s.append(backoff.wait_s)
        # No tenth of the range of waits holds more than a third of them.
        tenths = [int(wait_s) for wait_s in waits_s]
        self.assertLess(max(map(tenths.count, range(10))), len(waits_s) / 3)

    def test_wait_asked_for_is_a_lower_bound(self):
        backoff = Backoff(BackoffSettings()).failed(0.0, retry_after_s=30.0)
        self.assertGreaterEqual(backoff.wait_s, 30.0)
        self.assertEqual(backoff.succeeded().wait_s, 0.0)

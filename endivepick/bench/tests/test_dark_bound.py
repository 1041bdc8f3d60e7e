import unittest

from endivepick.bench.dark_bound import Caller, Outcome, best_outcome, best_shares

CALLER = Caller(aim_ms=400.0, deadline_ms=2000.0, service_ms=30.0)


class TestDarkBound(unittest.TestCase):
    def test_a_request_ends_with_the_first_packet_that_reaches_an_instance(self):
        ends = {
            0.0: Outcome.IN_AIM,
            200.0: Outcome.IN_AIM,
            200.1: Outcome.LATE,
            1400.0: Outcome.LATE,
            1400.1: Outcome.LOST,
            9000.0: Outcome.LOST,
        }
        for dark_for_ms, outcome in ends.items():
            with self.subTest(dark_for_ms=dark_for_ms):
                self.assertIs(best_outcome(CALLER, dark_for_ms), outcome)

    def test_a_caller_with_more_time_loses_nothing(self):
        caller = Caller(aim_ms=700.0, deadline_ms=6000.0)
        shares = best_shares(caller, 580)
        self.assertEqual(shares[Outcome.IN_AIM], 1.0)

    def test_shares_add_up(self):
        shares = best_shares(CALLER, 2000)
        self.assertAlmostEqual(shares[Outcome.IN_AIM], 0.1)
        self.assertAlmostEqual(shares[Outcome.LATE], 0.6)
        self.assertAlmostEqual(sum(shares.values()), 1.0)


if __name__ == "__main__":
    unittest.main()

import unittest

from standins.combined import run_combined
from standins.shapes import SMALL

SEED = 11
RUN_S = 20.0


class TestCombinedFailures(unittest.TestCase):
    def test_no_promise_breaks_under_drawn_failures(self):
        report, counts = run_combined(SMALL, SEED, RUN_S)
        self.assertEqual([str(violation) for violation in report.violations], [])
        self.assertGreater(report.counts["answer_whole"], 0)
        self.assertGreater(sum(counts.values()), 3)


if __name__ == "__main__":
    unittest.main()

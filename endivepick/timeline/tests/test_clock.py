import unittest

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from endivepick.timeline.clock import HybridClock, stamp_to_s

DAY_S = 86400.0
SKEW_S = st.lists(st.floats(-600, 600), min_size=3, max_size=3)
# Each step: elapsed time, process, and the peer that sends to it (or itself).
STEPS = st.lists(
    st.tuples(st.floats(-1, 1), st.integers(0, 2), st.integers(0, 2)), max_size=60
)


class HybridClockTest(unittest.TestCase):
    @seed(1)
    @settings(max_examples=300, deadline=None)
    @given(SKEW_S, STEPS)
    def test_stamps_respect_causes_under_skew_and_steps_back(self, skew_s, steps):
        clocks = [HybridClock() for _ in skew_s]
        true_s = 1e9
        for passed_s, process, peer in steps:
            true_s += passed_s
            before = clocks[process].last
            cause = clocks[peer].tick(true_s + skew_s[peer])
            effect = clocks[process].observe(cause, true_s + skew_s[process])
            self.assertGreater(effect, cause)
            self.assertGreater(effect, before)
            self.assertLess(effect, 1 << 64)

    def test_stays_near_wall_time(self):
        clock = HybridClock()
        self.assertAlmostEqual(stamp_to_s(clock.tick(1e9)), 1e9, delta=0.001)

    def test_timestamp_far_ahead_is_ignored(self):
        clock = HybridClock()
        far = HybridClock().tick(1e9 + 2 * DAY_S)
        self.assertLess(clock.observe(far, 1e9), far)
        self.assertLess(clock.observe((1 << 64) - 1, 1e9), far)

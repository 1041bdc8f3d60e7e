import math
import unittest

from endivepick.forwarding.admission.overload_state import OverloadState
from endivepick.forwarding.admission.tests.replay import (
    BULK,
    CAPACITY_PER_S,
    URGENT,
    USUAL,
    Replay,
)

SEEDS = (1, 2, 3)
WAVE_S = 11.0


def mix(demand):
    """Return the rates of a demand, as a share of the capacity."""
    shares = {URGENT: 0.3, USUAL: 0.3, BULK: 0.4}
    return {p: share * demand * CAPACITY_PER_S for p, share in shares.items()}


def wave(now_s):
    return mix(1.0 + 0.3 * math.sin(2 * math.pi * now_s / WAVE_S))


class TestCompetingPriorities(unittest.TestCase):
    """Urgent requests of a flow each and long flows compete for full targets."""

    def test_nothing_is_rejected_while_slots_are_free(self):
        for seed in SEEDS:
            replay = Replay(seed)
            replay.run(60.0, mix(0.95))
            self.assertEqual((replay.rejected, replay.changes), ({}, []))

    def test_less_urgent_openings_are_rejected_first(self):
        for seed in SEEDS:
            replay = Replay(seed)

            def check(replay=replay):
                urgent, usual, bulk = replay.shares()
                self.assertEqual(urgent, 1.0)
                self.assertGreaterEqual(usual, bulk)

            replay.run(40.0, mix(2.5), check)
            self.assertEqual(replay.rejected[URGENT], 0)
            self.assertAlmostEqual(replay.first_rejected[USUAL][BULK], 0.1)

    def test_urgent_requests_are_lost_and_late_less_often_than_without_limits(self):
        for seed in SEEDS:
            lost, late = {}, {}
            for limits in (False, True):
                replay = Replay(seed, limits)
                replay.run(60.0, mix(1.5))
                lost[limits] = replay.lost[URGENT] / replay.asked[URGENT]
                late[limits] = replay.late[URGENT] / replay.served[URGENT]
            with self.subTest(seed=seed, lost=lost, late=late):
                self.assertLess(lost[True], 0.2 * lost[False])
                self.assertLess(late[True], 0.2 * late[False])

    def test_urgent_demand_without_end_leaves_each_priority_a_tenth(self):
        for seed in SEEDS:
            replay = Replay(seed)
            shares = []
            rates = mix(1.0) | {URGENT: 3.0 * CAPACITY_PER_S}
            replay.run(60.0, rates, lambda r=replay, s=shares: s.extend(r.shares()))
            self.assertAlmostEqual(min(shares), 0.1)
            for priority in (USUAL, BULK):
                admitted = replay.openings[priority] - replay.rejected[priority]
                self.assertGreaterEqual(admitted, 0.1 * replay.openings[priority])

    def test_everything_is_admitted_within_six_seconds_of_the_end(self):
        for seed in SEEDS:
            replay = Replay(seed)
            replay.run(30.0, mix(2.5))
            self.assertLess(min(replay.shares()), 0.2)
            replay.run(6.0, mix(0.3))
            self.assertEqual(replay.shares(), [1.0, 1.0, 1.0])
            self.assertIs(replay.changes[-1].state, OverloadState.NORMAL)

    def test_wave_about_the_limit_causes_one_overload_each_at_most(self):
        for seed in SEEDS:
            replay = Replay(seed)
            replay.run(10 * WAVE_S, wave)
            states = [change.state for change in replay.changes]
            self.assertLessEqual(states.count(OverloadState.OVERLOADED), 10)
            self.assertLessEqual(len(states), 30)
            self.assertEqual(replay.rejected[URGENT], 0)


if __name__ == "__main__":
    unittest.main()

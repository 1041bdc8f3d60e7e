"""Instances that stop go on forwarding while the fabric sends their flows elsewhere."""

import unittest

from endivepick.forwarding.tests.sessions import NAMES, SessionZone
from endivepick.forwarding.tests.support import IDEMPOTENT_PORT

WORK_S = (0.2, 0.4)
SHORT_PAUSE_S, LONG_PAUSE_S = (0.05, 0.2), (2.0, 4.0)
PER_S = 10.0
LEARNT_S = 12.0
STEP_S = 0.02
SEEDS = range(1, 8)


class TestPlannedStop(unittest.TestCase):
    """Guards against resets by instances whose requests are answered through others."""

    def make_zone(self, seed):
        """Return a zone whose first target has more requests in progress."""
        zone = SessionZone(seed)
        self.elsewhere = zone.cores.pop()
        for name, pause_s in zip(NAMES, (SHORT_PAUSE_S, LONG_PAUSE_S), strict=True):
            for number in range(24):
                zone.add_session(name, number % 2, IDEMPOTENT_PORT, WORK_S, pause_s)
        zone.run(LEARNT_S, PER_S)
        return zone

    def move_sessions(self, zone):
        """Let the fabric send all flows elsewhere, with answers to their requests."""
        for session in zone.sessions:
            session.core = self.elsewhere
        zone.events = [
            (at_s, self.elsewhere, packet) for at_s, _, packet in zone.events
        ]

    def run_sessions(self, zone, for_s):
        """Let the sessions go on without new flows."""
        end_s = zone.now_s + for_s
        while zone.now_s < end_s:
            for _ in range(5):
                zone.now_s += STEP_S
                zone.deliver()
            zone.tick()

    def test_instances_of_a_zone_that_stop_together_reset_no_flow(self):
        for seed in SEEDS:
            zone = self.make_zone(seed)
            for core in zone.cores:
                core.begin_stop()
            self.move_sessions(zone)
            self.run_sessions(zone, 3.0)
            with self.subTest(seed):
                self.assertEqual(zone.resets, [])
                self.assertEqual(zone.ejected(), set())

    def test_stopping_instance_reports_no_suspect(self):
        zone = self.make_zone(SEEDS[0])
        zone.behave = lambda name: (
            None if name == NAMES[0] else zone.draw_normal_answer(name)
        )
        zone.run(2.0, 4 * PER_S)
        core = zone.cores[0]
        self.assertTrue(core.outlier_detector.report(zone.now_s).targets)
        core.begin_stop()
        self.assertEqual(core.outlier_detector.report(zone.now_s).targets, [])
        self.assertFalse(core.outlier_detector.has_suspects)


if __name__ == "__main__":
    unittest.main()

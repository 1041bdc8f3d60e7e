"""A slow target's flows are reset only when no request is in progress on them."""

import unittest

from endivepick.forwarding.tests.sessions import NAMES, SessionZone
from endivepick.forwarding.tests.support import IDEMPOTENT_PORT, ONCE_PORT
from endivepick.forwarding.tests.test_fitness import ANSWER_BYTES

WORK_S, SLOW_WORK_S = (0.01, 0.06), (1.0, 1.5)
PAUSE_S = (1.2, 2.0)
PER_S = 10.0
SEEDS = range(1, 6)


class TestIdleFlows(unittest.TestCase):
    """Guards against resets of requests in progress on flows that look idle."""

    def make_zone(self, seed, parts=1):
        """Return a zone with sessions at both targets, and their baselines learnt."""
        zone = SessionZone(seed)
        for name in NAMES:
            for number in range(12):
                port = ONCE_PORT if number % 2 else IDEMPOTENT_PORT
                zone.add_session(name, number % 3, port, WORK_S, PAUSE_S, parts)
        zone.run(15.0, PER_S)
        return zone

    def slow_down(self, zone):
        """Make the first target slow, and return its sessions."""
        sessions = [each for each in zone.sessions if each.name == NAMES[0]]
        for session in sessions:
            session.work_s = SLOW_WORK_S
        zone.behave = lambda name: (
            (SLOW_WORK_S[0], ANSWER_BYTES)
            if name == NAMES[0]
            else zone.draw_normal_answer(name)
        )
        return sessions

    def test_request_on_a_flow_that_moved_back_is_not_reset(self):
        for seed in SEEDS:
            zone = self.make_zone(seed)
            sessions = self.slow_down(zone)
            home = {session.key: session.core for session in sessions}
            for session in sessions:
                session.core = zone.cores[1]
            zone.run(1.0, PER_S)
            for session in sessions:
                session.core = home[session.key]
            zone.run(10.0, PER_S)
            once = [
                each for each in zone.interrupted if each.key.service_port == ONCE_PORT
            ]
            with self.subTest(seed):
                self.assertNotEqual(zone.resets, [])
                self.assertEqual(once, [])

    def test_answer_that_arrives_in_parts_is_not_reset(self):
        for seed in SEEDS:
            zone = self.make_zone(seed, parts=8)
            self.slow_down(zone)
            zone.run(10.0, PER_S)
            with self.subTest(seed):
                self.assertNotEqual(zone.resets, [])
                self.assertEqual(zone.cut_answers, [])


if __name__ == "__main__":
    unittest.main()

"""A slow target's flows are reset only when no request is in progress on them."""

import unittest

from endivepick.forwarding.idle_flows import (
    ANSWER_GAP_S,
    PRESENCE_S,
    is_surely_idle,
)
from endivepick.forwarding.tests.sessions import NAMES, SessionZone
from endivepick.forwarding.tests.support import (
    IDEMPOTENT_PORT,
    ONCE_PORT,
    data,
    flow_key,
    make_core,
    make_target,
    open_flow,
)
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


class TestAnswerParts(unittest.TestCase):
    """Guards against resets between two parts of an answer."""

    def setUp(self):
        self.core = make_core([make_target("i-1", revision=1)])
        self.acknowledged = 500

    def open_flow(self, port=IDEMPOTENT_PORT):
        """Open a flow and send its first request at 1 s."""
        self.flow = flow_key(1000, port)
        self.cookie = open_flow(self.core, self.flow, 1.0).cookie
        self.core.on_packet(data(self.flow, self.cookie), b"", 1.0)

    def acknowledge(self, now_s):
        """Let the caller acknowledge a part of the answer."""
        self.acknowledged += ANSWER_BYTES
        packet = data(self.flow, self.cookie, 401, self.acknowledged, 0)
        self.core.on_packet(packet, b"", now_s)

    def send_request(self, now_s):
        packet = data(self.flow, self.cookie, 401, self.acknowledged)
        self.core.on_packet(packet, b"", now_s)

    def is_idle(self, now_s):
        return is_surely_idle(self.core.flows.get(self.flow), now_s)

    def test_flow_is_not_idle_after_the_first_part_of_its_first_answer(self):
        self.open_flow()
        self.assertFalse(self.is_idle(1.1))
        self.acknowledge(1.1)
        self.assertFalse(self.is_idle(1.11))
        self.assertTrue(self.is_idle(1.11 + ANSWER_GAP_S))

    def test_flow_is_idle_after_as_many_parts_as_before(self):
        self.open_flow()
        for part in range(3):
            self.acknowledge(1.1 + part / 100)
        self.send_request(2.0)
        for part in range(2):
            self.acknowledge(2.1 + part / 100)
        self.assertFalse(self.is_idle(2.12))
        self.acknowledge(2.12)
        self.assertTrue(self.is_idle(2.12))

    def test_flow_with_requests_that_run_once_may_have_moved(self):
        self.open_flow(ONCE_PORT)
        self.acknowledge(1.1)
        self.assertTrue(self.is_idle(1.1 + ANSWER_GAP_S))
        self.assertFalse(self.is_idle(1.2 + PRESENCE_S))


if __name__ == "__main__":
    unittest.main()

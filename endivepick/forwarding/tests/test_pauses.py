"""An instance is paused for seconds while its flows continue through others."""

import unittest

from endivepick.forwarding.pauses import BACKLOG_S, PAUSE_S, PauseDetector
from endivepick.forwarding.tests.support import data
from endivepick.forwarding.tests.test_fitness import TICK_S, Zone

PER_S = 150.0


class TestPausedInstance(unittest.TestCase):
    """Packets wait in its socket that callers have retransmitted via others."""

    def setUp(self):
        self.zone = zone = Zone(instances=3)
        zone.run_with_open_flows(6.0, PER_S)
        self.paused_core, self.others = zone.cores[0], zone.cores[1:]
        self.waiting = self.requests(self.paused_core, 12)

    def requests(self, core, number):
        """Return the next requests of idle flows at one target."""
        flows = core.flows.of_target(core.registry.get("i-3"))
        idle = [flow for flow in flows if flow.busy_since_s is None]
        self.assertGreaterEqual(len(idle), number)
        return [
            data(f.key, f.belief.cookie, f.sent_end, f.acknowledged)
            for f in idle[:number]
        ]

    def pause(self, for_s):
        zone = self.zone
        zone.cores = self.others
        zone.events = [
            event for event in zone.events if event[1] is not self.paused_core
        ]
        zone.run_with_open_flows(for_s, PER_S)
        zone.cores = [self.paused_core, *self.others]

    def handle_backlog(self):
        """Handle the waiting packets, and an unanswered request at another instance."""
        for packet in self.waiting:
            self.paused_core.on_packet(packet, b"", self.zone.now_s)
        moved = self.requests(self.others[0], 1)
        self.others[0].on_packet(moved[0], b"", self.zone.now_s)

    def assert_no_reset_or_ejection(self):
        self.zone.run_with_open_flows(4.0, PER_S)
        self.assertEqual(self.zone.resets, [])
        self.assertNotIn("i-3", self.zone.ejected())

    def test_backlog_read_before_the_pause_is_detected(self):
        self.pause(3.5)
        self.handle_backlog()
        self.assert_no_reset_or_ejection()

    def test_backlog_read_after_the_pause_is_detected(self):
        self.pause(3.5)
        self.zone.tick()
        self.handle_backlog()
        self.assert_no_reset_or_ejection()

    def test_requests_in_progress_at_the_pause(self):
        for packet in self.waiting:
            self.paused_core.on_packet(packet, b"", self.zone.now_s)
        self.pause(3.5)
        self.assert_no_reset_or_ejection()

    def test_failures_long_after_a_pause_count(self):
        self.pause(3.5)
        self.zone.run_with_open_flows(3.0, PER_S)
        zone = self.zone
        zone.behave = lambda name: (
            None if name == "i-3" else zone.draw_normal_answer(name)
        )
        zone.run_with_open_flows(2.0, PER_S)
        self.assertEqual(zone.ejected(), {"i-3"})


class TestPauseDetector(unittest.TestCase):
    def test_regular_ticks_show_no_pause(self):
        detector = PauseDetector()
        detected = [detector.tick(n * TICK_S) for n in range(100)]
        self.assertNotIn(True, detected)
        self.assertFalse(detector.is_backlog(10.0))

    def test_late_tick_shows_a_pause_once(self):
        detector = PauseDetector()
        detected = [detector.tick(at_s) for at_s in (1.0, 1.1 + PAUSE_S, 1.2 + PAUSE_S)]
        self.assertEqual(detected, [False, True, False])

    def test_backlog_before_and_shortly_after_the_late_tick(self):
        detector = PauseDetector()
        detector.tick(1.0)
        late_s = 1.1 + PAUSE_S
        self.assertTrue(detector.is_backlog(late_s))
        detector.tick(late_s)
        self.assertTrue(detector.is_backlog(late_s + BACKLOG_S / 2))
        self.assertFalse(detector.is_backlog(late_s + BACKLOG_S * 1.01))


if __name__ == "__main__":
    unittest.main()

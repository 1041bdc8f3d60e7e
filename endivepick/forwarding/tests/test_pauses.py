"""An instance stands still for seconds while its flows go on through others."""

import unittest

from endivepick.forwarding.pauses import BACKLOG_S, PAUSE_S, PauseDetector
from endivepick.forwarding.tests.support import data
from endivepick.forwarding.tests.test_fitness import TICK_S, Zone

PER_S = 150.0


class TestAnInstanceThatStoodStill(unittest.TestCase):
    """Packets wait in its socket; callers have repeated them elsewhere by then."""

    def setUp(self):
        self.zone = zone = Zone(instances=3)
        zone.run_with_open_flows(6.0, PER_S)
        self.frozen, self.others = zone.cores[0], zone.cores[1:]
        self.waiting = self.requests(self.frozen, 12)

    def requests(self, core, number):
        """Return the next requests of flows at one target."""
        flows = core.flows.of_target(core.registry.get("i-3"))
        idle = [flow for flow in flows if flow.busy_since_s is None]
        self.assertGreaterEqual(len(idle), number)
        return [
            data(f.key, f.belief.cookie, f.sent_end, f.acknowledged)
            for f in idle[:number]
        ]

    def stand_still(self, for_s):
        zone = self.zone
        zone.cores = self.others
        zone.events = [event for event in zone.events if event[1] is not self.frozen]
        zone.run_with_open_flows(for_s, PER_S)
        zone.cores = [self.frozen, *self.others]

    def take_backlog(self):
        """Decide on what waited; a request of another instance has moved here."""
        for packet in self.waiting:
            self.frozen.on_packet(packet, b"", self.zone.now_s)
        moved = self.requests(self.others[0], 1)
        self.others[0].on_packet(moved[0], b"", self.zone.now_s)

    def assert_target_is_trusted(self):
        self.zone.run_with_open_flows(4.0, PER_S)
        self.assertEqual(self.zone.resets, [])
        self.assertNotIn("i-3", self.zone.condemned())

    def test_a_backlog_that_is_read_before_the_pause_is_known(self):
        self.stand_still(3.5)
        self.take_backlog()
        self.assert_target_is_trusted()

    def test_a_backlog_that_is_read_after_it_is_known(self):
        self.stand_still(3.5)
        self.zone.tick()
        self.take_backlog()
        self.assert_target_is_trusted()

    def test_requests_that_were_in_progress(self):
        for packet in self.waiting:
            self.frozen.on_packet(packet, b"", self.zone.now_s)
        self.stand_still(3.5)
        self.assert_target_is_trusted()

    def test_what_fails_long_after_a_pause_counts(self):
        self.stand_still(3.5)
        self.zone.run_with_open_flows(3.0, PER_S)
        zone = self.zone
        zone.behave = lambda name: None if name == "i-3" else zone.usual(name)
        zone.run_with_open_flows(2.0, PER_S)
        self.assertEqual(zone.condemned(), {"i-3"})


class TestPauseWatch(unittest.TestCase):
    def test_ticks_that_come_in_time_show_no_pause(self):
        watch = PauseDetector()
        shown = [watch.tick(n * TICK_S) for n in range(100)]
        self.assertNotIn(True, shown)
        self.assertFalse(watch.is_backlog(10.0))

    def test_a_late_tick_shows_one_once(self):
        watch = PauseDetector()
        shown = [watch.tick(at_s) for at_s in (1.0, 1.1 + PAUSE_S, 1.2 + PAUSE_S)]
        self.assertEqual(shown, [False, True, False])

    def test_packets_may_have_waited_before_the_late_tick_and_for_a_while(self):
        watch = PauseDetector()
        watch.tick(1.0)
        late_s = 1.1 + PAUSE_S
        self.assertTrue(watch.is_backlog(late_s))
        watch.tick(late_s)
        self.assertTrue(watch.is_backlog(late_s + BACKLOG_S / 2))
        self.assertFalse(watch.is_backlog(late_s + BACKLOG_S * 1.01))


if __name__ == "__main__":
    unittest.main()

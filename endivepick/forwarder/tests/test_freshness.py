import unittest

from endivepick.backoff import Backoff, BackoffSettings
from endivepick.forwarder.forwarder import STOP_MARGIN_S, Forwarder
from endivepick.forwarder.freshness import (
    ANSWER_TIMEOUT_MARGIN_S,
    CHANGE_READ_S,
    FIRST_RETRY_S,
    POLL_WAIT_S,
    WATCH_BOUNDS_S,
    compute_freshness,
)
from endivepick.forwarder.logs import BoundedLog
from endivepick.forwarder.tests.test_settings import decode

IN_FORCE_MS = (1500, 2000, 3000, 5000, 8000, 20000)
SETTLES_MS = (2000, 4000, 5000)
SHORTEST_BOUND_S = 3.0
"""Shortest bound that a lost watch can keep: its answer is awaited for a second after
its wait, since a store that drops its history answers that late."""


class TestFreshness(unittest.TestCase):
    """For all settings, the sum of the waits stays below the required time."""

    def cases(self):
        for in_force_ms in IN_FORCE_MS:
            for settles_ms in SETTLES_MS:
                settings = decode(
                    change_in_force_ms=in_force_ms,
                    drain_in_force_ms=9000,
                    store_settles_ms=settles_ms,
                )
                with self.subTest(in_force_ms=in_force_ms, settles_ms=settles_ms):
                    yield settings, compute_freshness(settings), in_force_ms / 1000

    def test_lost_watch_times_out_before_changes_must_be_known(
        self,
    ):
        for settings, limits, in_force_s in self.cases():
            missed_s = limits.watch_wait_s + ANSWER_TIMEOUT_MARGIN_S
            known_s = missed_s + limits.gather_s + settings.retry_cap_s
            allowed_s = settings.store_settles_ms / 1000 + in_force_s
            self.assertLess(known_s, allowed_s)

    def test_watch_lost_at_the_end_of_an_outage_times_out_before_the_store_settles(
        self,
    ):
        """The time to settle and the time to be in force begin at the same moment."""
        for settings, limits, in_force_s in self.cases():
            settles_s = settings.store_settles_ms / 1000
            if max(settles_s, in_force_s) < SHORTEST_BOUND_S:
                continue
            missed_s = limits.watch_wait_s + ANSWER_TIMEOUT_MARGIN_S
            known_s = missed_s + FIRST_RETRY_S + CHANGE_READ_S
            self.assertLess(known_s, max(settles_s, in_force_s))

    def test_first_retry_is_made_in_time(self):
        settings = decode()
        bounds = BackoffSettings(settings.retry_base_s, settings.retry_cap_s)
        self.assertLessEqual(Backoff(bounds).failed(1.0).wait_s, FIRST_RETRY_S + 1e-9)

    def test_shorter_time_of_evacuations_applies(self):
        usual = compute_freshness(decode(change_in_force_ms=9000))
        short = compute_freshness(
            decode(change_in_force_ms=9000, evacuation_in_force_ms=2000)
        )
        self.assertLess(short.gather_s, usual.gather_s)

    def test_stale_feeder_is_left_in_time_for_a_list(self):
        for _, limits, in_force_s in self.cases():
            left_s = limits.feeder_silent_s + POLL_WAIT_S
            self.assertLessEqual(left_s + CHANGE_READ_S, in_force_s + 1e-9)

    def test_feeding_wait_ends_before_the_feeder_is_stale(self):
        for _, limits, in_force_s in self.cases():
            self.assertLessEqual(limits.feeding_wait_s, limits.watch_wait_s)
            self.assertLessEqual(limits.watch_wait_s, limits.long_wait_s)
            if in_force_s >= 3.0:
                self.assertLess(limits.feeding_wait_s, limits.feeder_silent_s)

    def test_feeding_wait_grows_with_the_time_for_changes(self):
        times_s = {
            in_force_ms: compute_freshness(
                decode(change_in_force_ms=in_force_ms, drain_in_force_ms=in_force_ms)
            ).feeding_wait_s
            for in_force_ms in (3000, 5000, 6000, 20000)
        }
        self.assertEqual(times_s, {3000: 1.0, 5000: 1.5, 6000: 2.1, 20000: 2.5})

    def test_change_during_gathering_is_known_in_time(self):
        for _, limits, in_force_s in self.cases():
            self.assertLess(limits.gather_s + CHANGE_READ_S, in_force_s)

    def test_shorter_of_two_times_applies(self):
        short = compute_freshness(
            decode(change_in_force_ms=9000, drain_in_force_ms=2000)
        )
        long = compute_freshness(
            decode(change_in_force_ms=20000, drain_in_force_ms=20000)
        )
        self.assertLess(short.gather_s, long.gather_s)
        self.assertLess(short.watch_wait_s, long.watch_wait_s)
        self.assertEqual(long.watch_wait_s, WATCH_BOUNDS_S[1])

    def test_explicit_settings_take_precedence(self):
        limits = compute_freshness(decode(watch_wait_s=1.5, gather_s=0.0))
        self.assertEqual((limits.watch_wait_s, limits.gather_s), (1.5, 0.0))


class TestStop(unittest.TestCase):
    def forwards_for_s(self, **fields):
        log = BoundedLog("a", len)
        return Forwarder(decode(**fields), None, None, log).forwards_for_s

    def test_stop_ends_before_the_kill(self):
        self.assertEqual(self.forwards_for_s(stop_s=2.5, stop_grace_s=6.0), 2.5)
        short_s = self.forwards_for_s(stop_s=2.5, stop_grace_s=2.0)
        self.assertEqual(short_s, 2.0 - STOP_MARGIN_S)
        self.assertEqual(self.forwards_for_s(stop_s=2.5, stop_grace_s=0.1), 0.0)


if __name__ == "__main__":
    unittest.main()

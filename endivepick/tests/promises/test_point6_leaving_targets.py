"""Point 6: a backend server that is leaving gets no new work, from any instance.

What is new work is read from the targets' logs.  These tests wait until every
instance that places requests of the service shows the target as leaving and has
no request there any more; from then on nothing may begin there, however much
begins elsewhere.

An instance that is cut off from the platform and from all peers learns of a drain
only from the target itself.  If only the record says it, it cannot know; see
``docs/operators/drain.md``.
"""

import unittest
from collections import Counter

from endivepick.tests.promises._configuration_case import (
    EXPORTS,
    NORTH,
    SESSIONS,
    SOUTH,
)
from endivepick.tests.promises._load_case import LoadedTestCase
from standins.process import wait_until

FURTHER_RUNS = 30
LEAVING = ("draining", "gone")


class TestLeavingTargets(LoadedTestCase):
    def wait_left(self, service, target, names):
        """Wait until instances show a target as leaving, with no request there."""

        def left():
            shown = [self.seen(name, self.cluster.targets[target]) for name in names]
            known = [one for one in shown if one]
            done = all(o["state"] in LEAVING and not o["in_flight"] for o in known)
            # What was sent to open a stream has arrived.
            streams = sum(one["streams"] for one in known)
            return done and self.open_streams(target) >= streams

        wait_until(left, f"{target} to be left alone by {names}")

    def open_streams(self, target):
        """Count the streams that a target's log shows open."""
        counts = Counter(
            line["event"]
            for line in self.target_events("stream_start", "stream_end")
            if line["target"] == target
        )
        return counts["stream_start"] - counts["stream_end"]

    def assert_no_new_work(self, service, target, names=()):
        """Check that nothing more begins at a target while much begins elsewhere."""
        self.wait_left(service, target, names or self.names())
        before = self.runs(service)

        def enough():
            now = self.runs(service)
            others = (now - before).total() - (now[target] - before[target])
            return others >= FURTHER_RUNS

        wait_until(enough, f"work of {service} to go on")
        self.assertEqual(self.runs(service)[target], before[target])

    def test_drained_by_its_record(self):
        with self.load(SESSIONS, EXPORTS):
            for service in (SESSIONS, EXPORTS):
                target = f"{service}-1"
                self.wait_busy(service, target)
                self.cluster.drain_target(service, target)
                self.assert_no_new_work(service, target)

    def test_removed_from_its_record(self):
        def remove(body):
            body["targets"] = [t for t in body["targets"] if t["name"] != "sessions-2"]

        with self.load(SESSIONS):
            self.wait_busy(SESSIONS, "sessions-2")
            self.platform.change_record(SESSIONS, remove)
            self.assert_no_new_work(SESSIONS, "sessions-2")

    def test_drained_by_its_record_while_zones_are_cut_from_the_platform(self):
        for number, zone in enumerate((NORTH, SOUTH), start=1):
            target = f"{EXPORTS}-{number}"
            with self.load(EXPORTS):
                self.wait_busy(EXPORTS, target)
                self.cut_platform(zone)
                self.cluster.drain_target(EXPORTS, target)
                self.assert_no_new_work(EXPORTS, target)
                self.cluster.heal()
                self.put_back()
                self.wait_busy(EXPORTS, target)

    def test_drains_itself_during_an_outage(self):
        with self.load(SESSIONS, EXPORTS):
            for service in (SESSIONS, EXPORTS):
                target = f"{service}-2"
                self.wait_busy(service, target)
                self.platform.control(outage="hang")
                self.cluster.targets[target].control(drain=True)
                self.assert_no_new_work(service, target)

    def test_drains_itself_while_nobody_sends(self):
        for service in (SESSIONS, EXPORTS):
            target = f"{service}-1"
            self.wait_shown(service, self.owner_of(service))
            before = self.runs(service)
            self.cluster.targets[target].control(drain=True)
            self.wait_left(service, target, self.names())
            with self.load(service):
                self.assert_no_new_work(service, target)
            self.assertEqual(self.runs(service)[target], before[target])

    def test_drains_itself_in_a_zone_that_is_cut_off(self):
        with self.load(SESSIONS):
            self.wait_busy(SESSIONS, "sessions-1")
            self.cluster.cut_zone(NORTH)
            self.cluster.targets["sessions-1"].control(drain=True)
            # The other zone doesn't reach this target any more.
            self.wait_left(SESSIONS, "sessions-1", self.names(NORTH))
            before = self.runs(SESSIONS)
            self.wait_busy(SESSIONS, "sessions-2")
            self.assertEqual(self.runs(SESSIONS)["sessions-1"], before["sessions-1"])
            self.cluster.heal()
            self.wait_agreed()
            self.assert_no_new_work(SESSIONS, "sessions-1")

    def test_told_by_a_peer_during_an_outage(self):
        former = self.owner_of(SESSIONS)
        self.cluster.kill_instance(former)
        with self.load(SESSIONS):
            holder = self.owner_of(SESSIONS)
            self.wait_busy(SESSIONS, "sessions-1", "sessions-2")
            # It takes the service back; the flows stay where they are.
            self.cluster.start_instance(former)
            self.wait_agreed()
            with self.load(SESSIONS):
                self.wait_shown(SESSIONS, former, holder)
                self.platform.control(outage="refuse")
                # One target comes back and leaves again: that is news, too.
                for number, blind in ((1, former), (2, holder), (1, former)):
                    target = f"sessions-{number}"
                    self.blind(blind, self.cluster.targets[target])
                    self.cluster.targets[target].control(drain=True)
                    self.assert_no_new_work(SESSIONS, target)
                    self.cluster.targets[target].control(drain=False)
                    self.cluster.heal()
                    self.wait_busy(SESSIONS, target)

    def wait_shown(self, service, *names):
        """Wait until instances place requests of a service."""

        def shown():
            return all(list(self.dispatchers(service, [name])) for name in names)

        wait_until(shown, f"{names} to place requests of {service}")


if __name__ == "__main__":
    unittest.main()

"""Point 6: a backend server that is leaving gets no new work, from any instance.

New work is read from the targets' logs. These tests wait until every instance that
dispatches requests of the service shows the target as leaving and has no request in
flight there. From then on no work may start at the target, however much starts at
others.

An instance that is cut off from the platform and from all peers learns of a drain
only from the target itself. It cannot learn of a drain that only the record states;
see ``docs/operators/drain.md``.
"""

import unittest
from collections import Counter

from endivepick.tests.promises._configuration_case import (
    EXPORTS,
    NORTH,
    SESSIONS,
    SOUTH,
)
from endivepick.tests.promises._load_case import LoadTestCase
from standins.process import wait_until

FURTHER_RUNS = 30
LEAVING_STATES = ("draining", "gone")


class TestLeavingTargets(LoadTestCase):
    def wait_drained(self, service, target, names):
        """Wait until instances show a target as leaving, with no request in flight."""

        def is_drained():
            views = [
                self.target_view(name, self.cluster.targets[target]) for name in names
            ]
            known = [view for view in views if view]
            done = all(
                o["state"] in LEAVING_STATES and not o["in_flight"] for o in known
            )
            # Requests that open streams have arrived at the target.
            streams = sum(view["streams"] for view in known)
            return done and self.open_streams(target) >= streams

        wait_until(is_drained, f"{target} to have no requests of {names}")

    def open_streams(self, target):
        """Count the streams that are open according to a target's log."""
        counts = Counter(
            line["event"]
            for line in self.target_events("stream_start", "stream_end")
            if line["target"] == target
        )
        return counts["stream_start"] - counts["stream_end"]

    def assert_no_new_work(self, service, target, names=()):
        """Check that no work starts at a target while much starts at others."""
        self.wait_drained(service, target, names or self.names())
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
                self.restore_targets()
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
            self.wait_dispatching(service, self.owner_of(service))
            before = self.runs(service)
            self.cluster.targets[target].control(drain=True)
            self.wait_drained(service, target, self.names())
            with self.load(service):
                self.assert_no_new_work(service, target)
            self.assertEqual(self.runs(service)[target], before[target])

    def test_drains_itself_in_a_zone_that_is_cut_off(self):
        with self.load(SESSIONS):
            self.wait_busy(SESSIONS, "sessions-1")
            self.cluster.cut_zone(NORTH)
            self.cluster.targets["sessions-1"].control(drain=True)
            # The other zone can no longer reach this target.
            self.wait_drained(SESSIONS, "sessions-1", self.names(NORTH))
            before = self.runs(SESSIONS)
            self.wait_busy(SESSIONS, "sessions-2")
            self.assertEqual(self.runs(SESSIONS)["sessions-1"], before["sessions-1"])
            self.cluster.heal()
            self.wait_agreed()
            self.assert_no_new_work(SESSIONS, "sessions-1")

    def test_told_by_a_peer_during_an_outage(self):
        previous_owner = self.owner_of(SESSIONS)
        self.cluster.kill_instance(previous_owner)
        with self.load(SESSIONS):
            holder = self.owner_of(SESSIONS)
            self.wait_busy(SESSIONS, "sessions-1", "sessions-2")
            # It owns the service again; existing flows stay at their holder.
            self.cluster.start_instance(previous_owner)
            self.wait_agreed()
            with self.load(SESSIONS):
                self.wait_dispatching(SESSIONS, previous_owner, holder)
                self.platform.control(outage="refuse")
                # One target returns and leaves again, which peers must learn as well.
                for number, delayed in (
                    (1, previous_owner),
                    (2, holder),
                    (1, previous_owner),
                ):
                    target = f"sessions-{number}"
                    self.delay_probes(delayed, self.cluster.targets[target])
                    self.cluster.targets[target].control(drain=True)
                    self.assert_no_new_work(SESSIONS, target)
                    self.cluster.targets[target].control(drain=False)
                    self.cluster.heal()
                    self.wait_busy(SESSIONS, target)

    def wait_dispatching(self, service, *names):
        """Wait until instances dispatch requests of a service."""

        def all_dispatch():
            return all(list(self.service_statuses(service, [name])) for name in names)

        wait_until(all_dispatch, f"{names} to place requests of {service}")


if __name__ == "__main__":
    unittest.main()

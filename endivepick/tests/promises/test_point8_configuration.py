"""Point 8: an accepted configuration is in force everywhere and never reverts."""

import threading
import unittest

from endivepick.cli.connection import platform_client
from endivepick.cli.object_writes import ObjectName, update_object
from endivepick.errors import RecordConflictError
from endivepick.records import SERVICE_KIND, STATUS_KIND
from endivepick.records.schema import parse_service, write_service
from endivepick.tests.promises._configuration_case import (
    EXPORTS,
    NORTH,
    SESSIONS,
    SOUTH,
    UnevenTestCase,
)
from standins.clustersettings import ClusterSettings
from standins.process import wait_until
from standins.shapes import SMALL

WRITES = 8
CHANGES = 40
STALE_REVISIONS = 30
"""How far lists lag, and how far back the history goes, in revisions."""


class TestConfiguration(UnevenTestCase):
    # The platform counts the watch of a lost connection until its wait is over.
    settings = ClusterSettings(
        SMALL, faults=True, instance_settings={"platform": {"watch_wait_s": 2}}
    )

    def setUp(self):
        super().setUp()
        self.addCleanup(self.assert_never_reverted)

    def records(self):
        return self.platform.get(SERVICE_KIND, SESSIONS)

    def add_one(self, client):
        """Add one to a field, by the command line's way of writing."""

        def change(stored):
            waiting = stored.body["waiting_per_slot"] + 1
            return {**stored.body, "waiting_per_slot": waiting}

        while True:
            try:
                return update_object(client, ObjectName(SERVICE_KIND, SESSIONS), change)
            except RecordConflictError:
                continue

    def test_write_whose_answer_was_lost(self):
        before = self.records()["body"]["waiting_per_slot"]
        with platform_client(self.platform.api) as client:
            for _ in range(WRITES):
                self.platform.control(lose_answers=1, lose_answers_kind=SERVICE_KIND)
                version = self.add_one(client).version
        stored = self.records()
        self.assertEqual(stored["version"], version)
        self.assertEqual(stored["body"]["waiting_per_slot"], before + WRITES)
        self.wait_in_force(version)

    def test_racing_operators_lose_no_change(self):
        before = self.records()["body"]["waiting_per_slot"]
        self.platform.control(lose_answers=WRITES, lose_answers_kind=SERVICE_KIND)

        def operator():
            with platform_client(self.platform.api) as client:
                for _ in range(WRITES):
                    self.add_one(client)

        threads = [threading.Thread(target=operator) for _ in range(2)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        stored = self.records()
        self.assertEqual(stored["body"]["waiting_per_slot"], before + 2 * WRITES)
        self.wait_in_force(stored["version"])

    def test_stale_lists_after_a_gap_in_the_history(self):
        body = self.platform.get(SERVICE_KIND, EXPORTS)["body"]
        self.addCleanup(self.platform.put, SERVICE_KIND, EXPORTS, body)
        self.cut_platform(NORTH)
        for number in range(CHANGES):
            newest = self.touch()
            if number == CHANGES - STALE_REVISIONS // 2:
                self.delete(EXPORTS)
        self.wait_in_force(newest)
        self.wait_in_force(0, EXPORTS)
        self.platform.control(
            stale_reads=STALE_REVISIONS, history_limit=STALE_REVISIONS
        )
        self.cluster.heal()
        # The watches of the zone cannot go on; what it lists instead is old.
        for name in self.names(NORTH):
            self.wait_logged(name, "watch_failed", "are gone")
        self.wait_all_watch()
        self.assert_newest(newest)
        self.restart(self.names(NORTH))
        for name in self.names(NORTH):
            self.assertEqual(self.in_force_when_ready(SESSIONS, name), newest)
            self.assertEqual(self.in_force_when_ready(EXPORTS, name), 0)
        self.wait_all_watch()
        self.assert_newest(newest)

    def wait_all_watch(self):
        watchers = len(self.names())
        wait_until(
            lambda: self.platform.stats()["waiting_watches"] == watchers,
            "all watches to wait",
        )

    def assert_newest(self, newest):
        self.assertEqual({self.held(SESSIONS, n) for n in self.names()}, {newest})
        self.assertEqual({self.held(EXPORTS, n) for n in self.names()}, {0})

    def test_zone_restarted_during_an_outage(self):
        newest = {name: self.touch(name) for name in (SESSIONS, EXPORTS)}
        for service, version in newest.items():
            self.wait_in_force(version, service)
        for outage, restart in (("refuse", self.restart), ("hang", self.replace)):
            self.platform.control(outage=outage)
            restart(self.names(NORTH))
            for name in self.names(NORTH):
                records = self.cluster.instances[name].status()["records"]
                self.assertEqual(records, newest, outage)
        self.platform.control(outage=None)
        self.wait_in_force(self.touch())

    def test_partition_whose_halves_saw_different_versions(self):
        self.cut_peers(NORTH)
        self.cut_platform(NORTH)
        southern = self.touch()
        self.wait_in_force(southern, names=self.names(SOUTH))
        before = {self.held(SESSIONS, name) for name in self.names(NORTH)}
        self.assertLess(max(before), southern)
        self.cluster.heal()
        self.cut_peers(NORTH)
        self.cut_platform(SOUTH)
        northern = self.touch(EXPORTS)
        self.wait_in_force(northern, EXPORTS, self.names(NORTH))
        newest = self.touch()
        self.wait_in_force(newest, names=self.names(NORTH))
        self.assertEqual(
            {self.held(SESSIONS, n) for n in self.names(SOUTH)}, {southern}
        )
        # The halves meet again without the platform.
        self.platform.control(outage="refuse")
        self.cluster.heal()
        self.wait_in_force(newest)
        self.wait_in_force(northern, EXPORTS)

    def test_zone_cut_off_from_everything_goes_on_and_follows(self):
        held = self.touch()
        self.wait_in_force(held)
        for action in ("cut", "blackhole"):
            self.cluster.cut_zone(NORTH, action=action)
            newest = self.touch()
            self.wait_in_force(newest, names=self.names(SOUTH))
            for name in self.names(NORTH):
                self.assertEqual(self.held(SESSIONS, name), held)
                self.assertTrue(self.cluster.instances[name].is_ready)
            self.cluster.heal()
            self.wait_in_force(newest)
            held = newest

    def test_schemas_side_by_side_while_instances_restart(self):
        stored = self.records()
        self.addCleanup(self.platform.put, SERVICE_KIND, SESSIONS, stored["body"])
        record = parse_service(SESSIONS, stored["version"], stored["body"]).unwrap()
        for schema_version in (1, 2, 1):
            body = write_service(record, schema_version).body
            version = self.platform.put(SERVICE_KIND, SESSIONS, body)["version"]
            self.wait_in_force(version)
            self.restart([self.names()[schema_version]], same_ports=False)
            self.wait_in_force(version)

    def test_unknown_newer_schema_leaves_the_last_valid_version(self):
        valid = self.touch()
        self.wait_in_force(valid)
        body = self.records()["body"]
        self.addCleanup(self.platform.put, SERVICE_KIND, SESSIONS, body)
        refused = self.change(schema_version=99, field_of_the_future=1)

        def refused_everywhere():
            # A refusal is shown as its fields in their order.
            return all(
                [version for _, version, *_ in instance.status()["refused"]]
                == [refused]
                for instance in self.cluster.instances.values()
            )

        wait_until(refused_everywhere, "the refusal at every instance")
        self.wait_in_force(valid)
        stored = self.platform.put(SERVICE_KIND, SESSIONS, body)
        self.wait_in_force(stored["version"])

    def test_status_keeps_what_a_newer_instance_wrote(self):
        wait_until(lambda: self.platform.get(STATUS_KIND, NORTH), "a status")
        body = self.platform.get(STATUS_KIND, NORTH)["body"]
        body["schema_version"] = 99
        body["field_of_the_future"] = {"kept": True}
        body["records"][SESSIONS]["field_of_the_future"] = 1
        self.platform.put(STATUS_KIND, NORTH, body)
        version = self.touch()

        def shown():
            status = self.platform.get(STATUS_KIND, NORTH)["body"]
            return status["records"][SESSIONS]["in_force"] >= version and status

        status = wait_until(shown, "the new version in the status")
        self.assertEqual(status["schema_version"], 99)
        self.assertEqual(status["field_of_the_future"], {"kept": True})
        self.assertEqual(status["records"][SESSIONS]["field_of_the_future"], 1)


if __name__ == "__main__":
    unittest.main()

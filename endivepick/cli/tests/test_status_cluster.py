import json
import unittest

from endivepick.cli.tests.support import run_command
from endivepick.records import STATUS_KIND
from standins.cluster import ClusterSettings, cluster
from standins.process import wait_until
from standins.shapes import SMALL


class StatusClusterTest(unittest.TestCase):
    """Status shown to operators, as written by real instances."""

    instance_settings = {}

    @classmethod
    def setUpClass(cls):
        settings = ClusterSettings(
            SMALL, faults=True, instance_settings=cls.instance_settings
        )
        cls.cluster = cls.enterClassContext(cluster(settings))

    def view(self):
        outcome = run_command(
            "status", "--json", f"--platform={self.cluster.platform.api}"
        )
        return json.loads(outcome.out)

    def record(self, name):
        return next(row for row in self.view()["records"] if row["record"] == name)

    def test_all_zones_report_what_is_in_force(self):
        wait_until(
            lambda: not any(row["not_reached"] for row in self.view()["records"]),
            "both zones to report all records",
        )
        version = self.cluster.drain_target("sessions", "sessions-2")["version"]
        both = {"north": version, "south": version}
        wait_until(
            lambda: self.record("sessions")["in_force"] == both,
            "both zones to report the new version",
        )
        self.assertEqual(self.record("sessions")["accepted"], version)

    def test_targets_and_instances_are_reported(self):
        def known_targets():
            rows = self.view()["targets"]
            return rows if all(row["owner"] for row in rows) else []

        rows = wait_until(known_targets, "all targets to have an owner")
        self.assertEqual(len(rows), 4)
        self.assertLessEqual(
            {row["owner"] for row in rows}, set(self.cluster.instances)
        )
        self.assertEqual({row["slots"] for row in rows}, {2})
        instances = self.view()["instances"]
        self.assertEqual({row["state"] for row in instances}, {"ready"})
        self.assertTrue(all(row["age_s"] is not None for row in instances))

    def test_a_zone_that_cannot_report_counts_as_not_reached(self):
        self.cluster.cut_zone("south")
        self.addCleanup(self.cluster.heal)
        record = self.cluster.platform.change_record(
            "exports", lambda body: body.update(waiting_per_slot=5)
        )
        wait_until(
            lambda: self.record("exports")["in_force"]["north"] == record["version"],
            "the other zone to report the new version",
        )
        self.assertEqual(self.record("exports")["not_reached"], ["south"])
        self.cluster.heal()
        wait_until(
            lambda: not self.record("exports")["not_reached"],
            "the healed zone to report the new version",
        )


class GroupedStatusClusterTest(StatusClusterTest):
    """The same tests with the instances of each zone divided into groups."""

    instance_settings = {"status": {"group_instances": 1}}

    def test_rows_stand_in_objects_of_groups(self):
        def names():
            return {
                name
                for name in ("north", "north.1", "north.2", "north.3")
                if self.cluster.platform.get(STATUS_KIND, name)
            }

        wait_until(lambda: "north" in names() and len(names()) > 1, "two objects")

    def test_failed_writers_are_replaced(self):
        def ready():
            rows = self.view()["instances"]
            return {row["instance"] for row in rows if row["state"] == "ready"}

        everyone = set(self.cluster.instances)
        wait_until(lambda: ready() == everyone, "all instances in the status")
        for name in ("north-1", "north-2"):
            self.cluster.kill_instance(name)
            left = set(self.cluster.instances)
            wait_until(lambda left=left: ready() == left, "the others, and only these")
            wait_until(
                lambda: all(
                    row["owner"] in self.cluster.instances
                    for row in self.view()["targets"]
                ),
                "the owners of all targets",
            )
            self.cluster.start_instance(name)
            wait_until(lambda: ready() == everyone, "the replacement in the status")

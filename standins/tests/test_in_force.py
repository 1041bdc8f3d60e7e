import unittest
from dataclasses import replace

from standins._inforcecases import Case, Change
from standins.cluster import ClusterSettings, cluster
from standins.in_force import InForceTimes, measure_case
from standins.shapes import SMALL
from standins.versions import InstanceVersions, VersionWatch

WRITES = [
    {"event": "write", "version": 5, "at_s": 10.0},
    {"event": "write", "version": 6, "at_s": 20.0},
]


def applied(process, version, at_s):
    return {
        "event": "record_in_force",
        "process": process,
        "record": "notes",
        "version": version,
        "at_s": at_s,
    }


class TestInForceTimes(unittest.TestCase):
    def test_counts_to_the_last_instance(self):
        lines = [applied("a", 5, 10.1), applied("b", 5, 10.4), applied("c", 5, 19.0)]
        times = InForceTimes(WRITES, lines)
        took_s = times.took_s(Change("notes", 5, ("a", "b")))
        self.assertAlmostEqual(took_s, 0.4)

    def test_newer_version_counts_and_older_does_not(self):
        lines = [applied("a", 4, 1.0), applied("a", 6, 20.5)]
        times = InForceTimes(WRITES, lines)
        self.assertAlmostEqual(times.took_s(Change("notes", 5, ("a",))), 10.5)

    def test_counts_from_a_heal(self):
        times = InForceTimes(WRITES, [applied("a", 5, 12.0)])
        self.assertAlmostEqual(times.took_s(Change("notes", 5, ("a",), 11.5)), 0.5)
        # The version was in force before the links were restored.
        self.assertEqual(times.took_s(Change("notes", 5, ("a",), 13.0)), 0.0)


class TestVersionWatch(unittest.TestCase):
    def shown(self, incarnation, version, starting=False):
        return InstanceVersions("a", incarnation, starting, {"notes": version})

    def test_replacement_that_is_ready_may_not_show_less(self):
        watch = VersionWatch(across_restarts=True)
        watch.record_versions(self.shown("1", 5))
        watch.record_versions(self.shown("2", 4, starting=True))
        self.assertEqual(watch.reverted, [])
        watch.record_versions(self.shown("2", 4))
        self.assertEqual(len(watch.reverted), 1)

    def test_by_default_each_incarnation_is_watched_alone(self):
        watch = VersionWatch()
        watch.record_versions(self.shown("1", 5))
        watch.record_versions(self.shown("2", 4))
        self.assertEqual(watch.reverted, [])
        watch.record_versions(self.shown("2", 3))
        self.assertEqual(len(watch.reverted), 1)


class TestMeasureCase(unittest.TestCase):
    def test_changes_of_a_run(self):
        zones = {plan.zone: plan for plan in SMALL.instances}
        shape = replace(SMALL, instances=tuple(zones.values()))
        with cluster(ClusterSettings(shape, faults=True)) as running:
            figures = measure_case(running, Case("undisturbed"), seed=1, changes=3)
        self.assertEqual(figures["changes"], 3)
        self.assertEqual(figures["reverted"], [])
        self.assertGreaterEqual(figures["max_s"], figures["median_s"])


if __name__ == "__main__":
    unittest.main()

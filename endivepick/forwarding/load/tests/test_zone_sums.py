import random
import unittest

from endivepick.forwarding.load.reports import (
    MAX_REPORT_TARGETS,
    MAX_SERVICE_SUMS,
    MAX_ZONE_TARGETS,
    LoadReport,
    ReportedLoad,
    ServiceLoad,
    TargetLoad,
    ZoneTotals,
)
from endivepick.forwarding.load.tests.support import make_report
from endivepick.forwarding.load.zone_sums import (
    LOAD_REPORT_VALID_S,
    MAX_RELAYED_TARGETS,
    RELAYED_VALID_S,
    TOTALS_VALID_S,
    ZoneSums,
)

FEEDERS = ("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1")
FOLLOWER = "10.0.0.9:1"
STARTED = 1_700_000_000_000


def make_sums(address=FEEDERS[0], zone="a"):
    sums = ZoneSums(zone)
    sums.own_address = address
    return sums


def get_busy(sums, now_s, own=None):
    load = sums.zone_load(LoadReport() if own is None else own, now_s)
    return sum(target.busy for target in load.own.targets)


def exchange(zone_feeders, now_s):
    """Let all feeders of a zone tell each other their reports."""
    empty = LoadReport()
    told = {f.own_address: f.list_reports(empty, 1, now_s) for f in zone_feeders}
    for feeder in zone_feeders:
        for address, reports in told.items():
            if address != feeder.own_address:
                feeder.record_relayed(address, reports, now_s)


class TestReports(unittest.TestCase):
    def test_reports_of_all_instances_are_summed(self):
        sums = make_sums()
        sums.record(FOLLOWER, STARTED, make_report(1.5, 3, ("i-1", "i-2")), 1.0)
        own = sums.zone_load(make_report(1.0, 2), 1.1).own
        self.assertEqual(
            own.targets, [TargetLoad("i-1", 0, 2.5, 5), TargetLoad("i-2", 0, 1.5, 3)]
        )
        self.assertEqual(own.services, [ServiceLoad("notes", "a", 4.0, 0.0, 0.0)])
        self.assertEqual(own.instances, 2)

    def test_incarnations_of_a_target_are_apart(self):
        sums = make_sums()
        sums.record(FOLLOWER, 1, LoadReport([TargetLoad("i-1", 7, 1.0, 1)]), 1.0)
        own = sums.zone_load(LoadReport([TargetLoad("i-1", 8, 2.0, 1)]), 1.0).own
        self.assertEqual([each.busy for each in own.targets], [2.0, 1.0])

    def test_newest_report_of_an_instance_counts(self):
        sums = make_sums()
        sums.record(FOLLOWER, STARTED + 2, make_report(2.0), 1.0)
        sums.record(FOLLOWER, STARTED + 1, make_report(9.0), 1.1)
        self.assertEqual(get_busy(sums, 1.2), 2.0)
        sums.record(FOLLOWER, STARTED + 3, make_report(3.0), 1.2)
        self.assertEqual(get_busy(sums, 1.2), 3.0)

    def test_restarted_instance_replaces_its_former_report(self):
        sums = make_sums()
        sums.record(FOLLOWER, STARTED + 500, make_report(2.0), 1.0)
        sums.record(FOLLOWER, STARTED + 60_000, make_report(0.5), 1.5)
        self.assertEqual(get_busy(sums, 1.5), 0.5)

    def test_restarted_instance_with_a_clock_set_back_counts_once(self):
        sums = make_sums()
        sums.record(FOLLOWER, STARTED, make_report(2.0), 1.0)
        sums.record(FOLLOWER, 0, make_report(0.5), 1.5)
        self.assertEqual(get_busy(sums, 1.5), 2.0)
        later_s = 1.0 + LOAD_REPORT_VALID_S + 0.1
        sums.record(FOLLOWER, 1, make_report(0.5), later_s)
        self.assertEqual(get_busy(sums, later_s), 0.5)

    def test_lost_instance_is_forgotten(self):
        sums = make_sums()
        sums.record(FOLLOWER, STARTED, make_report(2.0), 1.0)
        self.assertEqual(get_busy(sums, 1.0 + LOAD_REPORT_VALID_S), 2.0)
        self.assertEqual(get_busy(sums, 1.1 + LOAD_REPORT_VALID_S), 0.0)


class TestSeveralFeeders(unittest.TestCase):
    def setUp(self):
        self.feeders = [make_sums(address) for address in FEEDERS]

    def assert_busy(self, expected, now_s):
        exchange(self.feeders, now_s)
        busy = [get_busy(feeder, now_s) for feeder in self.feeders]
        self.assertEqual(busy, [expected] * len(FEEDERS))

    def test_all_feeders_know_the_load_of_the_whole_zone(self):
        for number, feeder in enumerate(self.feeders):
            feeder.record(f"10.0.1.{number}:1", STARTED, make_report(1.0), 1.0)
        self.assert_busy(3.0, 1.1)

    def test_instance_that_changes_feeders_counts_once(self):
        first, second, _ = self.feeders
        first.record(FOLLOWER, STARTED + 1, make_report(2.0), 1.0)
        self.assert_busy(2.0, 1.1)
        second.record(FOLLOWER, STARTED + 2, make_report(3.0), 1.2)
        self.assertEqual(get_busy(second, 1.2), 3.0)
        self.assert_busy(3.0, 1.3)
        # The first feeder does not pass on the former report any more.
        relayed = first.list_reports(LoadReport(), 1, 1.4)
        self.assertEqual([each.reporter for each in relayed], [FEEDERS[0]])

    def test_same_report_at_two_feeders_counts_at_the_lower_address(self):
        first, second, third = self.feeders
        second.record(FOLLOWER, STARTED, make_report(2.0), 1.0)
        first.record(FOLLOWER, STARTED, make_report(2.0), 1.0)
        self.assert_busy(2.0, 1.1)
        self.assertEqual(third._held[FOLLOWER].feeder, FEEDERS[0])
        self.assertEqual(second._held[FOLLOWER].feeder, FEEDERS[0])

    def test_instance_that_changes_feeders_and_restarts_counts_once(self):
        first, second, _ = self.feeders
        first.record(FOLLOWER, STARTED + 900, make_report(2.0), 1.0)
        second.record(FOLLOWER, STARTED + 30_000, make_report(0.5), 1.4)
        self.assert_busy(0.5, 1.5)

    def test_follower_that_becomes_a_feeder_counts_once(self):
        first, second, third = self.feeders
        first.record(FEEDERS[1], STARTED + 1, make_report(2.0), 1.0)
        relayed = first.list_reports(LoadReport(), 1, 1.1)
        second.record_relayed(FEEDERS[0], relayed, 1.1)
        self.assertEqual(get_busy(second, 1.1, make_report(2.5)), 2.5)
        own = second.list_reports(make_report(2.5), STARTED + 2, 1.1)
        third.record_relayed(FEEDERS[0], relayed, 1.1)
        third.record_relayed(FEEDERS[1], own, 1.1)
        self.assertEqual(get_busy(third, 1.1), 2.5)

    def test_relayed_report_expires_with_its_age(self):
        first, second, _ = self.feeders
        first.record(FOLLOWER, STARTED, make_report(2.0), 1.0)
        reports = first.list_reports(LoadReport(), 1, 2.5)
        second.record_relayed(FEEDERS[0], reports, 50.0)
        expires_s = 50.0 - 1.5 + RELAYED_VALID_S
        self.assertEqual(get_busy(second, expires_s - 0.1), 2.0)
        self.assertEqual(get_busy(second, expires_s + 0.1), 0.0)

    def test_lost_feeder_takes_its_reports_along(self):
        first, second, _ = self.feeders
        first.record(FOLLOWER, STARTED + 1, make_report(2.0), 1.0)
        self.assert_busy(2.0, 1.1)
        later_s = 1.1 + RELAYED_VALID_S
        self.assertEqual(get_busy(second, later_s), 0.0)
        second.record(FOLLOWER, STARTED + 2, make_report(2.0), later_s)
        self.assertEqual(get_busy(second, later_s), 2.0)

    def test_reports_that_a_feeder_sends_are_bounded(self):
        first, second, _ = self.feeders
        names = [f"i-{n:x}" for n in range(MAX_REPORT_TARGETS)]
        for number in range(32):
            address = f"10.0.1.{number}:1"
            first.record(address, STARTED, make_report(1.0, 1, names), 1.0)
        reports = first.list_reports(LoadReport(), 1, 1.0)
        told = sum(len(each.report.targets) for each in reports)
        self.assertLessEqual(told, MAX_RELAYED_TARGETS)
        second.record_relayed(FEEDERS[0], reports, 1.0)
        own = second.zone_load(LoadReport(), 1.0).own
        self.assertEqual(own.services[0].busy, 32.0 * MAX_REPORT_TARGETS)


class TestAnyOrder(unittest.TestCase):
    """Instances change feeders and restart while messages are late or lost.

    Each instance puts a request on a target of its own, so that the sums show an
    instance that counts twice.
    """

    INSTANCES = 8
    STEPS = 300
    STEP_S = 0.25

    def run_zone(self, seed):
        rng = random.Random(seed)
        feeders = [make_sums(address) for address in FEEDERS]
        numbers = [STARTED] * self.INSTANCES
        told = [rng.choice(feeders) for _ in range(self.INSTANCES)]
        delayed = []
        for step in range(self.STEPS):
            now_s = step * self.STEP_S
            for index in range(self.INSTANCES):
                if rng.random() < 0.1:
                    told[index] = rng.choice(feeders)
                if rng.random() < 0.05:
                    numbers[index] += rng.choice((30_000, -30_000))
                numbers[index] += 1
                report = make_report(1.0, 1, (f"i-{index}",))
                if rng.random() < 0.8:
                    reporter = f"10.0.1.{index}:1"
                    told[index].record(reporter, numbers[index], report, now_s)
            for feeder in feeders:
                sent = feeder.list_reports(LoadReport(), 1, now_s)
                delayed.append((feeder.own_address, sent))
            while delayed and rng.random() < 0.8:
                address, sent = delayed.pop(rng.randrange(len(delayed)))
                receiver = rng.choice(feeders)
                if receiver.own_address != address:
                    receiver.record_relayed(address, sent, now_s)
            for feeder in feeders:
                own = feeder.zone_load(LoadReport(), now_s).own
                yield max((each.busy for each in own.targets), default=0.0)

    def test_no_instance_ever_counts_twice(self):
        for seed in range(5):
            self.assertLessEqual(max(self.run_zone(seed)), 1.0, f"seed {seed}")


class TestOtherZones(unittest.TestCase):
    def test_totals_grow_old_and_expire(self):
        sums = make_sums()
        told = ZoneTotals("b", 0.5, make_report(4.0).services)
        sums.record_totals(told, 10.0)
        (totals,) = sums.zone_load(LoadReport(), 11.0).others
        self.assertEqual((totals.zone, totals.age_s), ("b", 1.5))
        edge_s = 9.5 + TOTALS_VALID_S
        self.assertEqual(len(sums.zone_load(LoadReport(), edge_s).others), 1)
        self.assertEqual(sums.zone_load(LoadReport(), edge_s + 0.1).others, [])

    def test_newer_totals_replace_older_ones(self):
        sums = make_sums()
        sums.record_totals(ZoneTotals("b", 0.1, make_report(4.0).services), 10.0)
        sums.record_totals(ZoneTotals("b", 2.0, make_report(9.0).services), 10.1)
        (totals,) = sums.zone_load(LoadReport(), 10.2).others
        self.assertEqual(totals.services[0].busy, 4.0)

    def test_totals_of_the_own_zone_are_ignored(self):
        sums = make_sums()
        sums.record_totals(ZoneTotals("a", 0.1, make_report(4.0).services), 10.0)
        self.assertEqual(sums.zone_load(LoadReport(), 10.0).others, [])


class TestImpossibleReports(unittest.TestCase):
    """Another build, or a faulty instance, sends what no instance can measure."""

    def test_impossible_values_are_left_out(self):
        sums = make_sums()
        good = TargetLoad("i-1", 0, 1.0, 1)
        for number, value in enumerate((-1.0, float("nan"), float("inf"), 1e300)):
            report = LoadReport(
                [TargetLoad("i-2", 0, value, 1), good],
                [ServiceLoad("notes", "a", 1.0, value, 0.0)],
                -5,
            )
            sums.record(FOLLOWER, number, report, 1.0)
            own = sums.zone_load(LoadReport(), 1.0).own
            self.assertEqual((own.targets, own.services), ([good], []))
            self.assertEqual(own.instances, 2)

    def test_impossible_ages_are_ignored(self):
        sums = make_sums()
        for age_s in (-1.0, float("nan"), float("inf"), 1e300):
            sums.record_totals(ZoneTotals("b", age_s, make_report().services), 1.0)
            told = ReportedLoad(FOLLOWER, 1, age_s, make_report())
            sums.record_relayed(FEEDERS[1], [told], 1.0)
        load = sums.zone_load(LoadReport(), 1.0)
        self.assertEqual((load.others, load.own.instances), ([], 1))

    def test_long_lists_are_cut(self):
        sums = make_sums()
        names = [f"i-{n:x}" for n in range(9000)]
        services = [ServiceLoad(name, "a", 1.0, 0.0, 0.0) for name in names]
        targets = make_report(targets=names).targets
        sums.record(FOLLOWER, 1, LoadReport(targets, services), 1.0)
        held = sums._held[FOLLOWER].report
        sizes = (len(held.targets), len(held.services))
        self.assertEqual(sizes, (MAX_REPORT_TARGETS, MAX_SERVICE_SUMS))
        for number in range(5):
            some = names[number * MAX_REPORT_TARGETS :][:MAX_REPORT_TARGETS]
            sums.record(f"10.0.1.{number}:1", 1, make_report(targets=some), 1.0)
        load = sums.zone_load(LoadReport(), 1.0)
        self.assertEqual(len(load.own.targets), MAX_ZONE_TARGETS)
        # The first targets are reported twice, and not all of them are listed.
        self.assertGreater(MAX_REPORT_TARGETS, MAX_ZONE_TARGETS)
        self.assertEqual(load.unlisted_busy, 2.0)


if __name__ == "__main__":
    unittest.main()

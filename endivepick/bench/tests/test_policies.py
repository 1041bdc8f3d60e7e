import dataclasses
import math
import unittest

from endivepick.bench.experiment import Experiment, run_experiment
from endivepick.bench.measures import ImbalanceMeter
from endivepick.bench.paired import Mean, format_paired
from endivepick.bench.placer import Placer, TargetReport
from endivepick.bench.policies import POLICIES
from endivepick.bench.report import render_report
from endivepick.bench.results import Spread
from endivepick.bench.table import format_table, make_table_experiments
from endivepick.bench.workload import SHAPES, RequestEvent, generate_events, make_record
from endivepick.core.dispatch import DispatchSettings
from endivepick.records.model import Affinity


def run(policy="owner", affinity="request", load=0.7, fault="none", duration_s=35.0):
    return run_experiment(
        Experiment("harada", affinity, load, policy, fault, 1, duration_s)
    )


class WorkloadTest(unittest.TestCase):
    def test_same_seed_gives_same_requests(self):
        def arrivals(seed):
            events = generate_events(SHAPES["harada"], 0.5, 10.0, seed)
            return [
                (at_s, event.request.service_s)
                for at_s, event in events
                if isinstance(event, RequestEvent)
            ]

        self.assertEqual(arrivals(1), arrivals(1))
        self.assertNotEqual(arrivals(1), arrivals(2))

    def test_offered_work_matches_the_load(self):
        shape = SHAPES["leave-desk-exports"]
        work_s = sum(
            event.request.service_s
            for _, event in generate_events(shape, 0.8, 2000.0, 1)
            if isinstance(event, RequestEvent)
        )
        slots = shape.slots * len(shape.target_zones)
        self.assertAlmostEqual(work_s / slots / 2000.0, 0.8, delta=0.08)


class MeasureTest(unittest.TestCase):
    def test_imbalance_is_peak_over_mean_of_each_window(self):
        meter = ImbalanceMeter(2)
        meter.sample([1.0, 3.0], 0.2)
        meter.sample([1.0, 1.0], 0.7)
        meter.sample([0.0, 2.0], 1.5)
        self.assertEqual(meter.windows(), {0: 4.0 / 3.0, 1: 2.0})

    def test_spread(self):
        self.assertEqual(str(Spread.of([3.0, 1.0, 2.0])), "2 [1 3]")


class PolicyTest(unittest.TestCase):
    def test_every_request_of_every_policy_ends(self):
        for policy in POLICIES:
            with self.subTest(policy=policy):
                result = run(policy, "flow")
                self.assertEqual(result.unfinished, 0)
                self.assertEqual(result.unknown, 0)

    def test_planned_changes_break_no_flow(self):
        for affinity in ("flow", "request"):
            result = run(affinity=affinity, fault="planned")
            self.assertEqual(result.broken_flows, 0)

    def test_goodput_does_not_fall_past_capacity(self):
        self.assertGreater(run(load=3.0).goodput, 0.9)

    def test_shedding_targets_cause_no_retry_storm(self):
        self.assertLess(run(fault="half_shed").attempts_per_request, 1.1)

    def test_stuck_target_causes_few_unknown_outcomes(self):
        stuck = run(fault="stuck")
        self.assertLessEqual(stuck.unknown, 2)

    def test_owner_matches_the_perfect_scheduler_for_single_requests(self):
        owner, perfect = run(load=0.9), run("perfect", load=0.9)
        self.assertLess(owner.imbalance_median, 1.1 * perfect.imbalance_median)

    def test_planned_changes_at_target_owners_break_no_flow(self):
        for affinity in ("flow", "request"):
            result = run("target_owners", affinity, fault="planned")
            self.assertEqual((result.broken_flows, result.unfinished), (0, 0))

    def test_lost_target_owner_ends_only_its_own_requests(self):
        result = run("target_owners", "flow", fault="kill")
        self.assertEqual(result.unfinished, 0)
        self.assertLessEqual(result.unknown, SHAPES["harada"].slots * 9)

    def test_hot_service_needs_more_than_one_sender(self):
        def hot_goodput(policy):
            hot = Experiment("harada-hot", "request", 0.9, policy, duration_s=50.0)
            return run_experiment(hot).goodput

        self.assertLess(hot_goodput("owner"), 0.7)
        self.assertGreater(hot_goodput("owner_shards"), 0.85)
        self.assertGreater(hot_goodput("target_owners"), 0.85)


class PlacerTest(unittest.TestCase):
    def setUp(self):
        record = make_record(SHAPES["harada"], Affinity.REQUEST)
        self.placer = Placer(DispatchSettings(), record, 0.0)
        self.names = {target.name for target in record.targets}

    def report(self, name, sent_s, work=0, serves=True):
        self.placer.on_report(
            TargetReport(name, sent_s, 0.01, work, 0.0, 0, serves, True)
        )

    def test_placements_since_a_report_count_as_work(self):
        placed = {self.placer.place_request(set(), 0.0, 1.0) for _ in self.names}
        self.assertEqual(placed, self.names)

    def test_report_replaces_only_placements_its_owner_had_received(self):
        first = self.placer.place_request(set(), 0.0, 1.0)
        self.report(first, sent_s=1.005)
        others = {self.placer.place_request(set(), 0.0, 1.0) for _ in self.names}
        self.assertEqual(others, self.names)
        self.report(first, sent_s=1.02)
        self.assertEqual(self.placer.place_request(set(), 0.0, 1.02), first)

    def test_places_nothing_without_a_serving_untried_target(self):
        self.assertEqual(self.placer.place_request(self.names, 0.0, 1.0), "")
        for name in self.names:
            self.report(name, sent_s=1.0, serves=False)
        self.assertEqual(self.placer.place_flow(set(), 0.0, 1.0), "")


class PairedTest(unittest.TestCase):
    def test_mean_has_its_standard_error(self):
        self.assertEqual(Mean.of([1.0, 2.0, 3.0]), Mean(2.0, 1.0 / math.sqrt(3)))

    def test_differences_are_taken_seed_by_seed(self):
        results = [
            dataclasses.replace(
                run(policy, load=0.5, duration_s=25.0),
                experiment=Experiment("harada", "flow", 0.5, policy, seed=seed),
                imbalance_median=imbalance,
            )
            for policy, seed, imbalance in (
                ("perfect", 1, 2.0),
                ("perfect", 2, 4.0),
                ("owner", 2, 4.5),
                ("owner", 1, 2.5),
            )
        ]
        table = format_paired(results, "perfect")
        self.assertRegex(table, r"owner +imbalance +3.5 \(1\) +0.5 \(0\)")


class TableTest(unittest.TestCase):
    def test_table_and_report_show_each_policy(self):
        results = [run("perfect", duration_s=25.0), run(duration_s=25.0)]
        table = format_table(results)
        self.assertIn("owner", table)
        self.assertIn("p99/perfect", table)
        self.assertIn("data:image/png;base64,", render_report(results))

    def test_table_runs_each_policy_on_the_same_seeds(self):
        experiments = make_table_experiments((1, 2, 3))
        self.assertEqual(len(experiments), len(set(experiments)))
        self.assertEqual({e.policy for e in experiments}, set(POLICIES))


if __name__ == "__main__":
    unittest.main()

"""Baselines learnt by many instances, each of which observes few requests."""

import unittest

import msgspec

from endivepick.forwarding import FitnessReport, RouteKind, merge_reports
from endivepick.forwarding.fitness_reports import sanitize_report
from endivepick.forwarding.request_baseline import HISTOGRAM_CAPACITY, Bucket
from endivepick.forwarding.service_baselines import (
    MAX_REPORTED_KINDS,
    ServiceBaselines,
    UsualCounts,
    merge_baselines,
)
from endivepick.forwarding.tests.test_fitness import ERROR_BYTES, WORK_S, Zone

KIND = RouteKind.IDEMPOTENT


def learn_baselines(answers, wait_s=0.02, service="notes"):
    baselines = ServiceBaselines()
    for _ in range(answers):
        baselines.add(service, KIND, wait_s, 900)
    return baselines


class TestLargeZone(unittest.TestCase):
    """Forty instances observe three requests per second each; then a target slows."""

    def run_slow_targets(self, normal_s, share=True, slow=("i-3",), slow_s=2.0):
        zone = Zone(targets=23, instances=40)
        zone.run(normal_s, 120.0, share)
        zone.behave = lambda name: (
            (WORK_S * 12, 900) if name in slow else zone.draw_normal_answer(name)
        )
        zone.run(slow_s, 120.0, share)
        return zone

    def test_slow_target_is_ejected_soon_after_a_start(self):
        zone = self.run_slow_targets(normal_s=2.0)
        self.assertEqual(zone.ejected(), {"i-3"})

    def test_several_targets_that_become_slow_together_are_ejected(self):
        slow = {"i-3", "i-8", "i-13", "i-18", "i-23"}
        zone = self.run_slow_targets(normal_s=6.0, slow=slow, slow_s=1.2)
        self.assertEqual(zone.ejected(), slow)

    def test_slow_target_is_ejected_where_short_answers_are_common(self):
        zone = Zone(targets=23, instances=20)

        def draw_answer(name):
            wait_s, size = zone.draw_normal_answer(name)
            return wait_s, ERROR_BYTES if zone.draw.random() < 0.2 else size

        zone.behave = draw_answer
        zone.run(6.0, 70.0)
        self.assertEqual(zone.ejected(), set())
        zone.behave = lambda name: (
            (WORK_S * 12, draw_answer(name)[1]) if name == "i-3" else draw_answer(name)
        )
        zone.run(2.0, 70.0)
        self.assertEqual(zone.ejected(), {"i-3"})

    def test_caller_with_short_answers_ejects_no_target(self):
        zone = Zone(targets=23, instances=40)
        zone.run(6.0, 120.0)
        core = zone.cores[0]
        zone.behave = lambda _name: (WORK_S, ERROR_BYTES)
        flow = core.flows.get(zone.request(core))
        for _ in range(20):
            zone.now_s += 0.1
            zone.deliver()
            zone.send_on(core, flow)
            zone.tick()
        self.assertEqual(zone.ejected(), set())

    def test_no_instance_alone_detects_the_slow_target(self):
        zone = self.run_slow_targets(normal_s=2.0, share=False)
        self.assertEqual(zone.ejected(), set())

    def test_instance_that_starts_later_learns_the_zone_baseline(self):
        zone = self.run_slow_targets(normal_s=6.0)
        zone.cores = zone.cores[:39] + [Zone(targets=23).cores[0]]
        zone.events = [event for event in zone.events if event[1] in zone.cores]
        zone.run(2.0, 120.0)
        self.assertEqual(str(zone.fitness("i-3", 39)), str(zone.fitness("i-3")))


class TestBaselineCounts(unittest.TestCase):
    def test_counts_of_instances_are_summed(self):
        reported = [
            counts for _ in range(10) for counts in learn_baselines(4).to_counts()
        ]
        (merged,) = merge_baselines(reported)
        self.assertEqual(sum(bucket.values for bucket in merged.waits), 40)
        merged_baselines = ServiceBaselines()
        merged_baselines.replace([merged])
        baseline = merged_baselines.get("notes", KIND)
        self.assertAlmostEqual(baseline.overdue_after_s(), 0.045, delta=0.015)

    def test_baseline_with_few_answers_replaces_nothing(self):
        baselines = ServiceBaselines()
        baselines.replace(learn_baselines(100).to_counts())
        baselines.replace(learn_baselines(3, wait_s=9.0).to_counts())
        self.assertLess(baselines.get("notes", KIND).overdue_after_s(), 0.1)

    def test_weight_of_one_instance_is_bounded(self):
        (counts,) = learn_baselines(1).to_counts()
        oversized = UsualCounts("notes", KIND, [Bucket(40, 2**20)], [Bucket(3, 2**20)])
        (merged,) = merge_baselines([counts, oversized])
        most = max(bucket.values for bucket in merged.waits)
        self.assertLessEqual(most, HISTOGRAM_CAPACITY)

    def test_invalid_counts_are_left_out(self):
        for bucket in (Bucket(-1, 1), Bucket(64, 1), Bucket(3, -5), Bucket(3, 2**60)):
            with self.subTest(bucket):
                wrong = UsualCounts("notes", KIND, [bucket], [])
                report = FitnessReport([], [], usual=[wrong])
                self.assertEqual(sanitize_report(report).usual, [])
                self.assertEqual(merge_reports([report]).usual, [])

    def test_number_of_reported_kinds_is_bounded(self):
        baselines = ServiceBaselines()
        for n in range(100):
            baselines.add(f"s-{n}", KIND, 0.02, 900)
        self.assertEqual(len(baselines.to_counts()), MAX_REPORTED_KINDS)

    def test_report_survives_encoding(self):
        report = FitnessReport([], [], usual=learn_baselines(5).to_counts())
        body = msgspec.json.encode(report)
        self.assertEqual(msgspec.json.decode(body, type=FitnessReport), report)
        self.assertFalse(report.empty)


if __name__ == "__main__":
    unittest.main()

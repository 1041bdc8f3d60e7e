"""What is usual, learnt by many instances of which each sees little."""

import unittest

import msgspec

from endivepick.forwarding import FitnessReport, RouteKind, merge_reports
from endivepick.forwarding.fitness_reports import usable_report
from endivepick.forwarding.request_baseline import REMEMBERED, Bucket
from endivepick.forwarding.service_baselines import (
    MOST_USUAL,
    ServiceUsual,
    UsualCounts,
    merge_baselines,
)
from endivepick.forwarding.tests.test_fitness import ERROR_BYTES, WORK_S, Zone

KIND = RouteKind.IDEMPOTENT


def seen(answers, wait_s=0.02, service="notes"):
    usual = ServiceUsual()
    for _ in range(answers):
        usual.add(service, KIND, wait_s, 900)
    return usual


class TestLargeZone(unittest.TestCase):
    """Forty instances see three requests a second each; then one target turns slow."""

    def slow_after(self, calm_s, share=True, slow=("i-3",), slow_s=2.0):
        zone = Zone(targets=23, instances=40)
        zone.run(calm_s, 120.0, share)
        zone.behave = lambda name: (
            (WORK_S * 12, 900) if name in slow else zone.usual(name)
        )
        zone.run(slow_s, 120.0, share)
        return zone

    def test_a_slow_target_gets_no_new_flows_soon_after_a_start(self):
        zone = self.slow_after(calm_s=2.0)
        self.assertEqual(zone.condemned(), {"i-3"})

    def test_several_that_turn_slow_together_are_found_as_soon(self):
        slow = {"i-3", "i-8", "i-13", "i-18", "i-23"}
        zone = self.slow_after(calm_s=6.0, slow=slow, slow_s=1.2)
        self.assertEqual(zone.condemned(), slow)

    def test_a_slow_one_is_found_where_short_answers_are_usual(self):
        zone = Zone(targets=23, instances=20)

        def usual(name):
            wait_s, size = zone.usual(name)
            return wait_s, ERROR_BYTES if zone.draw.random() < 0.2 else size

        zone.behave = usual
        zone.run(6.0, 70.0)
        self.assertEqual(zone.condemned(), set())
        zone.behave = lambda name: (
            (WORK_S * 12, usual(name)[1]) if name == "i-3" else usual(name)
        )
        zone.run(2.0, 70.0)
        self.assertEqual(zone.condemned(), {"i-3"})

    def test_a_caller_that_asks_for_little_condemns_no_target(self):
        zone = Zone(targets=23, instances=40)
        zone.run(6.0, 120.0)
        core = zone.cores[0]
        zone.behave = lambda _name: (WORK_S, ERROR_BYTES)
        flow = core.flows.get(zone.request(core))
        for _ in range(20):
            zone.now_s += 0.1
            zone.deliver()
            zone.ask_on(core, flow)
            zone.tick()
        self.assertEqual(zone.condemned(), set())

    def test_alone_no_instance_could_tell(self):
        zone = self.slow_after(calm_s=2.0, share=False)
        self.assertEqual(zone.condemned(), set())

    def test_instances_that_start_into_a_slow_zone_learn_what_is_usual(self):
        zone = self.slow_after(calm_s=6.0)
        zone.cores = zone.cores[:39] + [Zone(targets=23).cores[0]]
        zone.events = [event for event in zone.events if event[1] in zone.cores]
        zone.run(2.0, 120.0)
        self.assertEqual(str(zone.fitness("i-3", 39)), str(zone.fitness("i-3")))


class TestWords(unittest.TestCase):
    def test_what_instances_have_seen_adds_up(self):
        words = [counts for _ in range(10) for counts in seen(4).tell()]
        (merged,) = merge_baselines(words)
        self.assertEqual(sum(bucket.values for bucket in merged.waits), 40)
        together = ServiceUsual()
        together.replace([merged])
        alone = together.get("notes", KIND)
        self.assertAlmostEqual(alone.overdue_s(), 0.045, delta=0.015)

    def test_few_answers_replace_nothing(self):
        usual = ServiceUsual()
        usual.replace(seen(100).tell())
        usual.replace(seen(3, wait_s=9.0).tell())
        self.assertLess(usual.get("notes", KIND).overdue_s(), 0.1)

    def test_one_word_counts_for_what_an_instance_remembers(self):
        (counts,) = seen(1).tell()
        loud = UsualCounts("notes", KIND, [Bucket(40, 2**20)], [Bucket(3, 2**20)])
        (merged,) = merge_baselines([counts, loud])
        most = max(bucket.values for bucket in merged.waits)
        self.assertLessEqual(most, REMEMBERED)

    def test_what_no_instance_tells_is_left_out(self):
        for bucket in (Bucket(-1, 1), Bucket(64, 1), Bucket(3, -5), Bucket(3, 2**60)):
            with self.subTest(bucket):
                wrong = UsualCounts("notes", KIND, [bucket], [])
                report = FitnessReport([], [], usual=[wrong])
                self.assertEqual(usable_report(report).usual, [])
                self.assertEqual(merge_reports([report]).usual, [])

    def test_a_report_names_few_kinds(self):
        usual = ServiceUsual()
        for n in range(100):
            usual.add(f"s-{n}", KIND, 0.02, 900)
        self.assertEqual(len(usual.tell()), MOST_USUAL)

    def test_what_is_told_is_read_as_it_was(self):
        report = FitnessReport([], [], usual=seen(5).tell())
        body = msgspec.json.encode(report)
        self.assertEqual(msgspec.json.decode(body, type=FitnessReport), report)
        self.assertFalse(report.empty)


if __name__ == "__main__":
    unittest.main()

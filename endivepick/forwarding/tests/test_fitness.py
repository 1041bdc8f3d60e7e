"""Outlier detection: targets that fail requests, and loads that must not eject any.

Each class replays a load against the decision core of one instance, or of several whose
reports are merged as a feeder does.
"""

import random
import unittest

from endivepick.forwarding import (
    Fitness,
    FitnessReport,
    Reset,
    ResetReason,
    TargetPhase,
    merge_reports,
)
from endivepick.forwarding.comparison import log_likelihood_ratio
from endivepick.forwarding.fitness_reports import (
    MAX_REQUESTS_PER_INSTANCE,
    ServiceCounts,
    TargetCounts,
)
from endivepick.forwarding.outlier_detector import EJECTION_TIME_S, MAX_EJECTION_TIME_S
from endivepick.forwarding.request_baseline import (
    HISTOGRAM_CAPACITY,
    DecayingHistogram,
)
from endivepick.forwarding.tests.support import (
    IDEMPOTENT_PORT,
    ONCE_PORT,
    data,
    flow_key,
    make_core,
    make_target,
    open_flow,
    opening,
    take,
)

WORK_S = 0.025
ANSWER_BYTES = 900
ERROR_BYTES = 180
TICK_S = 0.1


class Zone:
    """Instances of a zone, a service, and callers with one request at a time.

    ``behave`` draws a target's answer to a request: the time until it begins and the
    size of its first part, or None if the target never answers.
    """

    def __init__(self, targets=8, instances=1, seed=1, slots=2, work_s=WORK_S):
        self.draw = random.Random(seed)
        self.names = [f"i-{n}" for n in range(1, targets + 1)]
        entries = [make_target(n, slots=slots, revision=1) for n in self.names]
        self.cores = [make_core(entries, seed=seed + n) for n in range(instances)]
        self.work_s = work_s
        self.now_s = 0.0
        self.port = 1000
        self.events = []
        self.resets = []
        self.reset_s = []
        self.placed = {}
        self.behave = self.draw_normal_answer

    def draw_normal_answer(self, _name):
        return self.work_s * self.draw.uniform(0.5, 2.0), ANSWER_BYTES

    def request(self, core, port=IDEMPOTENT_PORT):
        """Open a flow and send a request; its answer is acknowledged on arrival."""
        self.port += 1
        flow = flow_key(self.port, port)
        flow = type(flow)(flow.caller_host + self.port % 7, *list(_fields(flow))[1:])
        core.on_packet(opening(flow), b"", self.now_s)
        name = core.flows.get(flow).belief.name
        cookie = core.flows.get(flow).belief.cookie
        self.placed[name] = self.placed.get(name, 0) + 1
        core.on_packet(data(flow, cookie), b"", self.now_s)
        outcome = self.behave(name)
        if outcome is not None:
            wait_s, size = outcome
            answer = data(flow, cookie, 401, 500 + size, 0)
            self.events.append((self.now_s + wait_s, core, answer))
        return flow

    def send_on_open_flows(self, name, count):
        """Send the next request on some idle flows of a target, at each instance."""
        for core in self.cores:
            belief = core.registry.get(name)
            idle = [f for f in core.flows.of_target(belief) if f.busy_since_s is None]
            for flow in idle[:count]:
                self.send_on(core, flow)

    def send_on(self, core, flow):
        """Send the next request on an idle flow."""
        belief = flow.belief
        request_packet = data(flow.key, belief.cookie, flow.sent_end, flow.acknowledged)
        core.on_packet(request_packet, b"", self.now_s)
        outcome = self.behave(belief.name)
        if outcome is not None:
            wait_s, size = outcome
            acknowledged = flow.acknowledged + size
            sequence = request_packet.sequence + request_packet.data_bytes
            answer = data(flow.key, belief.cookie, sequence, acknowledged, 0)
            self.events.append((self.now_s + wait_s, core, answer))

    def run(self, for_s, per_s=60.0, share=True, port=IDEMPOTENT_PORT):
        """Send requests at a rate for a time, each to an instance drawn at random."""
        end_s = self.now_s + for_s
        step_s = 1.0 / per_s
        ticked_s = self.now_s
        while self.now_s < end_s:
            self.now_s += step_s
            self.request(self.draw.choice(self.cores), port)
            self.deliver()
            if self.now_s - ticked_s >= TICK_S:
                ticked_s = self.now_s
                self.tick(share)

    def run_with_open_flows(self, for_s, per_s):
        """Open new flows at a rate, and send requests on open flows."""
        for _ in range(round(for_s / 0.1)):
            for name in self.names:
                self.send_on_open_flows(name, 1)
            self.run(0.1, per_s)

    def flows_at(self, name):
        return sum(core.registry.get(name).flows for core in self.cores)

    def deliver(self):
        due = [event for event in self.events if event[0] <= self.now_s]
        self.events = [event for event in self.events if event[0] > self.now_s]
        for at_s, core, packet in sorted(due, key=lambda event: event[0]):
            if core.flows.get(packet.flow) is not None:
                core.on_packet(packet, b"", at_s)

    def tick(self, share=True):
        if share and len(self.cores) > 1:
            reports = [core.outlier_detector.report(self.now_s) for core in self.cores]
            together = merge_reports(reports)
            for core in self.cores:
                core.outlier_detector.receive_zone_report(together, self.now_s)
        for core in self.cores:
            core.tick(self.now_s)
            resets = take(core, Reset)
            self.resets += resets
            self.reset_s += [self.now_s] * len(resets)

    def fitness(self, name, core=0):
        return self.cores[core].registry.get(name).fitness

    def ejected(self):
        return {
            belief.name
            for core in self.cores
            for belief in core.registry
            if belief.fitness is not Fitness.SOUND
        }


def _fields(flow):
    return (flow.caller_host, flow.caller_port, flow.service_host, flow.service_port)


class TestBadTargets(unittest.TestCase):
    """One of eight targets fails; the others serve as before."""

    def failing(
        self, outcome, instances=1, share=0.6, per_s=80.0, port=IDEMPOTENT_PORT
    ):
        zone = Zone(instances=instances)
        zone.run(5.0, per_s)
        self.assertEqual(zone.ejected(), set())

        def behave(name):
            if name == "i-3" and zone.draw.random() < share:
                return outcome
            return zone.draw_normal_answer(name)

        zone.behave = behave
        zone.run(4.0, per_s, port=port)
        return zone

    def test_unresponsive_target_gets_no_new_flows(self):
        zone = self.failing(None)
        self.assertEqual(zone.ejected(), {"i-3"})
        zone.placed.clear()
        zone.run(1.0)
        self.assertNotIn("i-3", zone.placed)

    def test_unanswered_idempotent_requests_are_reset(self):
        zone = self.failing(None, per_s=200.0)
        reasons = {reset.reason for reset in zone.resets}
        self.assertEqual(reasons, {ResetReason.TARGET_IMPAIRED})
        self.assertEqual({reset.target for reset in zone.resets}, {"i-3"})
        waiting = zone.cores[0].registry.get("i-3").busy_flows
        self.assertEqual(waiting, 0)

    def test_requests_that_may_run_only_once_are_never_reset(self):
        zone = self.failing(None, share=1.0, port=ONCE_PORT)
        self.assertEqual(zone.ejected(), {"i-3"})
        ports = {reset.flow.service_port for reset in zone.resets}
        self.assertNotIn(ONCE_PORT, ports)

    def test_target_that_returns_errors_gets_no_new_flows(self):
        zone = self.failing((0.001, ERROR_BYTES), share=1.0)
        self.assertEqual(zone.ejected(), {"i-3"})

    def test_flows_of_a_target_that_returns_errors_are_kept(self):
        # Errors cannot be distinguished from load shedding by an overloaded target.
        zone = self.failing((0.001, ERROR_BYTES), instances=6, share=1.0, per_s=200.0)
        self.assertEqual(zone.ejected(), {"i-3"})
        for _ in range(12):
            zone.send_on_open_flows("i-3", 2)
            zone.run(0.1, 100.0)
        self.assertEqual(zone.resets, [])

    def test_flows_of_a_target_that_just_started_are_kept(self):
        # All instances open flows there at once, so it queues, sheds and is slow.
        zone = Zone(instances=12)
        zone.run(6.0, 300.0)
        new = make_target("i-9", revision=20)
        for core in zone.cores:
            core.on_target(new, zone.now_s)

        def behave(name):
            if name != "i-9":
                return zone.draw_normal_answer(name)
            return (0.001, ERROR_BYTES) if zone.draw.random() < 0.7 else (2.0, 900)

        zone.behave = behave
        zone.run(3.0, 300.0)
        self.assertEqual(zone.ejected(), {"i-9"})
        self.assertEqual(zone.resets, [])

    def test_flows_of_a_draining_target_that_returns_errors_are_kept(self):
        zone = self.failing((0.001, ERROR_BYTES), instances=3, share=1.0, per_s=200.0)
        self.assertEqual(zone.ejected(), {"i-3"})
        draining = make_target("i-3", phase=TargetPhase.DRAINING, revision=20)
        for core in zone.cores:
            core.on_target(draining, zone.now_s)
            belief = core.registry.get("i-3")
            flow = flow_key(60000)
            core.on_packet(data(flow, belief.cookie), b"", zone.now_s)
            error = data(flow, belief.cookie, 401, 500 + ERROR_BYTES, 0)
            core.on_packet(error, b"", zone.now_s)
        zone.resets.clear()
        for _ in range(10):
            zone.send_on_open_flows("i-3", 3)
            zone.run(0.1, 200.0)
        self.assertEqual(zone.resets, [])

    def test_very_slow_target_gets_no_new_flows(self):
        zone = self.failing((WORK_S * 40, ANSWER_BYTES))
        self.assertEqual(zone.ejected(), {"i-3"})

    def test_merged_reports_detect_what_one_instance_cannot(self):
        alone = Zone(instances=12)
        alone.run(8.0, 80.0)
        together = Zone(instances=12)
        together.run(8.0, 80.0)
        for zone, share in ((alone, False), (together, True)):
            zone.behave = lambda name, z=zone: (
                None if name == "i-3" else z.draw_normal_answer(name)
            )
            zone.run(0.9, 80.0, share=share)
        self.assertEqual(alone.ejected(), set())
        self.assertEqual(together.ejected(), {"i-3"})
        every = [together.fitness("i-3", n) for n in range(12)]
        self.assertEqual(set(every), {Fitness.IMPAIRED})

    def test_recovered_target_returns_with_a_small_share_of_flows(self):
        zone = self.failing(None)
        zone.behave = zone.draw_normal_answer
        ejected_s = zone.cores[0].registry.get("i-3").fitness_since_s
        while zone.fitness("i-3") is Fitness.IMPAIRED:
            zone.run(0.2)
        self.assertGreaterEqual(zone.now_s - ejected_s, EJECTION_TIME_S)
        zone.placed.clear()
        zone.run(1.0, 80.0)
        self.assertLess(zone.placed.get("i-3", 0), 14)
        zone.run(2.0)
        self.assertIs(zone.fitness("i-3"), Fitness.SOUND)

    def test_flows_of_a_recovered_target_are_kept(self):
        # Counts from before the recovery must not confirm a fault again when single
        # failures eject the target anew after its ejection time.
        zone = self.failing(None, instances=12, share=0.45, per_s=300.0)
        zone.run(6.0, 300.0)
        self.assertNotEqual(zone.resets, [])
        recovered_s = zone.now_s
        zone.behave = lambda name: (
            None if zone.draw.random() < 0.03 else zone.draw_normal_answer(name)
        )
        zone.run(25.0, 300.0)
        self.assertLess(max(zone.reset_s), recovered_s + 4.0)

    def test_ejection_time_grows_while_a_target_has_not_recovered(self):
        zone = self.failing(None, share=1.0)
        probations, last = [], Fitness.IMPAIRED
        while zone.now_s < 60.0:
            zone.run(0.1)
            if zone.fitness("i-3") is Fitness.RETURNING and last is Fitness.IMPAIRED:
                probations.append(zone.now_s)
            last = zone.fitness("i-3")
        gaps_s = [
            after - before
            for before, after in zip(probations, probations[1:], strict=False)
        ]
        self.assertGreaterEqual(len(gaps_s), 2)
        self.assertGreater(gaps_s[1], gaps_s[0] * 1.3)
        self.assertLessEqual(max(gaps_s), MAX_EJECTION_TIME_S * 2)

    def test_only_idempotent_flows_go_to_a_target_on_probation(self):
        zone = self.failing(None)
        while zone.fitness("i-3") is Fitness.IMPAIRED:
            zone.run(0.2)
        zone.placed.clear()
        zone.run(0.5, 200.0, port=ONCE_PORT)
        self.assertNotIn("i-3", zone.placed)


class TestFaultsOfAllTargets(unittest.TestCase):
    """Loads in which requests fail for reasons other than a single target."""

    def assert_none_ejected(self, zone):
        self.assertEqual(zone.ejected(), set())
        self.assertEqual(zone.resets, [])

    def test_no_ejection_without_faults_for_any_service_time(self):
        for work_s in (0.005, 0.2, 5.0):
            zone = Zone(work_s=work_s, instances=3)
            zone.run(40.0, 40.0)
            with self.subTest(work_s):
                self.assert_none_ejected(zone)

    def test_no_ejection_when_all_become_slow(self):
        zone = Zone(instances=3)
        zone.run(5.0, 80.0)
        zone.behave = lambda name: (WORK_S * zone.draw.uniform(4, 16), ANSWER_BYTES)
        zone.run(10.0, 80.0)
        self.assert_none_ejected(zone)

    def test_no_ejection_when_all_shed_load(self):
        zone = Zone(instances=3)
        zone.run(5.0, 80.0)

        def behave(name):
            shed = zone.draw.random() < 0.5
            return (0.001, ERROR_BYTES) if shed else zone.draw_normal_answer(name)

        zone.behave = behave
        zone.run(10.0, 80.0)
        self.assert_none_ejected(zone)

    def test_no_ejection_when_flows_move_to_another_instance(self):
        # The answers of a fifth of the flows are acknowledged via other instances.
        zone = Zone(instances=3)
        zone.run(5.0, 80.0)

        def behave(name):
            return None if zone.draw.random() < 0.2 else zone.draw_normal_answer(name)

        zone.behave = behave
        zone.run(10.0, 80.0)
        self.assert_none_ejected(zone)

    def test_no_ejection_after_a_pause_of_an_instance(self):
        zone = Zone(instances=3)
        zone.run(5.0, 80.0)
        paused_core = zone.cores[0]
        held = [event for event in zone.events if event[1] is paused_core]
        zone.events = [event for event in zone.events if event[1] is not paused_core]
        zone.cores = zone.cores[1:]
        zone.run(3.0, 80.0)
        zone.cores.append(paused_core)
        zone.events += [(zone.now_s, core, packet) for _, core, packet in held]
        zone.run(5.0, 80.0)
        self.assert_none_ejected(zone)

    def test_overloaded_target_that_sheds_keeps_its_flows(self):
        zone = Zone(instances=3)
        zone.run(5.0, 80.0)

        def behave(name):
            shed = name == "i-3" and zone.draw.random() < 0.7
            return (0.001, ERROR_BYTES) if shed else zone.draw_normal_answer(name)

        zone.behave = behave
        zone.run(10.0, 80.0)
        self.assertEqual(zone.resets, [])

    def test_draining_target_is_not_evaluated(self):
        zone = Zone(instances=3)
        zone.run(5.0, 80.0)
        draining = make_target("i-3", phase=TargetPhase.DRAINING, revision=20)
        for core in zone.cores:
            core.on_target(draining, zone.now_s)
        zone.behave = lambda name: (
            None if name == "i-3" else zone.draw_normal_answer(name)
        )
        zone.run(5.0, 80.0)
        self.assert_none_ejected(zone)


class TestBounds(unittest.TestCase):
    def run_with_bad_targets(self, names, targets, for_s=6.0, share=1.0):
        zone = Zone(targets=targets)
        zone.run(5.0, 80.0)

        def behave(name):
            bad = name in names and zone.draw.random() < share
            return None if bad else zone.draw_normal_answer(name)

        zone.behave = behave
        zone.run(for_s, 80.0)
        return zone

    def test_at_most_two_fifths_of_a_service_are_ejected(self):
        zone = self.run_with_bad_targets({f"i-{n}" for n in range(1, 7)}, targets=8)
        self.assertLessEqual(len(zone.ejected()), 3)

    def test_one_of_three_targets_may_be_ejected(self):
        self.assertEqual(
            self.run_with_bad_targets({"i-2"}, targets=3).ejected(), {"i-2"}
        )

    def test_no_ejection_with_one_or_two_targets(self):
        self.assertEqual(self.run_with_bad_targets({"i-2"}, targets=2).ejected(), set())
        self.assertEqual(self.run_with_bad_targets({"i-1"}, targets=1).ejected(), set())

    def test_no_ejection_when_all_fail_alike(self):
        names = {f"i-{n}" for n in range(1, 9)}
        zone = self.run_with_bad_targets(names, targets=8, share=0.5)
        self.assertEqual(zone.ejected(), set())

    def test_flow_opens_at_an_impaired_target_without_alternative(self):
        zone = self.run_with_bad_targets({"i-2"}, targets=3)
        for name in ("i-1", "i-3"):
            draining = make_target(name, phase=TargetPhase.DRAINING, revision=20)
            zone.cores[0].on_target(draining, zone.now_s)
        belief = open_flow(zone.cores[0], flow_key(1), zone.now_s)
        self.assertEqual(belief.name, "i-2")


class TestReportsOfOthers(unittest.TestCase):
    def make_report(self, failed, good=0.0, name="i-3", born_ms=0):
        report = FitnessReport(
            [TargetCounts(name, born_ms, good, failed, 0.0, fresh=1)],
            [ServiceCounts("notes", 100.0 + failed, failed)],
        )
        return report

    def test_weight_of_one_instance_is_bounded(self):
        false_report = self.make_report(failed=10_000.0)
        true_report = self.make_report(failed=1.0, good=60.0)
        merged = merge_reports([false_report, true_report]).targets[0]
        self.assertLessEqual(merged.failed, MAX_REQUESTS_PER_INSTANCE + 1.0)
        self.assertEqual(merged.instances, 2)

    def test_false_report_of_one_instance_resets_no_flow(self):
        zone = Zone()
        zone.run(5.0, 80.0)
        core = zone.cores[0]
        for _ in range(20):
            zone.now_s += TICK_S
            merged = merge_reports([self.make_report(failed=10_000.0)])
            core.outlier_detector.receive_zone_report(merged, zone.now_s)
            core.tick(zone.now_s)
        self.assertEqual(take(core, Reset), [])

    def test_one_failure_elsewhere_does_not_confirm_what_one_instance_says(self):
        zone = Zone()
        zone.run(6.0, 80.0)
        core, resets = zone.cores[0], []
        reports = [
            self.make_report(failed=10.0),
            self.make_report(failed=1.0, good=8.0),
            self.make_report(failed=0.0, good=12.0),
        ]
        for _ in range(20):
            zone.now_s += TICK_S
            core.outlier_detector.receive_zone_report(
                merge_reports(reports), zone.now_s
            )
            core.tick(zone.now_s)
            resets += take(core, Reset)
        self.assertEqual(zone.ejected(), {"i-3"})
        self.assertEqual(resets, [])

    def test_report_on_another_incarnation_is_ignored(self):
        zone = Zone()
        zone.run(5.0, 80.0)
        core = zone.cores[0]
        core.outlier_detector.receive_zone_report(
            self.make_report(failed=20.0, born_ms=7), zone.now_s
        )
        core.tick(zone.now_s)
        self.assertEqual(zone.ejected(), set())

    def test_expired_report_is_ignored(self):
        zone = Zone()
        zone.run(5.0, 80.0)
        core = zone.cores[0]
        core.outlier_detector.receive_zone_report(
            self.make_report(failed=20.0), zone.now_s - 5.0
        )
        core.tick(zone.now_s)
        self.assertEqual(zone.ejected(), set())


class TestCost(unittest.TestCase):
    def test_requests_of_a_service_are_summed_once_per_tick(self):
        zone = Zone(targets=60)
        zone.run(4.0, 200.0)
        core, counted = zone.cores[0], []
        samples = core.outlier_detector._samples
        sum_requests = samples._sum_requests

        def count_and_sum(service, now_s):
            counted.append(service)
            return sum_requests(service, now_s)

        samples._sum_requests = count_and_sum
        bad = {"i-3", "i-17", "i-41"}
        zone.behave = lambda name: (
            None if name in bad else zone.draw_normal_answer(name)
        )
        zone.run(2.0, 400.0)
        self.assertEqual(zone.ejected(), bad)
        self.assertLessEqual(len(counted), 2.0 / TICK_S + 1)


class TestScoresAndHistograms(unittest.TestCase):
    def test_log_likelihood_ratio_depends_on_the_difference(self):
        self.assertEqual(log_likelihood_ratio(0, 10, 0, 100), 0.0)
        self.assertLess(log_likelihood_ratio(3, 10, 30, 100), 0.1)
        self.assertGreater(log_likelihood_ratio(10, 10, 20, 100), 7.0)
        self.assertLess(log_likelihood_ratio(1, 3, 1, 100), 7.0)

    def test_histogram_follows_the_load(self):
        histogram = DecayingHistogram(0.001)
        for _ in range(HISTOGRAM_CAPACITY):
            histogram.add(0.01)
        for _ in range(HISTOGRAM_CAPACITY * 4):
            histogram.add(1.0)
        self.assertGreater(histogram.quantile(0.5), 0.9)
        self.assertLessEqual(histogram.count, HISTOGRAM_CAPACITY)

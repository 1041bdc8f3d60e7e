"""Targets that live and fail, and loads that must not be taken for that.

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
from endivepick.forwarding.comparison import evidence_against
from endivepick.forwarding.fitness_reports import (
    MOST_OF_ONE,
    ServiceCounts,
    TargetCounts,
)
from endivepick.forwarding.outlier_detector import LONGEST_REST_S, REST_S
from endivepick.forwarding.request_baseline import REMEMBERED, UsualValues
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

    What a target does with a request is drawn by ``behave``: its time and the bytes
    that come first, or None if it never answers.
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
        self.behave = self.usual

    def usual(self, _name):
        return self.work_s * self.draw.uniform(0.5, 2.0), ANSWER_BYTES

    def request(self, core, port=IDEMPOTENT_PORT):
        """Open a flow and send a request; the answer is acknowledged when it comes."""
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

    def ask_on_open_flows(self, name, count):
        """Send the next request on some idle flows of a target, at each instance."""
        for core in self.cores:
            belief = core.registry.get(name)
            idle = [f for f in core.flows.of_target(belief) if f.busy_since_s is None]
            for flow in idle[:count]:
                self.ask_on(core, flow)

    def ask_on(self, core, flow):
        """Send the next request on an idle flow."""
        belief = flow.belief
        asked = data(flow.key, belief.cookie, flow.sent_end, flow.acknowledged)
        core.on_packet(asked, b"", self.now_s)
        outcome = self.behave(belief.name)
        if outcome is not None:
            wait_s, size = outcome
            acknowledged = flow.acknowledged + size
            sequence = asked.sequence + asked.data_bytes
            answer = data(flow.key, belief.cookie, sequence, acknowledged, 0)
            self.events.append((self.now_s + wait_s, core, answer))

    def run(self, for_s, per_s=60.0, share=True, port=IDEMPOTENT_PORT):
        """Let requests come for a time, at instances in turn."""
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
        """Let new flows come, and requests on those that are open."""
        for _ in range(round(for_s / 0.1)):
            for name in self.names:
                self.ask_on_open_flows(name, 1)
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
            reports = [core.fitness.report(self.now_s) for core in self.cores]
            together = merge_reports(reports)
            for core in self.cores:
                core.fitness.receive_zone_report(together, self.now_s)
        for core in self.cores:
            core.tick(self.now_s)
            resets = take(core, Reset)
            self.resets += resets
            self.reset_s += [self.now_s] * len(resets)

    def fitness(self, name, core=0):
        return self.cores[core].registry.get(name).fitness

    def condemned(self):
        return {
            belief.name
            for core in self.cores
            for belief in core.registry
            if belief.fitness is not Fitness.SOUND
        }


def _fields(flow):
    return (flow.caller_host, flow.caller_port, flow.service_host, flow.service_port)


class TestBadTargets(unittest.TestCase):
    """Of eight targets one fails; the rest of the service goes on as before."""

    def failing(
        self, outcome, instances=1, share=0.6, per_s=80.0, port=IDEMPOTENT_PORT
    ):
        zone = Zone(instances=instances)
        zone.run(5.0, per_s)
        self.assertEqual(zone.condemned(), set())

        def behave(name):
            if name == "i-3" and zone.draw.random() < share:
                return outcome
            return zone.usual(name)

        zone.behave = behave
        zone.run(4.0, per_s, port=port)
        return zone

    def test_a_mute_one_gets_no_new_flows(self):
        zone = self.failing(None)
        self.assertEqual(zone.condemned(), {"i-3"})
        zone.placed.clear()
        zone.run(1.0)
        self.assertNotIn("i-3", zone.placed)

    def test_requests_that_a_mute_one_leaves_are_tried_elsewhere_if_they_may(self):
        zone = self.failing(None, per_s=200.0)
        reasons = {reset.reason for reset in zone.resets}
        self.assertEqual(reasons, {ResetReason.TARGET_IMPAIRED})
        self.assertEqual({reset.target for reset in zone.resets}, {"i-3"})
        waiting = zone.cores[0].registry.get("i-3").busy_flows
        self.assertEqual(waiting, 0)

    def test_requests_that_may_run_once_are_never_reset(self):
        zone = self.failing(None, share=1.0, port=ONCE_PORT)
        self.assertEqual(zone.condemned(), {"i-3"})
        ports = {reset.flow.service_port for reset in zone.resets}
        self.assertNotIn(ONCE_PORT, ports)

    def test_one_that_errs_gets_no_new_flows(self):
        zone = self.failing((0.001, ERROR_BYTES), share=1.0)
        self.assertEqual(zone.condemned(), {"i-3"})

    def test_flows_of_one_that_errs_are_left_to_it(self):
        # It cannot be told from one that refuses since it is overrun.
        zone = self.failing((0.001, ERROR_BYTES), instances=6, share=1.0, per_s=200.0)
        self.assertEqual(zone.condemned(), {"i-3"})
        for _ in range(12):
            zone.ask_on_open_flows("i-3", 2)
            zone.run(0.1, 100.0)
        self.assertEqual(zone.resets, [])

    def test_flows_of_one_that_has_just_started_are_left_alone(self):
        # All instances open flows there at once; it queues, refuses, and is slow.
        zone = Zone(instances=12)
        zone.run(6.0, 300.0)
        new = make_target("i-9", revision=20)
        for core in zone.cores:
            core.on_target(new, zone.now_s)

        def behave(name):
            if name != "i-9":
                return zone.usual(name)
            return (0.001, ERROR_BYTES) if zone.draw.random() < 0.7 else (2.0, 900)

        zone.behave = behave
        zone.run(3.0, 300.0)
        self.assertEqual(zone.condemned(), {"i-9"})
        self.assertEqual(zone.resets, [])

    def test_flows_of_one_that_drains_are_left_alone_though_it_errs(self):
        zone = self.failing((0.001, ERROR_BYTES), instances=3, share=1.0, per_s=200.0)
        self.assertEqual(zone.condemned(), {"i-3"})
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
            zone.ask_on_open_flows("i-3", 3)
            zone.run(0.1, 200.0)
        self.assertEqual(zone.resets, [])

    def test_one_that_is_beyond_all_slow_gets_no_new_flows(self):
        zone = self.failing((WORK_S * 40, ANSWER_BYTES))
        self.assertEqual(zone.condemned(), {"i-3"})

    def test_what_one_instance_cannot_know_the_zone_does(self):
        alone = Zone(instances=12)
        alone.run(8.0, 80.0)
        together = Zone(instances=12)
        together.run(8.0, 80.0)
        for zone, share in ((alone, False), (together, True)):
            zone.behave = lambda name, z=zone: None if name == "i-3" else z.usual(name)
            zone.run(0.9, 80.0, share=share)
        self.assertEqual(alone.condemned(), set())
        self.assertEqual(together.condemned(), {"i-3"})
        every = [together.fitness("i-3", n) for n in range(12)]
        self.assertEqual(set(every), {Fitness.IMPAIRED})

    def test_one_that_has_recovered_returns_by_a_trickle(self):
        zone = self.failing(None)
        zone.behave = zone.usual
        condemned_s = zone.cores[0].registry.get("i-3").fitness_since_s
        while zone.fitness("i-3") is Fitness.IMPAIRED:
            zone.run(0.2)
        self.assertGreaterEqual(zone.now_s - condemned_s, REST_S)
        zone.placed.clear()
        zone.run(1.0, 80.0)
        self.assertLess(zone.placed.get("i-3", 0), 14)
        zone.run(2.0)
        self.assertIs(zone.fitness("i-3"), Fitness.SOUND)

    def test_flows_of_one_that_has_recovered_are_left_alone(self):
        # It was reset again from what had been seen before it recovered, when single
        # failures condemned it anew after its rest.
        zone = self.failing(None, instances=12, share=0.45, per_s=300.0)
        zone.run(6.0, 300.0)
        self.assertNotEqual(zone.resets, [])
        recovered_s = zone.now_s
        zone.behave = lambda name: (
            None if zone.draw.random() < 0.03 else zone.usual(name)
        )
        zone.run(25.0, 300.0)
        self.assertLess(max(zone.reset_s), recovered_s + 4.0)

    def test_one_that_has_not_recovered_rests_longer_each_time(self):
        zone = self.failing(None, share=1.0)
        tried, last = [], Fitness.IMPAIRED
        while zone.now_s < 60.0:
            zone.run(0.1)
            if zone.fitness("i-3") is Fitness.RETURNING and last is Fitness.IMPAIRED:
                tried.append(zone.now_s)
            last = zone.fitness("i-3")
        gaps_s = [
            after - before for before, after in zip(tried, tried[1:], strict=False)
        ]
        self.assertGreaterEqual(len(gaps_s), 2)
        self.assertGreater(gaps_s[1], gaps_s[0] * 1.3)
        self.assertLessEqual(max(gaps_s), LONGEST_REST_S * 2)

    def test_only_flows_that_may_be_repeated_try_one_that_returns(self):
        zone = self.failing(None)
        while zone.fitness("i-3") is Fitness.IMPAIRED:
            zone.run(0.2)
        zone.placed.clear()
        zone.run(0.5, 200.0, port=ONCE_PORT)
        self.assertNotIn("i-3", zone.placed)


class TestWhatBefallsAll(unittest.TestCase):
    """Loads in which requests fail for other reasons than a target's own."""

    def assert_nobody_condemned(self, zone):
        self.assertEqual(zone.condemned(), set())
        self.assertEqual(zone.resets, [])

    def test_a_calm_day_with_work_of_any_length(self):
        for work_s in (0.005, 0.2, 5.0):
            zone = Zone(work_s=work_s, instances=3)
            zone.run(40.0, 40.0)
            with self.subTest(work_s):
                self.assert_nobody_condemned(zone)

    def test_all_become_slow_at_once(self):
        zone = Zone(instances=3)
        zone.run(5.0, 80.0)
        zone.behave = lambda name: (WORK_S * zone.draw.uniform(4, 16), ANSWER_BYTES)
        zone.run(10.0, 80.0)
        self.assert_nobody_condemned(zone)

    def test_all_shed_at_once(self):
        zone = Zone(instances=3)
        zone.run(5.0, 80.0)

        def behave(name):
            shed = zone.draw.random() < 0.5
            return (0.001, ERROR_BYTES) if shed else zone.usual(name)

        zone.behave = behave
        zone.run(10.0, 80.0)
        self.assert_nobody_condemned(zone)

    def test_flows_that_move_to_another_instance(self):
        # Answers of a fifth of the flows are acknowledged through other instances.
        zone = Zone(instances=3)
        zone.run(5.0, 80.0)

        def behave(name):
            return None if zone.draw.random() < 0.2 else zone.usual(name)

        zone.behave = behave
        zone.run(10.0, 80.0)
        self.assert_nobody_condemned(zone)

    def test_an_instance_that_stood_still(self):
        zone = Zone(instances=3)
        zone.run(5.0, 80.0)
        frozen = zone.cores[0]
        held = [event for event in zone.events if event[1] is frozen]
        zone.events = [event for event in zone.events if event[1] is not frozen]
        zone.cores = zone.cores[1:]
        zone.run(3.0, 80.0)
        zone.cores.append(frozen)
        zone.events += [(zone.now_s, core, packet) for _, core, packet in held]
        zone.run(5.0, 80.0)
        self.assert_nobody_condemned(zone)

    def test_one_overrun_target_that_sheds_keeps_its_flows(self):
        zone = Zone(instances=3)
        zone.run(5.0, 80.0)

        def behave(name):
            shed = name == "i-3" and zone.draw.random() < 0.7
            return (0.001, ERROR_BYTES) if shed else zone.usual(name)

        zone.behave = behave
        zone.run(10.0, 80.0)
        self.assertEqual(zone.resets, [])

    def test_a_target_that_drains_is_not_judged(self):
        zone = Zone(instances=3)
        zone.run(5.0, 80.0)
        draining = make_target("i-3", phase=TargetPhase.DRAINING, revision=20)
        for core in zone.cores:
            core.on_target(draining, zone.now_s)
        zone.behave = lambda name: None if name == "i-3" else zone.usual(name)
        zone.run(5.0, 80.0)
        self.assert_nobody_condemned(zone)


class TestBounds(unittest.TestCase):
    def bad_from(self, names, targets, for_s=6.0, share=1.0):
        zone = Zone(targets=targets)
        zone.run(5.0, 80.0)

        def behave(name):
            bad = name in names and zone.draw.random() < share
            return None if bad else zone.usual(name)

        zone.behave = behave
        zone.run(for_s, 80.0)
        return zone

    def test_at_most_two_fifths_of_a_service_are_passed_over(self):
        zone = self.bad_from({f"i-{n}" for n in range(1, 7)}, targets=8)
        self.assertLessEqual(len(zone.condemned()), 3)

    def test_with_three_targets_one_may_be_passed_over(self):
        self.assertEqual(self.bad_from({"i-2"}, targets=3).condemned(), {"i-2"})

    def test_with_two_or_one_none_is(self):
        self.assertEqual(self.bad_from({"i-2"}, targets=2).condemned(), set())
        self.assertEqual(self.bad_from({"i-1"}, targets=1).condemned(), set())

    def test_all_bad_alike_are_left_in_use(self):
        names = {f"i-{n}" for n in range(1, 9)}
        zone = self.bad_from(names, targets=8, share=0.5)
        self.assertEqual(zone.condemned(), set())

    def test_a_flow_still_finds_the_last_target_though_it_is_impaired(self):
        zone = self.bad_from({"i-2"}, targets=3)
        for name in ("i-1", "i-3"):
            draining = make_target(name, phase=TargetPhase.DRAINING, revision=20)
            zone.cores[0].on_target(draining, zone.now_s)
        belief = open_flow(zone.cores[0], flow_key(1), zone.now_s)
        self.assertEqual(belief.name, "i-2")


class TestWordsOfOthers(unittest.TestCase):
    def told(self, failed, good=0.0, name="i-3", born_ms=0):
        report = FitnessReport(
            [TargetCounts(name, born_ms, good, failed, 0.0, fresh=1)],
            [ServiceCounts("notes", 100.0 + failed, failed)],
        )
        return report

    def test_the_word_of_one_instance_is_bounded(self):
        lying = self.told(failed=10_000.0)
        honest = self.told(failed=1.0, good=60.0)
        merged = merge_reports([lying, honest]).targets[0]
        self.assertLessEqual(merged.failed, MOST_OF_ONE + 1.0)
        self.assertEqual(merged.instances, 2)

    def test_one_lying_instance_resets_no_flow(self):
        zone = Zone()
        zone.run(5.0, 80.0)
        core = zone.cores[0]
        for _ in range(20):
            zone.now_s += TICK_S
            merged = merge_reports([self.told(failed=10_000.0)])
            core.fitness.receive_zone_report(merged, zone.now_s)
            core.tick(zone.now_s)
        self.assertEqual(take(core, Reset), [])

    def test_one_failure_elsewhere_does_not_confirm_what_one_instance_says(self):
        zone = Zone()
        zone.run(6.0, 80.0)
        core, resets = zone.cores[0], []
        reports = [
            self.told(failed=10.0),
            self.told(failed=1.0, good=8.0),
            self.told(failed=0.0, good=12.0),
        ]
        for _ in range(20):
            zone.now_s += TICK_S
            core.fitness.receive_zone_report(merge_reports(reports), zone.now_s)
            core.tick(zone.now_s)
            resets += take(core, Reset)
        self.assertEqual(zone.condemned(), {"i-3"})
        self.assertEqual(resets, [])

    def test_a_word_on_another_incarnation_counts_for_nothing(self):
        zone = Zone()
        zone.run(5.0, 80.0)
        core = zone.cores[0]
        core.fitness.receive_zone_report(self.told(failed=20.0, born_ms=7), zone.now_s)
        core.tick(zone.now_s)
        self.assertEqual(zone.condemned(), set())

    def test_an_old_word_counts_for_nothing(self):
        zone = Zone()
        zone.run(5.0, 80.0)
        core = zone.cores[0]
        core.fitness.receive_zone_report(self.told(failed=20.0), zone.now_s - 5.0)
        core.tick(zone.now_s)
        self.assertEqual(zone.condemned(), set())


class TestCost(unittest.TestCase):
    def test_all_targets_of_a_service_are_counted_once_for_a_tick(self):
        zone = Zone(targets=60)
        zone.run(4.0, 200.0)
        core, counted = zone.cores[0], []
        samples = core.fitness._samples
        take_sample = samples._take

        def noted(service, now_s):
            counted.append(service)
            return take_sample(service, now_s)

        samples._take = noted
        bad = {"i-3", "i-17", "i-41"}
        zone.behave = lambda name: None if name in bad else zone.usual(name)
        zone.run(2.0, 400.0)
        self.assertEqual(zone.condemned(), bad)
        self.assertLessEqual(len(counted), 2.0 / TICK_S + 1)


class TestParts(unittest.TestCase):
    def test_evidence_is_of_the_difference(self):
        self.assertEqual(evidence_against(0, 10, 0, 100), 0.0)
        self.assertLess(evidence_against(3, 10, 30, 100), 0.1)
        self.assertGreater(evidence_against(10, 10, 20, 100), 7.0)
        self.assertLess(evidence_against(1, 3, 1, 100), 7.0)

    def test_what_is_usual_follows_the_load(self):
        usual = UsualValues(0.001)
        for _ in range(REMEMBERED):
            usual.add(0.01)
        for _ in range(REMEMBERED * 4):
            usual.add(1.0)
        self.assertGreater(usual.quantile(0.5), 0.9)
        self.assertLessEqual(usual.count, REMEMBERED)

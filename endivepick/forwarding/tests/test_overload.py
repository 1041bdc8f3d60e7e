"""Overload of a service is no fault of its targets.

Load pattern: more requests than the slots of all targets serve.  Targets queue up to
eight requests each and shed the rest; when the demand falls, their queues empty at
different moments.  All targets serve throughout, so none of their flows may be reset.
"""

import unittest

from msgspec.structs import replace

from endivepick.forwarding import Fitness, FitnessReport, Reset
from endivepick.forwarding.comparison import ServiceSample, TargetSums
from endivepick.forwarding.fault_confirmation import REPORT_VALID_S
from endivepick.forwarding.fitness_reports import (
    MAX_REPORTED_TARGETS,
    ServiceCounts,
    TargetCounts,
)
from endivepick.forwarding.flows import SEQUENCE_NUMBERS
from endivepick.forwarding.recent_overloads import OVERLOAD_MEMORY_S, RecentOverloads
from endivepick.forwarding.tests.support import (
    IDEMPOTENT_PORT,
    data,
    flow_key,
    make_core,
    make_target,
    open_flow,
    take,
)
from endivepick.forwarding.tests.test_fitness import ANSWER_BYTES, ERROR_BYTES, Zone
from endivepick.forwarding.zone_report import ZoneReport

SLOTS = 2
QUEUE = 8
WORK_S = 0.06
SHED_WAIT_S = 0.4
"""A full target answers 503 only after it has waited for room."""


class SheddingZone(Zone):
    """A target closes the flow of a request that it sheds.

    Its caller acknowledges such an answer with the packet that closes the flow.
    """

    def request(self, core, port=IDEMPOTENT_PORT):
        pending = len(self.events)
        flow = super().request(core, port)
        self.close_after_shed(pending)
        return flow

    def send_on(self, core, flow):
        pending = len(self.events)
        super().send_on(core, flow)
        self.close_after_shed(pending)

    def close_after_shed(self, pending):
        for n, (at_s, core, answer) in enumerate(self.events[pending:], pending):
            before = core.flows.get(answer.flow).acknowledged
            if answer.acknowledged - before == ERROR_BYTES:
                self.events[n] = at_s, core, replace(answer, closing=True)


class QueueingTargets:
    """Targets with slots and a bounded queue; each serves in order of arrival."""

    def __init__(self, zone, work_s):
        self._zone = zone
        self._free_s = {name: [0.0] * SLOTS for name in zone.names}
        self.work_s = dict.fromkeys(zone.names, work_s)

    def answer(self, name):
        """Return the waiting time and the size of an answer."""
        now_s, free_s = self._zone.now_s, self._free_s[name]
        slot = min(range(SLOTS), key=free_s.__getitem__)
        start_s = max(now_s, free_s[slot])
        work_s = self.work_s[name] * self._zone.draw.uniform(0.4, 1.6)
        if start_s - now_s > QUEUE / SLOTS * self.work_s[name]:
            return SHED_WAIT_S, ERROR_BYTES
        free_s[slot] = start_s + work_s
        return free_s[slot] - now_s, ANSWER_BYTES


class TestOverloadedService(unittest.TestCase):
    def setUp(self):
        self.zone = SheddingZone(targets=10, instances=20, work_s=WORK_S)
        self.targets = QueueingTargets(self.zone, WORK_S)
        self.zone.behave = self.targets.answer
        self.served_per_s = 10 * SLOTS / WORK_S

    def run_demand(self, for_s, share):
        """Run a demand that is a share of what all targets serve."""
        self.zone.run(for_s, share * self.served_per_s)

    def test_no_flow_is_reset_during_an_overload_and_as_it_ends(self):
        self.run_demand(4.0, 0.5)
        self.run_demand(5.0, 2.5)
        self.run_demand(4.0, 0.5)
        self.assertEqual(self.zone.resets, [])

    def test_no_target_stays_ejected_while_all_shed(self):
        # The targets that are full first stand out for a moment.
        self.run_demand(4.0, 0.5)
        self.run_demand(5.0, 2.5)
        self.assertEqual(self.zone.ejected(), set())

    def test_targets_with_less_room_than_others_are_not_reset(self):
        # Long flows are spread unevenly, so two targets get more than the others.
        self.targets.work_s |= {"i-3": 1.6 * WORK_S, "i-4": 1.6 * WORK_S}
        self.run_demand(4.0, 0.5)
        self.run_demand(5.0, 2.0)
        self.run_demand(4.0, 0.4)
        self.assertEqual(self.zone.resets, [])

    def test_target_that_stops_answering_during_an_overload_is_ejected(self):
        self.run_demand(4.0, 0.5)
        self.run_demand(3.0, 2.0)
        self.zone.behave = lambda name: (
            None if name == "i-3" else self.targets.answer(name)
        )
        self.run_demand(5.0, 2.0)
        self.assertIs(self.zone.fitness("i-3"), Fitness.IMPAIRED)

    def test_target_that_erred_before_an_overload_stays_ejected(self):
        # It answers at once, so it would attract most of the requests.
        self.run_demand(4.0, 0.5)
        self.zone.behave = lambda name: (
            (0.003, ERROR_BYTES) if name == "i-3" else self.targets.answer(name)
        )
        self.run_demand(2.5, 0.5)
        self.assertEqual(self.zone.ejected(), {"i-3"})
        self.zone.placed.clear()
        self.run_demand(2.0, 2.0)
        self.assertIs(self.zone.fitness("i-3"), Fitness.IMPAIRED)
        self.assertNotIn("i-3", self.zone.placed)


class TestErringTargetsWithoutOverload(unittest.TestCase):
    def test_two_erring_targets_of_five_are_ejected(self):
        zone = Zone(targets=5)
        zone.run(5.0, 200.0)
        zone.behave = lambda name: (
            (0.003, ERROR_BYTES)
            if name in ("i-1", "i-2")
            else zone.draw_normal_answer(name)
        )
        zone.run(4.0, 200.0)
        self.assertEqual(zone.ejected(), {"i-1", "i-2"})
        self.assertEqual(zone.resets, [])


class TestReportedOverload(unittest.TestCase):
    """A zone reports a full target as an overload ends.

    Of its requests a fifth stay unanswered and a third are shed, more than at the other
    targets, while it serves the rest.
    """

    def replay(self, service_counts):
        names = [f"i-{n}" for n in range(1, 11)]
        core = make_core([make_target(name, revision=1) for name in names])
        flows = [flow_key(port) for port in range(1000, 1040)]
        beliefs = [open_flow(core, flow, 0.0) for flow in flows]
        for flow, belief in zip(flows, beliefs, strict=True):
            core.on_packet(data(flow, belief.cookie, data_bytes=0), b"", 0.1)
        full = TargetCounts(
            *("i-3", 0, 58.9, 26.9, 37.3),
            *(30, 32, 20, 26.0),
            capped_overdue=26.0,
        )
        report = FitnessReport([full], [service_counts], instances=32)
        for n in range(20):
            now_s = 6.0 + 0.1 * n
            core.on_zone_report(report, now_s)
            core.tick(now_s)
        return core, take(core, Reset)

    def test_no_flow_of_a_full_target_is_reset(self):
        core, resets = self.replay(ServiceCounts("notes", 1200.0, 300.0, 40.0))
        self.assertEqual(resets, [])
        self.assertIs(core.registry.get("i-3").fitness, Fitness.SOUND)

    def test_flows_of_a_target_that_alone_sheds_are_kept(self):
        # The other targets have room, so new flows pass the full one over.
        core, resets = self.replay(ServiceCounts("notes", 1200.0, 64.2, 26.9))
        self.assertEqual(resets, [])
        self.assertIs(core.registry.get("i-3").fitness, Fitness.IMPAIRED)

    def test_overload_of_an_old_report_ends(self):
        core = make_core([make_target("i-3", revision=1)])
        zone = ZoneReport(core.registry)
        counts = ServiceCounts("notes", 1200.0, 300.0, 40.0)
        zone.update(FitnessReport([], [counts], instances=32), 1.0)
        self.assertTrue(zone.get_sample("notes", 1.0 + REPORT_VALID_S).overloaded)
        self.assertIsNone(zone.get_sample("notes", 1.1 + REPORT_VALID_S))


class TestOverloadedSample(unittest.TestCase):
    def test_sheds_of_a_few_targets_are_no_overload(self):
        bad = [TargetSums(f"i-{n}", 0.0, 8.0, 10.0) for n in range(3)]
        sample = ServiceSample(ServiceCounts("notes", 100.0, 25.0, 0.0), bad)
        self.assertFalse(sample.overloaded)
        self.assertGreater(sample.score_target(bad[0]), 7.0)

    def test_errors_of_slightly_more_than_the_excluded_requests_are_no_overload(self):
        # Targets that answer at once get some requests more than the others.
        bad = [TargetSums(f"i-{n}", 0.0, 10.5, 10.5) for n in range(2)]
        sample = ServiceSample(ServiceCounts("notes", 50.0, 21.0, 0.0), bad)
        self.assertFalse(sample.overloaded)
        self.assertGreater(sample.score_target(bad[0]), 7.0)

    def test_errors_of_more_targets_than_a_report_lists_are_no_overload(self):
        listed = [
            TargetSums(f"i-{n}", 0.0, 8.0, 10.0) for n in range(MAX_REPORTED_TARGETS)
        ]
        counts = ServiceCounts("notes", 1000.0, 30 * 8.0, 0.0)
        self.assertFalse(ServiceSample(counts, listed).overloaded)

    def test_sheds_of_more_targets_than_a_report_lists_are_an_overload(self):
        listed = [
            TargetSums(f"i-{n}", 0.0, 5.0, 10.0) for n in range(MAX_REPORTED_TARGETS)
        ]
        counts = ServiceCounts("notes", 1000.0, 400.0, 0.0)
        self.assertTrue(ServiceSample(counts, listed).overloaded)

    def test_sheds_of_all_targets_are_an_overload(self):
        bad = [TargetSums(f"i-{n}", 2.0, 3.0, 10.0) for n in range(10)]
        sample = ServiceSample(ServiceCounts("notes", 100.0, 50.0, 20.0), bad)
        self.assertTrue(sample.overloaded)

    def test_overload_is_remembered_while_its_counts_fade(self):
        overloads = RecentOverloads()
        start_s = 1.0
        shedding = ServiceSample(ServiceCounts("notes", 100.0, 50.0, 0.0), ())
        calm = ServiceSample(ServiceCounts("notes", 100.0, 0.0, 0.0), ())
        self.assertEqual(overloads.update("notes", (shedding, None), start_s), start_s)
        self.assertEqual(overloads.update("notes", (None, shedding), 2.0), start_s)
        end_s = 2.0 + OVERLOAD_MEMORY_S
        self.assertEqual(overloads.update("notes", (calm,), end_s - 0.1), start_s)
        self.assertIsNone(overloads.update("notes", (calm,), end_s + 0.1))
        self.assertIsNone(overloads.update("alerts", (calm,), 1.0))

    def test_next_overload_has_its_own_start(self):
        overloads = RecentOverloads()
        shedding = ServiceSample(ServiceCounts("notes", 100.0, 50.0, 0.0), ())
        overloads.update("notes", (shedding,), 1.0)
        next_s = 1.1 + OVERLOAD_MEMORY_S
        self.assertEqual(overloads.update("notes", (shedding,), next_s), next_s)


class TestAnswerAcknowledgedByTheLastPacket(unittest.TestCase):
    """Callers with a flow per request acknowledge its answer when they close it."""

    def setUp(self):
        self.core = make_core([make_target("i-1", revision=1)])
        self.flow = flow_key(1000, IDEMPOTENT_PORT)
        self.belief = open_flow(self.core, self.flow, 0.0)
        self.core.on_packet(data(self.flow, self.belief.cookie), b"", 0.01)

    def close(self, acknowledged):
        last = data(self.flow, self.belief.cookie, 401, acknowledged, 0)
        self.core.on_packet(replace(last, closing=True), b"", 0.05)

    def test_answer_counts_as_good(self):
        self.close(acknowledged=500 + ANSWER_BYTES)
        self.assertEqual(self.belief.requests.good, 1.0)
        self.assertEqual(self.belief.progress_s, 0.05)
        self.assertEqual(self.belief.flows, 0)

    def test_late_answer_is_no_failure(self):
        self.core.outlier_detector.requests.record_overdue(
            self.core.flows.get(self.flow), 0.04
        )
        self.close(acknowledged=500 + ANSWER_BYTES)
        self.assertAlmostEqual(self.belief.requests.failed, 0.0, places=2)
        self.assertEqual(self.belief.requests.late, 1.0)

    def test_request_that_is_given_up_stays_unanswered(self):
        self.close(acknowledged=500)
        self.assertEqual(self.belief.requests.total, 0.0)

    def test_answer_is_counted_once_when_the_last_packet_is_repeated(self):
        self.close(acknowledged=500 + ANSWER_BYTES)
        self.close(acknowledged=500 + ANSWER_BYTES)
        self.assertEqual(self.belief.requests.total, 1.0)
        self.assertEqual(self.belief.flows, 0)

    def test_acknowledgement_that_wraps_around_is_an_answer(self):
        near_end = SEQUENCE_NUMBERS - 100
        flow = flow_key(1001, IDEMPOTENT_PORT)
        self.core.on_packet(data(flow, self.belief.cookie, 101, near_end), b"", 0.01)
        last = data(flow, self.belief.cookie, 401, ANSWER_BYTES - 100, 0)
        self.core.on_packet(replace(last, closing=True), b"", 0.05)
        self.assertEqual(self.belief.requests.good, 1.0)

    def test_reset_without_acknowledgement_is_no_answer(self):
        # For half of all sequence numbers, 0 is newer.
        flow = flow_key(1001, IDEMPOTENT_PORT)
        last_half = SEQUENCE_NUMBERS - 1000
        self.core.on_packet(data(flow, self.belief.cookie, 101, last_half), b"", 0.01)
        last = data(flow, self.belief.cookie, 401, 0, 0)
        self.core.on_packet(replace(last, closing=True), b"", 0.05)
        self.assertEqual(self.belief.requests.total, 0.0)
        self.assertIsNone(self.core.flows.get(flow))

    def test_last_packet_of_a_flow_that_began_elsewhere_is_no_answer(self):
        last = data(flow_key(1001), self.belief.cookie, 401, 500 + ANSWER_BYTES, 0)
        self.core.on_packet(replace(last, closing=True), b"", 0.05)
        self.assertEqual(self.belief.requests.total, 0.0)

    def test_last_packet_to_another_target_is_no_answer_of_the_first(self):
        # The caller reused its port, and the new flow was opened elsewhere.
        self.core.on_target(make_target("i-2", revision=20), 0.02)
        other = self.core.registry.get("i-2")
        last = data(self.flow, other.cookie, 401, 500 + ANSWER_BYTES, 0)
        self.core.on_packet(replace(last, closing=True), b"", 0.05)
        self.assertEqual(self.belief.requests.total, 0.0)
        self.assertEqual(other.requests.total, 0.0)
        self.assertEqual(self.belief.flows, 0)
        self.assertEqual(self.belief.busy_flows, 0)


if __name__ == "__main__":
    unittest.main()

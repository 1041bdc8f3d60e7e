"""Targets that lose power at once, each with flows at several instances of a zone."""

import unittest

from endivepick.forwarding import (
    FitnessReport,
    ProbeTarget,
    Reachability,
    Reset,
    merge_reports,
)
from endivepick.forwarding.failure_detector import CONTROL_PROGRESS_S
from endivepick.forwarding.fitness_reports import MAX_REPORTED_TARGETS, SilentTarget
from endivepick.forwarding.mechanisms import Mechanisms
from endivepick.forwarding.tests.support import (
    ALIVE,
    SILENT,
    answer_probes,
    data,
    flow_key,
    make_core,
    make_target,
    open_flow,
    take,
)

REPEAT_S = 0.2


def answered(core, caller_port, now_s):
    """Open a flow of which the first request is answered; return key and belief."""
    flow = flow_key(caller_port)
    belief = open_flow(core, flow, now_s)
    core.on_packet(data(flow, belief.cookie), b"", now_s)
    core.on_packet(data(flow, belief.cookie, 401, 900, 0), b"", now_s + 0.03)
    return flow, belief


class TestToldSilence(unittest.TestCase):
    def make(self, **settings):
        targets = [make_target(f"i-{n}", revision=n) for n in (1, 2)]
        return make_core(targets, **settings)

    def silent_at(self, core, now_s=3.0):
        """Let the core find a target silent; return its flow there and its belief."""
        flow, belief = answered(core, 1, 1.0)
        core.on_packet(data(flow, belief.cookie, 401, 900), b"", now_s - 0.5)
        core.on_packet(data(flow, belief.cookie, 401, 900), b"", now_s - 0.3)
        answer_probes(core, SILENT, now_s)
        self.assertIs(belief.reachability, Reachability.SILENT)
        core.effects.clear()
        return belief

    def with_flows_at(self, name, **settings):
        core = self.make(**settings)
        for port in range(10):
            flow, belief = answered(core, 20 + port, 1.0)
            if belief.name == name:
                core.effects.clear()
                return core, flow, belief
        raise AssertionError(f"no flow at {name}")

    def test_idle_flows_elsewhere_are_reset_before_their_next_request(self):
        first = self.make()
        name = self.silent_at(first).name
        core, flow, _ = self.with_flows_at(name)
        core.on_zone_report(merge_reports([first.seen(3.1)]), 3.1)
        self.assertEqual(answer_probes(core, SILENT, 3.4), [name])
        self.assertIn(flow, [reset.flow for reset in take(core, Reset)])

    def test_a_word_is_checked_once_and_not_believed(self):
        first = self.make()
        name = self.silent_at(first).name
        core, _, belief = self.with_flows_at(name)
        asked = []
        for n in range(20):
            core.on_zone_report(first.seen(3.1), 3.1 + 0.7 * n)
            asked += answer_probes(core, ALIVE, 3.2 + 0.7 * n)
        self.assertEqual(asked, [name])
        self.assertIs(belief.reachability, Reachability.REACHABLE)
        self.assertEqual(take(core, Reset), [])

    def test_without_flows_there_nobody_probes(self):
        first = self.make()
        self.silent_at(first)
        core = self.make()
        core.effects.clear()
        core.on_zone_report(first.seen(3.1), 3.1)
        self.assertEqual(take(core, ProbeTarget), [])

    def test_a_word_on_another_incarnation_counts_for_nothing(self):
        core, _, belief = self.with_flows_at("i-1")
        told = SilentTarget("i-1", belief.target.born_ms + 7)
        core.on_zone_report(FitnessReport([], [], silent=[told]), 3.1)
        self.assertEqual(take(core, ProbeTarget), [])

    def test_it_is_told_while_it_is_new(self):
        core = self.make()
        self.silent_at(core)
        self.assertTrue(core.has_suspects(3.5))
        self.assertTrue(core.seen(3.5).is_urgent)
        self.assertFalse(core.has_suspects(9.0))
        self.assertFalse(core.seen(9.0).is_urgent)

    def test_targets_of_other_zones_are_not_told(self):
        # A zone that is cut off finds those of all others silent.
        core = make_core([make_target(f"i-{n}", "b") for n in range(3)])
        self.silent_at(core)
        self.assertEqual(core.seen(3.1).silent, [])

    def test_words_are_bounded(self):
        silent = [SilentTarget(f"i-{n}", 1) for n in range(1000)]
        merged = merge_reports([FitnessReport([], [], silent=silent)] * 3)
        self.assertEqual(merged.silent, silent[:MAX_REPORTED_TARGETS])

    def test_it_can_be_switched_off(self):
        off = Mechanisms(tell_silence=False)
        first = self.make()
        name = self.silent_at(first).name
        core, _, _ = self.with_flows_at(name, mechanisms=off)
        core.on_zone_report(first.seen(3.1), 3.1)
        self.assertEqual(take(core, ProbeTarget), [])
        told_by = self.make(mechanisms=off)
        self.silent_at(told_by)
        self.assertEqual(told_by.seen(3.1).silent, [])


class TestControl(unittest.TestCase):
    """What a suspected target is compared with while it is probed."""

    def probe_of(self, progress_s, now_s=5.0, both=True):
        core = make_core([make_target(f"i-{n}", revision=n) for n in (1, 2)])
        flow, suspect = answered(core, 1, 1.0)
        port, other = 2, suspect
        while other is suspect:
            other_flow, other = answered(core, port, 1.0)
            port += 1
        if both:
            packet = data(other_flow, other.cookie, 401, 1800, 0)
            core.on_packet(packet, b"", progress_s)
        core.on_packet(data(flow, suspect.cookie, 401, 900), b"", now_s - 0.2)
        core.effects.clear()
        core.on_packet(data(flow, suspect.cookie, 401, 900), b"", now_s)
        (probe,) = take(core, ProbeTarget)
        self.assertEqual(probe.target.name, suspect.name)
        return probe, other

    def test_it_is_one_that_has_just_made_progress(self):
        probe, other = self.probe_of(progress_s=4.5)
        self.assertEqual(probe.control, other.target)

    def test_there_is_none_if_nothing_moved_for_a_while(self):
        probe, _ = self.probe_of(progress_s=5.0 - CONTROL_PROGRESS_S - 0.5)
        self.assertIsNone(probe.control)


if __name__ == "__main__":
    unittest.main()

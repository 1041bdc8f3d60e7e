"""Targets lose power at once, each with flows at several instances of a zone."""

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
    """Open a flow whose first request is answered; return its key and belief."""
    flow = flow_key(caller_port)
    belief = open_flow(core, flow, now_s)
    core.on_packet(data(flow, belief.cookie), b"", now_s)
    core.on_packet(data(flow, belief.cookie, 401, 900, 0), b"", now_s + 0.03)
    return flow, belief


class TestReportedSilence(unittest.TestCase):
    def make(self, **settings):
        targets = [make_target(f"i-{n}", revision=n) for n in (1, 2)]
        return make_core(targets, **settings)

    def silent_at(self, core, now_s=3.0):
        """Let the core find a target silent; return its belief."""
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

    def test_idle_flows_at_other_instances_are_reset_before_their_next_request(self):
        first = self.make()
        name = self.silent_at(first).name
        core, flow, _ = self.with_flows_at(name)
        core.on_zone_report(merge_reports([first.build_report(3.1)]), 3.1)
        self.assertEqual(answer_probes(core, SILENT, 3.4), [name])
        self.assertEqual(take(core, Reset), [])
        core.tick(3.5)
        self.assertEqual(answer_probes(core, SILENT, 3.7), [name])
        self.assertIn(flow, [reset.flow for reset in take(core, Reset)])

    def test_report_is_verified_once_by_a_probe(self):
        first = self.make()
        name = self.silent_at(first).name
        core, _, belief = self.with_flows_at(name)
        probed = []
        for n in range(20):
            core.on_zone_report(first.build_report(3.1), 3.1 + 0.7 * n)
            probed += answer_probes(core, ALIVE, 3.2 + 0.7 * n)
        self.assertEqual(probed, [name])
        self.assertIs(belief.reachability, Reachability.REACHABLE)
        self.assertEqual(take(core, Reset), [])

    def test_instance_without_flows_there_does_not_probe(self):
        first = self.make()
        self.silent_at(first)
        core = self.make()
        core.effects.clear()
        core.on_zone_report(first.build_report(3.1), 3.1)
        self.assertEqual(take(core, ProbeTarget), [])

    def test_report_on_another_incarnation_is_ignored(self):
        core, _, belief = self.with_flows_at("i-1")
        reported = SilentTarget("i-1", belief.target.born_ms + 7)
        core.on_zone_report(FitnessReport([], [], silent=[reported]), 3.1)
        self.assertEqual(take(core, ProbeTarget), [])

    def test_silence_is_reported_while_it_is_recent(self):
        core = self.make()
        self.silent_at(core)
        self.assertTrue(core.has_suspects(3.5))
        self.assertTrue(core.build_report(3.5).is_urgent)
        self.assertFalse(core.has_suspects(9.0))
        self.assertFalse(core.build_report(9.0).is_urgent)

    def test_targets_of_other_zones_are_not_reported(self):
        # A partitioned zone finds all targets of other zones silent.
        core = make_core([make_target(f"i-{n}", "b") for n in range(3)])
        self.silent_at(core)
        self.assertEqual(core.build_report(3.1).silent, [])

    def test_number_of_reported_targets_is_bounded(self):
        silent = [SilentTarget(f"i-{n}", 1) for n in range(1000)]
        merged = merge_reports([FitnessReport([], [], silent=silent)] * 3)
        self.assertEqual(merged.silent, silent[:MAX_REPORTED_TARGETS])

    def test_reports_of_silence_can_be_disabled(self):
        off = Mechanisms(tell_silence=False)
        first = self.make()
        name = self.silent_at(first).name
        core, _, _ = self.with_flows_at(name, mechanisms=off)
        core.on_zone_report(first.build_report(3.1), 3.1)
        self.assertEqual(take(core, ProbeTarget), [])
        reporting = self.make(mechanisms=off)
        self.silent_at(reporting)
        self.assertEqual(reporting.build_report(3.1).silent, [])


class TestControl(unittest.TestCase):
    """Choice of the control that a probe of a suspected target is compared with."""

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

    def test_control_is_a_target_with_recent_progress(self):
        probe, other = self.probe_of(progress_s=4.5)
        self.assertEqual(probe.control, other.target)

    def test_no_control_without_recent_progress(self):
        probe, _ = self.probe_of(progress_s=5.0 - CONTROL_PROGRESS_S - 0.5)
        self.assertIsNone(probe.control)


if __name__ == "__main__":
    unittest.main()

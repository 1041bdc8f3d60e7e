"""Probes of targets that serve may stay unanswered, and must not reset their flows."""

import random
import unittest
from collections import defaultdict

from endivepick.forwarding import (
    FitnessReport,
    Forward,
    ProbeOutcome,
    ProbeResult,
    ProbeTarget,
    Reachability,
    Reset,
    ResetReason,
    TargetPhase,
)
from endivepick.forwarding.fitness_reports import SilentTarget
from endivepick.forwarding.tests.support import (
    ALIVE,
    ONCE_PORT,
    REFUSED,
    SILENT,
    answer_probes,
    data,
    flow_key,
    make_core,
    make_target,
    open_flow,
    take,
)

FIRST_RETRY_S = 0.6
"""Time after which a target whose probe stayed unanswered is probed again."""


def open_idle_flow(core, caller_port, now_s=1.0, port=ONCE_PORT):
    """Open a flow whose first request is answered; return its key and belief."""
    flow = flow_key(caller_port, port)
    belief = open_flow(core, flow, now_s)
    core.on_packet(data(flow, belief.cookie), b"", now_s)
    core.on_packet(data(flow, belief.cookie, 401, 900, 0), b"", now_s + 0.03)
    return flow, belief


def leave(core, name, now_s, revision=20):
    """Let a target drain and leave as planned."""
    draining = make_target(name, phase=TargetPhase.DRAINING, revision=revision)
    core.on_target(draining, now_s - 1.0)
    core.on_target_removed(name, revision + 1, now_s)


class TestLostProbe(unittest.TestCase):
    """Guards against resets after a single unanswered probe of a target that serves."""

    def setUp(self):
        self.core = make_core([make_target(f"i-{n}", revision=n) for n in (1, 2)])

    def leave_opening_unanswered(self):
        """Open idle flows, then one whose next packets pass another instance."""
        flows = dict(open_idle_flow(self.core, port) for port in range(8))
        moved = open_flow(self.core, flow_key(99), 2.0)
        self.core.effects.clear()
        self.core.tick(2.3)
        self.idle = {key for key, belief in flows.items() if belief is moved}
        self.assertTrue(self.idle)
        return moved

    def test_one_unanswered_probe_resets_no_idle_flow(self):
        belief = self.leave_opening_unanswered()
        self.assertEqual(answer_probes(self.core, SILENT, 2.6), [belief.name])
        self.assertEqual(take(self.core, Reset), [])
        self.assertIs(belief.reachability, Reachability.SUSPECT)
        self.core.tick(2.3 + FIRST_RETRY_S)
        self.assertEqual(answer_probes(self.core, ALIVE, 3.0), [belief.name])
        self.assertIs(belief.reachability, Reachability.REACHABLE)

    def test_flows_are_reset_after_a_second_unanswered_probe(self):
        belief = self.leave_opening_unanswered()
        answer_probes(self.core, SILENT, 2.6)
        self.core.effects.clear()
        self.core.tick(2.3 + FIRST_RETRY_S)
        self.assertEqual(answer_probes(self.core, SILENT, 3.2), [belief.name])
        resets = take(self.core, Reset)
        self.assertEqual({reset.flow for reset in resets}, self.idle)
        self.assertEqual({r.reason for r in resets}, {ResetReason.TARGET_SILENT})

    def test_retransmission_and_an_unanswered_probe_are_enough(self):
        flow, belief = open_idle_flow(self.core, 1)
        for now_s in (2.0, 2.2):
            self.core.on_packet(data(flow, belief.cookie, 401, 900), b"", now_s)
        answer_probes(self.core, SILENT, 2.4)
        self.assertIs(belief.reachability, Reachability.SILENT)

    def test_answer_during_the_probe_refutes_its_silence(self):
        flow, belief = open_idle_flow(self.core, 1)
        for now_s in (2.0, 2.2):
            self.core.on_packet(data(flow, belief.cookie, 401, 900), b"", now_s)
        (probe,) = take(self.core, ProbeTarget)
        answered = data(flow, belief.cookie, 701, 1800, 0)
        self.core.on_packet(answered, b"", 2.3)
        self.core.on_probe(ProbeResult(probe.target.name, SILENT), 2.4)
        self.assertIs(belief.reachability, Reachability.REACHABLE)
        self.assertEqual(take(self.core, Reset), [])


class TestDepartedTarget(unittest.TestCase):
    """Guards against probes of living targets after another one left as planned."""

    def setUp(self):
        self.core = make_core([make_target(f"i-{n}", revision=n) for n in range(1, 5)])
        for port in range(24):
            _, self.belief = open_idle_flow(self.core, port)
        self.core.effects.clear()

    def test_silence_of_a_target_that_left_starts_no_other_probe(self):
        leave(self.core, self.belief.name, 3.0)
        self.assertEqual(answer_probes(self.core, SILENT, 3.3), [self.belief.name])
        self.assertEqual(take(self.core, ProbeTarget), [])

    def test_silence_of_a_draining_target_starts_no_other_probe(self):
        name = self.belief.name
        draining = make_target(name, phase=TargetPhase.DRAINING, revision=20)
        self.core.on_target(draining, 2.0)
        self.core.on_hint(name, 3.0)
        for now_s in (3.3, 4.3):
            self.assertEqual(answer_probes(self.core, SILENT, now_s), [name])
            self.core.tick(now_s + FIRST_RETRY_S)
        self.assertEqual(answer_probes(self.core, SILENT, 5.0), [name])

    def test_flows_of_a_target_that_left_are_reset_after_two_silent_probes(self):
        leave(self.core, self.belief.name, 3.0)
        answer_probes(self.core, SILENT, 3.3)
        self.assertEqual(take(self.core, Reset), [])
        self.core.tick(3.4)
        answer_probes(self.core, SILENT, 3.7)
        reasons = {reset.reason for reset in take(self.core, Reset)}
        self.assertEqual(reasons, {ResetReason.TARGET_DEAD})

    def test_target_that_left_during_a_suspicion_is_probed_again(self):
        name = self.belief.name
        self.core.on_hint(name, 2.0)
        answer_probes(self.core, SILENT, 2.3)
        leave(self.core, name, 2.35)
        self.core.tick(2.5)
        self.assertEqual(answer_probes(self.core, SILENT, 2.8), [name])
        reasons = {reset.reason for reset in take(self.core, Reset)}
        self.assertEqual(reasons, {ResetReason.TARGET_DEAD})

    def test_target_that_served_on_after_it_left_and_then_ended(self):
        name = self.belief.name
        leave(self.core, name, 3.0)
        answer_probes(self.core, ALIVE, 3.1)
        self.core.on_hint(name, 5.0)
        answer_probes(self.core, SILENT, 5.3)
        self.core.tick(5.5)
        self.assertEqual(answer_probes(self.core, SILENT, 5.8), [name])
        self.assertNotEqual(take(self.core, Reset), [])

    def test_target_that_was_probed_just_before_it_left(self):
        flow, belief = open_idle_flow(self.core, 99, 2.0)
        leave(self.core, belief.name, 2.4)
        answer_probes(self.core, ALIVE, 2.5)
        for now_s in (2.6, 2.8, 3.0, 3.2, 3.4, 3.6):
            packet = data(flow, belief.cookie, 401, 900)
            verdict = self.core.on_packet(packet, b"", now_s)
            self.core.tick(now_s)
            answer_probes(self.core, SILENT, now_s + 0.15)
        self.assertIsInstance(verdict, Reset)


class ProbedZone:
    """Instances of a zone whose targets accept few connections at the same time.

    Parameters
    ----------
    instances, targets : int
        Numbers of both; each instance has idle flows at all targets.
    accepted : int
        Connections that a target accepts within `WINDOW_S`; it drops further ones.
    """

    WINDOW_S = 0.05
    STEP_S = 0.01
    TIMEOUT_S = 0.2

    def __init__(self, instances=24, targets=8, accepted=8):
        names = [f"i-{n:x}" for n in range(1, targets + 1)]
        entries = [make_target(name, revision=1) for name in names]
        self.cores = [make_core(entries, seed=seed) for seed in range(instances)]
        for core in self.cores:
            for port in range(12 * targets):
                open_idle_flow(core, port)
            core.set_instance_bound(instances)
            core.effects.clear()
        self.draw = random.Random(1)
        self.accepted = accepted
        self.unreachable = set()
        self.connected_s = defaultdict(list)
        self.results = []
        self.resets = []

    def run(self, start_s, for_s):
        """Let probes end and time pass; keep the resets of targets that serve."""
        for step in range(round(for_s / self.STEP_S)):
            now_s = start_s + step * self.STEP_S
            for core in self.cores:
                self.deliver_results(core, now_s)
                if step % 10 == 0:
                    core.tick(now_s)
                self.collect(core, now_s)

    def collect(self, core, now_s):
        """Start the probes that an instance asks for, and keep its resets."""
        for effect in core.effects:
            if isinstance(effect, ProbeTarget):
                self.results.append(self.probe(core, effect, now_s))
            elif isinstance(effect, Reset) and effect.target not in self.unreachable:
                self.resets.append(effect)
        core.effects.clear()

    def probe(self, core, probe, now_s):
        """Return instance, end and result of a probe."""
        delay_s = self.draw.uniform(0.0, probe.spread_s)
        name, at_s = probe.target.name, now_s + delay_s
        recent = [s for s in self.connected_s[name] if abs(s - at_s) < self.WINDOW_S]
        if name in self.unreachable or len(recent) >= self.accepted:
            return core, at_s + self.TIMEOUT_S, ProbeResult(name, SILENT)
        self.connected_s[name].append(at_s)
        return core, at_s + self.STEP_S, ProbeResult(name, ALIVE)

    def deliver_results(self, core, now_s):
        ended = [r for r in self.results if r[0] is core and r[1] <= now_s]
        self.results = [r for r in self.results if r not in ended]
        for _, _, result in ended:
            core.on_probe(result, now_s)


class TestManyProbes(unittest.TestCase):
    """Guards against resets of targets that cannot answer the probes of all instances.

    Each target serves, but its queue of new connections is short.
    """

    def test_target_that_left_as_planned(self):
        zone = ProbedZone()
        zone.unreachable.add("i-1")
        for core in zone.cores:
            leave(core, "i-1", 3.0)
        zone.run(3.0, 2.0)
        self.assertEqual(zone.resets, [])

    def test_entries_that_the_registry_lost(self):
        zone = ProbedZone()
        for core in zone.cores:
            core.on_target_list([], 50, 3.0)
        zone.run(3.0, 1.0)
        for core in zone.cores:
            again = [make_target(f"i-{n:x}", revision=60) for n in range(1, 9)]
            core.on_target_list(again, 60, 4.0)
        zone.run(4.0, 2.0)
        self.assertEqual(zone.resets, [])

    def test_target_that_was_reported_by_mistake(self):
        zone = ProbedZone()
        report = FitnessReport([], [], silent=[SilentTarget("i-1", 0)])
        for core in zone.cores:
            core.on_zone_report(report, 3.0)
        zone.run(3.0, 2.0)
        self.assertEqual(zone.resets, [])

    def test_target_whose_entry_was_removed_while_it_serves(self):
        zone = ProbedZone()
        for core in zone.cores:
            leave(core, "i-1", 3.0)
        zone.run(3.0, 2.0)
        self.assertEqual(zone.resets, [])

    def test_zone_of_many_instances(self):
        zone = ProbedZone(instances=100, targets=2, accepted=16)
        report = FitnessReport([], [], silent=[SilentTarget("i-1", 0)])
        for core in zone.cores:
            core.on_zone_report(report, 3.0)
        zone.run(3.0, 2.0)
        for core in zone.cores:
            core.on_target_list([], 50, 5.0)
        zone.run(5.0, 2.0)
        self.assertEqual(zone.resets, [])

    def test_target_that_lost_power(self):
        zone = ProbedZone()
        zone.unreachable.add("i-1")
        for core in zone.cores:
            core.on_hint("i-1", 3.0)
        zone.run(3.0, 3.0)
        self.assertEqual(zone.resets, [])
        for core in zone.cores:
            belief = core.registry.get("i-1")
            self.assertIs(belief.reachability, Reachability.SILENT)


class TestStoppingInstance(unittest.TestCase):
    """Guards against resets by an instance whose flows go on through others."""

    def setUp(self):
        self.core = make_core([make_target(f"i-{n}", revision=n) for n in (1, 2)])
        for port in range(8):
            self.flow, self.belief = open_idle_flow(self.core, port)
        self.core.effects.clear()

    def probe_in_progress(self):
        """Begin a stop while the target is probed for a caller's retransmission."""
        for now_s in (2.0, 2.2):
            packet = data(self.flow, self.belief.cookie, 401, 900)
            self.core.on_packet(packet, b"", now_s)
        self.core.begin_stop()

    def test_opening_that_goes_on_elsewhere_starts_no_probe(self):
        self.core.begin_stop()
        open_flow(self.core, flow_key(99), 2.0)
        self.core.tick(2.3)
        self.assertEqual(take(self.core, ProbeTarget), [])

    def test_request_that_is_answered_elsewhere_starts_no_probe(self):
        self.core.begin_stop()
        for now_s in (2.0, 2.2):
            packet = data(self.flow, self.belief.cookie, 401, 900)
            self.assertIsInstance(self.core.on_packet(packet, b"", now_s), Forward)
        self.assertEqual(take(self.core, ProbeTarget), [])

    def test_probe_in_progress_resets_no_flow(self):
        for outcome in (SILENT, REFUSED, ProbeOutcome.REPLACED):
            with self.subTest(outcome):
                self.setUp()
                self.probe_in_progress()
                answer_probes(self.core, outcome, 2.5)
                self.assertEqual(take(self.core, Reset), [])

    def test_silent_target_is_not_reported_to_the_zone(self):
        self.probe_in_progress()
        answer_probes(self.core, SILENT, 2.5)
        self.assertIs(self.belief.reachability, Reachability.SILENT)
        self.assertEqual(self.core.build_report(2.6).silent, [])

    def test_report_of_the_zone_makes_no_target_suspect(self):
        self.core.begin_stop()
        report = FitnessReport([], [], silent=[SilentTarget(self.belief.name, 0)])
        self.core.on_zone_report(report, 2.0)
        self.core.tick(2.6)
        self.assertEqual(take(self.core, ProbeTarget), [])
        self.assertIs(self.belief.reachability, Reachability.REACHABLE)

    def test_packet_of_a_flow_of_a_target_that_left_is_answered_by_a_reset(self):
        self.core.begin_stop()
        leave(self.core, self.belief.name, 3.0)
        for now_s in (3.2, 3.6):
            answer_probes(self.core, SILENT, now_s)
            self.core.tick(now_s + 0.2)
        packet = data(self.flow, self.belief.cookie, 401, 900)
        self.assertIsInstance(self.core.on_packet(packet, b"", 4.0), Reset)

    def test_packet_of_a_flow_of_a_dead_target_is_answered_by_a_reset(self):
        self.probe_in_progress()
        answer_probes(self.core, REFUSED, 2.5)
        packet = data(self.flow, self.belief.cookie, 401, 900)
        verdict = self.core.on_packet(packet, b"", 2.6)
        self.assertIsInstance(verdict, Reset)

    def test_target_that_answers_again_is_used_again(self):
        self.probe_in_progress()
        answer_probes(self.core, REFUSED, 2.5)
        self.core.tick(2.5 + FIRST_RETRY_S)
        self.assertEqual(answer_probes(self.core, ALIVE, 3.2), [self.belief.name])
        packet = data(self.flow, self.belief.cookie, 401, 900)
        self.assertIsInstance(self.core.on_packet(packet, b"", 3.3), Forward)

    def test_entry_that_is_removed_or_restarted_resets_no_flow(self):
        name = self.belief.name
        self.core.begin_stop()
        leave(self.core, name, 3.0)
        for now_s in (3.3, 3.7):
            self.assertEqual(answer_probes(self.core, SILENT, now_s), [name])
            self.core.tick(now_s + 0.2)
        self.assertEqual(take(self.core, Reset), [])
        self.core.on_wall_clock(0.0)
        again = make_target(name, revision=40, created=40, born_ms=90_000)
        self.core.on_target(again, 100.0)
        self.assertEqual(take(self.core, Reset), [])


if __name__ == "__main__":
    unittest.main()

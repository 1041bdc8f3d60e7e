"""Targets that start again under their names.

Load pattern: a target's process ends and starts within a second, so that callers hold
flows that the new one does not know; instances hear of it by several ways, at several
times.
"""

import unittest

import msgspec

from endivepick.forwarding import (
    ProbeOutcome,
    ProbeResult,
    ProbeTarget,
    Reachability,
    Reset,
    ResetReason,
    Target,
    TargetPhase,
    TargetState,
)
from endivepick.forwarding.registry import TargetRegistry
from endivepick.forwarding.settings import ForwardingSettings
from endivepick.forwarding.tests.support import (
    ALIVE,
    ONCE_PORT,
    REFUSED,
    SILENT,
    data,
    flow_key,
    make_core,
    make_target,
    open_flow,
    take,
)

EPOCH_S = 1_796_000_000.0
"""Time of day at which the tests' own time is 0."""
CLOCK_DIFFERENCE_S = 3.0


def born_ms(at_s):
    return int((EPOCH_S + at_s) * 1000)


def entry(name, started_s=-100.0, **fields):
    return make_target(name, born_ms=born_ms(started_s), **fields)


class RestartCase(unittest.TestCase):
    def setUp(self):
        self.core = make_core(
            [entry(f"i-{n}", revision=n, created=n) for n in range(1, 4)],
            clock_difference_s=CLOCK_DIFFERENCE_S,
        )
        self.core.on_wall_clock(EPOCH_S)

    def belief(self, name="i-2"):
        return self.core.registry.get(name)

    def open(self, opened_s, caller_port=500, port=ONCE_PORT, name="i-2"):
        """Open a flow, idle at a target since that time; returns its key."""
        cookie, flow = self.belief(name).cookie, flow_key(caller_port, port)
        self.core.on_packet(data(flow, cookie), b"", opened_s)
        self.core.on_packet(data(flow, cookie, 401, 2500, 0), b"", opened_s)
        return flow

    def restart(self, started_s, now_s, revision=20, **fields):
        self.core.effects.clear()
        again = entry("i-2", started_s, revision=revision, created=revision, **fields)
        self.core.on_target(again, now_s)

    def resets(self):
        return [reset.flow for reset in take(self.core, Reset)]


class TestBeliefs(RestartCase):
    def test_nothing_of_the_former_incarnation_counts(self):
        self.open(5.0)
        belief = self.belief()
        for outcome in (SILENT, REFUSED):
            self.core.on_probe(ProbeResult("i-2", outcome, born_ms(-100.0)), 6.0)
        self.restart(19.0, 20.0, cold_s=2.0)
        after = self.belief()
        self.assertIsNot(after, belief)
        self.assertIs(after.reachability, Reachability.REACHABLE)
        self.assertEqual((after.flows, after.busy_flows), (0, 0))
        self.assertEqual(after.cold_until_s, 22.0)
        self.assertIs(after.state, TargetState.READY)

    def test_a_target_that_drained_takes_flows_when_it_has_started_again(self):
        draining = entry("i-2", phase=TargetPhase.DRAINING, revision=15)
        self.core.on_target(draining, 10.0)
        self.core.on_target_removed("i-2", 17, 12.0)
        self.restart(19.0, 20.0)
        names = {open_flow(self.core, flow_key(n), 20.1).name for n in range(40)}
        self.assertIn("i-2", names)

    def test_a_late_word_on_the_former_one_changes_nothing(self):
        self.restart(19.0, 20.0)
        draining = entry("i-2", phase=TargetPhase.DRAINING, revision=15)
        self.core.on_target(draining, 20.1)
        self.core.on_target_removed("i-2", 16, 20.2)
        self.assertIs(self.belief().state, TargetState.READY)
        self.assertEqual(self.belief().target.born_ms, born_ms(19.0))

    def test_the_word_with_the_newer_revision_holds(self):
        self.restart(19.0, 20.0)
        late = entry("i-2", phase=TargetPhase.DRAINING, revision=21)
        self.core.on_target(late, 20.1)
        self.assertEqual(self.belief().target.born_ms, born_ms(-100.0))
        self.assertIs(self.belief().state, TargetState.DRAINING)

    def test_a_lapse_of_the_former_one_ends(self):
        self.core.on_target_removed("i-2", 15, 18.0)
        self.assertIs(self.belief().state, TargetState.LAPSED)
        self.restart(19.0, 20.0)
        self.core.tick(30.0)
        self.assertIs(self.belief().state, TargetState.READY)
        self.assertEqual(self.core.registry.unsettled, [])

    def test_one_that_serves_another_service_now_gets_no_flows_of_the_former(self):
        self.restart(19.0, 20.0, service="packs")
        names = {open_flow(self.core, flow_key(n), 20.1).name for n in range(40)}
        self.assertEqual(names, {"i-1", "i-3"})
        every = self.core.registry.candidates("packs").every
        self.assertEqual([belief.name for belief in every], ["i-2"])

    def test_an_entry_that_names_another_service_gets_no_flows_of_the_former(self):
        moved = make_target("i-2", service="packs", revision=20)
        self.core.on_target(moved, 20.0)
        names = {open_flow(self.core, flow_key(n), 20.1).name for n in range(40)}
        self.assertEqual(names, {"i-1", "i-3"})

    def test_an_entry_that_does_not_say_when_it_started_is_of_the_same_one(self):
        flow = self.open(5.0)
        belief = self.belief()
        self.core.on_target(make_target("i-2", revision=20), 20.0)
        self.assertIs(self.belief(), belief)
        self.assertEqual(belief.target.born_ms, born_ms(-100.0))
        self.assertEqual(self.resets(), [])
        self.assertIsNotNone(self.core.flows.get(flow))


class TestFlows(RestartCase):
    def test_idle_flows_of_the_former_incarnation_are_reset(self):
        flow = self.open(5.0)
        self.restart(19.0, 20.0)
        (reset,) = take(self.core, Reset)
        self.assertEqual((reset.flow, reset.sequence), (flow, 2500))
        self.assertIs(reset.reason, ResetReason.TARGET_RESTARTED)
        self.assertIsNone(self.core.flows.get(flow))

    def test_flows_of_other_targets_are_left_alone(self):
        self.open(5.0, name="i-1")
        self.restart(19.0, 20.0)
        self.assertEqual(self.resets(), [])

    def test_a_flow_that_may_be_open_at_the_new_one_is_left_to_it(self):
        # Opened after the start, before anybody here knew of it.
        flow = self.open(19.5)
        self.restart(19.0, 22.0)
        self.assertEqual(self.resets(), [])
        packet = data(flow, self.belief().cookie, 401, 2500)
        self.core.on_packet(packet, b"", 22.1)
        self.assertEqual(self.belief().flows, 1)
        self.assertIs(self.core.flows.get(flow).belief, self.belief())

    def test_a_store_that_was_away_for_long_resets_no_live_flow(self):
        old, new = self.open(5.0, 1), self.open(25.0, 2)
        self.restart(19.0, 60.0)
        self.assertEqual(self.resets(), [old])
        self.assertIsNotNone(self.core.flows.get(new))

    def test_clocks_that_differ_reset_no_live_flow(self):
        for ahead_s in (-2.9, 2.9):
            self.setUp()
            self.open(19.1)
            self.restart(19.0 + ahead_s, 60.0)
            with self.subTest(ahead_s):
                self.assertEqual(self.resets(), [])

    def test_a_clock_that_jumps_back_here_resets_no_live_flow(self):
        self.open(19.1)
        self.core.on_wall_clock(EPOCH_S - 30.0)
        self.restart(19.0, 60.0)
        self.assertEqual(self.resets(), [])

    def test_without_a_clock_nothing_is_reset(self):
        self.core = make_core([entry("i-2", revision=2)])
        self.open(5.0)
        self.restart(19.0, 20.0)
        self.assertEqual(self.resets(), [])

    def test_a_flow_that_is_not_open_yet_is_left_alone(self):
        self.core = make_core([entry("i-2", revision=2)])
        self.core.on_wall_clock(EPOCH_S)
        open_flow(self.core, flow_key(1), 5.0)
        self.restart(19.0, 20.0)
        self.assertEqual(self.resets(), [])

    def test_closed_flows_of_the_former_one_do_not_count_for_the_new(self):
        flow = self.open(19.5)
        self.restart(19.0, 20.0)
        self.core.flows.end(flow)
        self.assertEqual(self.belief().flows, 0)


class TestProbes(RestartCase):
    def probe(self, outcome, probed_s=-100.0, shown_s=None, now_s=20.5):
        shown_ms = 0 if shown_s is None else born_ms(shown_s)
        result = ProbeResult("i-2", outcome, born_ms(probed_s), shown_ms)
        self.core.on_probe(result, now_s)

    def test_a_probe_of_the_former_one_says_nothing_of_the_new(self):
        self.restart(19.0, 20.0)
        self.open(20.2)
        self.probe(REFUSED)
        self.probe(ProbeOutcome.REPLACED)
        self.assertIs(self.belief().reachability, Reachability.REACHABLE)
        self.assertEqual(self.resets(), [])

    def test_a_probe_names_the_incarnation(self):
        self.open(5.0)
        self.core.on_hint("i-2", 6.0)
        (probe,) = take(self.core, ProbeTarget)
        self.assertEqual(probe.target.born_ms, born_ms(-100.0))

    def test_an_answer_tells_of_a_start_before_the_registry_does(self):
        flow = self.open(5.0)
        self.probe(ALIVE, shown_s=19.0)
        self.assertEqual(self.resets(), [flow])
        self.assertEqual(self.belief().target.born_ms, born_ms(19.0))
        before = self.belief()
        self.restart(19.0, 21.0)
        self.assertIs(self.belief(), before)

    def test_an_answer_keeps_what_the_registry_says(self):
        draining = entry("i-2", phase=TargetPhase.DRAINING, revision=15)
        self.core.on_target(draining, 10.0)
        self.core.on_target_removed("i-3", 16, 18.0)
        self.probe(ALIVE, shown_s=19.0)
        self.assertIs(self.belief().state, TargetState.DRAINING)
        result = ProbeResult("i-3", ALIVE, born_ms(-100.0), born_ms(19.0))
        self.core.on_probe(result, 20.0)
        self.assertIs(self.belief("i-3").state, TargetState.LAPSED)
        self.core.tick(21.0)
        self.assertIs(self.belief("i-3").state, TargetState.GONE)

    def test_an_answer_with_an_older_start_changes_nothing(self):
        self.restart(19.0, 20.0)
        self.probe(ALIVE, probed_s=19.0, shown_s=-100.0)
        self.assertEqual(self.belief().target.born_ms, born_ms(19.0))


class TestTellingOthers(unittest.TestCase):
    def setUp(self):
        settings = ForwardingSettings(zone="a")
        self.feeder, self.fed = TargetRegistry(settings), TargetRegistry(settings)
        for registry in (self.feeder, self.fed):
            registry.apply_list([entry("i-2", revision=2)], 6, 0.0)

    def told(self):
        return self.feeder.news_since(self.fed.revision)

    def test_those_who_are_fed_know_the_new_incarnation(self):
        self.feeder.apply_entry(entry("i-2", 19.0, revision=20), 20.0)
        self.fed.apply_news(self.told(), 20.0)
        self.assertEqual(self.fed.get("i-2").target.born_ms, born_ms(19.0))
        self.assertEqual(len(self.fed.restarts), 1)

    def test_a_feeder_of_the_build_before_tells_no_start(self):
        self.feeder.apply_entry(entry("i-2", 19.0, revision=20), 20.0)
        news = msgspec.to_builtins(self.told())
        news["targets"] = [fields[:-1] for fields in news["targets"]]
        told = msgspec.convert(news, type(self.told()))
        self.assertEqual(told.targets[0].born_ms, 0)
        self.fed.apply_news(told, 20.0)
        self.assertEqual(self.fed.restarts, [])
        # The store tells it, at the same revision.
        self.fed.apply_list([entry("i-2", 19.0, revision=20)], 20, 21.0)
        self.assertEqual(len(self.fed.restarts), 1)

    def test_an_instance_of_the_build_before_reads_what_is_told(self):
        class TargetBefore(msgspec.Struct, array_like=True):
            name: str
            number: int
            service: str

        encoded = msgspec.json.encode(entry("i-2", 19.0))
        self.assertEqual(msgspec.json.decode(encoded, type=TargetBefore).number, 2)
        self.assertEqual(Target.__struct_fields__[-1], "born_ms")

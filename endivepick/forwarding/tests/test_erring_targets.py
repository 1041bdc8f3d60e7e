"""A target answers with errors while callers hold flows to it that live long."""

import unittest

from endivepick.forwarding import (
    FaultConfirmed,
    Fitness,
    FitnessReport,
    Reset,
    ResetReason,
    merge_reports,
)
from endivepick.forwarding.confirmation import ConfirmedFault
from endivepick.forwarding.fitness_reports import (
    POOR_OF_ONE,
    RESET_POOR,
    ServiceCounts,
    TargetCounts,
)
from endivepick.forwarding.tests.support import ONCE_PORT, make_target, take
from endivepick.forwarding.tests.test_fitness import (
    ANSWER_BYTES,
    ERROR_BYTES,
    TICK_S,
    Zone,
)

PER_S = 150.0
ERROR = (0.001, ERROR_BYTES)


class TestCallersOfErringTargets(unittest.TestCase):
    def setUp(self):
        self.zone = Zone(instances=12)
        self.erring = {}
        self.zone.behave = self.behave

    def behave(self, name):
        """Err for the share of the requests that ``erring`` says for each target."""
        errs = self.zone.draw.random() < self.erring.get(name, 0.0)
        return ERROR if errs else self.zone.usual(name)

    def run_with_open_flows(self, for_s):
        self.zone.run_with_open_flows(for_s, PER_S)

    def test_they_are_moved(self):
        self.run_with_open_flows(6.0)
        before = self.zone.flows_at("i-3")
        self.erring = {"i-3": 1.0}
        self.run_with_open_flows(2.5)
        self.assertGreater(before, 50)
        self.assertEqual(self.zone.flows_at("i-3"), 0)
        resets = {(reset.target, reset.reason) for reset in self.zone.resets}
        self.assertEqual(resets, {("i-3", ResetReason.TARGET_IMPAIRED)})

    def test_those_of_several_are_moved(self):
        self.run_with_open_flows(6.0)
        self.erring = {"i-3": 1.0, "i-5": 1.0, "i-6": 1.0}
        self.run_with_open_flows(3.5)
        self.assertEqual([self.zone.flows_at(name) for name in self.erring], [0] * 3)

    def test_requests_in_progress_are_left_to_it(self):
        self.run_with_open_flows(6.0)
        self.zone.run(1.0, PER_S, port=ONCE_PORT)
        # The error comes late enough for requests to be in progress at each moment.
        self.zone.behave = lambda name: (
            (0.15, ERROR_BYTES) if name == "i-3" else self.zone.usual(name)
        )
        for _ in range(40):
            asked = {event[2].flow for event in self.zone.events}
            self.zone.resets.clear()
            self.run_with_open_flows(0.1)
            waiting = {event[2].flow for event in self.zone.events} & asked
            self.assertEqual({r.flow for r in self.zone.resets} & waiting, set())

    def test_those_of_one_that_serves_a_tenth_stay(self):
        # It is overrun: what its queue has no place for is refused at once.
        self.run_with_open_flows(6.0)
        self.erring = {"i-3": 0.9}
        self.run_with_open_flows(8.0)
        self.assertIs(self.zone.fitness("i-3"), Fitness.IMPAIRED)
        self.assertEqual(self.zone.resets, [])

    def test_those_of_one_that_is_overrun_with_long_work_stay(self):
        # A target of two slots answers two requests a second, and refuses the rest.
        self.zone.work_s = 1.0
        self.run_with_open_flows(20.0)
        free_s = [0.0, 0.0]

        def overrun(name):
            if name != "i-3":
                return self.zone.usual(name)
            slot = min(range(2), key=free_s.__getitem__)
            if free_s[slot] > self.zone.now_s:
                return ERROR
            free_s[slot] = self.zone.now_s + 1.0
            return 1.0, ANSWER_BYTES

        self.zone.behave = overrun
        self.run_with_open_flows(12.0)
        self.assertEqual(self.zone.resets, [])

    def test_those_of_one_that_has_just_started_stay(self):
        self.run_with_open_flows(6.0)
        new = make_target("i-9", revision=20)
        self.zone.names.append("i-9")
        for core in self.zone.cores:
            core.on_target(new, self.zone.now_s)
        self.erring = {"i-9": 1.0}
        self.run_with_open_flows(3.0)
        self.assertEqual(self.zone.resets, [])

    def test_those_that_all_refuse_stay(self):
        self.run_with_open_flows(6.0)
        self.erring = dict.fromkeys(self.zone.names, 0.95)
        self.run_with_open_flows(6.0)
        self.assertEqual(self.zone.resets, [])

    def test_one_that_has_recovered_keeps_its_flows(self):
        self.run_with_open_flows(6.0)
        self.erring = {"i-3": 1.0}
        self.run_with_open_flows(6.0)
        self.assertNotEqual(self.zone.resets, [])
        self.erring = {}
        recovered_s = self.zone.now_s
        self.run_with_open_flows(20.0)
        self.assertLess(max(self.zone.reset_s), recovered_s + 4.0)
        self.assertGreater(self.zone.flows_at("i-3"), 0)


class TestLog(unittest.TestCase):
    """Whoever looks for the cause of a reset finds what confirmed it."""

    def test_a_fault_is_noted_once_before_the_flows_are_reset(self):
        zone = Zone(instances=6)
        zone.run_with_open_flows(6.0, PER_S)
        core, effects = zone.cores[0], []
        core.effects = effects_seen = KeptEffects(effects)
        zone.behave = lambda name: ERROR if name == "i-3" else zone.usual(name)
        zone.run_with_open_flows(3.0, PER_S)
        self.assertIs(core.effects, effects_seen)
        confirmed = [e for e in effects if isinstance(e, FaultConfirmed)]
        self.assertEqual([e.fault for e in confirmed], [ConfirmedFault.ERRING])
        self.assertEqual(confirmed[0].target, "i-3")
        self.assertRegex(confirmed[0].reason, r"poor .* at \d+ instances")
        self.assertLess(confirmed[0].told_before_s, 1.0)
        resets = [n for n, e in enumerate(effects) if isinstance(e, Reset)]
        self.assertLess(effects.index(confirmed[0]), resets[0])


class KeptEffects(list):
    """Effects that are still seen after the core's user has taken them out."""

    def __init__(self, kept):
        super().__init__()
        self.kept = kept

    def __iadd__(self, effects):
        self.kept += effects
        return super().__iadd__(effects)


class TestLongAgo(unittest.TestCase):
    def test_short_answers_of_long_ago_are_not_told(self):
        zone = Zone()
        zone.run_with_open_flows(6.0, PER_S)
        zone.behave = lambda name: ERROR if name == "i-3" else zone.usual(name)
        zone.run_with_open_flows(2.0, PER_S)
        core = zone.cores[0]
        told = {t.name: t.poor_run for t in core.fitness.report(zone.now_s).targets}
        self.assertGreaterEqual(told["i-3"], RESET_POOR)
        core.fitness.take_told(merge_reports([core.fitness.report(zone.now_s)]), 14.0)
        later = core.fitness.report(14.0).targets
        self.assertEqual([t.poor_run for t in later if t.name == "i-3"], [0])


class TestAlone(unittest.TestCase):
    """An instance that hears nothing of its zone."""

    def test_flows_are_left_alone(self):
        # It sees a small part of the requests, so a few errors in a row may be chance.
        zone = Zone()
        zone.run_with_open_flows(6.0, PER_S)
        zone.behave = lambda name: ERROR if name == "i-3" else zone.usual(name)
        zone.run_with_open_flows(4.0, PER_S)
        self.assertEqual(zone.condemned(), {"i-3"})
        self.assertEqual(zone.resets, [])


class TestWordsOfOthers(unittest.TestCase):
    def told(self, poor_run, serving=0):
        counts = TargetCounts(
            "i-3", 0, 0.0, 0.0, 9.0, fresh=1, poor_run=poor_run, serving=serving
        )
        return FitnessReport([counts], [ServiceCounts("notes", 100.0, 9.0)])

    def take(self, *reports):
        """Let an instance with open flows hear reports for two seconds."""
        zone = Zone()
        zone.run(6.0, 80.0)
        core = zone.cores[0]
        for _ in range(20):
            zone.now_s += TICK_S
            core.fitness.take_told(merge_reports(reports), zone.now_s)
            core.tick(zone.now_s)
        return take(core, Reset)

    def test_the_word_of_one_instance_is_bounded(self):
        merged = merge_reports([self.told(poor_run=10_000)]).targets[0]
        self.assertEqual(merged.poor_run, POOR_OF_ONE)

    def test_one_lying_instance_resets_no_flow(self):
        self.assertEqual(self.take(self.told(poor_run=10_000)), [])

    def test_several_that_agree_do(self):
        number = -(-RESET_POOR // POOR_OF_ONE)
        reports = [self.told(poor_run=POOR_OF_ONE)] * number
        self.assertNotEqual(self.take(*reports), [])

    def test_one_that_was_served_just_now_speaks_against_it(self):
        reports = [self.told(poor_run=POOR_OF_ONE)] * 6
        self.assertEqual(self.take(*reports, self.told(0, serving=1)), [])

    def test_one_that_tells_of_a_negative_number_is_not_heard(self):
        self.assertEqual(merge_reports([self.told(poor_run=-1)]).targets, [])


if __name__ == "__main__":
    unittest.main()

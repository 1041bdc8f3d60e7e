"""A target answers with errors while callers hold flows to it that live long.

That may be since it is overrun, so its flows stay; new ones pass it over.
"""

import unittest

from endivepick.forwarding import (
    FaultConfirmed,
    Fitness,
    Reset,
)
from endivepick.forwarding.fault_confirmation import ConfirmedFault
from endivepick.forwarding.tests.support import make_target
from endivepick.forwarding.tests.test_fitness import (
    ANSWER_BYTES,
    ERROR_BYTES,
    Zone,
)

PER_S = 150.0
ERROR = (0.001, ERROR_BYTES)


class TestFlowsOfErringTargets(unittest.TestCase):
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

    def test_those_of_one_that_serves_half_stay_where_each_instance_sees_few(self):
        # Of forty instances each sees one answer in seconds, so that the last ones of
        # many are errors though half of all are not.
        self.zone = zone = Zone(targets=12, instances=40)
        zone.behave = self.behave
        zone.run_with_open_flows(8.0, 60.0)
        self.erring = {"i-3": 0.5}
        for _ in range(80):
            self.ask_on_any_flow("i-3")
            zone.run(0.1, 60.0)
        self.assertIs(zone.fitness("i-3"), Fitness.IMPAIRED)
        self.assertEqual(zone.resets, [])

    def ask_on_any_flow(self, name):
        """Send the next request on one idle flow of a target, at any instance."""
        core = self.zone.draw.choice(self.zone.cores)
        flows = core.flows.of_target(core.registry.get(name))
        idle = [flow for flow in flows if flow.busy_since_s is None]
        if idle:
            self.zone.ask_on(core, self.zone.draw.choice(idle))


class TestLog(unittest.TestCase):
    """Whoever looks for the cause of a reset finds what confirmed it."""

    def test_a_fault_is_noted_once_before_the_flows_are_reset(self):
        zone = Zone(instances=6)
        zone.run_with_open_flows(6.0, PER_S)
        core, effects = zone.cores[0], []
        core.effects = effects_seen = KeptEffects(effects)
        zone.behave = lambda name: None if name == "i-3" else zone.usual(name)
        zone.run_with_open_flows(3.0, PER_S)
        self.assertIs(core.effects, effects_seen)
        confirmed = [e for e in effects if isinstance(e, FaultConfirmed)]
        self.assertEqual([e.fault for e in confirmed], [ConfirmedFault.FAILING])
        self.assertEqual(confirmed[0].target, "i-3")
        self.assertRegex(confirmed[0].reason, r"failed.* at \d+ instances")
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


if __name__ == "__main__":
    unittest.main()

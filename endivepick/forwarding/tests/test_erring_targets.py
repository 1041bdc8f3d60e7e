"""A target answers with errors while callers hold long-lived flows to it.

The target may be shedding load, so its flows are kept; new flows avoid it.
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
        """Answer a share of requests with errors, as ``erring`` gives by target."""
        errs = self.zone.draw.random() < self.erring.get(name, 0.0)
        return ERROR if errs else self.zone.draw_normal_answer(name)

    def run_with_open_flows(self, for_s):
        self.zone.run_with_open_flows(for_s, PER_S)

    def test_flows_of_a_target_that_serves_a_tenth_are_kept(self):
        # An overloaded target refuses requests at once when its queue is full.
        self.run_with_open_flows(6.0)
        self.erring = {"i-3": 0.9}
        self.run_with_open_flows(8.0)
        self.assertIs(self.zone.fitness("i-3"), Fitness.IMPAIRED)
        self.assertEqual(self.zone.resets, [])

    def test_flows_of_a_target_overloaded_by_long_requests_are_kept(self):
        # A target with two slots answers two requests per second and sheds the rest.
        self.zone.work_s = 1.0
        self.run_with_open_flows(20.0)
        free_s = [0.0, 0.0]

        def answer_when_free(name):
            if name != "i-3":
                return self.zone.draw_normal_answer(name)
            slot = min(range(2), key=free_s.__getitem__)
            if free_s[slot] > self.zone.now_s:
                return ERROR
            free_s[slot] = self.zone.now_s + 1.0
            return 1.0, ANSWER_BYTES

        self.zone.behave = answer_when_free
        self.run_with_open_flows(12.0)
        self.assertEqual(self.zone.resets, [])

    def test_flows_of_a_target_that_just_started_are_kept(self):
        self.run_with_open_flows(6.0)
        new = make_target("i-9", revision=20)
        self.zone.names.append("i-9")
        for core in self.zone.cores:
            core.on_target(new, self.zone.now_s)
        self.erring = {"i-9": 1.0}
        self.run_with_open_flows(3.0)
        self.assertEqual(self.zone.resets, [])

    def test_flows_are_kept_when_all_targets_shed(self):
        self.run_with_open_flows(6.0)
        self.erring = dict.fromkeys(self.zone.names, 0.95)
        self.run_with_open_flows(6.0)
        self.assertEqual(self.zone.resets, [])

    def test_flows_of_a_target_that_serves_half_are_kept_with_few_observations(self):
        # Each of forty instances observes one answer in several seconds, so the latest
        # answers at many of them are errors although half of all answers are not.
        self.zone = zone = Zone(targets=12, instances=40)
        zone.behave = self.behave
        zone.run_with_open_flows(8.0, 60.0)
        self.erring = {"i-3": 0.5}
        for _ in range(80):
            self.send_on_any_flow("i-3")
            zone.run(0.1, 60.0)
        self.assertIs(zone.fitness("i-3"), Fitness.IMPAIRED)
        self.assertEqual(zone.resets, [])

    def send_on_any_flow(self, name):
        """Send the next request on one idle flow of a target, at any instance."""
        core = self.zone.draw.choice(self.zone.cores)
        flows = core.flows.of_target(core.registry.get(name))
        idle = [flow for flow in flows if flow.busy_since_s is None]
        if idle:
            self.zone.send_on(core, self.zone.draw.choice(idle))


class TestLog(unittest.TestCase):
    """The log shows which confirmed fault caused a reset."""

    def test_fault_is_logged_once_before_flows_are_reset(self):
        zone = Zone(instances=6)
        zone.run_with_open_flows(6.0, PER_S)
        core, effects = zone.cores[0], []
        core.effects = recorded_effects = RecordingEffects(effects)
        zone.behave = lambda name: (
            None if name == "i-3" else zone.draw_normal_answer(name)
        )
        zone.run_with_open_flows(3.0, PER_S)
        self.assertIs(core.effects, recorded_effects)
        confirmed = [e for e in effects if isinstance(e, FaultConfirmed)]
        self.assertEqual([e.fault for e in confirmed], [ConfirmedFault.FAILING])
        self.assertEqual(confirmed[0].target, "i-3")
        self.assertRegex(confirmed[0].reason, r"failed.* at \d+ instances")
        self.assertLess(confirmed[0].told_before_s, 1.0)
        resets = [n for n, e in enumerate(effects) if isinstance(e, Reset)]
        self.assertLess(effects.index(confirmed[0]), resets[0])


class RecordingEffects(list):
    """List of effects that also records them, since the core's user clears the list."""

    def __init__(self, recorded):
        super().__init__()
        self.recorded = recorded

    def __iadd__(self, effects):
        self.recorded += effects
        return super().__iadd__(effects)


if __name__ == "__main__":
    unittest.main()

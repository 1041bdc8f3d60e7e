"""A target becomes slow while callers hold long-lived flows to it."""

import unittest

from endivepick.forwarding import Fitness, ResetReason
from endivepick.forwarding.tests.support import make_target
from endivepick.forwarding.tests.test_fitness import ANSWER_BYTES, WORK_S, Zone

SLOW_FACTOR = 12
"""Factor by which the slow target's service time grows."""
PER_S = 150.0


class TestCallersOfSlowTargets(unittest.TestCase):
    def setUp(self):
        self.zone = Zone(instances=12)
        self.slow = set()
        self.slow_share = 1.0
        self.zone.behave = self.behave

    def behave(self, name):
        wait_s, size = self.zone.draw_normal_answer(name)
        if name in self.slow and self.zone.draw.random() < self.slow_share:
            wait_s = WORK_S * SLOW_FACTOR
        return wait_s, size

    def run_with_open_flows(self, for_s):
        self.zone.run_with_open_flows(for_s, PER_S)

    def test_idle_flows_of_a_slow_target_are_reset(self):
        self.run_with_open_flows(6.0)
        before = self.zone.flows_at("i-3")
        self.slow = {"i-3"}
        self.run_with_open_flows(4.0)
        self.assertGreater(before, 50)
        self.assertEqual(self.zone.flows_at("i-3"), 0)
        resets = {(reset.target, reset.reason) for reset in self.zone.resets}
        self.assertEqual(resets, {("i-3", ResetReason.TARGET_IMPAIRED)})

    def test_requests_in_progress_are_not_reset(self):
        self.run_with_open_flows(6.0)
        self.slow = {"i-3"}
        for _ in range(40):
            asked = {event[2].flow for event in self.zone.events}
            self.zone.resets.clear()
            self.run_with_open_flows(0.1)
            waiting = {event[2].flow for event in self.zone.events} & asked
            self.assertEqual({r.flow for r in self.zone.resets} & waiting, set())

    def test_flows_of_a_partly_slow_target_are_kept(self):
        self.run_with_open_flows(6.0)
        self.slow, self.slow_share = {"i-3"}, 0.4
        self.run_with_open_flows(6.0)
        self.assertIs(self.zone.fitness("i-3"), Fitness.IMPAIRED)
        self.assertEqual(self.zone.resets, [])

    def test_flows_of_a_target_that_just_started_are_kept(self):
        self.run_with_open_flows(6.0)
        new = make_target("i-9", revision=20)
        self.zone.names.append("i-9")
        for core in self.zone.cores:
            core.on_target(new, self.zone.now_s)
        self.slow = {"i-9"}
        self.run_with_open_flows(3.0)
        self.assertEqual(self.zone.resets, [])

    def test_flows_are_kept_when_all_targets_are_slow(self):
        self.run_with_open_flows(6.0)
        self.slow = set(self.zone.names)
        self.run_with_open_flows(6.0)
        self.assertEqual(self.zone.resets, [])

    def test_one_instance_that_observes_all_slow_resets_no_flow(self):
        self.run_with_open_flows(6.0)
        normal, slowed = self.zone.behave, self.zone.cores[0]
        request, send = self.zone.request, self.zone.send_on_open_flows

        def request_with_delay(core, port=None):
            late = core is slowed
            self.zone.behave = (lambda _n: (0.4, ANSWER_BYTES)) if late else normal
            return request(core, port) if port else request(core)

        def send_with_delay(name, count):
            cores = self.zone.cores
            for core in cores:
                self.zone.cores = [core]
                late = core is slowed
                self.zone.behave = (lambda _n: (0.4, ANSWER_BYTES)) if late else normal
                send(name, count)
            self.zone.cores = cores

        self.zone.request, self.zone.send_on_open_flows = (
            request_with_delay,
            send_with_delay,
        )
        self.run_with_open_flows(6.0)
        self.assertEqual(self.zone.resets, [])

    def test_recovered_target_keeps_its_flows(self):
        self.run_with_open_flows(6.0)
        self.slow = {"i-3"}
        self.run_with_open_flows(6.0)
        self.assertNotEqual(self.zone.resets, [])
        self.slow = set()
        recovered_s = self.zone.now_s
        self.run_with_open_flows(20.0)
        self.assertLess(max(self.zone.reset_s), recovered_s + 4.0)
        self.assertGreater(self.zone.flows_at("i-3"), 0)


if __name__ == "__main__":
    unittest.main()

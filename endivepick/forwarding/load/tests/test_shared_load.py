import unittest

from msgspec.structs import replace

from endivepick.forwarding.load.shared_load import FEEDING_SETTLES_S, MERGE_PERIOD_S
from endivepick.forwarding.load.view import OPEN_FLOW_WEIGHT, VIEW_VALID_S
from endivepick.forwarding.tests.support import (
    data,
    flow_key,
    make_configuration,
    make_core,
    make_target,
    open_flow,
)

TICK_S = 0.1
POLL_S = 0.7
FOLLOWERS = 4
FLOWS = 3
"""Flows of each instance, with a request in progress on each."""


class TestZone(unittest.TestCase):
    """Instances of a zone whose callers all wait for one slow target."""

    def setUp(self):
        self.cores = [
            make_core([make_target("i-1")], shares_load=True)
            for _ in range(FOLLOWERS + 1)
        ]
        self.feeder, *self.followers = (core.load for core in self.cores)
        for number, load in enumerate((self.feeder, *self.followers)):
            load.begin(f"10.0.0.{number}:1", 1000)
        self.feeder.set_feeding(True, 0.0)
        self.now_s = 0.0
        self.polled_s = dict.fromkeys(range(FOLLOWERS), 0.0)

    def run_for(self, duration_s, polls=True):
        for _ in range(round(duration_s / TICK_S)):
            self.now_s += TICK_S
            for core in self.cores:
                core.tick(self.now_s)
            for index, polled_s in self.polled_s.items():
                if polls and self.now_s - polled_s >= POLL_S:
                    self.polled_s[index] = self.now_s
                    self.poll(index)

    def poll(self, index):
        follower = self.followers[index]
        number, report = follower.make_report(self.now_s)
        address = follower.sums.own_address
        self.feeder.sums.record(address, number, report, self.now_s)
        load = self.feeder.zone_load(self.now_s)
        if load is not None:
            follower.receive(load, self.now_s)

    def send_requests(self):
        for core in self.cores:
            for port in range(FLOWS):
                key = flow_key(1000 + port)
                belief = open_flow(core, key, self.now_s)
                core.on_packet(data(key, belief.cookie), b"", self.now_s)

    def target_loads(self):
        return [
            core.load.view.target_load(core.registry.get("i-1"), self.now_s)
            for core in self.cores
        ]

    def test_all_instances_learn_the_load_of_all(self):
        self.run_for(1.0)
        self.send_requests()
        self.run_for(8.0)
        flows = len(self.cores) * FLOWS
        for load in self.target_loads():
            self.assertAlmostEqual(load, flows * (1 + OPEN_FLOW_WEIGHT), delta=0.1)

    def test_polls_between_ticks_do_not_keep_a_feeder_from_its_sums(self):
        self.run_for(FEEDING_SETTLES_S)
        for _ in range(30):
            self.now_s += MERGE_PERIOD_S
            self.feeder.zone_load(self.now_s)
            self.feeder.tick(self.now_s + TICK_S)
        self.assertIsNotNone(self.target_loads()[0])

    def test_followers_of_a_lost_feeder_know_nothing(self):
        self.run_for(3.0)
        self.assertNotIn(None, self.target_loads())
        self.run_for(VIEW_VALID_S + POLL_S, polls=False)
        self.assertEqual(self.target_loads()[1:], [None] * FOLLOWERS)

    def test_placement_counts_until_a_later_report_shows_it(self):
        self.run_for(3.0)
        core, load = self.cores[1], self.followers[0]
        load.view.record_placement(core.registry.get("i-1"), self.now_s)
        self.poll(0)
        self.assertEqual(self.target_loads()[1], 1.0)
        self.run_for(2 * POLL_S)
        self.assertEqual(self.target_loads()[1], 0.0)

    def test_numbers_go_on_when_a_follower_becomes_a_feeder(self):
        before, _ = self.followers[0].make_report(1.0)
        self.followers[0].set_feeding(True, 1.0)
        self.followers[0].begin("10.0.0.1:1", 500)
        after, _ = self.followers[0].make_report(1.0)
        self.assertGreater(after, before)


class TestRequestsWithoutAnAnswer(unittest.TestCase):
    """A target resets flows at their callers, whose requests stay in progress here."""

    AIM_S = 0.4

    def test_requests_are_no_load_after_twice_their_aim(self):
        core = make_core([make_target("i-1")], shares_load=True)
        configuration = make_configuration(revision=2, version=8)
        routes = tuple(
            replace(route, aim_s=self.AIM_S) for route in configuration.routes
        )
        core.on_configuration(replace(configuration, routes=routes), 0.0)
        key = flow_key(1000)
        belief = open_flow(core, key, 0.0)
        core.on_packet(data(key, belief.cookie), b"", 0.0)
        core.tick(2 * self.AIM_S - 0.01)
        self.assertEqual(belief.stalled_flows, 0)
        core.tick(2 * self.AIM_S)
        self.assertEqual((belief.busy_flows, belief.stalled_flows), (1, 1))
        core.on_packet(data(key, belief.cookie, 401, 900), b"", 1.0)
        self.assertEqual((belief.busy_flows, belief.stalled_flows), (1, 0))


if __name__ == "__main__":
    unittest.main()

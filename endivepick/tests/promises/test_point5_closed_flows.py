"""Point 5: what an owner has forgotten never runs again; idle flows it keeps."""

import unittest
from dataclasses import replace

from endivepick.tests.promises._fault_injection import (
    EXPORTS,
    SESSIONS,
    DisturbedTestCase,
)
from endivepick.tests.promises._waiting import in_thread, wait

FORGET_AFTER_S = 1
"""Age at which owners forget closed flows, in seconds; 60 in use."""


class TestClosedFlows(DisturbedTestCase):
    @classmethod
    def setUpClass(cls):
        groups = cls.settings.instance_settings | {
            "flow": {"unacknowledged_s": FORGET_AFTER_S}
        }
        cls.settings = replace(cls.settings, instance_settings=groups)
        super().setUpClass()

    def setUp(self):
        super().setUp()
        self.owner = self.owner_of(SESSIONS)
        self.caller = self.new_raw_caller()

    def run_and_close(self, *services):
        """Return requests that ran, of flows that were closed."""
        flows = [self.caller.open(service) for service in services]
        requests = [self.caller.request(flow) for flow in flows]
        self.wait_words(self.caller, requests)
        for flow in flows:
            self.caller.close_flow(flow)
        return requests

    def wait_forgotten(self, requests):
        """Send copies until the owners know nothing of them any more."""

        def forgotten():
            self.caller.send(requests)
            return all(self.caller.reissued(one.flow) for one in requests)

        wait(forgotten, "owners to forget closed flows")

    def assert_ran_once(self, requests):
        self.assert_promises()
        runs = self.runs()
        self.assertEqual([runs[one.echo] for one in requests], [1] * len(requests))

    def test_copies_from_before_the_close_until_long_after_it(self):
        requests = self.run_and_close(SESSIONS, EXPORTS, SESSIONS, EXPORTS)
        self.wait_forgotten(requests)
        self.assert_ran_once(requests)

    def test_request_that_arrives_when_its_flow_is_closed_and_forgotten(self):
        flow = self.caller.open(SESSIONS)
        late = self.caller.request(flow)
        self.caller.close_flow(flow)
        self.wait_forgotten(self.run_and_close(SESSIONS))
        self.assert_promises()
        self.assertEqual(self.runs()[late.echo], 0)
        self.assertTrue(self.caller.reissued(flow))

    def test_copies_after_the_owner_has_left_and_come_back(self):
        requests = self.run_and_close(SESSIONS, SESSIONS)
        self.begin_stop(self.owner)
        self.caller.send(requests, copies=3)
        self.assertEqual(self.finish_stop(self.owner), 0)
        self.assert_ran_once(requests)
        in_thread(self.cluster.start_instances, [self.owner])
        self.assert_ran_once(requests)

    def test_copies_after_the_owner_was_killed_and_started_again(self):
        requests = self.run_and_close(SESSIONS, SESSIONS)
        self.wait_forgotten(requests)
        in_thread(self.cluster.kill_instance, self.owner, listed=True)
        in_thread(self.cluster.start_instance, self.owner)
        self.assert_ran_once(requests)

    def test_binding_that_a_relay_drew_is_forgotten_too(self):
        requests = self.run_and_close(SESSIONS)
        self.wait_forgotten(requests)
        [flow] = [self.caller.renewed(one.flow) for one in requests]
        again = self.caller.request(flow)
        self.wait_words(self.caller, [again])
        self.caller.close_flow(flow)
        self.wait_forgotten([again])
        self.assert_ran_once([*requests, again])

    def test_idle_flows_outlive_the_planned_stop_of_their_owner(self):
        library = self.new_caller()
        used, unused = self.open(library, SESSIONS), self.open(library, SESSIONS)
        self.assert_whole(self.send(used))
        self.wait_forgotten(self.run_and_close(SESSIONS))
        self.begin_stop(self.owner)
        self.assertEqual(self.finish_stop(self.owner), 0)
        for flow in (used, unused):
            self.assert_whole(self.send(flow))
        self.assert_promises()


if __name__ == "__main__":
    unittest.main()

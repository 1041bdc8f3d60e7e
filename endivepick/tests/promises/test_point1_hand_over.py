"""Point 1: chained handovers, interrupted ones, and those to a failing successor."""

import unittest
from dataclasses import replace

from returns.result import Success

from endivepick.core.rendezvous import owner
from endivepick.tests.promises._planned_change import (
    SESSIONS,
    PlannedChangeTestCase,
    with_target_slots,
)
from endivepick.tests.promises._waiting import call_in_thread, wait
from standins.cluster import ClusterSettings
from standins.jsonlines import read_lines
from standins.shapes import SMALL, InstancePlan

FULL_LOSS = {"loss": 1.0}


class TestHandOver(PlannedChangeTestCase):
    """Uses four instances, so that one can be a relay that holds none of the flows."""

    settings = ClusterSettings(
        replace(
            with_target_slots(SMALL),
            instances=(*SMALL.instances, InstancePlan("south-2", "south", "127.2.0.2")),
        ),
        faults=True,
        instance_settings={
            "flow": {"drain_timeout_s": 9.0},
            "log": {"level": "debug"},
        },
    )

    def setUp(self):
        super().setUp()
        self.owner = self.owner_of(SESSIONS)
        self.flows = [self.open(SESSIONS) for _ in range(8)]
        self.reader = self.stream(self.flows[0])
        self.assert_answered([self.send(flow) for flow in self.flows])

    def drop_packets_to_callers(self):
        """Drop the successors' packets to callers, so that callers use old tokens."""
        call_in_thread(lambda: self.cluster.control_fabric(to_callers=FULL_LOSS))
        self.addCleanup(self.cluster.control_fabric, to_callers=None)

    def stop_packet_loss(self):
        call_in_thread(lambda: self.cluster.control_fabric(to_callers=None))

    def assert_flows_established(self):
        """Check all flows through different relays, with their old tokens first."""
        relays = sorted(self.cluster.instances)
        for number, relay in enumerate(relays):
            self.route_callers_to([relay])
            flows = self.flows[number :: len(relays)]
            self.assert_answered([self.send(flow) for flow in flows])
        self.route_callers_to(None)
        self.assert_stream_continues(self.reader)

    def route_callers_to(self, names):
        call_in_thread(lambda: self.cluster.control_fabric(only_instances=names))
        self.addCleanup(self.cluster.control_fabric, only_instances=None)

    def others(self):
        return [name for name in self.cluster.instances if name != self.owner]

    def begin_stop_and_wait_for_successor(self, flows):
        """Begin the stop and return the instance that took over ``flows`` flows."""
        # The owner is left out, since it may end before its status can be read.
        before = self.flows_held(self.others())

        def successors():
            now = self.flows_held(self.others())
            return [name for name in now if now[name] >= before[name] + flows]

        self.begin_stop(self.owner)
        return wait(
            successors,
            f"one successor to hold {flows} flows more than {before}",
            lambda: self.flows_held(self.others()),
        )[0]

    def chosen_successor(self):
        """Return the instance to which the owner has sent flows, received or not."""
        lines = read_lines(self.cluster.instances[self.owner].log)
        sent = [line["peer"] for line in lines if line["event"] == "transfer_sent"]
        return sent[0] if sent else ""

    def cut(self, name, both_ways=True):
        """Cut the link from an instance to the owner, by default in both directions."""
        ways = [(name, self.owner), (self.owner, name)]
        for source, other in ways[: 1 + both_ways]:
            call_in_thread(
                lambda source=source, other=other: self.cluster.faults.add_rule(
                    {"type": "cut"}, source=source, route=f"peer:{other}"
                )
            )
        self.addCleanup(self.cluster.heal)

    def heal(self):
        call_in_thread(self.cluster.heal)

    # Chained handovers.

    def test_chain_of_successors_that_leave_at_once(self):
        self.drop_packets_to_callers()
        first = self.begin_stop_and_wait_for_successor(len(self.flows))
        self.begin_stop(first)
        self.assertEqual(self.finish_stop(self.owner), 0)
        self.assertEqual(self.finish_stop(first), 0)
        self.stop_packet_loss()
        self.assert_flows_established()

    def test_chain_while_the_first_giver_waits_for_a_request(self):
        long = self.send(self.flows[1], work_ms=4000)
        self.wait_running([long])
        self.drop_packets_to_callers()
        first = self.begin_stop_and_wait_for_successor(len(self.flows) - 1)
        self.begin_stop(first)
        self.assertEqual(self.finish_stop(first), 0)
        self.stop_packet_loss()
        self.assert_flows_established()
        self.assert_answered([long])
        self.assertEqual(self.finish_stop(self.owner), 0)
        self.assert_flows_established()

    def test_zone_replaced_whole(self):
        zone = self.cluster.instances[self.owner].plan.zone
        names = [n for n, i in self.cluster.instances.items() if i.plan.zone == zone]
        self.addCleanup(self.start_missing_instances)
        works = [self.send(flow, work_ms=1500) for flow in self.flows]
        self.wait_running(works)
        for name in names:
            self.begin_stop(name)
        for name in names:
            self.assertEqual(self.finish_stop(name), 0)
        self.start_missing_instances()
        self.assert_answered(works)
        self.assert_flows_established()

    # Interrupted handovers.

    def test_cut_hand_over_goes_on_when_the_link_heals(self):
        for name in self.others():
            self.cut(name)
        self.begin_stop(self.owner)
        wait(self.chosen_successor, "flows to be sent")
        self.heal()
        self.assertEqual(self.finish_stop(self.owner), 0)
        self.assert_flows_established()

    def test_cut_hand_over_goes_on_over_a_third_instance(self):
        first = owner(SESSIONS, self.others())
        self.cut(first)
        self.begin_stop(self.owner)
        self.assertEqual(wait(self.chosen_successor, "flows to be sent"), first)
        self.assertEqual(self.finish_stop(self.owner), 0)
        self.assert_flows_established()

    def test_cut_answer_of_the_successor_loses_no_flow(self):
        first = owner(SESSIONS, self.others())
        self.cut(first, both_ways=False)
        self.drop_packets_to_callers()
        self.begin_stop(self.owner)
        self.assertEqual(wait(self.chosen_successor, "flows to be sent"), first)
        self.assertEqual(self.finish_stop(self.owner), 0)
        self.stop_packet_loss()
        self.assert_flows_established()

    def test_owner_cut_off_for_good_ends_and_its_flows_go_on(self):
        for name in self.others():
            self.cut(name)
        self.begin_stop(self.owner)
        works = [self.send(flow, work_ms=500) for flow in self.flows]
        self.finish_stop(self.owner)
        self.assert_recovered_after_failure(works)

    def test_successor_that_dies_half_way(self):
        for name in self.others():
            call_in_thread(self.cluster.freeze_instance, name)
        self.begin_stop(self.owner)
        first = wait(self.chosen_successor, "flows to be sent")
        works = [self.send(flow) for flow in self.flows]
        call_in_thread(self.cluster.kill_instance, first)
        for name in self.others():
            call_in_thread(self.cluster.thaw_instance, name)
        self.assertEqual(self.finish_stop(self.owner), 0)
        self.assert_recovered_after_failure(works)

    def assert_recovered_after_failure(self, works):
        """Check flows that may have a new binding after an unplanned failure.

        Each request ran at most once, whatever its outcome. New idempotent requests
        are answered at once, and after them any other request.
        """
        for work in works:
            work.pending.result()
        runs = self.runs()
        for work in works:
            self.assertLessEqual(len(runs.get(work.echo, [])), 1, work.echo)
        for work in [self.send(flow, idempotent=True) for flow in self.flows]:
            self.assertIsInstance(work.pending.result(), Success)
        self.assert_flows_established()


if __name__ == "__main__":
    unittest.main()

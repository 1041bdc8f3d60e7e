"""Point 1: hand-overs in chains, cut off half way, and to a successor that dies."""

import unittest
from dataclasses import replace

from returns.result import Success

from endivepick.core.rendezvous import owner
from endivepick.tests.promises._planned_change import (
    SESSIONS,
    PlannedChangeTestCase,
    roomy,
)
from endivepick.tests.promises._waiting import in_thread, wait
from standins.cluster import ClusterSettings
from standins.jsonlines import read_lines
from standins.shapes import SMALL, InstancePlan

DEAF = {"loss": 1.0}


class TestHandOver(PlannedChangeTestCase):
    """Four instances, so that one can be a relay that holds none of the flows."""

    settings = ClusterSettings(
        replace(
            roomy(SMALL),
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

    def deafen_callers(self):
        """Let callers miss the successors' words, so that they use old tokens."""
        in_thread(lambda: self.cluster.control_fabric(to_callers=DEAF))
        self.addCleanup(self.cluster.control_fabric, to_callers=None)

    def hear(self):
        in_thread(lambda: self.cluster.control_fabric(to_callers=None))

    def assert_established(self):
        """Check all flows, each first over another instance, with its old token."""
        relays = sorted(self.cluster.instances)
        for number, relay in enumerate(relays):
            self.spray_over([relay])
            flows = self.flows[number :: len(relays)]
            self.assert_answered([self.send(flow) for flow in flows])
        self.spray_over(None)
        self.assert_goes_on(self.reader)

    def spray_over(self, names):
        in_thread(lambda: self.cluster.control_fabric(only_instances=names))
        self.addCleanup(self.cluster.control_fabric, only_instances=None)

    def others(self):
        return [name for name in self.cluster.instances if name != self.owner]

    def begin_and_wait_for_taker(self, flows):
        """Begin the stop; return who holds so many flows more than before."""
        # The owner itself may have ended before it could be asked.
        before = self.flows_held(self.others())

        def takers():
            now = self.flows_held(self.others())
            return [name for name in now if now[name] >= before[name] + flows]

        self.begin_stop(self.owner)
        return wait(
            takers,
            f"one successor to hold {flows} flows more than {before}",
            lambda: self.flows_held(self.others()),
        )[0]

    def named_successor(self):
        """Return to whom the owner has sent flows, whether they arrived or not."""
        lines = read_lines(self.cluster.instances[self.owner].log)
        sent = [line["peer"] for line in lines if line["event"] == "transfer_sent"]
        return sent[0] if sent else ""

    def cut(self, name, both_ways=True):
        """Cut the link from an instance to the owner, and back."""
        ways = [(name, self.owner), (self.owner, name)]
        for source, other in ways[: 1 + both_ways]:
            in_thread(
                lambda source=source, other=other: self.cluster.faults.add_rule(
                    {"type": "cut"}, source=source, route=f"peer:{other}"
                )
            )
        self.addCleanup(self.cluster.heal)

    def heal(self):
        in_thread(self.cluster.heal)

    # Chains.

    def test_chain_of_successors_that_leave_at_once(self):
        self.deafen_callers()
        first = self.begin_and_wait_for_taker(len(self.flows))
        self.begin_stop(first)
        self.assertEqual(self.finish_stop(self.owner), 0)
        self.assertEqual(self.finish_stop(first), 0)
        self.hear()
        self.assert_established()

    def test_chain_while_the_first_giver_waits_for_a_request(self):
        long = self.send(self.flows[1], work_ms=4000)
        self.wait_running([long])
        self.deafen_callers()
        first = self.begin_and_wait_for_taker(len(self.flows) - 1)
        self.begin_stop(first)
        self.assertEqual(self.finish_stop(first), 0)
        self.hear()
        self.assert_established()
        self.assert_answered([long])
        self.assertEqual(self.finish_stop(self.owner), 0)
        self.assert_established()

    def test_zone_replaced_whole(self):
        zone = self.cluster.instances[self.owner].plan.zone
        names = [n for n, i in self.cluster.instances.items() if i.plan.zone == zone]
        self.addCleanup(self.start_missing)
        works = [self.send(flow, work_ms=1500) for flow in self.flows]
        self.wait_running(works)
        for name in names:
            self.begin_stop(name)
        for name in names:
            self.assertEqual(self.finish_stop(name), 0)
        self.start_missing()
        self.assert_answered(works)
        self.assert_established()

    # Hand-overs cut off half way.

    def test_cut_hand_over_goes_on_when_the_link_heals(self):
        for name in self.others():
            self.cut(name)
        self.begin_stop(self.owner)
        wait(self.named_successor, "flows to be sent")
        self.heal()
        self.assertEqual(self.finish_stop(self.owner), 0)
        self.assert_established()

    def test_cut_hand_over_goes_on_over_a_third_instance(self):
        first = owner(SESSIONS, self.others())
        self.cut(first)
        self.begin_stop(self.owner)
        self.assertEqual(wait(self.named_successor, "flows to be sent"), first)
        self.assertEqual(self.finish_stop(self.owner), 0)
        self.assert_established()

    def test_cut_answer_of_the_successor_loses_no_flow(self):
        first = owner(SESSIONS, self.others())
        self.cut(first, both_ways=False)
        self.deafen_callers()
        self.begin_stop(self.owner)
        self.assertEqual(wait(self.named_successor, "flows to be sent"), first)
        self.assertEqual(self.finish_stop(self.owner), 0)
        self.hear()
        self.assert_established()

    def test_owner_cut_off_for_good_ends_and_its_flows_go_on(self):
        for name in self.others():
            self.cut(name)
        self.begin_stop(self.owner)
        works = [self.send(flow, work_ms=500) for flow in self.flows]
        self.finish_stop(self.owner)
        self.assert_survived_a_loss(works)

    def test_successor_that_dies_half_way(self):
        for name in self.others():
            in_thread(self.cluster.freeze_instance, name)
        self.begin_stop(self.owner)
        first = wait(self.named_successor, "flows to be sent")
        works = [self.send(flow) for flow in self.flows]
        in_thread(self.cluster.kill_instance, first)
        for name in self.others():
            in_thread(self.cluster.thaw_instance, name)
        self.assertEqual(self.finish_stop(self.owner), 0)
        self.assert_survived_a_loss(works)

    def assert_survived_a_loss(self, works):
        """Check flows that may have a new binding after an unplanned failure.

        Each request ran at most once, whatever its end; idempotent ones are
        answered at once, and after them any others.
        """
        for work in works:
            work.pending.result()
        runs = self.runs()
        for work in works:
            self.assertLessEqual(len(runs.get(work.echo, [])), 1, work.echo)
        for work in [self.send(flow, idempotent=True) for flow in self.flows]:
            self.assertIsInstance(work.pending.result(), Success)
        self.assert_established()


if __name__ == "__main__":
    unittest.main()

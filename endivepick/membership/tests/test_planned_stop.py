import unittest

from endivepick.membership import (
    LeaveRequested,
    ListedInstance,
    MembershipSettings,
    PeerState,
    Send,
)
from endivepick.membership._simulated_fleet import SimulatedFleet
from endivepick.membership.peer_messages import (
    LeaveWish,
)
from endivepick.membership.tests._fleet import (
    SETTINGS,
    all_see_live_count,
    count_actions,
    start_fleet,
)


class PlannedStopTest(unittest.TestCase):
    def test_leaving_instance_takes_no_role_and_is_not_dead(self):
        fleet = start_fleet(36, loss=0.05)
        fleet.apply_actions("entry-3", fleet.nodes["entry-3"].leave(fleet.now_s))
        fleet.run_until(lambda: all_see_live_count(fleet, 35), 10)
        for node in fleet.nodes.values():
            self.assertIs(node.view()["entry-3"].state, PeerState.LEAVING)
        fleet.run(20)
        fleet.apply_actions("entry-3", fleet.nodes["entry-3"].stop(fleet.now_s))
        fleet.kill("entry-3")
        took_s = fleet.run_until(
            lambda: all(
                node.view()["entry-3"].state is PeerState.DEAD
                for node in fleet.nodes.values()
            ),
            10,
        )
        self.assertLess(took_s, SETTINGS.suspect_min_s)

    def test_platform_can_ask_to_leave(self):
        fleet = start_fleet()
        fleet.run(10)
        fleet.deliver_list(age_s=1.0, leaving=("entry-3",))
        self.assertEqual(count_actions(fleet, LeaveRequested), 1)
        self.assertTrue(all_see_live_count(fleet, 8) or "entry-3" in fleet.nodes)
        self.assertNotIn("entry-3", fleet.nodes["entry-0"].live_names())

    def test_reader_of_the_list_notifies_a_leaving_peer(self):
        fleet = start_fleet()
        fleet.run(10)
        entries = [
            ListedInstance(name, me.zone, me.peer_address, name == "entry-3")
            for name, me in fleet.identities.items()
        ]
        for _ in range(2):
            list_actions = fleet.nodes["entry-0"].on_instance_list(fleet.now_s, entries)
            fleet.apply_actions("entry-0", list_actions)
            fleet.run(1)
        wishes = [
            (name, action)
            for _, name, action in fleet.actions
            if isinstance(action, LeaveRequested)
        ]
        self.assertEqual([name for name, _ in wishes], ["entry-3"])
        notifications = [
            action.message
            for _, _, action in fleet.actions
            if isinstance(action, Send) and isinstance(action.message, LeaveWish)
        ]
        self.assertEqual(
            notifications, [LeaveWish(fleet.identities["entry-3"].incarnation)]
        )

    def test_leave_wish_for_an_earlier_incarnation_is_ignored(self):
        fleet = start_fleet()
        node = fleet.nodes["entry-0"]
        own = fleet.identities["entry-0"].incarnation
        self.assertEqual(node.on_message(fleet.now_s, "entry-1", 1, LeaveWish(7)), [])
        wished = node.on_message(fleet.now_s, "entry-1", 1, LeaveWish(own))
        self.assertEqual(wished, [LeaveRequested()])

    def test_stale_list_does_not_stop_a_new_incarnation(self):
        fleet = start_fleet()
        fleet.run(5)
        fleet.add("entry-3", "fukuoka", generation=2)
        fleet.run(5)
        fleet.deliver_list(age_s=8.0, leaving=("entry-3",))
        self.assertEqual(count_actions(fleet, LeaveRequested), 0)
        self.assertIn("entry-3", fleet.nodes["entry-0"].live_names())

    def test_joining_instance_takes_no_role_until_it_is_ready(self):
        fleet = start_fleet()
        fleet.add("entry-9", "fukuoka", ready=False)
        fleet.deliver_list()
        fleet.run(5)
        self.assertTrue(fleet.nodes["entry-9"].joined)
        self.assertTrue(all_see_live_count(fleet, 9))
        fleet.apply_actions("entry-9", fleet.nodes["entry-9"].set_ready(fleet.now_s))
        fleet.run_until(lambda: all_see_live_count(fleet, 10), 10)


class HandOverTest(unittest.TestCase):
    def hand_over(self, fleet, source, receiver, service="notes"):
        to = fleet.identities[receiver]
        actions = fleet.nodes[source].announce_hand_over(
            service, receiver, to.incarnation
        )
        fleet.apply_actions(source, actions)
        fleet.run(5)

    def test_chains_reach_everybody_and_those_who_join_later(self):
        fleet = start_fleet(loss=0.05)
        self.hand_over(fleet, "entry-0", "entry-1")
        self.hand_over(fleet, "entry-1", "entry-2")
        fleet.add("entry-9", "fukuoka")
        fleet.deliver_list()
        late = fleet.nodes["entry-9"]
        fleet.run_until(lambda: all_see_live_count(fleet, 10) and late.joined, 10)
        first, last = fleet.identities["entry-0"], fleet.identities["entry-2"]
        for node in fleet.nodes.values():
            self.assertEqual(
                node.find_successor(first.incarnation, "notes"),
                ("entry-2", last.incarnation),
            )
            self.assertIsNone(node.find_successor(first.incarnation, "packs"))

    def test_chain_of_concurrent_handovers(self):
        fleet = start_fleet(3)
        me = {name: identity.incarnation for name, identity in fleet.identities.items()}
        for source, destination in (("entry-0", "entry-1"), ("entry-1", "entry-2")):
            node = fleet.nodes[source]
            fleet.apply_actions(
                source, node.announce_hand_over("notes", destination, me[destination])
            )
        fleet.run(5)
        for node in fleet.nodes.values():
            successor = node.find_successor(me["entry-0"], "notes")
            self.assertEqual(successor, ("entry-2", me["entry-2"]))

    def test_stop_notice_contains_the_last_handover(self):
        fleet = start_fleet()
        destination = fleet.identities["entry-1"]
        leaving_node = fleet.nodes["entry-0"]
        leaving_node.announce_hand_over("notes", "entry-1", destination.incarnation)
        fleet.apply_actions("entry-0", leaving_node.stop(fleet.now_s))
        fleet.kill("entry-0")
        fleet.run(3)
        for node in fleet.nodes.values():
            successor = node.find_successor(
                fleet.identities["entry-0"].incarnation, "notes"
            )
            self.assertEqual(successor, ("entry-1", destination.incarnation))

    def test_cyclic_chain_ends_at_its_last_holder(self):
        fleet = start_fleet(3)
        self.hand_over(fleet, "entry-0", "entry-1")
        self.hand_over(fleet, "entry-1", "entry-0")
        node = fleet.nodes["entry-2"]
        me = fleet.identities["entry-0"]
        for name in ("entry-0", "entry-1"):
            successor = node.find_successor(fleet.identities[name].incarnation, "notes")
            self.assertEqual(successor, ("entry-0", me.incarnation))

    def test_hand_overs_are_forgotten_after_the_token_lifetime(self):
        short = MembershipSettings(departed_kept_s=60.0, sync_period_s=1.0)
        fleet = SimulatedFleet()
        for name in ("a", "b", "c"):
            fleet.add(name, "thamel", short)
        fleet.deliver_list()
        fleet.run(5)
        self.hand_over(fleet, "a", "b")
        source = fleet.identities["a"].incarnation
        self.assertIsNotNone(fleet.nodes["c"].find_successor(source, "notes"))
        fleet.run(90)
        self.assertIsNone(fleet.nodes["c"].find_successor(source, "notes"))


if __name__ == "__main__":
    unittest.main()

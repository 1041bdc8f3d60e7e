import unittest

from endivepick.membership import (
    LeaveRequested,
    ListedInstance,
    MembershipSettings,
    PeerState,
    Send,
)
from endivepick.membership._simulated_fleet import Loop
from endivepick.membership.peer_messages import (
    LeaveWish,
)
from endivepick.membership.tests._fleet import (
    SETTINGS,
    count_of,
    everybody_sees,
    started,
)


class PlannedStopTest(unittest.TestCase):
    def test_leaving_instance_takes_no_role_and_is_not_dead(self):
        loop = started(36, loss=0.05)
        loop.carry_out("entry-3", loop.nodes["entry-3"].leave(loop.now_s))
        loop.run_until(lambda: everybody_sees(loop, 35), 10)
        for node in loop.nodes.values():
            self.assertIs(node.view()["entry-3"].state, PeerState.LEAVING)
        loop.run(20)
        loop.carry_out("entry-3", loop.nodes["entry-3"].stop(loop.now_s))
        loop.kill("entry-3")
        took_s = loop.run_until(
            lambda: all(
                node.view()["entry-3"].state is PeerState.DEAD
                for node in loop.nodes.values()
            ),
            10,
        )
        self.assertLess(took_s, SETTINGS.suspect_min_s)

    def test_platform_can_ask_to_leave(self):
        loop = started()
        loop.run(10)
        loop.list_all(age_s=1.0, leaving=("entry-3",))
        self.assertEqual(count_of(loop, LeaveRequested), 1)
        self.assertTrue(everybody_sees(loop, 8) or "entry-3" in loop.nodes)
        self.assertNotIn("entry-3", loop.nodes["entry-0"].live_names())

    def test_who_reads_that_another_shall_leave_tells_it(self):
        loop = started()
        loop.run(10)
        entries = [
            ListedInstance(name, me.zone, me.peer_address, name == "entry-3")
            for name, me in loop.me.items()
        ]
        for _ in range(2):
            news = loop.nodes["entry-0"].on_instance_list(loop.now_s, entries)
            loop.carry_out("entry-0", news)
            loop.run(1)
        wishes = [
            (name, action)
            for _, name, action in loop.actions
            if isinstance(action, LeaveRequested)
        ]
        self.assertEqual([name for name, _ in wishes], ["entry-3"])
        told = [
            action.message
            for _, _, action in loop.actions
            if isinstance(action, Send) and isinstance(action.message, LeaveWish)
        ]
        self.assertEqual(told, [LeaveWish(loop.me["entry-3"].incarnation)])

    def test_wish_for_an_earlier_incarnation_stops_nobody(self):
        loop = started()
        node = loop.nodes["entry-0"]
        own = loop.me["entry-0"].incarnation
        self.assertEqual(node.on_message(loop.now_s, "entry-1", 1, LeaveWish(7)), [])
        wished = node.on_message(loop.now_s, "entry-1", 1, LeaveWish(own))
        self.assertEqual(wished, [LeaveRequested()])

    def test_stale_list_does_not_stop_a_new_incarnation(self):
        loop = started()
        loop.run(5)
        loop.add("entry-3", "fukuoka", generation=2)
        loop.run(5)
        loop.list_all(age_s=8.0, leaving=("entry-3",))
        self.assertEqual(count_of(loop, LeaveRequested), 0)
        self.assertIn("entry-3", loop.nodes["entry-0"].live_names())

    def test_joining_instance_takes_no_role_until_it_is_ready(self):
        loop = started()
        loop.add("entry-9", "fukuoka", ready=False)
        loop.list_all()
        loop.run(5)
        self.assertTrue(loop.nodes["entry-9"].joined)
        self.assertTrue(everybody_sees(loop, 9))
        loop.carry_out("entry-9", loop.nodes["entry-9"].set_ready(loop.now_s))
        loop.run_until(lambda: everybody_sees(loop, 10), 10)


class HandOverTest(unittest.TestCase):
    def hand_over(self, loop, giver, receiver, service="notes"):
        to = loop.me[receiver]
        actions = loop.nodes[giver].announce_hand_over(
            service, receiver, to.incarnation
        )
        loop.carry_out(giver, actions)
        loop.run(5)

    def test_chains_reach_everybody_and_those_who_join_later(self):
        loop = started(loss=0.05)
        self.hand_over(loop, "entry-0", "entry-1")
        self.hand_over(loop, "entry-1", "entry-2")
        loop.add("entry-9", "fukuoka")
        loop.list_all()
        late = loop.nodes["entry-9"]
        loop.run_until(lambda: everybody_sees(loop, 10) and late.joined, 10)
        first, last = loop.me["entry-0"], loop.me["entry-2"]
        for node in loop.nodes.values():
            self.assertEqual(
                node.find_successor(first.incarnation, "notes"),
                ("entry-2", last.incarnation),
            )
            self.assertIsNone(node.find_successor(first.incarnation, "packs"))

    def test_chain_of_givers_that_did_not_know_of_each_other(self):
        loop = started(3)
        me = {name: identity.incarnation for name, identity in loop.me.items()}
        for giver, taker in (("entry-0", "entry-1"), ("entry-1", "entry-2")):
            node = loop.nodes[giver]
            loop.carry_out(giver, node.announce_hand_over("notes", taker, me[taker]))
        loop.run(5)
        for node in loop.nodes.values():
            successor = node.find_successor(me["entry-0"], "notes")
            self.assertEqual(successor, ("entry-2", me["entry-2"]))

    def test_farewell_tells_of_the_last_hand_over(self):
        loop = started()
        taker = loop.me["entry-1"]
        leaver = loop.nodes["entry-0"]
        leaver.announce_hand_over("notes", "entry-1", taker.incarnation)
        loop.carry_out("entry-0", leaver.stop(loop.now_s))
        loop.kill("entry-0")
        loop.run(3)
        for node in loop.nodes.values():
            successor = node.find_successor(loop.me["entry-0"].incarnation, "notes")
            self.assertEqual(successor, ("entry-1", taker.incarnation))

    def test_chain_that_comes_back_ends_at_its_last_holder(self):
        loop = started(3)
        self.hand_over(loop, "entry-0", "entry-1")
        self.hand_over(loop, "entry-1", "entry-0")
        node = loop.nodes["entry-2"]
        me = loop.me["entry-0"]
        for name in ("entry-0", "entry-1"):
            successor = node.find_successor(loop.me[name].incarnation, "notes")
            self.assertEqual(successor, ("entry-0", me.incarnation))

    def test_hand_overs_are_forgotten_after_the_token_lifetime(self):
        short = MembershipSettings(departed_kept_s=60.0, sync_period_s=1.0)
        loop = Loop()
        for name in ("a", "b", "c"):
            loop.add(name, "thamel", short)
        loop.list_all()
        loop.run(5)
        self.hand_over(loop, "a", "b")
        giver = loop.me["a"].incarnation
        self.assertIsNotNone(loop.nodes["c"].find_successor(giver, "notes"))
        loop.run(90)
        self.assertIsNone(loop.nodes["c"].find_successor(giver, "notes"))


if __name__ == "__main__":
    unittest.main()

import unittest

from endivepick.membership import (
    ListedInstance,
    Membership,
    PeerState,
    Superseded,
)
from endivepick.membership.peer_messages import (
    UNASKED,
    Ack,
    Ping,
    SyncPage,
)
from endivepick.membership.tests._fleet import (
    SETTINGS,
    count_of,
    random_update,
    started,
)
from endivepick.membership.view import InstanceView


class IncarnationTest(unittest.TestCase):
    def test_new_incarnation_supersedes_at_once(self):
        loop = started()
        old = loop.me["entry-1"].incarnation
        loop.add("entry-1", "fukuoka", generation=2)
        loop.list_all()
        new = loop.me["entry-1"].incarnation
        took_s = loop.run_until(
            lambda: all(
                node.view()["entry-1"].incarnation == new
                and node.is_incarnation_dead("entry-1", old)
                and not node.is_incarnation_dead("entry-1", new)
                for node in loop.nodes.values()
            ),
            20,
        )
        self.assertLess(took_s, 3.0)

    def test_clock_set_back_does_not_keep_the_new_incarnation_out(self):
        loop = started()
        loop.run(2)
        loop.add("entry-1", "fukuoka", generation=0)
        loop.list_all()
        new = loop.me["entry-1"].incarnation
        loop.run_until(
            lambda: all(
                node.view()["entry-1"].incarnation == new
                for node in loop.nodes.values()
            ),
            20,
        )
        self.assertEqual(count_of(loop, Superseded), 0)

    def test_old_incarnation_that_wakes_learns_that_it_is_superseded(self):
        loop = started()
        old_node, old_me = loop.nodes["entry-1"], loop.me["entry-1"]
        loop.run(2)
        loop.add("entry-1", "kumamoto", generation=2)
        loop.list_all()
        loop.run(10)
        new_me = loop.me["entry-1"]
        loop.nodes["entry-1"], loop.me["entry-1"] = old_node, old_me
        loop.run_until(lambda: count_of(loop, Superseded) > 0, 20)
        self.assertNotIn("entry-1", old_node.live_names())
        seen = loop.nodes["entry-0"].view()["entry-1"].incarnation
        self.assertEqual(seen, new_me.incarnation)

    def test_unknown_incarnation_of_a_known_name_is_found_out(self):
        loop = started(36)
        node = loop.nodes["entry-0"]
        self.assertFalse(node.is_incarnation_dead("entry-1", 12345))
        loop.run_until(lambda: node.is_incarnation_dead("entry-1", 12345), 1)
        known = loop.me["entry-1"].incarnation
        self.assertFalse(node.is_incarnation_dead("entry-1", known))

    def test_answer_that_was_under_way_does_not_find_an_incarnation_dead(self):
        """Its sender may have started again since, as the one asked about."""
        loop = started(2)
        node = loop.nodes["entry-0"]
        peer = loop.me["entry-1"]
        ping = None
        while ping is None:
            loop.now_s += SETTINGS.probe_period_s
            sent = node.tick(loop.now_s, 1)
            ping = next(
                (s.message for s in sent if isinstance(getattr(s, "message", 0), Ping)),
                None,
            )
        self.assertFalse(node.is_incarnation_dead("entry-1", 4711))
        ack = Ack(ping.sequence, [], [])
        node.on_message(loop.now_s + 0.2, "entry-1", peer.incarnation, ack)
        self.assertFalse(node.is_incarnation_dead("entry-1", 4711))

    def test_answers_to_an_earlier_process_do_not_fit(self):
        sequences = set()
        for incarnation in (1 << 40, 2 << 40):
            node = self.joining(incarnation)
            sequences |= {
                send.message.sequence
                for tick in range(3)
                for send in node.tick(tick, 1)
                if isinstance(getattr(send, "message", None), Ping)
            }
        self.assertEqual(len(sequences), 6)

    def joining(self, incarnation):
        me = InstanceView("a", "z", incarnation, "", PeerState.ALIVE, ready=False)
        node = Membership(SETTINGS, me, generation=1)
        node.on_instance_list(0.0, [ListedInstance("b", "z", "127.0.0.1:1")])
        return node

    def test_page_for_an_earlier_process_does_not_end_the_join(self):
        node = self.joining(2 << 40)
        node.tick(0.0, 1)
        for answered in (1 << 40, UNASKED):
            page = SyncPage(0, [], [random_update("b")], [], answered)
            node.on_message(0.1, "b", 5, page)
            self.assertFalse(node.joined)
        node.on_message(0.2, "b", 5, SyncPage(0, [], [], [], 2 << 40))
        self.assertTrue(node.joined)

    def test_page_of_a_build_that_does_not_tell_ends_the_join(self):
        node = self.joining(2 << 40)
        node.tick(0.0, 1)
        node.on_message(0.2, "b", 5, SyncPage(0, [], [], []))
        self.assertTrue(node.joined)

    def test_unknown_name_counts_as_dead_only_after_a_while(self):
        loop = started()
        node = loop.nodes["entry-0"]
        self.assertFalse(node.is_incarnation_dead("nobody", 12345))
        took_s = loop.run_until(lambda: node.is_incarnation_dead("nobody", 12345), 20)
        self.assertGreaterEqual(took_s, SETTINGS.unknown_dead_after_s - 0.1)


if __name__ == "__main__":
    unittest.main()

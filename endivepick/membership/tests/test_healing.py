import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from endivepick.core.chart import load_chart
from endivepick.core.packet_codec import decode_struct, encode_struct
from endivepick.membership import (
    ListedInstance,
    Membership,
    PeerState,
    Send,
)
from endivepick.membership._simulated_fleet import Loop
from endivepick.membership.peer_messages import (
    Ack,
    HandedOver,
    SyncPage,
)
from endivepick.membership.tests._fleet import (
    OLDER,
    everybody_sees,
    messages,
    random_update,
    started,
    updates,
)


class HealingTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=6, deadline=None)
    @given(st.integers(0, 2**32))
    def test_views_agree_after_random_faults(self, seed):
        loop = started(seed=seed, loss=0.1, max_delay_s=0.02)
        random = loop.random
        for _ in range(4):
            side = set(random.sample(sorted(loop.nodes), random.randrange(5)))
            loop.is_cut = lambda a, b, side=side: (a in side) != (b in side)
            loop.paused.add(random.choice(sorted(loop.nodes)))
            loop.run(random.uniform(1, 15))
            for name in list(loop.paused):
                loop.resume(name)
        loop.is_cut = lambda a, b: False
        loop.run_until(lambda: everybody_sees(loop, 9), 60)

    def test_digest_of_a_peer_is_that_of_its_last_state(self):
        loop = started(3)
        member = loop.nodes["entry-0"]._table.members["entry-1"]
        seen = [member.digest]
        leaving = loop.nodes["entry-1"].leave(loop.now_s)
        loop.carry_out("entry-1", leaving)
        loop.run(5)
        seen.append(member.digest)
        self.assertEqual(member.digest, loop.nodes["entry-1"]._own.digest)
        loop.add("entry-1", "kumamoto", generation=2)
        loop.list_all()
        loop.run(10)
        self.assertEqual(member.digest, loop.nodes["entry-1"]._own.digest)
        self.assertEqual(len({*seen, member.digest}), 3)

    def test_list_forgets_a_peer_that_was_never_heard(self):
        loop = Loop()
        node = loop.add("a", "thamel")
        ghost = ListedInstance("ghost", "thamel", "127.0.0.1:9")
        loop.carry_out("a", node.on_instance_list(0.0, [ghost]))
        self.assertIn("ghost", node.view())
        self.assertNotIn("ghost", node.live_names())
        loop.carry_out("a", node.on_instance_list(0.0, []))
        self.assertNotIn("ghost", node.view())

    @settings(derandomize=True, max_examples=200)
    @given(st.lists(updates(), max_size=8), st.randoms(use_true_random=False))
    def test_order_of_news_does_not_matter(self, news, random):
        views = []
        for _ in range(2):
            loop = Loop()
            node = loop.add("a", "thamel")
            for update in news:
                node.on_message(0.0, "p", 1, Ack(0, [update], []))
            # Whether the present incarnation is dead may wait for a time-out.
            seen = {u.name: u.incarnation for u in node.view().values()}
            older = [one for one in OLDER if seen.get(one[0]) != one[1]]
            views.append((seen, [node.is_incarnation_dead(*one) for one in older]))
            random.shuffle(news)
        self.assertEqual(*views)

    @settings(derandomize=True, max_examples=300)
    @given(st.lists(messages(), max_size=8))
    def test_no_message_ends_the_core(self, received):
        loop = Loop()
        node = loop.add("entry-0", "thamel")
        loop.add("entry-1", "thamel")
        loop.list_all()
        for sender, message in received:
            decoded = decode_struct(encode_struct(message), type(message))
            actions = node.on_message(0.0, sender, 7, decoded)
            for action in actions + node.tick(0.0, 1) + node.tick(0.3, 2):
                if isinstance(action, Send):
                    encode_struct(action.message)

    def test_news_that_only_one_knows_reach_the_others(self):
        loop = started(3)
        loop.run(10)
        lost = random_update("late", phase=2)
        moved = HandedOver(77, "notes", "late", 5, 1, 1000)
        node = loop.nodes["entry-0"]
        node.on_message(loop.now_s, "entry-1", 1, SyncPage(0, [], [lost], [moved]))
        self.assertIs(node.view()["late"].state, PeerState.LEAVING)
        other = loop.nodes["entry-2"]
        loop.run_until(lambda: other.find_successor(77, "notes") is not None, 40)

    def test_what_comes_in_pages_is_not_spread_again(self):
        loop = started(3)
        loop.run(10)
        known = [random_update(f"entry-{number}") for number in range(100, 120)]
        node = loop.nodes["entry-0"]
        node.on_message(loop.now_s, "entry-1", 1, SyncPage(0, [], known, []))
        loop.actions.clear()
        loop.run(5)
        carried = [
            update
            for _, name, action in loop.actions
            if name == "entry-0" and isinstance(action, Send)
            for update in getattr(action.message, "updates", [])
        ]
        self.assertEqual([u for u in carried if u in known], [])

    def test_membership_can_start_alone(self):
        loop = Loop()
        node = loop.add("a", "thamel")
        self.assertIsInstance(node, Membership)
        loop.list_all()
        self.assertEqual((node.joined, node.live_names()), (True, ("a",)))


class ChartTest(unittest.TestCase):
    def test_instance_stops_in_order(self):
        chart = load_chart("instance")
        state = chart.initial
        for event in ("listen", "join", "stop", "hand_over", "finish"):
            state = chart.step(state, event)
        self.assertEqual((state, chart.final), ("stopped", frozenset({"stopped"})))

    def test_peer_states_are_those_of_the_view(self):
        chart = load_chart("peer")
        states = {state for state, _ in chart.transitions}
        self.assertEqual(states, {state.value for state in PeerState})


if __name__ == "__main__":
    unittest.main()

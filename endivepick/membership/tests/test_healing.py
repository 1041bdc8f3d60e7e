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
from endivepick.membership._simulated_fleet import SimulatedFleet
from endivepick.membership.peer_messages import (
    Ack,
    HandedOver,
    SyncPage,
)
from endivepick.membership.tests._fleet import (
    KNOWN_INCARNATIONS,
    all_see_live_count,
    make_update,
    message_strategy,
    start_fleet,
    update_strategy,
)


class HealingTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=6, deadline=None)
    @given(st.integers(0, 2**32))
    def test_views_agree_after_random_faults(self, seed):
        fleet = start_fleet(seed=seed, loss=0.1, max_delay_s=0.02)
        random = fleet.random
        for _ in range(4):
            side = set(random.sample(sorted(fleet.nodes), random.randrange(5)))
            fleet.is_cut = lambda a, b, side=side: (a in side) != (b in side)
            fleet.paused.add(random.choice(sorted(fleet.nodes)))
            fleet.run(random.uniform(1, 15))
            for name in list(fleet.paused):
                fleet.resume(name)
        fleet.is_cut = lambda a, b: False
        fleet.run_until(lambda: all_see_live_count(fleet, 9), 60)

    def test_digest_of_a_peer_is_that_of_its_last_state(self):
        fleet = start_fleet(3)
        member = fleet.nodes["entry-0"]._table.members["entry-1"]
        seen = [member.digest]
        leaving = fleet.nodes["entry-1"].leave(fleet.now_s)
        fleet.apply_actions("entry-1", leaving)
        fleet.run(5)
        seen.append(member.digest)
        self.assertEqual(member.digest, fleet.nodes["entry-1"]._own.digest)
        fleet.add("entry-1", "kumamoto", generation=2)
        fleet.deliver_list()
        fleet.run(10)
        self.assertEqual(member.digest, fleet.nodes["entry-1"]._own.digest)
        self.assertEqual(len({*seen, member.digest}), 3)

    def test_list_forgets_a_peer_that_was_never_heard(self):
        fleet = SimulatedFleet()
        node = fleet.add("a", "thamel")
        unknown = ListedInstance("ghost", "thamel", "127.0.0.1:9")
        fleet.apply_actions("a", node.on_instance_list(0.0, [unknown]))
        self.assertIn("ghost", node.view())
        self.assertNotIn("ghost", node.live_names())
        fleet.apply_actions("a", node.on_instance_list(0.0, []))
        self.assertNotIn("ghost", node.view())

    @settings(derandomize=True, max_examples=200)
    @given(st.lists(update_strategy(), max_size=8), st.randoms(use_true_random=False))
    def test_order_of_updates_does_not_matter(self, updates, random):
        views = []
        for _ in range(2):
            fleet = SimulatedFleet()
            node = fleet.add("a", "thamel")
            for update in updates:
                node.on_message(0.0, "p", 1, Ack(0, [update], []))
            # The current incarnation may be dead only after a timeout.
            seen = {u.name: u.incarnation for u in node.view().values()}
            older = [one for one in KNOWN_INCARNATIONS if seen.get(one[0]) != one[1]]
            views.append((seen, [node.is_incarnation_dead(*one) for one in older]))
            random.shuffle(updates)
        self.assertEqual(*views)

    @settings(derandomize=True, max_examples=300)
    @given(st.lists(message_strategy(), max_size=8))
    def test_no_message_ends_the_core(self, received):
        fleet = SimulatedFleet()
        node = fleet.add("entry-0", "thamel")
        fleet.add("entry-1", "thamel")
        fleet.deliver_list()
        for sender, message in received:
            decoded = decode_struct(encode_struct(message), type(message))
            actions = node.on_message(0.0, sender, 7, decoded)
            for action in actions + node.tick(0.0, 1) + node.tick(0.3, 2):
                if isinstance(action, Send):
                    encode_struct(action.message)

    def test_update_known_to_one_instance_reaches_the_others(self):
        fleet = start_fleet(3)
        fleet.run(10)
        lost = make_update("late", phase=2)
        moved = HandedOver(77, "notes", "late", 5, 1, 1000)
        node = fleet.nodes["entry-0"]
        node.on_message(fleet.now_s, "entry-1", 1, SyncPage(0, [], [lost], [moved]))
        self.assertIs(node.view()["late"].state, PeerState.LEAVING)
        other = fleet.nodes["entry-2"]
        fleet.run_until(lambda: other.find_successor(77, "notes") is not None, 40)

    def test_entries_of_pages_are_not_gossiped(self):
        fleet = start_fleet(3)
        fleet.run(10)
        known = [make_update(f"entry-{number}") for number in range(100, 120)]
        node = fleet.nodes["entry-0"]
        node.on_message(fleet.now_s, "entry-1", 1, SyncPage(0, [], known, []))
        fleet.actions.clear()
        fleet.run(5)
        carried = [
            update
            for _, name, action in fleet.actions
            if name == "entry-0" and isinstance(action, Send)
            for update in getattr(action.message, "updates", [])
        ]
        self.assertEqual([u for u in carried if u in known], [])

    def test_membership_can_start_alone(self):
        fleet = SimulatedFleet()
        node = fleet.add("a", "thamel")
        self.assertIsInstance(node, Membership)
        fleet.deliver_list()
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

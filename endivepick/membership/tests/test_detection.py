import doctest
import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from endivepick.membership import (
    MembershipSettings,
    PeerChanged,
    PeerProbeAnsweredLate,
    PeerProbeFailed,
    PeerState,
    Send,
    core,
)
from endivepick.membership._simulated_fleet import SimulatedFleet
from endivepick.membership.peer_messages import (
    Ack,
    Ping,
    PingRequest,
)
from endivepick.membership.tests._fleet import (
    SETTINGS,
    all_see_live_count,
    count_actions,
    find_deaths,
    make_update,
    start_fleet,
)


def pinged(actions):
    return {
        action.to_name
        for action in actions
        if isinstance(action, Send) and isinstance(action.message, Ping)
    }


class DetectionTest(unittest.TestCase):
    def test_examples_run(self):
        self.assertEqual(doctest.testmod(core).failed, 0)

    def test_killed_instance_is_found_dead_by_all(self):
        fleet = start_fleet(loss=0.05)
        dead = fleet.identities["entry-4"].incarnation
        fleet.kill("entry-4")
        took_s = fleet.run_until(
            lambda: all(
                node.is_incarnation_dead("entry-4", dead)
                for node in fleet.nodes.values()
            ),
            30,
        )
        self.assertLess(took_s, SETTINGS.suspect_max_s)
        self.assertEqual({name for _, _, name in find_deaths(fleet)}, {"entry-4"})

    @settings(derandomize=True, max_examples=8, deadline=None)
    @given(
        st.integers(0, 2**32),
        st.sampled_from([0.0, 0.05, 0.1]),
        st.sampled_from([0.002, 0.04]),
    )
    def test_nobody_is_ejected_by_loss_and_delay(self, seed, loss, max_delay_s):
        fleet = start_fleet(seed=seed, loss=loss, max_delay_s=max_delay_s)
        fleet.run(60)
        self.assertEqual(find_deaths(fleet), [])

    def test_messages_do_not_grow_with_the_fleet(self):
        rates = []
        for count in (9, 36):
            fleet = start_fleet(count)
            fleet.run(30)
            fleet.actions.clear()
            fleet.run(20)
            rates.append(len(fleet.actions) / 20 / count)
        self.assertLess(max(rates), 10.0)

    def test_send_failure_triggers_a_probe(self):
        fleet = start_fleet()
        fleet.run(5)
        fleet.kill("entry-4")
        node = fleet.nodes["entry-0"]
        fleet.apply_actions("entry-0", node.on_send_failure(fleet.now_s, "entry-4"))
        fleet.run(0.4)
        self.assertIs(node.view()["entry-4"].state, PeerState.SUSPECT)

    def test_probe_is_sent_again_when_its_link_was_not_up(self):
        fleet = start_fleet()
        fleet.run(5)
        lost = set()

        def loses_first(sender, receiver):
            first = sender == "entry-0" and receiver not in lost
            if first:
                lost.add(receiver)
                node = fleet.nodes[sender]
                fleet.apply_actions(sender, node.on_send_failure(fleet.now_s, receiver))
            return first

        before = count_actions(fleet, PeerChanged)
        fleet.is_cut = loses_first
        fleet.run(10)
        self.assertEqual(len(lost), 8)
        self.assertEqual(count_actions(fleet, PeerChanged), before)

    def test_answer_is_sent_again_when_its_link_was_not_up(self):
        """The first answer is lost while the connection is being established.

        Without a retransmission the live instance would be suspected.
        """
        fleet = start_fleet(2)
        node = fleet.nodes["entry-0"]
        before = count_actions(fleet, PeerChanged)
        for _ in range(40):
            fleet.run(1.01)
            link_is_up_s = fleet.now_s + 0.1

            def has_no_link(sender, receiver, up_s=link_is_up_s):
                missing = sender == "entry-0" and fleet.now_s < up_s
                if missing:
                    fleet.apply_actions(
                        sender, node.on_send_failure(fleet.now_s, receiver)
                    )
                return missing

            fleet.is_cut = has_no_link
        self.assertEqual(count_actions(fleet, PeerChanged), before)

    def test_peer_that_answers_a_later_probe_is_not_suspected_for_a_lost_one(self):
        """A probe lost on a new connection is no evidence after a later answer.

        Otherwise the live instance would be suspected.
        """
        fleet = start_fleet(3)
        node = fleet.nodes["entry-0"]
        peer = fleet.identities["entry-1"]
        fleet.run_until(lambda: "entry-1" in pinged(node.tick(fleet.now_s, 1)), 5)
        request = PingRequest(1, "entry-1")
        helped_s = fleet.now_s + 0.1
        [ping] = [
            action.message
            for action in node.on_message(helped_s, "entry-2", 1, request)
            if isinstance(action, Send)
        ]
        answer = Ack(ping.sequence, [], [])
        node.on_message(helped_s, "entry-1", peer.incarnation, answer)
        node.tick(helped_s + 0.2, 1)
        self.assertIs(node.view()["entry-1"].state, PeerState.ALIVE)

    def test_late_answer_is_reported_after_the_failed_probe(self):
        fleet = start_fleet(2)
        fleet.run(5)
        node = fleet.nodes["entry-0"]
        peer = fleet.identities["entry-1"]
        ticks = (fleet.now_s + 0.05 * step for step in range(1, 100))
        pings = []
        while not pings:
            sent_s = next(ticks)
            pings = [
                action.message
                for action in node.tick(sent_s, 1)
                if isinstance(action, Send) and isinstance(action.message, Ping)
            ]
        failures = []
        while not failures:
            failures = [
                action
                for action in node.tick(next(ticks), 1)
                if isinstance(action, PeerProbeFailed)
            ]
        self.assertEqual([failure.name for failure in failures], ["entry-1"])
        self.assertAlmostEqual(failures[0].waited_s, 0.25, delta=0.06)
        self.assertAlmostEqual(failures[0].longest_gap_s, 0.05)
        answer = Ack(pings[0].sequence, [], [])
        actions = node.on_message(sent_s + 0.4, "entry-1", peer.incarnation, answer)
        [late] = [one for one in actions if isinstance(one, PeerProbeAnsweredLate)]
        self.assertEqual(late.name, "entry-1")
        self.assertAlmostEqual(late.waited_s, 0.4)

    def test_first_contact_may_take_longer_than_a_probe(self):
        """Establishing connections takes longer than ``probe_deadline_s``.

        With that deadline the live instance would be suspected.
        """
        fleet = SimulatedFleet(seed=1)
        fleet.add("entry-0", "fukuoka")
        fleet.add("entry-1", "kumamoto")

        def has_no_link(sender, receiver):
            missing = fleet.now_s < 0.6
            if missing:
                node = fleet.nodes[sender]
                fleet.apply_actions(sender, node.on_send_failure(fleet.now_s, receiver))
            return missing

        fleet.is_cut = has_no_link
        fleet.deliver_list()
        fleet.run(5)
        suspected = [
            action.new.name
            for _, _, action in fleet.actions
            if isinstance(action, PeerChanged)
            and action.new is not None
            and action.new.state is PeerState.SUSPECT
        ]
        self.assertEqual(suspected, [])
        self.assertTrue(all_see_live_count(fleet, 2))

    def test_lost_rack_is_dropped_and_the_rest_stay(self):
        fleet = start_fleet(12)
        for name in ("entry-0", "entry-3", "entry-6", "entry-9"):
            fleet.kill(name)
        fleet.run_until(lambda: all_see_live_count(fleet, 8), 20)
        lost = {"entry-0", "entry-3", "entry-6", "entry-9"}
        self.assertEqual({name for _, _, name in find_deaths(fleet)}, lost)

    def test_suspect_missing_from_the_list_is_declared_dead_early(self):
        fleet = start_fleet(3)
        fleet.run(2)
        fleet.kill("entry-1")
        fleet.kill("entry-2")
        fleet.deliver_list()
        took_s = fleet.run_until(lambda: all_see_live_count(fleet, 1), 20)
        self.assertLess(took_s, SETTINGS.mass_dead_after_s - 2)


class MassLossTest(unittest.TestCase):
    def test_partitioned_zone_is_declared_dead_late_and_rejoins(self):
        fleet = start_fleet()
        fleet.run(5)
        cut = {name for name, me in fleet.identities.items() if me.zone == "kumamoto"}
        fleet.is_cut = lambda sender, receiver: (sender in cut) != (receiver in cut)
        began_s = fleet.now_s
        fleet.run_until(
            lambda: all(
                set(node.live_names())
                == (cut if name in cut else set(fleet.identities) - cut)
                for name, node in fleet.nodes.items()
            ),
            30,
        )
        early = [at_s for at_s, _, _ in find_deaths(fleet) if at_s < began_s + 6.0]
        self.assertLessEqual(len({name for _, _, name in find_deaths(fleet)}), 9)
        self.assertEqual(early, [])
        fleet.run(30)
        fleet.is_cut = lambda sender, receiver: False
        fleet.run_until(lambda: all_see_live_count(fleet, 9), 30)

    def test_resumed_instance_declares_no_others_dead(self):
        for pause_s in (2.0, 30.0):
            fleet = start_fleet()
            fleet.run(5)
            fleet.paused.add("entry-2")
            fleet.run(pause_s)
            fleet.resume("entry-2")
            fleet.run_until(lambda fleet=fleet: all_see_live_count(fleet, 9), 30)
            fleet.run(20)
            observers = {observer for _, observer, _ in find_deaths(fleet)}
            self.assertNotIn("entry-2", observers)
            self.assertTrue({name for _, _, name in find_deaths(fleet)} <= {"entry-2"})

    def test_pause_restarts_suspicion_timers(self):
        fleet = start_fleet()
        fleet.run(5)
        node = fleet.nodes["entry-0"]
        known = fleet.identities["entry-1"].incarnation
        accused = make_update("entry-1", known, dead=1)
        node.on_message(fleet.now_s, "entry-2", 1, Ack(0, [accused], []))
        self.assertIs(node.view()["entry-1"].state, PeerState.SUSPECT)
        node.tick(fleet.now_s + 60, 1)
        self.assertIs(node.view()["entry-1"].state, PeerState.SUSPECT)

    def test_resumed_instance_extends_probe_timeouts(self):
        fleet = start_fleet()
        fleet.run(5)
        fleet.paused.add("entry-0")
        fleet.run(5)
        fleet.is_cut = lambda sender, receiver: "entry-0" in (sender, receiver)
        fleet.resume("entry-0")
        fleet.run(1.0)
        self.assertEqual(set(fleet.states("entry-0").values()), {PeerState.ALIVE})
        fleet.is_cut = lambda sender, receiver: False
        node = fleet.nodes["entry-0"]
        fleet.run_until(lambda: node.own_health_score == 0, 20)

    def test_reported_death_is_a_suspicion_after_a_recent_answer(self):
        fleet = start_fleet(3)
        fleet.run(5)
        node = fleet.nodes["entry-0"]
        accused = make_update(
            "entry-1", fleet.identities["entry-1"].incarnation, dead=2
        )
        node.on_message(fleet.now_s, "entry-2", 1, Ack(0, [accused], []))
        self.assertIs(node.view()["entry-1"].state, PeerState.SUSPECT)

    def test_reported_deaths_of_most_of_a_zone_are_suspicions(self):
        slow = MembershipSettings(probe_deadline_s=60.0, fresh_evidence_s=0.0)
        fleet = start_fleet(first_settings=slow)
        node = fleet.nodes["entry-0"]
        accused = [
            make_update(name, me.incarnation, dead=2)
            for name, me in fleet.identities.items()
            if name != "entry-0"
        ]
        node.on_message(fleet.now_s, "entry-2", 1, Ack(0, accused, []))
        dead = [n for n, s in fleet.states("entry-0").items() if s is PeerState.DEAD]
        in_zone = Counter(fleet.identities[name].zone for name in dead)
        self.assertLessEqual(max(in_zone.values()), 1)
        fleet.run_until(lambda: all_see_live_count(fleet, 9), 30)

    def test_instance_that_hears_nobody_does_not_eject_the_others(self):
        fleet = start_fleet()
        fleet.run(5)
        fleet.is_cut = lambda sender, receiver: receiver == "entry-2"
        fleet.run(40)
        others = [name for name in fleet.nodes if name != "entry-2"]
        for name in others:
            live = set(fleet.nodes[name].live_names())
            self.assertEqual(live, set(others))
        by_others = [d for d in find_deaths(fleet) if d[1] != "entry-2"]
        self.assertEqual({name for _, _, name in by_others}, {"entry-2"})


if __name__ == "__main__":
    unittest.main()

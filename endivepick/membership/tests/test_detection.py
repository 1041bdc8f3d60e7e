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
from endivepick.membership._simulated_fleet import Loop
from endivepick.membership.peer_messages import (
    Ack,
    Ping,
    PingRequest,
)
from endivepick.membership.tests._fleet import (
    SETTINGS,
    count_of,
    deaths,
    everybody_sees,
    random_update,
    started,
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
        loop = started(loss=0.05)
        dead = loop.me["entry-4"].incarnation
        loop.kill("entry-4")
        took_s = loop.run_until(
            lambda: all(
                node.is_incarnation_dead("entry-4", dead)
                for node in loop.nodes.values()
            ),
            30,
        )
        self.assertLess(took_s, SETTINGS.suspect_max_s)
        self.assertEqual({name for _, _, name in deaths(loop)}, {"entry-4"})

    @settings(derandomize=True, max_examples=8, deadline=None)
    @given(
        st.integers(0, 2**32),
        st.sampled_from([0.0, 0.05, 0.1]),
        st.sampled_from([0.002, 0.04]),
    )
    def test_nobody_is_ejected_by_loss_and_delay(self, seed, loss, max_delay_s):
        loop = started(seed=seed, loss=loss, max_delay_s=max_delay_s)
        loop.run(60)
        self.assertEqual(deaths(loop), [])

    def test_messages_do_not_grow_with_the_fleet(self):
        rates = []
        for count in (9, 36):
            loop = started(count)
            loop.run(30)
            loop.actions.clear()
            loop.run(20)
            rates.append(len(loop.actions) / 20 / count)
        self.assertLess(max(rates), 10.0)

    def test_direct_failure_hurries_the_probe(self):
        loop = started()
        loop.run(5)
        loop.kill("entry-4")
        node = loop.nodes["entry-0"]
        loop.carry_out("entry-0", node.on_send_failure(loop.now_s, "entry-4"))
        loop.run(0.4)
        self.assertIs(node.view()["entry-4"].state, PeerState.SUSPECT)

    def test_probe_is_sent_again_when_its_link_was_not_up(self):
        loop = started()
        loop.run(5)
        lost = set()

        def loses_first(sender, receiver):
            first = sender == "entry-0" and receiver not in lost
            if first:
                lost.add(receiver)
                node = loop.nodes[sender]
                loop.carry_out(sender, node.on_send_failure(loop.now_s, receiver))
            return first

        before = count_of(loop, PeerChanged)
        loop.is_cut = loses_first
        loop.run(10)
        self.assertEqual(len(lost), 8)
        self.assertEqual(count_of(loop, PeerChanged), before)

    def test_answer_is_sent_again_when_its_link_was_not_up(self):
        """A living instance was suspected: it could not answer the first probe."""
        loop = started(2)
        node = loop.nodes["entry-0"]
        before = count_of(loop, PeerChanged)
        for _ in range(40):
            loop.run(1.01)
            link_is_up_s = loop.now_s + 0.1

            def has_no_link(sender, receiver, up_s=link_is_up_s):
                missing = sender == "entry-0" and loop.now_s < up_s
                if missing:
                    loop.carry_out(sender, node.on_send_failure(loop.now_s, receiver))
                return missing

            loop.is_cut = has_no_link
        self.assertEqual(count_of(loop, PeerChanged), before)

    def test_peer_that_answers_a_later_probe_is_not_suspected_for_a_lost_one(self):
        """A living instance was suspected when its first probe had been lost."""
        loop = started(3)
        node = loop.nodes["entry-0"]
        peer = loop.me["entry-1"]
        loop.run_until(lambda: "entry-1" in pinged(node.tick(loop.now_s, 1)), 5)
        asked = PingRequest(1, "entry-1")
        helped_s = loop.now_s + 0.1
        [ping] = [
            action.message
            for action in node.on_message(helped_s, "entry-2", 1, asked)
            if isinstance(action, Send)
        ]
        answer = Ack(ping.sequence, [], [])
        node.on_message(helped_s, "entry-1", peer.incarnation, answer)
        node.tick(helped_s + 0.2, 1)
        self.assertIs(node.view()["entry-1"].state, PeerState.ALIVE)

    def test_late_answer_is_told_with_what_the_suspicion_rested_on(self):
        loop = started(2)
        loop.run(5)
        node = loop.nodes["entry-0"]
        peer = loop.me["entry-1"]
        ticks = (loop.now_s + 0.05 * step for step in range(1, 100))
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
        """A living instance was suspected while its connections were set up."""
        loop = Loop(seed=1)
        loop.add("entry-0", "fukuoka")
        loop.add("entry-1", "kumamoto")

        def has_no_link(sender, receiver):
            missing = loop.now_s < 0.6
            if missing:
                node = loop.nodes[sender]
                loop.carry_out(sender, node.on_send_failure(loop.now_s, receiver))
            return missing

        loop.is_cut = has_no_link
        loop.list_all()
        loop.run(5)
        suspected = [
            action.new.name
            for _, _, action in loop.actions
            if isinstance(action, PeerChanged)
            and action.new is not None
            and action.new.state is PeerState.SUSPECT
        ]
        self.assertEqual(suspected, [])
        self.assertTrue(everybody_sees(loop, 2))

    def test_lost_rack_is_dropped_and_the_rest_stay(self):
        loop = started(12)
        for name in ("entry-0", "entry-3", "entry-6", "entry-9"):
            loop.kill(name)
        loop.run_until(lambda: everybody_sees(loop, 8), 20)
        lost = {"entry-0", "entry-3", "entry-6", "entry-9"}
        self.assertEqual({name for _, _, name in deaths(loop)}, lost)

    def test_list_that_drops_a_suspect_ends_the_wait(self):
        loop = started(3)
        loop.run(2)
        loop.kill("entry-1")
        loop.kill("entry-2")
        loop.list_all()
        took_s = loop.run_until(lambda: everybody_sees(loop, 1), 20)
        self.assertLess(took_s, SETTINGS.mass_dead_after_s - 2)


class MassLossTest(unittest.TestCase):
    def test_cut_zone_is_held_then_dropped_on_both_sides_and_comes_back(self):
        loop = started()
        loop.run(5)
        cut = {name for name, me in loop.me.items() if me.zone == "kumamoto"}
        loop.is_cut = lambda sender, receiver: (sender in cut) != (receiver in cut)
        began_s = loop.now_s
        loop.run_until(
            lambda: all(
                set(node.live_names()) == (cut if name in cut else set(loop.me) - cut)
                for name, node in loop.nodes.items()
            ),
            30,
        )
        early = [at_s for at_s, _, _ in deaths(loop) if at_s < began_s + 6.0]
        self.assertLessEqual(len({name for _, _, name in deaths(loop)}), 9)
        self.assertEqual(early, [])
        loop.run(30)
        loop.is_cut = lambda sender, receiver: False
        loop.run_until(lambda: everybody_sees(loop, 9), 30)

    def test_paused_instance_wakes_without_declaring_others_dead(self):
        for pause_s in (2.0, 30.0):
            loop = started()
            loop.run(5)
            loop.paused.add("entry-2")
            loop.run(pause_s)
            loop.resume("entry-2")
            loop.run_until(lambda loop=loop: everybody_sees(loop, 9), 30)
            loop.run(20)
            observers = {observer for _, observer, _ in deaths(loop)}
            self.assertNotIn("entry-2", observers)
            self.assertTrue({name for _, _, name in deaths(loop)} <= {"entry-2"})

    def test_pause_restarts_the_time_of_a_suspect(self):
        loop = started()
        loop.run(5)
        node = loop.nodes["entry-0"]
        known = loop.me["entry-1"].incarnation
        accused = random_update("entry-1", known, dead=1)
        node.on_message(loop.now_s, "entry-2", 1, Ack(0, [accused], []))
        self.assertIs(node.view()["entry-1"].state, PeerState.SUSPECT)
        node.tick(loop.now_s + 60, 1)
        self.assertIs(node.view()["entry-1"].state, PeerState.SUSPECT)

    def test_woken_instance_gives_its_probes_more_time(self):
        loop = started()
        loop.run(5)
        loop.paused.add("entry-0")
        loop.run(5)
        loop.is_cut = lambda sender, receiver: "entry-0" in (sender, receiver)
        loop.resume("entry-0")
        loop.run(1.0)
        self.assertEqual(set(loop.states("entry-0").values()), {PeerState.ALIVE})
        loop.is_cut = lambda sender, receiver: False
        node = loop.nodes["entry-0"]
        loop.run_until(lambda: node.own_health_score == 0, 20)

    def test_death_by_hearsay_is_doubted_after_an_own_answer(self):
        loop = started(3)
        loop.run(5)
        node = loop.nodes["entry-0"]
        accused = random_update("entry-1", loop.me["entry-1"].incarnation, dead=2)
        node.on_message(loop.now_s, "entry-2", 1, Ack(0, [accused], []))
        self.assertIs(node.view()["entry-1"].state, PeerState.SUSPECT)

    def test_death_of_most_of_a_zone_by_hearsay_is_doubted(self):
        slow = MembershipSettings(probe_deadline_s=60.0, fresh_evidence_s=0.0)
        loop = started(only_own=slow)
        node = loop.nodes["entry-0"]
        accused = [
            random_update(name, me.incarnation, dead=2)
            for name, me in loop.me.items()
            if name != "entry-0"
        ]
        node.on_message(loop.now_s, "entry-2", 1, Ack(0, accused, []))
        dead = [n for n, s in loop.states("entry-0").items() if s is PeerState.DEAD]
        in_zone = Counter(loop.me[name].zone for name in dead)
        self.assertLessEqual(max(in_zone.values()), 1)
        loop.run_until(lambda: everybody_sees(loop, 9), 30)

    def test_instance_that_hears_nobody_does_not_eject_the_others(self):
        loop = started()
        loop.run(5)
        loop.is_cut = lambda sender, receiver: receiver == "entry-2"
        loop.run(40)
        others = [name for name in loop.nodes if name != "entry-2"]
        for name in others:
            live = set(loop.nodes[name].live_names())
            self.assertEqual(live, set(others))
        by_others = [d for d in deaths(loop) if d[1] != "entry-2"]
        self.assertEqual({name for _, _, name in by_others}, {"entry-2"})


if __name__ == "__main__":
    unittest.main()

import doctest
import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from endivepick.core.chart import load_chart
from endivepick.core.codec import decode_struct, encode_struct
from endivepick.membership import (
    LeaveRequested,
    ListedInstance,
    Membership,
    MembershipSettings,
    PeerChanged,
    PeerState,
    Send,
    SendToSeed,
    Superseded,
    core,
)
from endivepick.membership._loop import Loop
from endivepick.membership.peer_messages import (
    UNASKED,
    Ack,
    HandedOver,
    LeaveWish,
    Liveness,
    MemberUpdate,
    Phase,
    Ping,
    PingRequest,
    ProbeReport,
    ShortUpdate,
    SyncDigest,
    SyncPage,
    SyncRequest,
)
from endivepick.membership.view import InstanceView

SETTINGS = MembershipSettings()
ZONES = ("fukuoka", "kumamoto", "kagoshima")


def started(count=9, seed=1, only_own=SETTINGS, **network):
    """Start a fleet; ``only_own`` are the settings of its first instance."""
    loop = Loop(seed, **network)
    for number in range(count):
        own = only_own if number == 0 else SETTINGS
        loop.add(f"entry-{number}", ZONES[number % 3], own)
    loop.list_all()
    loop.run_until(lambda: everybody_sees(loop, count), 30)
    return loop


def everybody_sees(loop, count):
    return all(len(node.live_names()) == count for node in loop.nodes.values())


def deaths(loop):
    return [
        (at_s, observer, action.new.name)
        for at_s, observer, action in loop.actions
        if isinstance(action, PeerChanged)
        and action.new is not None
        and action.new.state is PeerState.DEAD
    ]


def count_of(loop, kind):
    return sum(isinstance(action, kind) for _, _, action in loop.actions)


def random_update(name, incarnation=5, generation=1, phase=1, refutation=0, dead=0):
    return MemberUpdate(
        name,
        "thamel",
        "127.0.0.1:1",
        incarnation,
        generation,
        Phase(phase),
        refutation,
        Liveness(dead),
    )


def updates():
    return st.builds(
        random_update,
        st.sampled_from(["b", "c", "entry-0", "entry-1"]),
        st.integers(0, 3),
        st.just(1),
        st.integers(0, 3),
        st.integers(0, 3),
        st.integers(0, 2),
    )


OLDER = [(name, number) for name in ("b", "c") for number in (1, 2, 3)]


def messages():
    number = st.integers(0, 2**40)
    news = st.lists(updates(), max_size=3)
    hand_over = st.builds(
        HandedOver, number, st.just("notes"), st.just("b"), number, number, number
    )
    hand_overs = st.lists(hand_over, max_size=3)
    wanted = st.lists(st.integers(-1, 300), max_size=300)
    kinds = st.sampled_from(Phase), st.sampled_from(Liveness)
    short = st.builds(ShortUpdate, st.integers(0, 9), kinds[0], number, kinds[1])
    shorts = st.lists(short, max_size=3)
    message = st.one_of(
        st.builds(Ping, number, number, number, news, hand_overs, shorts),
        st.builds(Ack, number, news, hand_overs, shorts),
        st.builds(PingRequest, number, st.sampled_from(["b", "entry-1"])),
        st.builds(ProbeReport, number, st.just("entry-1"), st.booleans(), news),
        st.builds(SyncRequest, number, updates()),
        st.builds(SyncPage, number, wanted, news, hand_overs),
        st.builds(SyncDigest, wanted, wanted),
        st.builds(LeaveWish, number),
    )
    return st.tuples(st.sampled_from(["b", "entry-0", "entry-1"]), message)


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
        loop.carry_out("entry-0", node.direct_failure(loop.now_s, "entry-4"))
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
                loop.carry_out(sender, node.direct_failure(loop.now_s, receiver))
            return first

        before = count_of(loop, PeerChanged)
        loop.is_cut = loses_first
        loop.run(10)
        self.assertEqual(len(lost), 8)
        self.assertEqual(count_of(loop, PeerChanged), before)

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
        node.on_list(0.0, [ListedInstance("b", "z", "127.0.0.1:1")])
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
            news = loop.nodes["entry-0"].on_list(loop.now_s, entries)
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


class SeedsTest(unittest.TestCase):
    """Restarted instances that get no list from the platform."""

    def restarted(self, loop, names):
        addresses = tuple(me.peer_address for me in loop.me.values())
        settings = MembershipSettings(seed_addresses=addresses)
        for name in names:
            loop.kill(name)
        return [loop.add(name, ZONES[0], settings, generation=2) for name in names]

    def test_whole_zone_finds_the_others(self):
        loop = started()
        nodes = self.restarted(loop, ["entry-0", "entry-3", "entry-6"])
        loop.run_until(lambda: all(node.joined for node in nodes), 30)
        loop.run_until(lambda: everybody_sees(loop, 9), 30)

    def test_newcomers_that_know_only_each_other_go_on_asking(self):
        loop = started()
        names = ["entry-0", "entry-3", "entry-6"]
        loop.is_cut = lambda sender, receiver: (sender in names) != (receiver in names)
        nodes = self.restarted(loop, names)
        loop.run_until(lambda: all(len(n.live_names()) == 3 for n in nodes), 30)
        loop.run(60)
        loop.is_cut = lambda sender, receiver: False
        loop.run_until(lambda: everybody_sees(loop, 9), 30)

    def test_nobody_is_asked_once_there_was_a_list(self):
        loop = started()
        self.restarted(loop, ["entry-0"])
        loop.list_all()
        loop.run(5)
        self.assertEqual(count_of(loop, SendToSeed), 0)


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
                node.successor_of(first.incarnation, "notes"),
                ("entry-2", last.incarnation),
            )
            self.assertIsNone(node.successor_of(first.incarnation, "packs"))

    def test_chain_of_givers_that_did_not_know_of_each_other(self):
        loop = started(3)
        me = {name: identity.incarnation for name, identity in loop.me.items()}
        for giver, taker in (("entry-0", "entry-1"), ("entry-1", "entry-2")):
            node = loop.nodes[giver]
            loop.carry_out(giver, node.announce_hand_over("notes", taker, me[taker]))
        loop.run(5)
        for node in loop.nodes.values():
            successor = node.successor_of(me["entry-0"], "notes")
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
            successor = node.successor_of(loop.me["entry-0"].incarnation, "notes")
            self.assertEqual(successor, ("entry-1", taker.incarnation))

    def test_chain_that_comes_back_ends_at_its_last_holder(self):
        loop = started(3)
        self.hand_over(loop, "entry-0", "entry-1")
        self.hand_over(loop, "entry-1", "entry-0")
        node = loop.nodes["entry-2"]
        me = loop.me["entry-0"]
        for name in ("entry-0", "entry-1"):
            successor = node.successor_of(loop.me[name].incarnation, "notes")
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
        self.assertIsNotNone(loop.nodes["c"].successor_of(giver, "notes"))
        loop.run(90)
        self.assertIsNone(loop.nodes["c"].successor_of(giver, "notes"))


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
        loop.carry_out("a", node.on_list(0.0, [ghost]))
        self.assertIn("ghost", node.view())
        self.assertNotIn("ghost", node.live_names())
        loop.carry_out("a", node.on_list(0.0, []))
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
        loop.run_until(lambda: other.successor_of(77, "notes") is not None, 40)

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

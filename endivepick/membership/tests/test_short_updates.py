import unittest
from collections import Counter

import msgspec

from endivepick.membership import MembershipSettings, PeerChanged, PeerState, Send
from endivepick.membership._gossip_queue import SpreadQueue
from endivepick.membership.measure_fleet import settled_fleet
from endivepick.membership.peer_messages import Ack, Liveness, Phase, Ping, ShortUpdate

SETTINGS = MembershipSettings()


def short(me, liveness, refutation=0):
    return ShortUpdate(me.incarnation, Phase.READY, refutation, liveness)


class SpreadQueueTest(unittest.TestCase):
    def test_news_do_not_wait_for_older_ones(self):
        queue = SpreadQueue(3)
        for number in range(100):
            queue.put(number, 100)
        self.assertEqual(queue.take(100), list(range(100)))
        queue.put("new", 100)
        self.assertEqual(queue.take(3), ["new", 0, 1])
        self.assertEqual(queue.take(2), [2, 3])

    def test_each_is_sent_as_often_as_wanted(self):
        queue = SpreadQueue(2)
        queue.put("a", 6)
        queue.put("b", 6)
        queue.discard("b")
        self.assertEqual([queue.take(3) for _ in range(7)], [["a"]] * 6 + [[]])
        self.assertEqual(len(queue), 0)


class ShortUpdatesTest(unittest.TestCase):
    def setUp(self):
        self.loop = settled_fleet(45, zones=3)
        self.node = self.loop.nodes["entry-0"]
        self.zone = [n for n, me in self.loop.me.items() if me.zone == "z1"]

    def tell(self, *news):
        now_s = self.loop.now_s
        return self.node.on_message(now_s, "entry-2", 1, Ack(0, [], [], list(news)))

    def states(self):
        return Counter(self.loop.states("entry-0").values())

    def test_many_are_named_in_short_and_others_have_room(self):
        me = self.loop.me
        self.tell(*[short(me[name], Liveness.SUSPECT) for name in self.zone])
        self.assertEqual(self.states()[PeerState.SUSPECT], len(self.zone))
        actions = self.node.on_message(
            self.loop.now_s, "entry-2", me["entry-2"].incarnation, Ping(1, 0, 0, [], [])
        )
        [ack] = [action.message for action in actions if isinstance(action, Send)]
        told = {one.incarnation for one in ack.short_updates}
        self.assertEqual(told, {me[name].incarnation for name in self.zone})
        self.assertEqual([u.name for u in ack.updates], ["entry-0"])

    def test_few_are_named_with_their_accuser(self):
        me = self.loop.me
        self.tell(*[short(me[name], Liveness.SUSPECT) for name in self.zone[:3]])
        actions = self.node.on_message(
            self.loop.now_s, "entry-2", me["entry-2"].incarnation, Ping(1, 0, 0, [], [])
        )
        [ack] = [action.message for action in actions if isinstance(action, Send)]
        self.assertEqual(ack.short_updates, [])
        told = {update.name for update in ack.updates}
        self.assertEqual(told, {"entry-0", *self.zone[:3]})

    def test_deaths_of_most_of_a_zone_by_hearsay_are_doubted(self):
        me = self.loop.me
        self.tell(*[short(me[name], Liveness.DEAD) for name in self.zone])
        # As with whole updates: those told before most are lost are believed.
        self.assertLessEqual(self.states()[PeerState.DEAD], len(self.zone) // 2 + 1)
        self.loop.run_until(
            lambda: all(len(n.live_names()) == 45 for n in self.loop.nodes.values()), 60
        )

    def test_an_instance_refutes_its_own_loss(self):
        own = self.loop.me["entry-0"]
        before = self.node._own.refutation
        self.tell(short(own, Liveness.SUSPECT, before))
        self.assertEqual(self.node._own.refutation, before + 1)

    def test_a_refutation_and_a_phase_come_in_short_too(self):
        me = self.loop.me[self.zone[0]]
        self.tell(short(me, Liveness.DEAD))
        self.tell(short(me, Liveness.ALIVE, 1))
        self.assertIs(self.loop.states("entry-0")[me.name], PeerState.ALIVE)
        self.tell(ShortUpdate(me.incarnation, Phase.LEAVING, 2, Liveness.ALIVE))
        self.assertIs(self.loop.states("entry-0")[me.name], PeerState.LEAVING)

    def test_a_new_incarnation_is_told_in_full(self):
        me = self.loop.me[self.zone[0]]
        self.tell(*[short(self.loop.me[n], Liveness.SUSPECT) for n in self.zone])
        new = msgspec.structs.replace(
            self.loop.nodes[me.name]._own.to_update(), incarnation=9, generation=2
        )
        now_s = self.loop.now_s
        self.node.on_message(now_s, "entry-2", 1, Ack(0, [new], []))
        asked = Ping(1, 0, 0, [], [])
        incarnation = self.loop.me["entry-2"].incarnation
        actions = self.node.on_message(now_s, "entry-2", incarnation, asked)
        [ack] = [action.message for action in actions if isinstance(action, Send)]
        self.assertIn(new, ack.updates)

    def test_one_that_nobody_knows_says_nothing(self):
        before = self.states()
        self.tell(ShortUpdate(12345, Phase.READY, 0, Liveness.DEAD))
        self.assertEqual(self.states(), before)

    def test_a_lost_zone_is_known_to_all_after_the_hold_and_dies_in_few_steps(self):
        for name in self.zone:
            self.loop.kill(name)
        began_s = self.loop.now_s
        rest = 45 - len(self.zone)
        self.loop.run_until(
            lambda: all(len(n.live_names()) == rest for n in self.loop.nodes.values()),
            60,
        )
        deaths = [
            (at_s, observer, action.new.name)
            for at_s, observer, action in self.loop.actions
            if isinstance(action, PeerChanged)
            and action.new
            and action.new.state is PeerState.DEAD
        ]
        self.assertEqual({name for _, _, name in deaths}, set(self.zone))
        steps = Counter(o for o, _ in {(o, at_s) for at_s, o, _ in deaths})
        self.assertLess(sum(steps.values()) / len(steps), 5)
        self.assertLess(self.loop.now_s - began_s, 2 * SETTINGS.mass_dead_after_s)


if __name__ == "__main__":
    unittest.main()

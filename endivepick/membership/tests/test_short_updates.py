import unittest
from collections import Counter

import msgspec

from endivepick.membership import MembershipSettings, PeerChanged, PeerState, Send
from endivepick.membership._gossip_queue import GossipQueue
from endivepick.membership.measure_fleet import settled_fleet
from endivepick.membership.peer_messages import Ack, Liveness, Phase, Ping, ShortUpdate

SETTINGS = MembershipSettings()


def short(me, liveness, refutation=0):
    return ShortUpdate(me.incarnation, Phase.READY, refutation, liveness)


class SpreadQueueTest(unittest.TestCase):
    def test_new_updates_precede_older_ones(self):
        queue = GossipQueue(3)
        for number in range(100):
            queue.put(number, 100)
        self.assertEqual(queue.take(100), list(range(100)))
        queue.put("new", 100)
        self.assertEqual(queue.take(3), ["new", 0, 1])
        self.assertEqual(queue.take(2), [2, 3])

    def test_each_is_sent_as_often_as_wanted(self):
        queue = GossipQueue(2)
        queue.put("a", 6)
        queue.put("b", 6)
        queue.discard("b")
        self.assertEqual([queue.take(3) for _ in range(7)], [["a"]] * 6 + [[]])
        self.assertEqual(len(queue), 0)


class ShortUpdatesTest(unittest.TestCase):
    def setUp(self):
        self.fleet = settled_fleet(45, zones=3)
        self.node = self.fleet.nodes["entry-0"]
        self.zone = [n for n, me in self.fleet.identities.items() if me.zone == "z1"]

    def receive_short(self, *received_updates):
        now_s = self.fleet.now_s
        return self.node.on_message(
            now_s, "entry-2", 1, Ack(0, [], [], list(received_updates))
        )

    def states(self):
        return Counter(self.fleet.states("entry-0").values())

    def test_many_updates_are_sent_as_short_updates(self):
        me = self.fleet.identities
        self.receive_short(*[short(me[name], Liveness.SUSPECT) for name in self.zone])
        self.assertEqual(self.states()[PeerState.SUSPECT], len(self.zone))
        actions = self.node.on_message(
            self.fleet.now_s,
            "entry-2",
            me["entry-2"].incarnation,
            Ping(1, 0, 0, [], []),
        )
        [ack] = [action.message for action in actions if isinstance(action, Send)]
        named = {one.incarnation for one in ack.short_updates}
        self.assertEqual(named, {me[name].incarnation for name in self.zone})
        self.assertEqual([u.name for u in ack.updates], ["entry-0"])

    def test_few_updates_are_sent_in_full(self):
        me = self.fleet.identities
        self.receive_short(
            *[short(me[name], Liveness.SUSPECT) for name in self.zone[:3]]
        )
        actions = self.node.on_message(
            self.fleet.now_s,
            "entry-2",
            me["entry-2"].incarnation,
            Ping(1, 0, 0, [], []),
        )
        [ack] = [action.message for action in actions if isinstance(action, Send)]
        self.assertEqual(ack.short_updates, [])
        named = {update.name for update in ack.updates}
        self.assertEqual(named, {"entry-0", *self.zone[:3]})

    def test_reported_deaths_of_most_of_a_zone_are_suspicions(self):
        me = self.fleet.identities
        self.receive_short(*[short(me[name], Liveness.DEAD) for name in self.zone])
        # Like full updates, deaths are accepted until most of the zone is lost.
        self.assertLessEqual(self.states()[PeerState.DEAD], len(self.zone) // 2 + 1)
        self.fleet.run_until(
            lambda: all(len(n.live_names()) == 45 for n in self.fleet.nodes.values()),
            60,
        )

    def test_an_instance_refutes_its_own_loss(self):
        own = self.fleet.identities["entry-0"]
        before = self.node._own.refutation
        self.receive_short(short(own, Liveness.SUSPECT, before))
        self.assertEqual(self.node._own.refutation, before + 1)

    def test_short_update_carries_refutation_and_phase(self):
        me = self.fleet.identities[self.zone[0]]
        self.receive_short(short(me, Liveness.DEAD))
        self.receive_short(short(me, Liveness.ALIVE, 1))
        self.assertIs(self.fleet.states("entry-0")[me.name], PeerState.ALIVE)
        self.receive_short(
            ShortUpdate(me.incarnation, Phase.LEAVING, 2, Liveness.ALIVE)
        )
        self.assertIs(self.fleet.states("entry-0")[me.name], PeerState.LEAVING)

    def test_new_incarnation_is_sent_as_full_update(self):
        me = self.fleet.identities[self.zone[0]]
        self.receive_short(
            *[short(self.fleet.identities[n], Liveness.SUSPECT) for n in self.zone]
        )
        new = msgspec.structs.replace(
            self.fleet.nodes[me.name]._own.to_update(), incarnation=9, generation=2
        )
        now_s = self.fleet.now_s
        self.node.on_message(now_s, "entry-2", 1, Ack(0, [new], []))
        ping = Ping(1, 0, 0, [], [])
        incarnation = self.fleet.identities["entry-2"].incarnation
        actions = self.node.on_message(now_s, "entry-2", incarnation, ping)
        [ack] = [action.message for action in actions if isinstance(action, Send)]
        self.assertIn(new, ack.updates)

    def test_short_update_about_an_unknown_incarnation_is_ignored(self):
        before = self.states()
        self.receive_short(ShortUpdate(12345, Phase.READY, 0, Liveness.DEAD))
        self.assertEqual(self.states(), before)

    def test_lost_zone_is_declared_dead_in_few_steps(self):
        for name in self.zone:
            self.fleet.kill(name)
        began_s = self.fleet.now_s
        rest = 45 - len(self.zone)
        self.fleet.run_until(
            lambda: all(len(n.live_names()) == rest for n in self.fleet.nodes.values()),
            60,
        )
        deaths = [
            (at_s, observer, action.new.name)
            for at_s, observer, action in self.fleet.actions
            if isinstance(action, PeerChanged)
            and action.new
            and action.new.state is PeerState.DEAD
        ]
        self.assertEqual({name for _, _, name in deaths}, set(self.zone))
        steps = Counter(o for o, _ in {(o, at_s) for at_s, o, _ in deaths})
        self.assertLess(sum(steps.values()) / len(steps), 5)
        self.assertLess(self.fleet.now_s - began_s, 2 * SETTINGS.mass_dead_after_s)


if __name__ == "__main__":
    unittest.main()

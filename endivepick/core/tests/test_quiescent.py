"""Tests that less frequent ticks do not prevent the detection of a lost peer."""

import unittest
from itertools import count

from endivepick.core.actions import SendToPeer
from endivepick.core.events import (
    InstancesListed,
    PeerMessage,
    PeerSendFailed,
    Tick,
)
from endivepick.core.instance import CoreSettings, InstanceCore
from endivepick.membership import ListedInstance, PeerState
from endivepick.membership.peer_messages import Ack, Ping, PingRequest
from endivepick.membership.settings import MembershipSettings

NOW_S = 1_000_000.0
IDLE_TICK_S = 0.1
QUIESCENT_TICK_S = 0.25
STABLE_PERIOD_S = 10.0
NAMES = ("a", "b", "c")


class Fleet:
    """Cores that exchange messages without delay.

    Only ``a`` uses the long tick interval while it is quiescent.
    """

    def __init__(self):
        self.now_s = NOW_S
        self.silent = set()
        self.sent = []
        self.cores = {
            name: InstanceCore(
                CoreSettings(name=name, zone="z1"),
                number + 1,
                f"127.0.0.1:{9000 + number}",
                count(1000 * number + 1).__next__,
                NOW_S,
            )
            for number, name in enumerate(NAMES)
        }
        entries = tuple(
            ListedInstance(name, "z1", f"127.0.0.1:{9000 + number}", False)
            for number, name in enumerate(NAMES)
        )
        for name in NAMES:
            self.handle(name, InstancesListed(entries, 0.0))
            # Only ready instances are asked for indirect probes.
            self.cores[name].membership.set_ready(NOW_S)

    def handle(self, name, event):
        core = self.cores[name]
        for action in core.handle(event, self.now_s):
            if not isinstance(action, SendToPeer):
                continue
            if name == "a":
                self.sent.append((self.now_s, action))
            if {name, action.name}.isdisjoint(self.silent):
                message = PeerMessage(name, core.me.incarnation, action.message)
                self.handle(action.name, message)

    def run(self, length_s):
        end_s = self.now_s + length_s
        while self.now_s < end_s:
            core = self.cores["a"]
            self.now_s += QUIESCENT_TICK_S if core.quiescent else IDLE_TICK_S
            for name in sorted(set(NAMES) - self.silent):
                self.handle(name, Tick())

    def sent_since(self, since_s, kind):
        return [
            (at_s, action)
            for at_s, action in self.sent
            if at_s >= since_s and isinstance(action.message, kind)
        ]


class TestQuiescent(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.fleet.run(STABLE_PERIOD_S)
        self.core = self.fleet.cores["a"]

    def test_quiescent_while_all_peers_answer(self):
        self.assertTrue(self.core.quiescent)
        before_s = self.fleet.now_s
        self.fleet.run(STABLE_PERIOD_S)
        self.assertTrue(self.core.quiescent)
        pings = len(self.fleet.sent_since(before_s, Ping))
        period_s = MembershipSettings().probe_period_s
        self.assertGreaterEqual(pings, STABLE_PERIOD_S / period_s - 2)

    def test_indirect_probes_precede_the_failure_of_a_silent_peer(self):
        self.fleet.silent = {"c"}
        silent_s = self.fleet.now_s
        self.fleet.run(4 * MembershipSettings().probe_deadline_s)
        [(asked_s, action), *_] = self.fleet.sent_since(silent_s, PingRequest)
        self.assertEqual((action.name, action.message.name), ("b", "c"))
        [pinged_s] = [
            at_s
            for at_s, ping in self.fleet.sent_since(silent_s, Ping)
            if ping.message.sequence == action.message.sequence
        ]
        self.assertLess(asked_s - pinged_s, MembershipSettings().probe_deadline_s)

    def test_silent_peer_is_declared_dead_within_the_suspicion_time(self):
        self.fleet.silent = {"c"}
        self.fleet.run(MembershipSettings().suspect_max_s + 2.0)
        view = self.core.membership.view()
        self.assertIs(view["c"].state, PeerState.DEAD)

    def test_not_quiescent_while_a_probe_is_unanswered(self):
        self.fleet.silent = {"b", "c"}
        self.fleet.now_s += QUIESCENT_TICK_S
        self.fleet.handle("a", Tick())
        [(_, action), *_] = self.fleet.sent_since(self.fleet.now_s, Ping)
        self.assertFalse(self.core.quiescent)
        incarnation = self.fleet.cores[action.name].me.incarnation
        for sequence, quiescent in ((action.message.sequence + 1, False), (None, True)):
            number = action.message.sequence if sequence is None else sequence
            ack = Ack(number, [], [])
            self.fleet.handle("a", PeerMessage(action.name, incarnation, ack))
            self.assertIs(self.core.quiescent, quiescent)

    def test_quiescent_again_after_unanswered_probes(self):
        self.fleet.silent = {"b", "c"}
        self.fleet.run(60.0)
        self.fleet.silent = set()
        self.fleet.run(60.0)
        self.assertTrue(self.core.quiescent)

    def test_failed_send_prevents_quiescence_until_the_next_tick(self):
        self.fleet.handle("a", PeerSendFailed("b"))
        self.assertFalse(self.core.quiescent)
        self.fleet.now_s += IDLE_TICK_S
        self.fleet.handle("a", Tick())
        self.assertTrue(self.core.quiescent)

    def test_member_change_prevents_quiescence(self):
        entry = ListedInstance("d", "z1", "127.0.0.1:9009", False)
        self.fleet.handle("a", InstancesListed((entry,), 0.0))
        self.assertFalse(self.core.quiescent)


if __name__ == "__main__":
    unittest.main()

"""Flows that were closed, forgotten or never used, and late copies of their packets."""

import unittest
from unittest.mock import Mock

from endivepick.core.actions import Count, SendToPeer
from endivepick.core.flow_snapshot import snapshot_flow
from endivepick.core.flow_table import (
    CLOCK_SKEW_MARGIN_S,
    EXPIRY_SCAN_PERIOD_S,
    FlowTable,
    Identity,
)
from endivepick.core.handover_source import HandOverDestination, HandOverSource
from endivepick.core.messages import (
    Acknowledge,
    FlowClosed,
    Outcome,
    Refused,
    Reissued,
)
from endivepick.core.peer_messages import HandOver, HandOverAccepted
from endivepick.core.relay import Relay
from endivepick.core.router import PacketRouter
from endivepick.core.tests._fixture import (
    CALLER,
    NOW_S,
    SERVICE,
    OwnerFixture,
    packets,
    request_part,
    starts,
)

HOUR_S = 3600.0
MINUTES_LATER_S = NOW_S + 120.0


class Peers:
    """Beliefs of an instance: who is gone, and who took over from whom."""

    def __init__(self, me: Identity) -> None:
        self.me = me
        self.dead: set[int] = set()
        self.successors: dict[int, Identity] = {}

    def eligible_names(self) -> tuple[str, ...]:
        return (self.me.name,)

    def zone_of(self, name: str) -> str:
        return "z1"

    def is_suspected(self, name: str) -> bool:
        return False

    def is_incarnation_dead(self, name: str, incarnation: int) -> bool:
        return incarnation in self.dead

    def find_successor(self, incarnation: int, service: str) -> Identity | None:
        return self.successors.get(incarnation)

    def incarnation_of(self, name: str) -> int:
        return self.me.incarnation


class Node(OwnerFixture):
    """An instance that routes packets and hands flows over."""

    def __init__(self, name: str = "a", first_id: int = 1) -> None:
        super().__init__(name, first_id)
        self.peers = Peers(self.me)
        self.relay = Relay(
            self.me, self.peers, self.codec, self.new_id, 1.0, lambda _: frozenset()
        )
        self.router = PacketRouter(
            self.me, self.codec, self.table, self.owner, self.relay, Mock()
        )
        self.taker = HandOverDestination(self.settings, self.table, self.executor)

    def route(self, sealed, packet, now_s=NOW_S):
        """Route a packet under a token."""
        packet = type(packet)(**{**_fields(packet), "token": sealed})
        return self.router.route(packet, CALLER, b"datagram", 0, now_s)

    def run(self, sealed, seq=1):
        """Run a request up to its acknowledged answer."""
        [start] = starts(self.route(sealed, request_part(seq)))
        self.answer(start)
        self.route(sealed, Acknowledge(b"", seq, 2, [], 64, True))

    def close(self, sealed):
        self.route(sealed, FlowClosed(b""))

    def expire(self, now_s):
        for flow in self.table.expire(now_s):
            self.executor.unregister_flow(flow, now_s)

    def flows_at_targets(self):
        snapshot = self.executor.dispatchers[SERVICE].snapshot()
        return sum(target.flows for target in snapshot.targets)

    def reissue(self):
        """Return the token that a relay draws in this instance's name."""
        lost = self.codec.unseal(self.open()[1], NOW_S)
        actions = self.relay.reissue_after_loss(lost, CALLER, NOW_S)
        return packets(actions, Reissued)[0].token

    def giver(self, successor):
        return HandOverSource(
            self.settings,
            self.table,
            self.executor,
            self.new_id,
            lambda service: successor,
            lambda identity: False,
        )


def _fields(packet):
    return {name: getattr(packet, name) for name in packet.__struct_fields__}


class ForgottenTestCase(unittest.TestCase):
    def assert_never_runs(self, actions):
        """A late copy neither runs nor is called "not run"; it gets a new token."""
        self.assertEqual(starts(actions), [])
        self.assertEqual(packets(actions, Refused), [])
        [reissued] = packets(actions, Reissued)
        self.assertFalse(reissued.continues)
        self.assertNotEqual(reissued.binding, reissued.old_binding)


class TestClosedFlow(ForgottenTestCase):
    def setUp(self):
        self.node = Node()
        _, self.sealed = self.node.open()

    def close_and_forget(self):
        self.node.close(self.sealed)
        self.node.expire(MINUTES_LATER_S)

    def test_is_not_kept_until_its_token_expires(self):
        self.node.run(self.sealed)
        self.close_and_forget()
        self.assertEqual(len(self.node.table), 0)
        self.assertEqual(self.node.flows_at_targets(), 0)

    def test_late_copy_of_what_ran_never_runs_again(self):
        self.node.run(self.sealed)
        self.close_and_forget()
        copy = self.node.route(self.sealed, request_part(1), MINUTES_LATER_S)
        self.assert_never_runs(copy)
        self.assertIn(Count("flows_reissued", "forgotten"), copy)
        self.assertEqual(len(self.node.table), 0)

    def test_request_that_arrives_after_its_flow_was_closed_and_forgotten(self):
        self.close_and_forget()
        late = self.node.route(self.sealed, request_part(1), MINUTES_LATER_S)
        self.assert_never_runs(late)

    def test_copies_that_follow_at_once_are_told_what_is_known(self):
        self.node.run(self.sealed)
        self.node.close(self.sealed)
        self.node.close(self.sealed)
        copy = self.node.route(self.sealed, request_part(1))
        self.assertEqual(len(packets(copy, Outcome)), 1)
        fresh = self.node.route(self.sealed, request_part(2))
        self.assertEqual(len(packets(fresh, Refused)), 1)
        self.node.expire(MINUTES_LATER_S)
        copy = self.node.route(self.sealed, request_part(2), MINUTES_LATER_S)
        self.assert_never_runs(copy)

    def test_owner_that_started_again_does_not_run_it(self):
        self.node.run(self.sealed)
        self.close_and_forget()
        restarted = Node("a", 5000)
        restarted.peers.dead.add(self.node.me.incarnation)
        copy = restarted.route(self.sealed, request_part(1), MINUTES_LATER_S)
        self.assert_never_runs(copy)


class TestBindingDrawnByRelay(ForgottenTestCase):
    def setUp(self):
        self.node = Node()
        self.sealed = self.node.reissue()

    def test_is_adopted_once(self):
        self.node.run(self.sealed)
        self.node.close(self.sealed)
        self.node.expire(MINUTES_LATER_S)
        copy = self.node.route(self.sealed, request_part(1), MINUTES_LATER_S)
        self.assert_never_runs(copy)

    def test_is_remembered_until_its_token_has_expired(self):
        self.node.run(self.sealed)
        self.node.close(self.sealed)
        token = self.node.codec.unseal(self.sealed, NOW_S)
        valid_s = self.node.settings.token_lifetime_s + CLOCK_SKEW_MARGIN_S
        for hour in range(int(valid_s / HOUR_S)):
            self.node.expire(NOW_S + hour * HOUR_S)
            self.assertFalse(self.node.table.may_adopt(token), hour)
        self.node.expire(NOW_S + 4 * valid_s)
        self.node.expire(NOW_S + 8 * valid_s)
        self.assertTrue(self.node.table.may_adopt(token))

    def test_waits_for_its_first_packet_as_long_as_its_token_is_valid(self):
        for hour in range(20):
            self.node.expire(NOW_S + hour * HOUR_S)
        late_s = NOW_S + 20 * HOUR_S
        first = self.node.route(self.sealed, request_part(1), late_s)
        self.assertEqual(len(starts(first)), 1)


class TestHandOverOfClosedFlows(ForgottenTestCase):
    def setUp(self):
        self.giver, self.taker = Node("a"), Node("b", 1000)
        _, self.closed = self.giver.open()
        _, self.still_open = self.giver.open()
        for sealed in (self.closed, self.still_open):
            self.giver.run(sealed)
        self.giver.close(self.closed)

    def hand_over(self):
        give = self.giver.giver(self.taker.me)
        [message] = _messages(give.tick(NOW_S), HandOver)
        _, actions = self.taker.taker.receive_transfer(
            self.giver.me, message, False, NOW_S
        )
        [accepted] = _messages(actions, HandOverAccepted)
        give.accepted(self.taker.me, accepted.transfer_id)
        return message

    def test_successor_gets_the_open_ones_only(self):
        message = self.hand_over()
        self.assertEqual(len(message.flows), 1)
        self.assertEqual((len(self.giver.table), len(self.taker.table)), (0, 1))
        self.assertEqual(self.taker.flows_at_targets(), 1)

    def test_late_copies_run_neither_here_nor_there(self):
        self.hand_over()
        self.assert_never_runs(self.giver.route(self.closed, request_part(1)))
        self.taker.peers.successors[self.giver.me.incarnation] = self.taker.me
        self.assert_never_runs(self.taker.route(self.closed, request_part(1)))

    def test_flow_closed_at_the_successor_runs_neither_here_nor_there(self):
        self.hand_over()
        self.taker.peers.successors[self.giver.me.incarnation] = self.taker.me
        self.taker.close(self.still_open)
        self.taker.expire(MINUTES_LATER_S)
        self.assertEqual(len(self.taker.table), 0)
        copy = self.taker.route(self.still_open, request_part(1), MINUTES_LATER_S)
        self.assert_never_runs(copy)
        passed_on = self.giver.route(self.still_open, request_part(1), MINUTES_LATER_S)
        self.assertEqual(starts(passed_on), [])
        self.assertEqual(packets(passed_on, Refused), [])

    def test_closed_flow_that_an_earlier_build_still_sends_is_left_out(self):
        flow = next(flow for flow in self.giver.table if flow.closed)
        message = HandOver(1, self.taker.me.incarnation, [snapshot_flow(flow, NOW_S)])
        flows, actions = self.taker.taker.receive_transfer(
            self.giver.me, message, False, NOW_S
        )
        self.assertEqual(flows, [])
        self.assertEqual(len(_messages(actions, HandOverAccepted)), 1)
        self.assertEqual(self.taker.flows_at_targets(), 0)


def _messages(actions, kind):
    return [
        action.message
        for action in actions
        if isinstance(action, SendToPeer) and isinstance(action.message, kind)
    ]


class TestIdleFlow(unittest.TestCase):
    def setUp(self):
        self.node = Node()

    def test_stays_established_for_hours(self):
        used, unused = self.node.open()[1], self.node.open()[1]
        self.node.run(used)
        for hour in range(23):
            self.node.expire(NOW_S + hour * HOUR_S)
        late_s = NOW_S + 23 * HOUR_S
        for sealed, seq in ((used, 2), (unused, 1)):
            request = self.node.route(sealed, request_part(seq), late_s)
            self.assertEqual(len(starts(request)), 1)

    def test_unused_flow_goes_to_the_successor_hours_later(self):
        self.node.open()
        self.node.expire(NOW_S + HOUR_S)
        give = self.node.giver(Identity("b", 2))
        [message] = _messages(give.tick(NOW_S + HOUR_S), HandOver)
        self.assertEqual(len(message.flows), 1)

    def test_oldest_unused_flows_go_beyond_the_limit(self):
        table = FlowTable(self.node.settings, self.node.me, self.node.new_id, 2)
        flows = [table.open(SERVICE, "", CALLER, NOW_S) for _ in range(5)]
        flows[0].window.claim(1)
        self.assertEqual(table.expire(NOW_S + 1), [])
        self.assertEqual(table.expire(MINUTES_LATER_S), flows[1:3])
        self.assertIs(table.get(flows[0].binding), flows[0])

    def test_flow_whose_token_has_expired_goes_within_an_hour(self):
        _, sealed = self.node.open()
        self.node.run(sealed)
        self.node.expire(NOW_S)
        kept_s = self.node.settings.token_lifetime_s + CLOCK_SKEW_MARGIN_S
        self.node.expire(NOW_S + kept_s)
        self.assertEqual(len(self.node.table), 1)
        self.node.expire(NOW_S + kept_s + EXPIRY_SCAN_PERIOD_S)
        self.assertEqual(len(self.node.table), 0)

    def test_each_flow_is_looked_at_once_an_hour(self):
        table = self.node.table
        table.expire(NOW_S)
        flows = [table.open(SERVICE, "", CALLER, NOW_S) for _ in range(50)]
        for flow in flows:
            flow.window.claim(1)
            flow.heard_at_s = -1e9
        dropped = [len(table.expire(NOW_S + 360.0 * step)) for step in range(1, 11)]
        self.assertEqual(sum(dropped), 50)
        self.assertLessEqual(max(dropped), 6)


if __name__ == "__main__":
    unittest.main()

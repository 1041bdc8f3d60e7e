import unittest

from endivepick.core.actions import CancelAttempt, Count, SendToPeer
from endivepick.core.dispatch import TargetHealth
from endivepick.core.events import StreamData, StreamOpened
from endivepick.core.flow_table import Identity
from endivepick.core.handover import HandOverGiver, HandOverTaker
from endivepick.core.messages import Acknowledge, AnswerPart, Refused, Unreachable
from endivepick.core.peer_messages import HandOver, HandOverAccepted, HandOverRefused
from endivepick.core.tests._fixture import (
    NOW_S,
    OwnerFixture,
    packets,
    request_part,
    starts,
)


def sent(actions, kind):
    return [
        action.message
        for action in actions
        if isinstance(action, SendToPeer) and isinstance(action.message, kind)
    ]


class TestHandOver(unittest.TestCase):
    def setUp(self):
        self.giver = OwnerFixture("a", 1)
        self.taker = OwnerFixture("b", 1000)
        self.successor = self.taker.me
        self.dead = set()
        self.give = HandOverGiver(
            self.giver.settings,
            self.giver.table,
            self.giver.executor,
            self.giver.new_id,
            lambda service: self.successor,
            lambda identity: identity in self.dead,
        )
        self.take = HandOverTaker(
            self.taker.settings, self.taker.table, self.taker.executor
        )
        self.token, _ = self.giver.open()

    def open_flow(self):
        return self.giver.open()[0]

    def hand_over(self):
        [message] = sent(self.give.tick(NOW_S), HandOver)
        _, actions = self.take.take(self.giver.me, message, False, NOW_S)
        [accepted] = sent(actions, HandOverAccepted)
        self.give.accepted(self.taker.me, accepted.transfer_id)
        return message, actions

    def test_flows_taken_are_counted_once(self):
        self.open_flow()
        [message] = sent(self.give.tick(NOW_S), HandOver)
        [counted] = [
            action
            for _ in range(2)
            for action in self.give.accepted(self.taker.me, message.transfer_id)
            if isinstance(action, Count)
        ]
        self.assertEqual(counted, Count("flows_handed_over", "notes", 2))

    def test_flow_waits_for_its_request_in_progress(self):
        [start] = starts(self.giver.request(self.token, 1))
        self.assertEqual(sent(self.give.tick(NOW_S), HandOver), [])
        self.giver.answer(start)
        self.assertEqual(len(sent(self.give.tick(NOW_S), HandOver)), 1)

    def test_successor_knows_what_ran(self):
        [start] = starts(self.giver.request(self.token, 1))
        self.giver.answer(start, b"whole")
        self.hand_over()
        copy = self.taker.request(self.token, 1)
        asked = self.taker.send(self.token, Acknowledge(b"", 1, 0, [], 64, False))
        parts = packets(asked, AnswerPart)
        self.assertEqual(starts(copy), [])
        self.assertEqual(parts[-1].data, b"whole")
        self.assertEqual(len(starts(self.taker.request(self.token, 2))), 1)

    def test_frozen_flow_never_runs_again_at_the_giver(self):
        self.give.tick(NOW_S)
        actions = self.giver.request(self.token, 1)
        self.assertEqual(starts(actions), [])
        self.assertEqual(len(packets(actions, Unreachable)), 1)

    def test_waiting_request_starts_at_the_successor(self):
        other, waiting = self.open_flow(), self.open_flow()
        for seq in (1, 2):
            self.giver.request(self.token, seq)
            self.giver.request(other, seq)
        self.assertEqual(starts(self.giver.request(waiting, 1)), [])
        self.give.tick(NOW_S)
        [transfer] = self.give._transfers.values()
        _, actions = self.take.take(self.giver.me, transfer.message, False, NOW_S)
        self.assertEqual(len(starts(actions)), 1)

    def test_stream_goes_on_after_its_last_event(self):
        [start] = starts(self.giver.request(self.token, 1, stream=True))
        executor = self.giver.executor
        executor.stream_opened(StreamOpened(start.request_id, 1, 200, []))
        executor.stream_data(StreamData(start.request_id, 1, b"id: 9\n\n", "9"), NOW_S)
        _, actions = self.hand_over()
        [resumed] = starts(actions)
        self.assertEqual(resumed.last_event_id, "9")

    def test_stream_that_goes_on_elsewhere_is_not_cancelled_by_its_key(self):
        [start] = starts(self.giver.request(self.token, 1, stream=True))
        self.assertIn(
            CancelAttempt(start.request_id, start.attempt, by_key=False),
            self.give.tick(NOW_S),
        )

    def test_stream_waits_for_the_first_probe_of_a_new_owner(self):
        [start] = starts(self.giver.request(self.token, 1, stream=True))
        executor = self.giver.executor
        executor.stream_opened(StreamOpened(start.request_id, 1, 200, []))
        executor.stream_data(StreamData(start.request_id, 1, b"id: 9\n\n", "9"), NOW_S)
        self.taker.forget_probes()
        _, actions = self.hand_over()
        self.assertEqual(starts(actions) + packets(actions, Refused), [])
        [resumed] = starts(self.taker.probe_targets())
        self.assertEqual(resumed.last_event_id, "9")

    def test_stream_that_no_target_takes_is_tried_again(self):
        [start] = starts(self.giver.request(self.token, 1, stream=True))
        executor = self.giver.executor
        executor.stream_opened(StreamOpened(start.request_id, 1, 200, []))
        executor.stream_data(StreamData(start.request_id, 1, b"id: 9\n\n", "9"), NOW_S)
        self.taker.probe_targets(TargetHealth.DRAINING)
        _, actions = self.hand_over()
        self.assertEqual(starts(actions) + packets(actions, Refused), [])
        self.taker.probe_targets(TargetHealth.READY, incarnation=78)
        asked = self.taker.send(self.token, Acknowledge(b"", 1, 0, [], 64, False))
        [resumed] = starts(asked)
        self.assertEqual(resumed.last_event_id, "9")

    def test_repeated_hand_over_is_accepted_and_changes_nothing(self):
        message, _ = self.hand_over()
        self.taker.request(self.token, 1)
        flows, actions = self.take.take(self.giver.me, message, False, NOW_S)
        self.assertEqual(flows, [])
        self.assertEqual(len(sent(actions, HandOverAccepted)), 1)
        self.assertEqual(starts(self.taker.request(self.token, 1)), [])

    def test_hand_over_is_repeated_to_the_same_successor(self):
        [message] = sent(self.give.tick(NOW_S), HandOver)
        self.successor = Identity("c", 3)
        again = self.give.tick(NOW_S + 1)
        self.assertEqual(sent(again, HandOver), [message])
        self.assertEqual(
            [action.name for action in again if sent([action], HandOver)], ["b"]
        )

    def test_flows_of_a_dead_successor_go_to_nobody_else(self):
        self.give.tick(NOW_S)
        self.dead.add(self.taker.me)
        self.successor = Identity("c", 3)
        self.assertEqual(sent(self.give.tick(NOW_S + 1), HandOver), [])
        self.assertEqual(self.give.open_transfers, 0)

    def test_leaving_successor_refuses_and_another_takes(self):
        [message] = sent(self.give.tick(NOW_S), HandOver)
        _, actions = self.take.take(self.giver.me, message, True, NOW_S)
        self.assertEqual(len(sent(actions, HandOverRefused)), 1)
        self.successor = Identity("c", 3)
        again = self.give.refused(self.taker.me, message.transfer_id, NOW_S)
        self.assertEqual(again[0].name, "c")

    def test_leaving_successor_that_took_it_before_still_accepts(self):
        message, _ = self.hand_over()
        _, actions = self.take.take(self.giver.me, message, True, NOW_S)
        self.assertEqual(len(sent(actions, HandOverAccepted)), 1)
        self.assertEqual(sent(actions, HandOverRefused), [])

    def test_refusal_by_a_stranger_changes_nothing(self):
        [message] = sent(self.give.tick(NOW_S), HandOver)
        actions = self.give.refused(Identity("x", 9), message.transfer_id, NOW_S)
        self.assertEqual(actions, [])
        self.assertEqual(self.give.open_transfers, 1)

    def test_transfer_meant_for_an_earlier_incarnation_is_ignored(self):
        self.successor = Identity(self.taker.me.name, 4711)
        [message] = sent(self.give.tick(NOW_S), HandOver)
        flows, actions = self.take.take(self.giver.me, message, False, NOW_S)
        self.assertEqual((flows, actions), ([], []))
        self.assertEqual(len(self.taker.table), 0)

    def test_frozen_flow_is_not_forgotten_before_it_is_taken(self):
        self.give.tick(NOW_S)
        self.giver.table.expire(NOW_S + 10 * self.giver.settings.token_lifetime_s)
        self.assertEqual(len(self.giver.table), 1)

    def test_request_parts_without_the_rest_do_not_hold_a_flow_up(self):
        part = request_part(1)
        incomplete = type(part)(b"", 1, 0, 2, False, 10_000, part.data)
        self.giver.send(self.token, incomplete)
        self.assertEqual(len(sent(self.give.tick(NOW_S), HandOver)), 1)


if __name__ == "__main__":
    unittest.main()

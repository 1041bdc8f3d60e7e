import unittest

from endivepick.core.actions import CancelAttempt, Count, SendToPeer
from endivepick.core.dispatch import TargetHealth
from endivepick.core.events import StreamData, StreamOpened
from endivepick.core.flow_table import Identity
from endivepick.core.handover_source import (
    FLOWS_PER_MESSAGE_MAX,
    OPEN_TRANSFERS_MAX,
    HandOverDestination,
    HandOverSource,
)
from endivepick.core.messages import (
    Acknowledge,
    AnswerPart,
    Outcome,
    Refused,
    Unreachable,
)
from endivepick.core.peer_messages import (
    Forwarded,
    HandOver,
    HandOverAccepted,
    HandOverPiece,
    HandOverPieceTaken,
    HandOverRefused,
)
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
        self.give = HandOverSource(
            self.giver.settings,
            self.giver.table,
            self.giver.executor,
            self.giver.new_id,
            lambda service: self.successor,
            lambda identity: identity in self.dead,
        )
        self.receive_transfer = HandOverDestination(
            self.taker.settings, self.taker.table, self.taker.executor
        )
        self.token, _ = self.giver.open()

    def open_flow(self):
        return self.giver.open()[0]

    def hand_over(self):
        [message] = sent(self.give.tick(NOW_S), HandOver)
        _, actions = self.receive_transfer.receive_transfer(
            self.giver.me, message, False, NOW_S
        )
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
        _, actions = self.receive_transfer.receive_transfer(
            self.giver.me, transfer.message, False, NOW_S
        )
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
        self.taker.reset_dispatcher()
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
        flows, actions = self.receive_transfer.receive_transfer(
            self.giver.me, message, False, NOW_S
        )
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
        _, actions = self.receive_transfer.receive_transfer(
            self.giver.me, message, True, NOW_S
        )
        self.assertEqual(len(sent(actions, HandOverRefused)), 1)
        self.successor = Identity("c", 3)
        again = self.give.refused(self.taker.me, message.transfer_id, NOW_S)
        [given] = [action for action in again if isinstance(action, SendToPeer)]
        self.assertEqual(given.name, "c")

    def test_leaving_successor_that_took_it_before_still_accepts(self):
        message, _ = self.hand_over()
        _, actions = self.receive_transfer.receive_transfer(
            self.giver.me, message, True, NOW_S
        )
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
        flows, actions = self.receive_transfer.receive_transfer(
            self.giver.me, message, False, NOW_S
        )
        self.assertEqual((flows, actions), ([], []))
        self.assertEqual(len(self.taker.table), 0)

    def test_frozen_flow_is_not_forgotten_before_it_is_taken(self):
        self.give.tick(NOW_S)
        self.giver.table.expire(NOW_S + 10 * self.giver.settings.token_lifetime_s)
        self.assertEqual(len(self.giver.table), 1)

    def test_flows_beyond_the_open_transfers_still_serve(self):
        count = FLOWS_PER_MESSAGE_MAX * OPEN_TRANSFERS_MAX
        tokens = [self.token, *(self.open_flow() for _ in range(count))]
        messages = sent(self.give.tick(NOW_S), HandOver)
        self.assertEqual(sum(len(message.flows) for message in messages), count)
        self.assertEqual(len(starts(self.giver.request(tokens[-1], 1))), 1)
        self.give.accepted(self.successor, messages[0].transfer_id)
        self.giver.table.get(tokens[-1].binding).requests.clear()
        self.assertEqual(len(sent(self.give.tick(NOW_S), HandOver)), 1)

    def test_one_successor_for_all_flows_of_a_service(self):
        self.give.is_valid_successor = lambda identity: identity == self.taker.me
        self.hand_over()
        self.successor = Identity("c", 3)
        self.open_flow()
        self.hand_over()

    def test_large_flow_goes_in_pieces_of_which_some_are_lost(self):
        [start] = starts(self.giver.request(self.token, 1))
        self.giver.answer(start, bytes(10_000_000))
        lost = iter([True, False, False] * 1000)
        arrived = self.give.tick(NOW_S)
        self.assertEqual(sent(arrived, HandOver), [])
        now_s = NOW_S
        while self.give.open_transfers and now_s < NOW_S + 60:
            answers = []
            for piece in sent(arrived, HandOverPiece):
                if not next(lost):
                    answers += self.take_piece(piece, now_s)
            arrived = []
            for answer in sent(answers, HandOverPieceTaken):
                arrived += self.give.piece_taken(
                    self.taker.me, answer.transfer_id, answer.index
                )
            for answer in sent(answers, HandOverAccepted):
                self.give.accepted(self.taker.me, answer.transfer_id)
            now_s += 0.1
            arrived += self.give.tick(now_s)
        answer = self.taker.flow(self.token).requests[1].answer
        self.assertEqual(answer.size_bytes, sum(map(len, answer.parts)))
        self.assertGreater(answer.size_bytes, 10_000_000)

    def take_piece(self, piece, now_s):
        message, actions = self.receive_transfer.take_piece(
            self.giver.me, piece, False, now_s
        )
        if message is not None:
            actions += self.receive_transfer.receive_transfer(
                self.giver.me, message, False, now_s
            )[1]
        return actions

    def test_hand_over_without_an_answer_goes_over_a_third_instance(self):
        self.give.helpers = lambda: ("b", "c")
        [message] = sent(self.give.tick(NOW_S), HandOver)
        actions = self.give.tick(NOW_S + 1) + self.give.tick(NOW_S + 2)
        [around] = sent(actions, Forwarded)
        self.assertEqual((around.to_name, around.message), ("b", message))

    def test_cut_requests_wait_for_the_successor_or_have_an_unknown_outcome(self):
        other = self.open_flow()
        self.giver.request(self.token, 1)
        part = request_part(1)
        self.giver.send(other, type(part)(b"", 1, 0, 1, True, 10_000, part.data))
        outcomes = packets(self.give.abort_running(), Outcome)
        self.assertEqual([one.binding for one in outcomes], [self.token.binding])
        [message] = sent(self.give.tick(NOW_S), HandOver)
        _, actions = self.receive_transfer.receive_transfer(
            self.giver.me, message, False, NOW_S
        )
        [start] = starts(actions)
        self.assertEqual(start.request_id[0], other.binding)

    def test_nothing_is_cut_without_a_successor(self):
        self.giver.request(self.token, 1)
        self.successor = None
        self.assertEqual(self.give.abort_running(), [])

    def test_flows_without_a_successor_wait_for_one_that_joins(self):
        self.successor = None
        self.assertTrue(self.give.idle)
        self.give.successor_may_come = lambda: True
        self.assertFalse(self.give.idle)

    def test_request_parts_without_the_rest_do_not_hold_a_flow_up(self):
        part = request_part(1)
        incomplete = type(part)(b"", 1, 0, 2, False, 10_000, part.data)
        self.giver.send(self.token, incomplete)
        self.assertEqual(len(sent(self.give.tick(NOW_S), HandOver)), 1)


if __name__ == "__main__":
    unittest.main()

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
        self.source = OwnerFixture("a", 1)
        self.destination = OwnerFixture("b", 1000)
        self.successor = self.destination.me
        self.dead = set()
        self.handover_source = HandOverSource(
            self.source.settings,
            self.source.table,
            self.source.executor,
            self.source.new_id,
            lambda service: self.successor,
            lambda identity: identity in self.dead,
        )
        self.handover_destination = HandOverDestination(
            self.destination.settings, self.destination.table, self.destination.executor
        )
        self.token, _ = self.source.open()

    def open_flow(self):
        return self.source.open()[0]

    def hand_over(self):
        [message] = sent(self.handover_source.tick(NOW_S), HandOver)
        _, actions = self.handover_destination.receive_transfer(
            self.source.me, message, False, NOW_S
        )
        [accepted] = sent(actions, HandOverAccepted)
        self.handover_source.accepted(self.destination.me, accepted.transfer_id)
        return message, actions

    def test_accepted_flows_are_counted_once(self):
        self.open_flow()
        [message] = sent(self.handover_source.tick(NOW_S), HandOver)
        [increment] = [
            action
            for _ in range(2)
            for action in self.handover_source.accepted(
                self.destination.me, message.transfer_id
            )
            if isinstance(action, Count)
        ]
        self.assertEqual(increment, Count("flows_handed_over", "notes", 2))

    def test_flow_with_a_request_in_progress_is_sent_later(self):
        [start] = starts(self.source.request(self.token, 1))
        self.assertEqual(sent(self.handover_source.tick(NOW_S), HandOver), [])
        self.source.answer(start)
        self.assertEqual(len(sent(self.handover_source.tick(NOW_S), HandOver)), 1)

    def test_successor_restores_the_replay_window_and_the_answer(self):
        [start] = starts(self.source.request(self.token, 1))
        self.source.answer(start, b"whole")
        self.hand_over()
        copy = self.destination.request(self.token, 1)
        asked = self.destination.send(self.token, Acknowledge(b"", 1, 0, [], 64, False))
        parts = packets(asked, AnswerPart)
        self.assertEqual(starts(copy), [])
        self.assertEqual(parts[-1].data, b"whole")
        self.assertEqual(len(starts(self.destination.request(self.token, 2))), 1)

    def test_frozen_flow_runs_no_request_at_the_source(self):
        self.handover_source.tick(NOW_S)
        actions = self.source.request(self.token, 1)
        self.assertEqual(starts(actions), [])
        self.assertEqual(len(packets(actions, Unreachable)), 1)

    def test_waiting_request_starts_at_the_successor(self):
        other, waiting = self.open_flow(), self.open_flow()
        for seq in (1, 2):
            self.source.request(self.token, seq)
            self.source.request(other, seq)
        self.assertEqual(starts(self.source.request(waiting, 1)), [])
        self.handover_source.tick(NOW_S)
        [transfer] = self.handover_source._transfers.values()
        _, actions = self.handover_destination.receive_transfer(
            self.source.me, transfer.message, False, NOW_S
        )
        self.assertEqual(len(starts(actions)), 1)

    def test_stream_resumes_after_its_last_event(self):
        [start] = starts(self.source.request(self.token, 1, stream=True))
        executor = self.source.executor
        executor.stream_opened(StreamOpened(start.request_id, 1, 200, []))
        executor.stream_data(StreamData(start.request_id, 1, b"id: 9\n\n", "9"), NOW_S)
        _, actions = self.hand_over()
        [resumed] = starts(actions)
        self.assertEqual(resumed.last_event_id, "9")

    def test_stream_resumed_at_the_successor_is_not_cancelled_by_key(self):
        [start] = starts(self.source.request(self.token, 1, stream=True))
        self.assertIn(
            CancelAttempt(start.request_id, start.attempt, by_key=False),
            self.handover_source.tick(NOW_S),
        )

    def test_stream_waits_for_the_first_probe_of_a_new_owner(self):
        [start] = starts(self.source.request(self.token, 1, stream=True))
        executor = self.source.executor
        executor.stream_opened(StreamOpened(start.request_id, 1, 200, []))
        executor.stream_data(StreamData(start.request_id, 1, b"id: 9\n\n", "9"), NOW_S)
        self.destination.reset_dispatcher()
        _, actions = self.hand_over()
        self.assertEqual(starts(actions) + packets(actions, Refused), [])
        [resumed] = starts(self.destination.probe_targets())
        self.assertEqual(resumed.last_event_id, "9")

    def test_stream_that_no_target_accepts_is_retried(self):
        [start] = starts(self.source.request(self.token, 1, stream=True))
        executor = self.source.executor
        executor.stream_opened(StreamOpened(start.request_id, 1, 200, []))
        executor.stream_data(StreamData(start.request_id, 1, b"id: 9\n\n", "9"), NOW_S)
        self.destination.probe_targets(TargetHealth.DRAINING)
        _, actions = self.hand_over()
        self.assertEqual(starts(actions) + packets(actions, Refused), [])
        self.destination.probe_targets(TargetHealth.READY, incarnation=78)
        asked = self.destination.send(self.token, Acknowledge(b"", 1, 0, [], 64, False))
        [resumed] = starts(asked)
        self.assertEqual(resumed.last_event_id, "9")

    def test_repeated_transfer_is_accepted_without_effect(self):
        message, _ = self.hand_over()
        self.destination.request(self.token, 1)
        flows, actions = self.handover_destination.receive_transfer(
            self.source.me, message, False, NOW_S
        )
        self.assertEqual(flows, [])
        self.assertEqual(len(sent(actions, HandOverAccepted)), 1)
        self.assertEqual(starts(self.destination.request(self.token, 1)), [])

    def test_transfer_is_retransmitted_to_the_same_successor(self):
        [message] = sent(self.handover_source.tick(NOW_S), HandOver)
        self.successor = Identity("c", 3)
        retransmitted = self.handover_source.tick(NOW_S + 1)
        self.assertEqual(sent(retransmitted, HandOver), [message])
        self.assertEqual(
            [action.name for action in retransmitted if sent([action], HandOver)], ["b"]
        )

    def test_flows_of_a_dead_successor_are_sent_to_no_other(self):
        self.handover_source.tick(NOW_S)
        self.dead.add(self.destination.me)
        self.successor = Identity("c", 3)
        self.assertEqual(sent(self.handover_source.tick(NOW_S + 1), HandOver), [])
        self.assertEqual(self.handover_source.open_transfers, 0)

    def test_refused_transfer_is_sent_to_another_successor(self):
        [message] = sent(self.handover_source.tick(NOW_S), HandOver)
        _, actions = self.handover_destination.receive_transfer(
            self.source.me, message, True, NOW_S
        )
        self.assertEqual(len(sent(actions, HandOverRefused)), 1)
        self.successor = Identity("c", 3)
        retried = self.handover_source.refused(
            self.destination.me, message.transfer_id, NOW_S
        )
        [sending] = [action for action in retried if isinstance(action, SendToPeer)]
        self.assertEqual(sending.name, "c")

    def test_leaving_successor_still_accepts_an_earlier_transfer(self):
        message, _ = self.hand_over()
        _, actions = self.handover_destination.receive_transfer(
            self.source.me, message, True, NOW_S
        )
        self.assertEqual(len(sent(actions, HandOverAccepted)), 1)
        self.assertEqual(sent(actions, HandOverRefused), [])

    def test_refusal_by_another_instance_is_ignored(self):
        [message] = sent(self.handover_source.tick(NOW_S), HandOver)
        actions = self.handover_source.refused(
            Identity("x", 9), message.transfer_id, NOW_S
        )
        self.assertEqual(actions, [])
        self.assertEqual(self.handover_source.open_transfers, 1)

    def test_transfer_addressed_to_an_earlier_incarnation_is_ignored(self):
        self.successor = Identity(self.destination.me.name, 4711)
        [message] = sent(self.handover_source.tick(NOW_S), HandOver)
        flows, actions = self.handover_destination.receive_transfer(
            self.source.me, message, False, NOW_S
        )
        self.assertEqual((flows, actions), ([], []))
        self.assertEqual(len(self.destination.table), 0)

    def test_frozen_flow_does_not_expire_before_it_is_accepted(self):
        self.handover_source.tick(NOW_S)
        self.source.table.expire(NOW_S + 10 * self.source.settings.token_lifetime_s)
        self.assertEqual(len(self.source.table), 1)

    def test_flows_beyond_the_transfer_limit_still_serve(self):
        count = FLOWS_PER_MESSAGE_MAX * OPEN_TRANSFERS_MAX
        tokens = [self.token, *(self.open_flow() for _ in range(count))]
        messages = sent(self.handover_source.tick(NOW_S), HandOver)
        self.assertEqual(sum(len(message.flows) for message in messages), count)
        self.assertEqual(len(starts(self.source.request(tokens[-1], 1))), 1)
        self.handover_source.accepted(self.successor, messages[0].transfer_id)
        self.source.table.get(tokens[-1].binding).requests.clear()
        self.assertEqual(len(sent(self.handover_source.tick(NOW_S), HandOver)), 1)

    def test_one_successor_for_all_flows_of_a_service(self):
        self.handover_source.is_valid_successor = lambda identity: (
            identity == self.destination.me
        )
        self.hand_over()
        self.successor = Identity("c", 3)
        self.open_flow()
        self.hand_over()

    def test_large_flow_is_sent_in_pieces_despite_loss(self):
        [start] = starts(self.source.request(self.token, 1))
        self.source.answer(start, bytes(10_000_000))
        losses = iter([True, False, False] * 1000)
        outgoing = self.handover_source.tick(NOW_S)
        self.assertEqual(sent(outgoing, HandOver), [])
        now_s = NOW_S
        while self.handover_source.open_transfers and now_s < NOW_S + 60:
            answers = []
            for piece in sent(outgoing, HandOverPiece):
                if not next(losses):
                    answers += self.deliver_piece(piece, now_s)
            outgoing = []
            for answer in sent(answers, HandOverPieceTaken):
                outgoing += self.handover_source.piece_taken(
                    self.destination.me, answer.transfer_id, answer.index
                )
            for answer in sent(answers, HandOverAccepted):
                self.handover_source.accepted(self.destination.me, answer.transfer_id)
            now_s += 0.1
            outgoing += self.handover_source.tick(now_s)
        answer = self.destination.flow(self.token).requests[1].answer
        self.assertEqual(answer.size_bytes, sum(map(len, answer.parts)))
        self.assertGreater(answer.size_bytes, 10_000_000)

    def deliver_piece(self, piece, now_s):
        message, actions = self.handover_destination.receive_piece(
            self.source.me, piece, False, now_s
        )
        if message is not None:
            actions += self.handover_destination.receive_transfer(
                self.source.me, message, False, now_s
            )[1]
        return actions

    def test_unanswered_transfer_is_sent_through_a_third_instance(self):
        self.handover_source.list_intermediaries = lambda: ("b", "c")
        [message] = sent(self.handover_source.tick(NOW_S), HandOver)
        actions = self.handover_source.tick(NOW_S + 1) + self.handover_source.tick(
            NOW_S + 2
        )
        [forwarded] = sent(actions, Forwarded)
        self.assertEqual((forwarded.to_name, forwarded.message), ("b", message))

    def test_aborted_request_runs_at_the_successor_or_has_an_unknown_outcome(self):
        other = self.open_flow()
        self.source.request(self.token, 1)
        part = request_part(1)
        self.source.send(other, type(part)(b"", 1, 0, 1, True, 10_000, part.data))
        outcomes = packets(self.handover_source.abort_running(), Outcome)
        self.assertEqual(
            [outcome.binding for outcome in outcomes], [self.token.binding]
        )
        [message] = sent(self.handover_source.tick(NOW_S), HandOver)
        _, actions = self.handover_destination.receive_transfer(
            self.source.me, message, False, NOW_S
        )
        [start] = starts(actions)
        self.assertEqual(start.request_id[0], other.binding)

    def test_no_request_is_aborted_without_a_successor(self):
        self.source.request(self.token, 1)
        self.successor = None
        self.assertEqual(self.handover_source.abort_running(), [])

    def test_flows_without_a_successor_wait_for_a_joining_instance(self):
        self.successor = None
        self.assertTrue(self.handover_source.is_idle)
        self.handover_source.is_instance_joining = lambda: True
        self.assertFalse(self.handover_source.is_idle)

    def test_incomplete_request_does_not_delay_the_handover(self):
        part = request_part(1)
        incomplete = type(part)(b"", 1, 0, 2, False, 10_000, part.data)
        self.source.send(self.token, incomplete)
        self.assertEqual(len(sent(self.handover_source.tick(NOW_S), HandOver)), 1)


if __name__ == "__main__":
    unittest.main()

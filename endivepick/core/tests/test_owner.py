import unittest
from unittest.mock import patch

from endivepick.core.actions import (
    CancelAttempt,
    Count,
    Log,
    Observe,
    StartAttempt,
)
from endivepick.core.dispatch import FinishKind
from endivepick.core.events import AttemptFailed, StreamData, StreamOpened
from endivepick.core.flow_table import FlowTable
from endivepick.core.messages import (
    Accepted,
    Acknowledge,
    AnswerPart,
    Cancel,
    FlowClosed,
    Opened,
    Outcome,
    Refused,
    RequestPart,
    RequestProgress,
    Unreachable,
)
from endivepick.core.tests._fixture import (
    CALLER,
    NOW_S,
    OwnerFixture,
    packets,
    request_part,
    starts,
)


class TestOwner(unittest.TestCase):
    def setUp(self):
        self.fixture = OwnerFixture()
        self.token, _ = self.fixture.open()

    def fail_attempt(self, start, kind, **more):
        event = AttemptFailed(start.request_id, start.attempt, kind, 0.01, **more)
        return self.fixture.executor.failed(event, NOW_S)

    def test_duplicate_requests_run_once(self):
        first = self.fixture.request(self.token, 1)
        copies = [self.fixture.request(self.token, 1) for _ in range(3)]
        self.assertEqual(len(starts(first)), 1)
        self.assertEqual([starts(copy) for copy in copies], [[], [], []])
        self.assertTrue(all(packets(copy, Accepted) for copy in copies))

    def test_duplicate_after_answer_gets_same_answer(self):
        [start] = starts(self.fixture.request(self.token, 1))
        sent = packets(self.fixture.answer(start, b"x" * 2000), AnswerPart)
        copy = self.fixture.request(self.token, 1)
        self.assertEqual([part.index for part in sent], [0, 1, 2])
        self.assertTrue(sent[-1].final)
        self.assertEqual(packets(copy, AnswerPart), sent[:1])

    def test_duplicate_after_acknowledged_answer_does_not_run(self):
        [start] = starts(self.fixture.request(self.token, 1))
        self.fixture.answer(start)
        self.fixture.send(self.token, Acknowledge(b"", 1, 2, [], 64, True))
        copy = self.fixture.request(self.token, 1)
        self.assertEqual(starts(copy), [])
        self.assertEqual(len(packets(copy, Outcome)), 1)

    def test_refused_request_never_runs_later(self):
        [start] = starts(self.fixture.request(self.token, 1))
        dispatcher = self.fixture.executor.dispatchers.pop("notes")
        refused = self.fixture.request(self.token, 2)
        self.fixture.executor.dispatchers["notes"] = dispatcher
        copy = self.fixture.request(self.token, 2)
        self.assertEqual(len(packets(refused, Refused)), 1)
        self.assertEqual(packets(copy, Refused), packets(refused, Refused))
        self.assertEqual(starts(copy), [])

    def test_broken_connection_leaves_the_outcome_unknown(self):
        [start] = starts(self.fixture.request(self.token, 1))
        actions = self.fail_attempt(start, FinishKind.BROKEN)
        self.assertEqual(len(packets(actions, Outcome)), 1)
        self.assertEqual(packets(actions, Refused), [])

    def test_shed_request_goes_to_another_target(self):
        [start] = starts(self.fixture.request(self.token, 1))
        actions = self.fail_attempt(start, FinishKind.SHED, retry_after_s=5.0)
        [second] = starts(actions)
        self.assertNotEqual(second.target, start.target)
        self.assertEqual(second.idempotency_key, start.idempotency_key)
        counts = [action for action in actions if isinstance(action, Count)]
        self.assertEqual(counts, [Count("attempts_retried", "shed")])

    def test_sweep_visits_only_flows_with_requests(self):
        fixture = self.fixture
        for _ in range(100):
            fixture.open()
        fixture.request(self.token, 1)
        with patch.object(FlowTable, "__iter__", side_effect=AssertionError):
            fixture.owner.tick(NOW_S + 1)
            cancelled = fixture.owner.tick(NOW_S + 60)
        self.assertTrue(any(isinstance(a, CancelAttempt) for a in cancelled))

    def test_log_precedes_send(self):
        fixture = self.fixture
        opened = fixture.owner.open_flow("notes", 1, CALLER, NOW_S)
        accepted = fixture.request(self.token, 1)
        [start] = starts(accepted)
        broken = self.fail_attempt(start, FinishKind.BROKEN)
        [start] = starts(fixture.request(self.token, 2))
        answered = fixture.answer(start)
        fixture.executor.dispatchers.clear()
        refused = fixture.request(self.token, 3)
        for actions, logged, sent in (
            (opened, "flow_opened", Opened),
            (accepted, "request_accepted", Accepted),
            (accepted, "attempt_started", StartAttempt),
            (broken, "outcome_unknown", Outcome),
            (answered, "request_answered", AnswerPart),
            (refused, "request_refused", Refused),
        ):
            with self.subTest(logged):
                names = [a.name if isinstance(a, Log) else "" for a in actions]
                kinds = [type(getattr(a, "packet", a)) for a in actions]
                self.assertLess(names.index(logged), kinds.index(sent))

    def test_time_to_answer_starts_at_complete_request(self):
        [start] = starts(self.fixture.request(self.token, 1, now_s=NOW_S - 2.5))
        observed = [a for a in self.fixture.answer(start) if isinstance(a, Observe)]
        self.assertEqual(observed, [Observe("time_to_answer_s", "notes", 2.5)])

    def test_leaving_owner_admits_requests_of_flow_with_long_request(self):
        self.fixture.request(self.token, 1)
        self.fixture.owner.begin_leaving(NOW_S, NOW_S + 20)
        put_off = self.fixture.request(self.token, 2, now_s=NOW_S + 0.5)
        self.assertEqual(len(packets(put_off, Unreachable)), 1)
        taken = self.fixture.request(self.token, 2, now_s=NOW_S + 1.5)
        self.assertEqual(len(starts(taken)), 1)
        too_long = self.fixture.request(self.token, 3, now_s=NOW_S + 11.5)
        self.assertEqual(len(packets(too_long, Unreachable)), 1)

    def test_leaving_owner_defers_request_of_idle_flow(self):
        self.fixture.owner.begin_leaving(NOW_S, NOW_S + 20)
        actions = self.fixture.request(self.token, 1, now_s=NOW_S + 1.5)
        self.assertEqual(len(packets(actions, Unreachable)), 1)

    def test_cancellation_before_request_prevents_run(self):
        self.fixture.send(self.token, Cancel(b"", 1))
        self.assertEqual(starts(self.fixture.request(self.token, 1)), [])

    def test_cancelled_request_is_cancelled_at_its_target(self):
        [start] = starts(self.fixture.request(self.token, 1))
        actions = self.fixture.send(self.token, Cancel(b"", 1))
        self.assertIn(CancelAttempt(start.request_id, start.attempt), actions)
        dispatcher = self.fixture.executor.dispatchers["notes"]
        self.assertEqual(dispatcher.in_flight(start.target), 1)
        self.fail_attempt(start, FinishKind.CANCELLED)
        self.assertEqual(dispatcher.in_flight(start.target), 0)

    def test_request_of_silent_caller_is_cancelled(self):
        [start] = starts(self.fixture.request(self.token, 1))
        later_s = NOW_S + self.fixture.settings.caller_silence_s + 1
        actions = self.fixture.owner.tick(later_s)
        self.assertIn(CancelAttempt(start.request_id, start.attempt), actions)

    def test_answer_of_outdated_attempt_is_dropped(self):
        [start] = starts(self.fixture.request(self.token, 1))
        [second] = starts(self.fail_attempt(start, FinishKind.SHED, retry_after_s=5.0))
        self.assertEqual(packets(self.fixture.answer(start, b"old"), AnswerPart), [])
        [part0, part1] = packets(self.fixture.answer(second, b"new"), AnswerPart)
        self.assertEqual(part1.data, b"new")

    def test_repeated_part_gets_progress_report(self):
        # 11 parts are no multiple of the progress interval, so only the repeated
        # part can trigger a report; the caller may send no further part.
        parts = [RequestPart(b"", 1, i, 40, False, 10_000, b"a") for i in range(11)]
        for part in parts:
            self.fixture.send(self.token, part)
        repeated = self.fixture.send(self.token, parts[-1])
        [reply] = packets(repeated, RequestProgress)
        self.assertEqual(reply.next_index, 11)

    def test_reordered_parts_form_one_request(self):
        whole = request_part(1).data + b""
        half = len(whole) // 2
        late = RequestPart(b"", 1, 1, 2, False, 10_000, whole[half:])
        early = RequestPart(b"", 1, 0, 2, False, 10_000, whole[:half])
        self.assertEqual(starts(self.fixture.send(self.token, late)), [])
        asked = self.fixture.send(self.token, Acknowledge(b"", 1, 0, [], 64, False))
        self.assertEqual(packets(asked, RequestProgress)[0].missing, [0])
        self.assertEqual(len(starts(self.fixture.send(self.token, early))), 1)

    def test_inconsistent_part_is_dropped(self):
        self.fixture.send(self.token, RequestPart(b"", 1, 0, 3, False, 1000, b"a"))
        for packet in (
            RequestPart(b"", 1, 1, 9, False, 1000, b"a"),
            RequestPart(b"", 1, -1, 3, False, 1000, b"a"),
        ):
            self.assertEqual(starts(self.fixture.send(self.token, packet)), [])

    def test_flows_are_counted_at_their_target_until_they_end(self):
        def flows(fixture):
            snapshot = fixture.executor.dispatchers["notes"].snapshot()
            return sum(target.flows for target in snapshot.targets)

        self.assertEqual(flows(self.fixture), 1)
        other = OwnerFixture(first_id=900)
        other.owner.get_or_adopt_flow(self.token, CALLER, NOW_S)
        self.assertEqual(flows(other), 1)
        for _ in range(2):
            self.fixture.send(self.token, FlowClosed(b""))
        self.assertEqual(flows(self.fixture), 0)

    def test_stream_resumes_after_its_last_event(self):
        [start] = starts(self.fixture.request(self.token, 1, stream=True))
        executor = self.fixture.executor
        executor.stream_opened(StreamOpened(start.request_id, 1, 200, []))
        event = StreamData(start.request_id, 1, b"id: 4\n\n", "4")
        executor.stream_data(event, NOW_S)
        [second] = starts(self.fail_attempt(start, FinishKind.BROKEN))
        self.assertEqual(second.last_event_id, "4")

    def test_non_idempotent_stream_is_refused(self):
        part = request_part(1, stream=True)
        once = RequestPart(b"", 1, 0, 1, False, 10_000, part.data)
        actions = self.fixture.send(self.token, once)
        self.assertEqual(starts(actions), [])
        self.assertEqual(packets(actions, Refused)[0].reason, "stream_not_idempotent")

    def test_request_that_may_have_run_is_not_refused(self):
        [start] = starts(self.fixture.send(self.token, self.idempotent(1)))
        [second] = starts(self.fail_attempt(start, FinishKind.BROKEN))
        [third] = starts(self.fail_attempt(second, FinishKind.SHED, retry_after_s=5.0))
        ended = self.fail_attempt(third, FinishKind.SHED, retry_after_s=5.0)
        self.assertEqual(packets(ended, Refused), [])
        self.assertEqual(len(packets(ended, Outcome)), 1)

    def idempotent(self, seq):
        return RequestPart(b"", seq, 0, 1, True, 10_000, request_part(seq).data)

    def test_flow_older_than_its_binding_continues(self):
        first = self.fixture.request(self.token, 5000)
        self.assertEqual(len(starts(first)), 1)
        [start] = starts(first)
        self.fixture.answer(start)
        self.assertEqual(starts(self.fixture.request(self.token, 5000)), [])
        self.assertEqual(len(starts(self.fixture.request(self.token, 4999))), 1)

    def test_sequence_number_below_floor_does_not_run(self):
        whole = request_part(1).data
        early = RequestPart(b"", 1, 0, 2, False, 10_000, whole[:4])
        late = RequestPart(b"", 1, 1, 2, False, 10_000, whole[4:])
        self.fixture.send(self.token, early)
        self.fixture.request(self.token, 5000)
        ended = self.fixture.send(self.token, late)
        self.assertEqual(starts(ended), [])
        self.assertEqual(len(packets(ended, Outcome)), 1)

    def test_stale_acknowledgement_retransmits_nothing(self):
        [start] = starts(self.fixture.request(self.token, 1))
        self.fixture.answer(start, bytes(100_000))
        self.fixture.send(self.token, Acknowledge(b"", 1, 20, [], 64, False))
        for next_index in (10, 20):
            again = self.fixture.send(
                self.token, Acknowledge(b"", 1, next_index, [], 64, False)
            )
            self.assertEqual(packets(again, AnswerPart), [])

    def test_leaving_owner_replies_unreachable_to_new_request(self):
        self.fixture.owner.begin_leaving(NOW_S, 0.0)
        actions = self.fixture.request(self.token, 1)
        self.assertEqual(starts(actions), [])
        self.assertEqual(len(packets(actions, Unreachable)), 1)


if __name__ == "__main__":
    unittest.main()

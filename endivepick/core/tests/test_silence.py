import unittest

from endivepick.core.actions import CancelAttempt
from endivepick.core.dispatch import FinishKind
from endivepick.core.events import AttemptFailed, StreamData, StreamOpened
from endivepick.core.messages import (
    Acknowledge,
    AnswerPart,
    Outcome,
    Refused,
    RequestPart,
)
from endivepick.core.tests._fixture import (
    NOW_S,
    OwnerFixture,
    packets,
    request_part,
    starts,
)


class TestSilentCaller(unittest.TestCase):
    """A silent caller that returns gets the request state on its first packet."""

    def setUp(self):
        self.fixture = OwnerFixture()
        self.token, _ = self.fixture.open()
        settings = self.fixture.settings
        self.silent_s = NOW_S + settings.caller_silence_s + 1
        self.dropped_s = NOW_S + settings.unacknowledged_s + 1

    def acknowledge(self, seq, next_index, now_s):
        packet = Acknowledge(b"", seq, next_index, [], 64, False)
        return self.fixture.send(self.token, packet, now_s)

    def end_attempt(self, start):
        event = AttemptFailed(
            start.request_id, start.attempt, FinishKind.CANCELLED, 0.1
        )
        self.fixture.executor.failed(event, self.silent_s)

    def begin_stream(self):
        short = request_part(1, stream=True)
        part = RequestPart(b"", 1, 0, 1, True, 3_600_000, short.data)
        [start] = starts(self.fixture.send(self.token, part))
        executor = self.fixture.executor
        executor.stream_opened(StreamOpened(start.request_id, 1, 200, []))
        executor.stream_data(StreamData(start.request_id, 1, b"id: 9\n\n", "9"), NOW_S)
        return start

    def test_running_request_has_an_unknown_outcome(self):
        [start] = starts(self.fixture.request(self.token, 1))
        stopped = self.fixture.owner.tick(self.silent_s)
        self.assertIn(CancelAttempt(start.request_id, start.attempt), stopped)
        [outcome] = packets(self.acknowledge(1, 0, self.silent_s), Outcome)
        self.assertEqual(outcome.reason, "caller_silent")

    def test_waiting_request_did_not_run(self):
        for seq in range(1, 6):
            self.fixture.request(self.token, seq)
        self.fixture.owner.tick(self.silent_s)
        [refused] = packets(self.acknowledge(5, 0, self.silent_s), Refused)
        self.assertEqual(refused.reason, "caller_silent")
        # No later copy runs.
        self.assertEqual(starts(self.fixture.request(self.token, 5)), [])

    def test_stream_is_suspended_and_resumed_after_last_event(self):
        start = self.begin_stream()
        stopped = self.fixture.owner.tick(self.silent_s)
        cancelled = CancelAttempt(start.request_id, start.attempt, by_key=False)
        self.assertIn(cancelled, stopped)
        self.end_attempt(start)
        actions = self.acknowledge(1, 0, self.silent_s + 1)
        self.assertEqual(len(packets(actions, AnswerPart)), 2)
        [resumed] = starts(actions)
        self.assertEqual(resumed.last_event_id, "9")

    def test_suspended_stream_is_dropped_after_timeout(self):
        start = self.begin_stream()
        self.fixture.owner.tick(self.silent_s)
        self.end_attempt(start)
        self.fixture.owner.tick(self.dropped_s)
        actions = self.acknowledge(1, 0, self.dropped_s)
        self.assertEqual(starts(actions), [])
        [outcome] = packets(actions, Outcome)
        self.assertEqual(outcome.reason, "answer_forgotten")


if __name__ == "__main__":
    unittest.main()

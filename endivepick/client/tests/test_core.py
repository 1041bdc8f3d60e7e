"""Tests of the protocol core against a fake owner behind a lossy path."""

import random
import unittest

from endivepick.client.errors import GaveUp, NotRun, OpenRefused, OutcomeUnknown
from endivepick.client.model import Answer
from endivepick.client.tests.fake_owner import FakeOwner, Path, Simulation
from endivepick.core.messages import (
    Accepted,
    Acknowledge,
    AnswerPart,
    Cancel,
    FlowClosed,
    Open,
    Opened,
    Outcome,
    Refused,
    Reissued,
    Renew,
    RequestPart,
    RequestProgress,
    Unreachable,
)
from endivepick.core.messages import OpenRefused as OpenRefusedPacket

FLOW = 77
UNRELIABLE_PATH = Path(loss=0.1, duplicates=0.1, jitter_s=0.02)


def reissued(continues, binding, token=b"new", old_binding=1):
    return Reissued(FLOW, old_binding, token, binding, continues, 3600.0)


class TestOpening(unittest.TestCase):
    def test_open_is_retransmitted_with_one_id_until_answered(self):
        simulation = Simulation(Path(loss=0.7), seed=3)
        self.assertEqual(simulation.open(deadline_s=60.0), FLOW)
        self.assertEqual({p.open_id for p in simulation.owner.sent(Open)}, {7})

    def test_second_flow_of_one_opening_is_closed_and_not_used(self):
        simulation = Simulation()
        simulation.open()
        simulation.deliver(
            Opened(7, FLOW, b"token", 60.0, 1), Opened(7, 78, b"other", 60.0, 2)
        )
        simulation.run_for(1.0)
        closed = {packet.token for packet in simulation.owner.sent(FlowClosed)}
        self.assertEqual(closed, {b"other"})
        self.assertEqual(simulation.flows, {7: FLOW})

    def test_refusal_ends_the_opening(self):
        simulation = Simulation(owner=FakeOwner(silent=True))
        simulation._perform(simulation.core.open(7, "notes", 5.0, 0.0))
        simulation.deliver(OpenRefusedPacket(7, "overloaded", 250))
        self.assertIsInstance(simulation.flows[7], OpenRefused)
        self.assertEqual(simulation.flows[7].retry_after_ms, 250)


class TestRequests(unittest.TestCase):
    def test_requests_on_an_unreliable_path_run_once(self):
        for seed in range(5):
            simulation = Simulation(UNRELIABLE_PATH, seed=seed)
            simulation.open()
            bodies = {i: random.Random(i).randbytes(i * 700) for i in range(1, 81)}
            for request_id, body in bodies.items():
                simulation.request(request_id, body)
            simulation.run_until(lambda s=simulation: len(s.results) == 80)
            for request_id, body in bodies.items():
                self.assertEqual(simulation.results[request_id].body, body[::-1])
            self.assertEqual(sorted(simulation.owner.runs), list(range(1, 81)))

    def test_large_answer_with_loss_arrives_within_time_limit(self):
        body = random.Random(1).randbytes(8 << 20)
        path = Path(loss=0.05, jitter_s=0.001)
        simulation = Simulation(path, FakeOwner(body=body))
        simulation.open()
        started_s = simulation.now_s
        simulation.request(1)
        simulation.run_until(lambda: simulation.results)
        self.assertEqual(simulation.results[1].body, body)
        self.assertLess(simulation.now_s - started_s, 5.0)

    def test_large_request_arrives_whole(self):
        body = random.Random(2).randbytes(1 << 20)
        simulation = Simulation(Path(loss=0.05, jitter_s=0.001))
        simulation.open()
        simulation.request(1, body)
        simulation.run_until(lambda: simulation.results)
        self.assertEqual(simulation.results[1].body, body[::-1])
        self.assertEqual(simulation.owner.runs, [1])

    def test_interleaved_answers_reach_their_own_requests(self):
        simulation = Simulation(owner=FakeOwner(silent=True))
        simulation.owner.silent = False
        simulation.open()
        simulation.owner.silent = True
        simulation.request(1)
        simulation.request(2)
        head = b"\x92\xcc\xc8\x90"
        simulation.deliver(
            AnswerPart(FLOW, 1, 2, 1, True, b"two"),
            AnswerPart(FLOW, 1, 1, 0, False, head),
            AnswerPart(78, 1, 1, 1, True, b"other flow"),
            AnswerPart(FLOW, 9, 1, 1, True, b"other binding"),
            AnswerPart(FLOW, 1, 2, 0, False, head),
            AnswerPart(FLOW, 1, 1, 1, True, b"one"),
            AnswerPart(FLOW, 1, 1, 1, True, b"one"),
        )
        self.assertEqual(simulation.results[1].body, b"one")
        self.assertEqual(simulation.results[2].body, b"two")
        self.assertEqual(simulation.core.counts["other_binding"], 1)
        self.assertEqual(simulation.core.counts["unknown_flow"], 1)

    def test_late_parts_are_acknowledged_as_done_again(self):
        simulation = Simulation()
        simulation.open()
        simulation.request(1)
        simulation.run_until(lambda: simulation.results)
        simulation.run_for(1.0)
        simulation.owner.received.clear()
        simulation.deliver(AnswerPart(FLOW, 1, 1, 0, False, b""))
        simulation.run_for(1.0)
        (done,) = simulation.owner.sent(Acknowledge)
        self.assertTrue(done.done)

    def test_owner_without_the_request_gets_its_parts_again(self):
        simulation = Simulation()
        simulation.open()
        simulation.owner.body = b""
        simulation.request(1, b"note", stream=True)
        simulation.run_for(1.0)
        simulation.owner.answers.clear()
        simulation.owner.parts.clear()
        simulation.run_until(lambda: len(simulation.owner.runs) == 2)


class TestRequestResults(unittest.TestCase):
    def setUp(self):
        self.simulation = Simulation()
        self.simulation.open()
        self.simulation.owner.silent = True

    def test_refusal_gives_not_run_and_is_acknowledged(self):
        self.simulation.request(1)
        self.simulation.deliver(Refused(FLOW, 1, 1, "overloaded", 300))
        self.assertIsInstance(self.simulation.results[1], NotRun)
        self.assertEqual(self.simulation.results[1].retry_after_ms, 300)
        self.simulation.run_for(1.0)
        self.assertTrue(self.simulation.owner.sent(Acknowledge)[-1].done)

    def test_outcome_is_unknown(self):
        self.simulation.request(1, idempotent=True)
        self.simulation.deliver(Outcome(FLOW, 1, 1, "connection broke", 0))
        self.assertIsInstance(self.simulation.results[1], OutcomeUnknown)

    def test_deadline_after_a_part_was_sent_leaves_the_outcome_unknown(self):
        self.simulation.request(1, deadline_s=2.0)
        self.simulation.run_for(4.0)
        self.assertIsInstance(self.simulation.results[1], GaveUp)
        self.assertEqual(len(self.simulation.owner.sent(Cancel)), 3)

    def test_deadline_of_a_queued_request_gives_not_run(self):
        for request_id in range(1, 66):
            self.simulation.request(request_id, deadline_s=2.0)
        self.simulation.run_for(4.0)
        self.assertIsInstance(self.simulation.results[64], GaveUp)
        self.assertIsInstance(self.simulation.results[65], NotRun)

    def test_request_numbers_stay_near_an_unconfirmed_one(self):
        for request_id in range(1, 70):
            self.simulation.request(request_id)
        for seq in range(2, 65):
            self.simulation.deliver(Refused(FLOW, 1, seq, "busy", 0))
        self.simulation.run_for(0.1)
        self.assertEqual(self._highest_seq(), 64)
        self.simulation.deliver(Accepted(FLOW, 1, 1))
        self.simulation.run_for(0.1)
        self.assertEqual(self._highest_seq(), 69)

    def _highest_seq(self):
        return max(part.seq for part in self.simulation.owner.sent(RequestPart))

    def test_cancellation_is_sent_and_leaves_the_outcome_unknown(self):
        self.simulation.request(1)
        self.simulation.cancel(1)
        self.simulation.run_for(1.0)
        self.assertIsInstance(self.simulation.results[1], OutcomeUnknown)
        self.assertTrue(self.simulation.owner.sent(Cancel))

    def test_unreachable_repeats_the_same_number_after_the_wait(self):
        self.simulation.request(1)
        self.simulation.run_for(0.01)
        self.simulation.deliver(Unreachable(FLOW, 1, 1, 1000))
        self.simulation.run_for(0.9)
        self.assertEqual(len(self.simulation.owner.sent(RequestPart)), 1)
        self.simulation.run_for(0.5)
        parts = self.simulation.owner.sent(RequestPart)
        self.assertGreater(len(parts), 1)
        self.assertEqual({part.seq for part in parts}, {1})

    def test_lost_retransmissions_after_silence_cause_no_long_wait(self):
        run_times_s = [self._measure_run_time_s(seed) for seed in range(500)]
        self.assertLess(max(run_times_s), 2.0)
        self.assertLess(sum(at_s > 1.3 for at_s in run_times_s), 10)

    def _measure_run_time_s(self, seed):
        """Return when a request runs at an owner that is silent for 0.4 s."""
        simulation = Simulation(seed=seed)
        simulation.open()
        simulation.path.loss = 1 / 8
        simulation.owner.silent = True
        simulation.request(seed)
        simulation.run_for(0.4)
        simulation.owner.silent = False
        simulation.run_until(lambda: simulation.owner.runs)
        return simulation.now_s

    def test_lost_polls_after_silence_cause_no_long_wait(self):
        poll_times_s = [self._measure_poll_time_s(seed) for seed in range(500)]
        self.assertLess(max(poll_times_s), 2.0)

    def _measure_poll_time_s(self, seed):
        """Return when a poll reaches an owner that is silent for 0.4 s."""
        simulation = Simulation(seed=seed)
        simulation.open()
        simulation.owner.silent = True
        simulation.request(seed)
        simulation.deliver(Accepted(FLOW, 1, 1))
        simulation.path.loss = 1 / 8
        simulation.run_for(0.4)
        silent = len(simulation.owner.sent(Acknowledge))
        simulation.run_until(lambda: len(simulation.owner.sent(Acknowledge)) > silent)
        return simulation.now_s

    def test_answered_polls_are_not_sent_in_pairs(self):
        simulation = Simulation()
        simulation.open()
        simulation.request(1, deadline_s=1000.0, stream=True)
        simulation.run_for(10.0)
        before = len(simulation.owner.sent(Acknowledge))
        simulation.run_for(100.0)
        self.assertLess(len(simulation.owner.sent(Acknowledge)) - before, 105)

    def test_unanswered_retransmissions_are_paired_at_a_bounded_rate(self):
        self.simulation.request(1)
        self.simulation.run_for(10.0)
        before = len(self.simulation.owner.sent(RequestPart))
        self.simulation.run_for(40.0)
        repeated = len(self.simulation.owner.sent(RequestPart)) - before
        self.assertLess(repeated, 2 * 45)
        self.assertGreater(repeated, 2 * 30)


class TestNewTokens(unittest.TestCase):
    def setUp(self):
        self.simulation = Simulation()
        self.simulation.open()
        self.simulation.owner.silent = True

    def _last_part(self):
        self.simulation.run_for(1.0)
        return self.simulation.owner.sent(RequestPart)[-1]

    def test_continued_binding_keeps_number_and_uses_the_new_token(self):
        self.simulation.request(1)
        self.simulation.deliver(reissued(True, 1))
        part = self._last_part()
        self.assertEqual((part.token, part.seq), (b"new", 1))

    def test_new_owner_gets_all_parts_of_an_unconfirmed_request(self):
        self.simulation.request(1, bytes(10_000))
        self.simulation.deliver(RequestProgress(FLOW, 1, 1, 8, []))
        self.simulation.run_for(1.0)
        before = len(self.simulation.owner.sent(RequestPart))
        self.simulation.deliver(reissued(True, 1))
        self.simulation.run_for(1.0)
        again = self.simulation.owner.sent(RequestPart)[before:]
        indexes = {part.index for part in again if part.token == b"new"}
        self.assertEqual(indexes, set(range(10)))

    def test_owner_loss_ends_non_idempotent_and_retries_idempotent_requests(self):
        self.simulation.request(1)
        self.simulation.request(2, idempotent=True)
        self.simulation.deliver(reissued(False, 2))
        self.assertIsInstance(self.simulation.results[1], OutcomeUnknown)
        part = self._last_part()
        self.assertEqual((part.token, part.seq), (b"new", 3))

    def test_refused_second_attempt_gives_unknown_outcome(self):
        self.simulation.request(1, idempotent=True)
        self.simulation.deliver(reissued(False, 2), Refused(FLOW, 2, 2, "busy", 10))
        self.assertNotIsInstance(self.simulation.results[1], NotRun)
        self.assertIsInstance(self.simulation.results[1], OutcomeUnknown)

    def test_second_token_for_one_binding_is_dropped(self):
        self.simulation.request(1, idempotent=True)
        self.simulation.deliver(
            reissued(False, 2, b"first"), reissued(False, 3, b"second")
        )
        self.assertEqual(self._last_part().token, b"first")
        self.simulation.deliver(Refused(FLOW, 3, 2, "of the dropped token", 0))
        self.assertNotIn(1, self.simulation.results)

    def test_answer_of_the_lost_owner_is_dropped(self):
        self.simulation.request(1)
        self.simulation.deliver(reissued(False, 2))
        self.simulation.deliver(AnswerPart(FLOW, 1, 1, 0, True, b"\x92\xcc\xc8\x90"))
        self.assertNotIsInstance(self.simulation.results[1], Answer)

    def test_queued_requests_are_sent_under_the_new_token(self):
        for request_id in range(1, 66):
            self.simulation.request(request_id)
        self.simulation.deliver(reissued(False, 2))
        part = self._last_part()
        self.assertEqual((part.token, part.seq), (b"new", 65))
        self.assertNotIn(65, self.simulation.results)

    def test_stream_resumes_after_the_last_whole_event(self):
        owner = self.simulation.owner
        owner.silent = False
        owner.body = b"id: 4\ndata: four\n\nid: 5\ndata: fi"
        self.simulation.request(1, idempotent=True, stream=True)
        self.simulation.run_for(0.1)
        owner.binding = 2
        owner.answers.clear()
        owner.body = b"id: 5\ndata: five\n\n"
        self.simulation.deliver(reissued(False, 2))
        self.simulation.run_for(0.1)
        self.assertEqual(owner.heads[-1].headers, [("Last-Event-ID", "4")])
        self.assertEqual([e.data for e in self.simulation.events], ["four", "five"])

    def test_idle_flow_requests_a_new_token_until_it_arrives(self):
        self.simulation.run_for(3650.0)
        self.assertGreater(len(self.simulation.owner.sent(Renew)), 1)
        self.simulation.deliver(reissued(True, 1))
        self.simulation.run_for(1.0)
        self.simulation.owner.received.clear()
        self.simulation.run_for(3000.0)
        self.assertEqual(self.simulation.owner.received, [])


if __name__ == "__main__":
    unittest.main()

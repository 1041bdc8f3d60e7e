"""Point 4: "not run" stays true if an owner pauses at any step of a request."""

import unittest

from endivepick.client import OutcomeUnknown
from endivepick.core.messages import AnswerPart
from endivepick.tests.promises._fault_injection import (
    EXPORTS,
    FaultInjectionTestCase,
)
from endivepick.tests.promises._waiting import wait

COPIES = 5


class TestFrozenOwner(FaultInjectionTestCase):
    """The owner pauses, its peers declare it dead, and it resumes."""

    def setUp(self):
        super().setUp()
        self.owner = self.owner_of(EXPORTS)
        self.relays = self.others(self.owner)
        self.raw = self.new_raw_caller()
        self.flow = self.raw.open(EXPORTS)

    def assert_new_token(self):
        """Check that relays issue a new binding that does not continue the old one."""
        wait(lambda: self.raw.reissued(self.flow), "a new token")
        self.assertFalse(self.raw.reissued(self.flow)[0].continues)

    def test_before_the_request(self):
        work_flow = self.open(self.new_caller(), EXPORTS)
        requests = [self.raw.request(self.flow) for _ in range(6)]
        with self.paused(self.owner):
            # Some copies reach the paused owner, others its relays.
            self.raw.send(requests, copies=COPIES)
            self.route_callers_to(self.relays)
            non_idempotent_work = self.send(work_flow)
            idempotent_work = self.send(work_flow, idempotent=True)
            self.raw.send(requests, copies=COPIES)
            self.wait_declared_dead(self.owner)
            self.raw.send(requests)
            self.assert_new_token()
            self.assertFalse(any(map(self.raw.was_refused, requests)))
            self.assertIsInstance(
                non_idempotent_work.result().failure(), OutcomeUnknown
            )
            self.assert_whole(idempotent_work)
        self.assert_promises()

    def test_while_the_request_waits_for_a_slot(self):
        blocking = [self.raw.request(self.flow, work_ms=1000) for _ in range(4)]
        self.raw.send(blocking)
        self.wait_running(request.echo for request in blocking)
        queued = [
            self.raw.request(self.flow, deadline_ms=deadline_ms)
            for deadline_ms in (2000, 2000, 30_000, 30_000)
        ]
        self.raw.send(queued, copies=2)
        wait(lambda: all(map(self.raw.packets, queued)), "requests to be accepted")
        with self.paused(self.owner):
            self.route_callers_to(self.relays)
            self.wait_declared_dead(self.owner)
            self.raw.send(queued)
            self.assert_new_token()
        self.assert_promises()
        self.assertTrue(any(map(self.raw.was_refused, queued)))

    def test_while_the_target_works(self):
        requests = [self.raw.request(self.flow, work_ms=500) for _ in range(4)]
        work = self.send(self.open(self.new_caller(), EXPORTS), work_ms=500)
        self.raw.send(requests[:3])
        self.wait_running([work.echo, *(r.echo for r in requests[:3])])
        with self.paused(self.owner):
            self.route_callers_to(self.relays)
            self.raw.send(requests, copies=2)
            self.assertIsInstance(work.result().failure(), OutcomeUnknown)
        self.assert_promises()
        for request in requests[:3]:
            replies = self.raw.replies(request)
            self.assertTrue(all(isinstance(w, AnswerPart) for w in replies), replies)

    def test_while_the_target_refuses(self):
        self.control_targets(EXPORTS, stuck=True)
        requests = [self.raw.request(self.flow, deadline_ms=60_000) for _ in range(4)]
        self.raw.send(requests)
        self.wait_running(request.echo for request in requests)
        late = [self.raw.request(self.flow) for _ in range(4)]
        with self.paused(self.owner):
            self.raw.send(late)
            self.control_targets(EXPORTS, stuck=False, shed=True)
            self.route_callers_to(self.relays)
        wait(lambda: all(map(self.raw.replies, late)), "a reply about each")
        self.control_targets(EXPORTS, shed=False)
        self.assert_promises()

    def test_while_the_answer_comes_back(self):
        flow = self.open(self.new_caller(), EXPORTS)
        self.set_faults_towards_callers(delay_ms_min=150, delay_ms_max=200)
        works = [
            self.send(flow, answer_bytes=8 << 20, idempotent=idempotent)
            for idempotent in (False, True)
        ]
        request = self.raw.request(self.flow, answer_bytes=200_000)
        self.raw.send([request])
        wait(lambda: self.raw.replies(request), "the first parts")
        self.wait_running(work.echo for work in works)
        with self.paused(self.owner):
            self.route_callers_to(self.relays)
            self.set_faults_towards_callers()
            # After the block the peers may see the owner alive again before the caller
            # contacts them, so the result is checked within it.
            self.assertIsInstance(works[0].result().failure(), OutcomeUnknown)
        self.assert_whole(works[1])
        self.assert_promises()
        replies = self.raw.replies(request)
        self.assertTrue(all(isinstance(reply, AnswerPart) for reply in replies))


if __name__ == "__main__":
    unittest.main()

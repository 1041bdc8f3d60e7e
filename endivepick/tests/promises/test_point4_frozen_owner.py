"""Point 4: "not run" is true although an owner pauses at any step of its handling."""

import unittest

from endivepick.client import OutcomeUnknown
from endivepick.core.messages import AnswerPart
from endivepick.tests.promises._fault_injection import (
    EXPORTS,
    DisturbedTestCase,
)
from endivepick.tests.promises._waiting import wait

COPIES = 5


class TestFrozenOwner(DisturbedTestCase):
    """The owner pauses, its peers give it up, and it goes on."""

    def setUp(self):
        super().setUp()
        self.owner = self.owner_of(EXPORTS)
        self.relays = self.others(self.owner)
        self.raw = self.new_raw_caller()
        self.flow = self.raw.open(EXPORTS)

    def assert_new_token(self):
        """Check that relays offer a new binding and promise nothing."""
        wait(lambda: self.raw.reissued(self.flow), "a new token")
        self.assertFalse(self.raw.reissued(self.flow)[0].continues)

    def test_before_the_request(self):
        work_flow = self.open(self.new_caller(), EXPORTS)
        requests = [self.raw.request(self.flow) for _ in range(6)]
        with self.frozen(self.owner):
            # Some reach the paused owner itself, some its relays.
            self.raw.send(requests, copies=COPIES)
            self.spray(self.relays)
            once = self.send(work_flow)
            again = self.send(work_flow, idempotent=True)
            self.raw.send(requests, copies=COPIES)
            self.wait_given_up(self.owner)
            self.raw.send(requests)
            self.assert_new_token()
            self.assertFalse(any(map(self.raw.was_refused, requests)))
            self.assertIsInstance(once.result().failure(), OutcomeUnknown)
            self.assert_whole(again)
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
        with self.frozen(self.owner):
            self.spray(self.relays)
            self.wait_given_up(self.owner)
            self.raw.send(queued)
            self.assert_new_token()
        self.assert_promises()
        self.assertTrue(any(map(self.raw.was_refused, queued)))

    def test_while_the_target_works(self):
        requests = [self.raw.request(self.flow, work_ms=500) for _ in range(4)]
        work = self.send(self.open(self.new_caller(), EXPORTS), work_ms=500)
        self.raw.send(requests[:3])
        self.wait_running([work.echo, *(r.echo for r in requests[:3])])
        with self.frozen(self.owner):
            self.spray(self.relays)
            self.raw.send(requests, copies=2)
            self.assertIsInstance(work.result().failure(), OutcomeUnknown)
        self.assert_promises()
        for request in requests[:3]:
            words = self.raw.words(request)
            self.assertTrue(all(isinstance(w, AnswerPart) for w in words), words)

    def test_while_the_target_refuses(self):
        self.control_targets(EXPORTS, stuck=True)
        requests = [self.raw.request(self.flow, deadline_ms=60_000) for _ in range(4)]
        self.raw.send(requests)
        self.wait_running(request.echo for request in requests)
        late = [self.raw.request(self.flow) for _ in range(4)]
        with self.frozen(self.owner):
            self.raw.send(late)
            self.control_targets(EXPORTS, stuck=False, shed=True)
            self.spray(self.relays)
        wait(lambda: all(map(self.raw.words, late)), "a word about each")
        self.control_targets(EXPORTS, shed=False)
        self.assert_promises()

    def test_while_the_answer_comes_back(self):
        flow = self.open(self.new_caller(), EXPORTS)
        self.disturb_callers(delay_ms_min=150, delay_ms_max=200)
        works = [
            self.send(flow, answer_bytes=8 << 20, idempotent=idempotent)
            for idempotent in (False, True)
        ]
        request = self.raw.request(self.flow, answer_bytes=200_000)
        self.raw.send([request])
        wait(lambda: self.raw.words(request), "the first parts")
        self.wait_running(work.echo for work in works)
        with self.frozen(self.owner):
            self.spray(self.relays)
            self.disturb_callers()
            # Once it goes on its peers may hear of it before the caller asks them.
            self.assertIsInstance(works[0].result().failure(), OutcomeUnknown)
        self.assert_whole(works[1])
        self.assert_promises()
        words = self.raw.words(request)
        self.assertTrue(all(isinstance(word, AnswerPart) for word in words))


if __name__ == "__main__":
    unittest.main()

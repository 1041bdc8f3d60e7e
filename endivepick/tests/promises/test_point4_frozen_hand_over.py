"""Point 4: "not run" is true although an instance pauses during a hand-over."""

import unittest

from endivepick.tests.promises._fault_injection import (
    EXPORTS,
    DisturbedTestCase,
)
from endivepick.tests.promises._waiting import wait

COPIES = 5


class TestFrozenHandOver(DisturbedTestCase):
    """Giver or successor pauses during a hand-over."""

    def setUp(self):
        super().setUp()
        self.giver = self.owner_of(EXPORTS)
        self.successor = self.owner_of(EXPORTS, without=[self.giver])
        self.raw = self.new_raw_caller()
        self.flow = self.raw.open(EXPORTS)

    def queue_requests(self):
        """Fill all slots from another flow, and let requests wait on this one."""
        flow = self.raw.open(EXPORTS)
        blocking = [self.raw.request(flow, work_ms=1500) for _ in range(4)]
        self.raw.send(blocking)
        self.wait_running(request.echo for request in blocking)
        queued = [self.raw.request(self.flow) for _ in range(4)]
        queued += [self.raw.request(self.flow, deadline_ms=1000) for _ in range(4)]
        self.raw.send(queued)
        wait(lambda: all(map(self.raw.packets, queued)), "requests to be accepted")
        return queued

    def test_giver_after_it_sent_its_flows(self):
        queued = self.queue_requests()
        self.begin_stop_unaccepted(self.giver, self.successor)
        self.wait_logged(self.successor, "transfer_taken")
        with self.frozen(self.giver):
            self.raw.send(queued, copies=COPIES)
            self.spray(self.others(self.giver))
            self.raw.send(queued, copies=COPIES)
        self.heal()
        self.wait_words(self.raw, queued)
        self.finish_stop(self.giver)
        self.assert_promises()

    def test_giver_as_its_stop_begins(self):
        queued = self.queue_requests()
        self.begin_stop(self.giver)
        with self.frozen(self.giver):
            self.spray(self.others(self.giver))
            self.raw.send(queued, copies=COPIES)
        self.finish_stop(self.giver)
        self.assert_promises()

    def test_successor_that_did_not_take_them_yet(self):
        queued = self.queue_requests()
        self.cluster.freeze_instance(self.successor)
        self.begin_stop(self.giver)
        self.wait_logged(self.giver, "transfer_sent")
        self.raw.send(queued, copies=COPIES)
        self.wait_given_up(self.successor)
        self.raw.send(queued, copies=COPIES)
        self.cluster.thaw_instance(self.successor)
        self.finish_stop(self.giver)
        self.assert_promises()


if __name__ == "__main__":
    unittest.main()

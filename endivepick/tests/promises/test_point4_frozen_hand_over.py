"""Point 4: "not run" stays true if an instance pauses during a handover."""

import unittest

from endivepick.tests.promises._fault_injection import (
    EXPORTS,
    FaultInjectionTestCase,
)
from endivepick.tests.promises._waiting import wait

COPIES = 5


class TestFrozenHandOver(FaultInjectionTestCase):
    """The leaving owner or its successor pauses during a handover."""

    def setUp(self):
        super().setUp()
        self.leaving_owner = self.owner_of(EXPORTS)
        self.successor = self.owner_of(EXPORTS, without=[self.leaving_owner])
        self.raw = self.new_raw_caller()
        self.flow = self.raw.open(EXPORTS)

    def queue_requests(self):
        """Fill all slots from another flow and queue requests on this one."""
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
        self.begin_stop_without_acceptance(self.leaving_owner, self.successor)
        self.wait_logged(self.successor, "transfer_taken")
        with self.paused(self.leaving_owner):
            self.raw.send(queued, copies=COPIES)
            self.route_callers_to(self.others(self.leaving_owner))
            self.raw.send(queued, copies=COPIES)
        self.heal()
        self.wait_for_replies(self.raw, queued)
        self.finish_stop(self.leaving_owner)
        self.assert_promises()

    def test_giver_as_its_stop_begins(self):
        queued = self.queue_requests()
        self.begin_stop(self.leaving_owner)
        with self.paused(self.leaving_owner):
            self.route_callers_to(self.others(self.leaving_owner))
            self.raw.send(queued, copies=COPIES)
        self.finish_stop(self.leaving_owner)
        self.assert_promises()

    def test_successor_that_did_not_take_them_yet(self):
        queued = self.queue_requests()
        self.cluster.freeze_instance(self.successor)
        self.begin_stop(self.leaving_owner)
        self.wait_logged(self.leaving_owner, "transfer_sent")
        self.raw.send(queued, copies=COPIES)
        self.wait_declared_dead(self.successor)
        self.raw.send(queued, copies=COPIES)
        self.cluster.thaw_instance(self.successor)
        self.finish_stop(self.leaving_owner)
        self.assert_promises()


if __name__ == "__main__":
    unittest.main()

"""Point 5: a non-idempotent request runs at most once although its owner is lost."""

import unittest
from dataclasses import replace

from returns.pipeline import is_successful

from endivepick.client import OutcomeUnknown
from endivepick.tests.promises._fault_injection import (
    EXPORTS,
    SESSIONS,
    DisturbedTestCase,
)
from endivepick.tests.promises._waiting import in_thread, wait

COPIES = 5


class TestOwnerKilled(DisturbedTestCase):
    def setUp(self):
        super().setUp()
        self.owner = self.owner_of(EXPORTS)
        self.caller = self.new_caller()
        self.flow = self.open(self.caller, EXPORTS)
        self.raw = self.new_raw_caller()
        self.raw_flow = self.raw.open(EXPORTS)

    def hold_work(self):
        """Let no work end before the owner is killed, however late it started."""
        self.control_targets(EXPORTS, stuck=True)

    def fill_slots(self):
        self.hold_work()
        flow = self.open(self.caller, EXPORTS)
        works = [self.send(flow) for _ in range(4)]
        self.wait_running(work.echo for work in works)
        return works

    def kill_owner(self, listed=False):
        in_thread(self.cluster.kill_instance, self.owner, listed=listed)
        self.control_targets(EXPORTS, stuck=False)

    def assert_unknown(self, works):
        for work in works:
            self.assertIsInstance(work.result().failure(), OutcomeUnknown)

    def test_before_the_send(self):
        running = self.fill_slots()
        queued = [self.send(self.flow) for _ in range(4)]
        again = [self.send(self.flow, idempotent=True) for _ in range(4)]
        requests = [self.raw.request(self.raw_flow) for _ in range(4)]
        self.raw.send(requests, copies=2)
        wait(lambda: all(map(self.raw.packets, requests)), "acceptance")
        self.kill_owner()
        self.raw.send(requests, copies=COPIES)
        self.assert_unknown(running + queued)
        for work in again:
            self.assert_whole(work)
        self.assert_whole(self.send(self.flow))
        self.assert_promises()
        runs = self.runs()
        self.assertFalse(any(runs[work.echo] for work in queued))

    def test_after_the_send(self):
        self.hold_work()
        works = [self.send(self.flow) for _ in range(2)]
        again = [self.send(self.flow, idempotent=True) for _ in range(2)]
        self.wait_running(work.echo for work in works + again)
        self.kill_owner()
        self.assert_unknown(works)
        for work in again:
            self.assert_whole(work)
        self.assert_promises()

    def test_restarted_under_its_old_name(self):
        ran = [self.raw.request(self.raw_flow) for _ in range(4)]
        self.raw.send(ran)
        self.wait_words(self.raw, ran)
        works = self.fill_slots()
        requests = [self.raw.request(self.raw_flow) for _ in range(4)]
        self.raw.send(requests)
        self.kill_owner(listed=True)
        in_thread(self.cluster.start_instance, self.owner)
        self.raw.send(ran + requests, copies=COPIES)
        self.assert_unknown(works)
        self.assert_whole(self.send(self.flow, idempotent=True))
        self.assert_promises()


class TestHandOver(DisturbedTestCase):
    def setUp(self):
        super().setUp()
        self.giver = self.owner_of(EXPORTS)
        self.successor = self.owner_of(EXPORTS, without=[self.giver])
        self.caller = self.new_caller()
        self.raw = self.new_raw_caller()

    def queue_requests(self):
        """Fill all slots from one flow, and let requests wait on others."""
        busy, flow = self.open(self.caller, EXPORTS), self.open(self.caller, EXPORTS)
        raw_flow = self.raw.open(EXPORTS)
        running = [self.send(busy, work_ms=1200) for _ in range(4)]
        self.wait_running(work.echo for work in running)
        works = [self.send(flow, work_ms=5) for _ in range(4)]
        requests = [self.raw.request(raw_flow, work_ms=5) for _ in range(4)]
        self.raw.send(requests)
        wait(lambda: all(map(self.raw.packets, requests)), "acceptance")
        return running, works, requests

    def test_giver_killed_after_it_sent_its_flows(self):
        running, works, requests = self.queue_requests()
        self.begin_stop_unaccepted(self.giver, self.successor)
        self.wait_logged(self.successor, "transfer_taken")
        self.raw.send(requests, copies=COPIES)
        in_thread(self.cluster.kill_instance, self.giver)
        self.raw.send(requests, copies=COPIES)
        for work in running + works:
            work.result()
        self.heal()
        self.assert_promises()

    def test_successor_killed_after_it_took_the_flows(self):
        running, works, requests = self.queue_requests()
        self.begin_stop_unaccepted(self.giver, self.successor)
        self.wait_logged(self.successor, "transfer_taken")
        self.raw.send(requests, copies=COPIES)
        in_thread(self.cluster.kill_instance, self.successor)
        for work in running + works:
            work.result()
        self.heal()
        self.raw.send(requests, copies=COPIES)
        self.finish_stop(self.giver)
        self.assert_promises()

    def test_hand_over_that_is_sent_again_and_again(self):
        running, works, requests = self.queue_requests()
        self.begin_stop_unaccepted(self.giver, self.successor)
        self.wait_logged(self.successor, "transfer_taken")
        # The successor runs them while the giver still asks it to take them.
        for work in works:
            self.assert_whole(work)
        self.raw.send(requests, copies=COPIES)
        self.heal()
        self.finish_stop(self.giver)
        for work in running:
            self.assert_whole(work)
        self.assert_promises()


class TestCutZone(DisturbedTestCase):
    settings = replace(DisturbedTestCase.settings, seed=5)
    cut = "south"
    long_ms = 20000
    """Longer than the two sides need to give each other up, also on a busy machine."""

    def test_both_sides_serve(self):
        sides = [
            [name for name in self.cluster.instances if self.is_cut_off(name)],
            [name for name in self.cluster.instances if not self.is_cut_off(name)],
        ]
        raw = self.new_raw_caller()
        raw_flows = [raw.open(service) for service in (SESSIONS, EXPORTS)]
        caller = self.new_caller()
        flows = [self.open(caller, service) for service in (SESSIONS, EXPORTS) * 2]
        running = [self.send(flow, work_ms=self.long_ms) for flow in flows]
        requests = [raw.request(f, work_ms=200) for f in raw_flows for _ in range(3)]
        raw.send(requests)
        self.wait_running(work.echo for work in running)
        in_thread(self.cluster.cut_zone, self.cut)
        for side in sides:
            # Copies of the same requests, and new ones, at each side in turn.
            self.spray(side)
            raw.send(requests, copies=COPIES)
            works = [self.send(flow, work_ms=5) for flow in flows for _ in range(3)]
            for flow in flows:
                self.wait_served(flow)
            for work in works:
                work.result()
            raw.send(requests, copies=COPIES)
        for work in running:
            self.assertIsInstance(work.result().failure(), OutcomeUnknown)
        self.heal()
        self.spray(None)
        for flow in flows:
            self.wait_served(flow)
        self.assert_promises()

    def wait_served(self, flow):
        """Wait until requests of a flow are answered; targets may be out of reach."""

        def is_answered():
            return is_successful(self.send(flow, idempotent=True).result())

        wait(is_answered, "an answer")

    def is_cut_off(self, name):
        return self.cluster.instances[name].plan.zone == self.cut


if __name__ == "__main__":
    unittest.main()

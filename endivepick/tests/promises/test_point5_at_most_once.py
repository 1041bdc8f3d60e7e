"""Point 5: a non-idempotent request runs at most once, by the targets' own logs."""

import unittest

from returns.result import Failure

from endivepick.client import OutcomeUnknown
from endivepick.tests.promises._fault_injection import (
    EXPORTS,
    SESSIONS,
    DisturbedTestCase,
)
from endivepick.tests.promises._waiting import in_thread

COPIES = 5


class TestCopies(DisturbedTestCase):
    def test_resends_and_duplicates_on_the_way(self):
        caller = self.new_caller()
        flows = [self.open(caller, service) for service in (SESSIONS, EXPORTS) * 2]
        self.disturb_fabric(loss=0.2, duplicate=0.5, delay_ms_max=120)
        works = [self.send(flow, work_ms=10) for _ in range(10) for flow in flows]
        for work in works:
            self.assert_whole(work)
        self.assertGreater(caller.counts["resend"], 0)
        self.assert_promises()

    def test_copies_at_all_instances_before_during_and_after_the_run(self):
        caller = self.new_raw_caller()
        flows = [caller.open(service) for service in (SESSIONS, EXPORTS)]
        requests = [caller.request(flow, work_ms=200) for flow in flows]
        caller.send(requests, copies=COPIES)
        self.wait_running(request.echo for request in requests)
        caller.send(requests, copies=COPIES)
        self.wait_words(caller, requests)
        self.assert_promises()
        self.assertEqual({self.runs()[request.echo] for request in requests}, {1})


class TestTargetFails(DisturbedTestCase):
    def test_target_that_breaks_the_connection_after_the_run(self):
        self.control_targets(EXPORTS, close_after_run=True)
        flow = self.open(self.new_caller(), EXPORTS)
        once = [self.send(flow, work_ms=20) for _ in range(6)]
        again = [self.send(flow, work_ms=20, idempotent=True) for _ in range(6)]
        for work in once + again:
            self.assertIsInstance(work.result().failure(), OutcomeUnknown)
        self.control_targets(EXPORTS, close_after_run=False)
        self.assert_promises()
        runs = self.runs()
        self.assertTrue(all(runs[work.echo] == 1 for work in once))
        self.assertTrue(any(runs[work.echo] > 1 for work in again))

    def test_connection_that_breaks_within_the_answer(self):
        flow = self.open(self.new_caller(), EXPORTS)
        self.assert_whole(self.send(flow))
        self.add_rule(
            "close_after_bytes", {"limit_bytes": 50_000}, route="target:exports-*"
        )
        works = [self.send(flow, answer_bytes=200_000) for _ in range(6)]
        for work in works:
            self.assertIsInstance(work.result(), Failure)
        self.heal()
        self.assert_promises()

    def test_restart_at_the_same_address_as_a_new_incarnation(self):
        flow = self.open(self.new_caller(), EXPORTS)
        raw = self.new_raw_caller()
        raw_flow = raw.open(EXPORTS)
        running = [self.send(flow, work_ms=400) for _ in range(4)]
        self.wait_running(work.echo for work in running)
        queued = [self.send(flow, work_ms=5) for _ in range(8)]
        requests = [raw.request(raw_flow, work_ms=5) for _ in range(8)]
        raw.send(requests)
        for target in self.cluster.service_targets(EXPORTS):
            in_thread(self.cluster.kill_target, target.plan.name)
            in_thread(self.cluster.start_target, target.plan)
        for work in running + queued:
            work.result()
        self.assert_whole(self.send(flow))
        self.wait_words(raw, requests)
        self.assert_promises()


if __name__ == "__main__":
    unittest.main()

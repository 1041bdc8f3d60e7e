"""Point 7: every planned stop is graceful, and bounded in time."""

import signal
import unittest
from dataclasses import replace

from returns.result import Success

from endivepick.tests.promises._planned_change import (
    EXPORTS,
    SESSIONS,
    PlannedChangeTestCase,
)
from endivepick.tests.promises._waiting import in_thread, wait
from standins.endpoint import call_ok


class TestStop(PlannedChangeTestCase):
    def test_requests_that_take_seconds_are_answered(self):
        name = self.owner_of(SESSIONS)
        flows = [self.open(service) for service in (SESSIONS, EXPORTS) * 3]
        works = [self.send(flow, work_ms=2500) for flow in flows]
        self.wait_running(works)
        self.assertEqual(self.stop(name), 0)
        self.assert_answered(works)
        self.assert_answered([self.send(flow) for flow in flows])

    def test_stop_while_the_platform_is_down(self):
        name = self.owner_of(SESSIONS)
        flows = [self.open(service) for service in (SESSIONS, EXPORTS) * 2]
        works = [self.send(flow, work_ms=1500) for flow in flows]
        self.wait_running(works)
        platform = self.cluster.platform
        in_thread(lambda: platform.control(outage="unavailable"))
        self.addCleanup(platform.control, outage=None)
        process = self.cluster.instances[name].process
        process.signal(signal.SIGTERM)
        self.assertEqual(in_thread(process.wait, 30.0), 0)
        self.assert_answered(works)
        self.assert_answered([self.send(flow) for flow in flows])
        in_thread(lambda: platform.control(outage=None))
        in_thread(self.cluster.unlist_instance, name)
        self.start_missing()

    def test_requests_that_arrive_during_the_stop_are_answered(self):
        name = self.owner_of(SESSIONS)
        busy, idle = self.open(SESSIONS), self.open(SESSIONS)
        long = self.send(busy, work_ms=6000)
        self.wait_running([long])
        self.begin_stop(name)
        wait(lambda: self.flows_at(name) <= 1, "idle flows to be handed over")
        # A new flow, one that was handed over, and one that still waits.
        flows = [self.open(SESSIONS), idle, busy]
        self.assert_answered([self.send(flow, deadline_s=3.0) for flow in flows])
        self.assert_answered([long])
        self.assertEqual(self.finish_stop(name), 0)
        self.assert_answered([self.send(flow) for flow in flows])

    def test_request_still_being_sent_is_answered(self):
        slow = {"delay_ms_min": 60.0, "delay_ms_max": 61.0}
        name = self.owner_of(EXPORTS)
        flow = self.open(EXPORTS)
        self.assert_answered([self.send(flow)])
        in_thread(lambda: self.cluster.control_fabric(to_instances=slow))
        self.addCleanup(self.cluster.control_fabric, to_instances=None)
        before = self.datagrams()
        work = self.send(flow, filler_bytes=500_000)
        wait(lambda: self.datagrams() > before + 100, "the first parts to be sent")
        self.assertEqual(self.stop(name), 0)
        self.assert_answered([work])

    def datagrams(self):
        """Return how many datagrams the fabric has delivered."""
        control = self.cluster.fabric.ready["addresses"]["control"]
        return in_thread(call_ok, control, "GET", "/stats")["counts"]["sent"]

    def test_answers_that_nobody_fetched_yet_are_kept(self):
        name = self.owner_of(EXPORTS)
        flows = [self.open(EXPORTS), self.open(EXPORTS)]
        self.assert_answered([self.send(flow) for flow in flows])
        in_thread(lambda: self.cluster.control_fabric(to_callers={"loss": 1.0}))
        self.addCleanup(self.cluster.control_fabric, to_callers=None)
        works = [
            self.send(flow, answer_bytes=20_000_000, deadline_s=60)
            for flow in flows
            for _ in range(4)
        ]
        wait(lambda: self.ended(works), "targets to answer")
        self.assertEqual(self.stop(name), 0)
        in_thread(lambda: self.cluster.control_fabric(to_callers=None))
        self.assert_answered(works)

    def ended(self, works):
        runs = self.runs()
        return all(
            work.echo in runs and runs[work.echo][0].ended_s < float("inf")
            for work in works
        )

    def test_stream_outlives_the_cancellation_of_its_old_connection(self):
        name = self.owner_of(SESSIONS)
        readers = [self.stream(self.open(SESSIONS)) for _ in range(2)]
        delay = {"type": "delay", "delay_ms": 300}
        in_thread(
            lambda: self.cluster.faults.add_rule(delay, source=name, route="target:*")
        )
        self.addCleanup(self.cluster.heal)
        self.assertEqual(self.stop(name), 0)
        for reader in readers:
            self.assert_goes_on(reader)


class TestBoundedStop(PlannedChangeTestCase):
    settings = replace(
        PlannedChangeTestCase.settings,
        instance_settings={"flow": {"drain_timeout_s": 6.0}},
    )

    def test_flows_that_are_opened_before_the_stop_are_held_where_it_begins(self):
        """They were opened elsewhere while a living instance was suspected."""
        name = self.owner_of(SESSIONS)
        flows = [self.open(SESSIONS) for _ in range(6)]
        held = self.flows_held(self.cluster.instances)
        self.assertGreaterEqual(held[name], len(flows), held)

    def test_target_that_never_answers(self):
        name = self.owner_of(SESSIONS)
        quiet = [self.open(SESSIONS) for _ in range(4)]
        self.assert_answered([self.send(flow) for flow in quiet])
        for target in self.cluster.targets.values():
            in_thread(lambda target=target: target.control(stuck=True))
            self.addCleanup(target.control, stuck=False)
        stuck = [self.open(SESSIONS), self.open(SESSIONS)]
        works = [self.send(flow, deadline_s=60.0) for flow in stuck]
        repeatable = self.send(stuck[0], idempotent=True, deadline_s=60.0)
        self.wait_running([*works, repeatable])
        held = self.flows_held(self.cluster.instances)
        process = self.cluster.instances[name].process
        # The callers miss the first word of the successor.
        in_thread(lambda: self.cluster.control_fabric(to_callers={"loss": 1.0}))
        self.addCleanup(self.cluster.control_fabric, to_callers=None)
        self.begin_stop(name)
        wait(lambda: self.flows_at(name) <= 2, "the other flows to be handed over")
        in_thread(lambda: self.cluster.control_fabric(to_callers=None))
        self.begin_stop(name)
        wait(
            lambda: "2 of them" in process.error_tail(),
            "word of what is open",
            lambda: (name, held, process.error_tail()),
        )
        self.finish_stop(name)
        self.start_missing()
        for target in self.cluster.targets.values():
            in_thread(lambda target=target: target.control(stuck=False))
        self.assertIsInstance(repeatable.pending.result(), Success)
        self.assert_answered([self.send(flow) for flow in quiet + stuck])
        self.assertEqual(
            [work.pending.result().failure().reason for work in works],
            ["instance_stopped"] * 2,
        )


if __name__ == "__main__":
    unittest.main()

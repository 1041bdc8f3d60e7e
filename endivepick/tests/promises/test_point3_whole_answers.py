"""Point 3: a caller gets the whole answer to its own request, and only that."""

import signal
import unittest
from dataclasses import replace

import gevent
from returns.result import Failure

from endivepick.client import GaveUp, OutcomeUnknown
from endivepick.tests.promises._fault_injection import (
    EXPORTS,
    SESSIONS,
    DisturbedTestCase,
)
from endivepick.tests.promises._waiting import in_thread, wait
from standins.payload import verify_event

LARGE_ANSWER_BYTES = 8 << 20
WAIT_S = 60


class TestWholeAnswers(DisturbedTestCase):
    def test_late_crossed_duplicated_and_reordered_parts(self):
        caller = self.new_caller()
        flows = [self.open(caller, service) for service in (SESSIONS, EXPORTS)]
        self.disturb_fabric(loss=0.1, duplicate=0.3, delay_ms_max=60)
        works = [
            self.send(flow, work_ms=number % 4 * 15, answer_bytes=number * 4000)
            for number in range(24)
            for flow in flows
        ]
        for work in works:
            self.assert_whole(work)
        self.assertGreater(caller.counts["duplicate_part"], 0)
        self.assert_promises()

    def test_two_flows_of_one_caller_with_the_same_request_numbers(self):
        caller = self.new_caller()
        flows = [self.open(caller, SESSIONS), self.open(caller, SESSIONS)]
        self.disturb_fabric(duplicate=0.5, delay_ms_max=30)
        works = [
            self.send(flow, work_ms=10, answer_bytes=3000)
            for _ in range(16)
            for flow in flows
        ]
        for work in works:
            self.assert_whole(work)
        self.assert_promises()

    def test_large_answer_through_loss(self):
        flow = self.open(self.new_caller(), EXPORTS)
        self.disturb_fabric(loss=0.05)
        self.assert_whole(self.send(flow, answer_bytes=LARGE_ANSWER_BYTES))

    def test_answer_that_comes_after_its_caller_gave_up(self):
        caller = self.new_caller()
        flow = self.open(caller, EXPORTS)
        self.disturb_fabric(delay_ms_min=300, delay_ms_max=400)
        given_up = self.send(flow, answer_bytes=20_000, deadline_s=0.5)
        result = given_up.result()
        self.assertIsInstance(result, Failure)
        self.assertIsInstance(result.failure(), GaveUp)
        self.assert_whole(self.send(flow, answer_bytes=20_000))
        wait(lambda: caller.counts["late"], "the late answer")

    def test_stream_brings_each_event_once_and_in_order(self):
        flow = self.open(self.new_caller(), SESSIONS)
        self.disturb_fabric(loss=0.1, duplicate=0.3, delay_ms_max=40)
        stream = flow.stream("/events?count=300&interval_ms=5&echo=ordered")
        events = list(stream)
        self.assertEqual(len(events), 300)
        for number, event in enumerate(events, 1):
            self.assertTrue(verify_event(event.data, "ordered", number), event)


class SilentCallerTestCase(DisturbedTestCase):
    """Owners cancel requests after a silence; nothing else ends them in time."""

    silence_s = 3.0
    settings = replace(
        DisturbedTestCase.settings, record_settings={"request_timeout_s": 600}
    )

    @classmethod
    def setUpClass(cls):
        flow = {"caller_silence_s": cls.silence_s, "unacknowledged_s": 600}
        groups = cls.settings.instance_settings | {"flow": flow}
        cls.settings = replace(cls.settings, instance_settings=groups)
        super().setUpClass()

    def wait_cancelled(self, echoes):
        wanted = set(echoes)
        wait(
            lambda: wanted <= self.target_events().count("echo", "cancelled").keys(),
            "requests to be cancelled at their targets",
        )

    def running(self, echoes, count):
        running = self.runs().keys() & echoes
        return running if len(running) == count else None


class TestCallerGoneAway(SilentCallerTestCase):
    def test_killed_process(self):
        self.control_targets(EXPORTS, stuck=True)
        workload = {"service": EXPORTS, "flows": 3, "work_ms": 0, "deadline_s": 600}
        launcher = self.cluster.launcher
        path = launcher.write_settings(
            "gone",
            {
                "name": "gone",
                "fabric_address": self.cluster.fabric_address,
                "workloads": [workload],
            },
        )
        process = launcher.spawn("gone", "standins.load", [f"--settings={path}"])
        in_thread(process.wait_ready)
        echoes = [f"gone.0.{flow}.1.1" for flow in range(3)]
        self.wait_running(echoes)
        process.signal(signal.SIGKILL)
        self.wait_cancelled(echoes)
        self.wait_idle()


class TestCallerOutOfReach(SilentCallerTestCase):
    """All its packets are lost for longer than an owner waits for word of it."""

    def test_stream_goes_on(self):
        flow = self.open(self.new_caller(), SESSIONS)
        stream = flow.stream("/events?count=100000&interval_ms=20&echo=far")
        numbers = [int(next(stream).event_id) for _ in range(10)]
        self.disturb_fabric(loss=1.0)
        wait(lambda: self.target_events().count("echo", "stream_end")["far"], "its end")
        self.disturb_fabric()
        with gevent.Timeout(WAIT_S):
            while len(numbers) < 300:
                numbers.append(int(next(stream).event_id))
        self.assertEqual(numbers, list(range(1, 301)))
        stream.close()

    def test_request_ends_at_once(self):
        self.control_targets(EXPORTS, stuck=True)
        work = self.send(self.open(self.new_caller(), EXPORTS), deadline_s=600.0)
        self.wait_running([work.echo])
        self.disturb_fabric(loss=1.0)
        self.wait_cancelled([work.echo])
        self.disturb_fabric()
        with gevent.Timeout(WAIT_S):
            self.assertIsInstance(work.result().failure(), OutcomeUnknown)


class TestCallerGivesUp(SilentCallerTestCase):
    silence_s = 600.0

    def setUp(self):
        super().setUp()
        self.control_targets(EXPORTS, stuck=True)

    def send_stuck(self, flow):
        return self.send(flow, deadline_s=600.0)

    def test_running_request(self):
        flow = self.open(self.new_caller(), EXPORTS)
        work = self.send_stuck(flow)
        self.wait_running([work.echo])
        work.pending.cancel()
        self.assertIsInstance(work.result().failure(), OutcomeUnknown)
        self.wait_cancelled([work.echo])

    def test_closed_flow(self):
        flow = self.open(self.new_caller(), EXPORTS)
        works = [self.send_stuck(flow) for _ in range(6)]
        echoes = {work.echo for work in works}
        running = wait(lambda: self.running(echoes, count=4), "all slots to be taken")
        flow.close()
        self.wait_cancelled(running)
        self.wait_idle()
        self.assertEqual(self.runs().keys() & echoes, running)

    def test_waiting_request(self):
        flow = self.open(self.new_caller(), EXPORTS)
        running = [self.send_stuck(flow) for _ in range(4)]
        self.wait_running(work.echo for work in running)
        waiting = self.send_stuck(flow)
        owner = self.owner_of(EXPORTS)
        wait(lambda: self.waiting_at(owner) == 1, "a request to wait")
        waiting.pending.cancel()
        wait(lambda: self.waiting_at(owner) == 0, "no request to wait")
        self.control_targets(EXPORTS, stuck=False)
        for work in running:
            self.assert_whole(work)
        self.wait_idle()
        self.assertEqual(self.runs()[waiting.echo], 0)

    def waiting_at(self, name):
        services = self.status(name)["services"]
        return sum(s["waiting"] for s in services if s["service"] == EXPORTS)


if __name__ == "__main__":
    unittest.main()

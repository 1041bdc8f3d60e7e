import unittest

from endivepick.forwarding.load.meter import LoadMeter
from endivepick.forwarding.load.reports import MAX_REPORT_TARGETS, ServiceLoad
from endivepick.forwarding.tests.support import (
    data,
    flow_key,
    make_core,
    make_target,
    open_flow,
    opening,
)

TICK_S = 0.1


class MeterCase(unittest.TestCase):
    def make_meter(self, *targets, **settings):
        self.core = make_core(targets, **settings)
        self.meter = LoadMeter(self.core.flows, self.core.registry)
        self.now_s = 1.0
        self.meter.tick(self.now_s)

    def run_for(self, duration_s):
        for _ in range(round(duration_s / TICK_S)):
            self.now_s += TICK_S
            self.meter.tick(self.now_s)

    def send_request(self, port=1000, sequence=101, acknowledged=500):
        key = flow_key(port)
        belief = open_flow(self.core, key, self.now_s)
        request = data(key, belief.cookie, sequence, acknowledged)
        self.core.on_packet(request, b"", self.now_s)
        return belief

    def report(self):
        return self.meter.report(self.now_s)


class TestMeasuredLoad(MeterCase):
    def test_request_in_progress_counts_as_its_share_of_the_last_second(self):
        self.make_meter(make_target("i-1", born_ms=70))
        self.send_request()
        self.run_for(0.5)
        self.assertAlmostEqual(self.report().targets[0].busy, 0.39, delta=0.01)
        self.run_for(5.0)
        (target,) = self.report().targets
        self.assertEqual((target.key, target.open_flows), (("i-1", 70), 1))
        self.assertAlmostEqual(target.busy, 1.0, delta=0.01)

    def test_open_flow_without_a_request_is_not_busy(self):
        self.make_meter(make_target("i-1"))
        open_flow(self.core, flow_key(), self.now_s)
        self.run_for(2.0)
        (target,) = self.report().targets
        self.assertEqual((target.busy, target.open_flows), (0.0, 1))

    def test_closed_flow_leaves_the_targets_and_later_the_sums(self):
        self.make_meter(make_target("i-1"))
        belief = self.send_request()
        self.run_for(3.0)
        self.core.flows.end(flow_key())
        self.run_for(TICK_S)
        self.assertEqual(self.report().targets, [])
        self.assertGreater(self.report().services[0].busy, 0.5)
        self.run_for(8.0)
        self.assertEqual(self.report().services, [])
        self.assertEqual((self.meter._measured, belief.busy_flows), ({}, 0))

    def test_request_that_its_target_dropped_is_no_load(self):
        """The target reset the flow at its caller, which opens another one."""
        self.make_meter(make_target("i-1"))
        belief = self.send_request()
        self.run_for(3.0)
        self.core.outlier_detector.requests.record_overdue(
            self.core.flows.get(flow_key()), self.now_s
        )
        self.run_for(8.0)
        self.assertEqual(self.report().targets[0].busy, 0.0)
        self.assertEqual((belief.busy_flows, belief.stalled_flows), (1, 1))
        self.core.flows.end(flow_key())
        self.assertEqual((belief.busy_flows, belief.stalled_flows), (0, 0))

    def test_request_that_is_answered_late_counts_again_with_the_next(self):
        self.make_meter(make_target("i-1"))
        belief = self.send_request()
        flow = self.core.flows.get(flow_key())
        self.core.outlier_detector.requests.record_overdue(flow, self.now_s)
        answer = data(flow_key(), belief.cookie, 401, 900, 0)
        self.core.on_packet(answer, b"", self.now_s)
        self.assertEqual((belief.busy_flows, belief.stalled_flows), (0, 0))
        self.core.on_packet(data(flow_key(), belief.cookie, 401, 900), b"", self.now_s)
        self.assertEqual((belief.busy_flows, belief.stalled_flows), (1, 0))

    def test_pause_of_the_process_takes_the_present_load(self):
        self.make_meter(make_target("i-1"))
        self.send_request()
        self.now_s += 30.0
        self.meter.tick(self.now_s)
        self.assertEqual(self.report().targets[0].busy, 1.0)

    def test_restarted_target_is_measured_afresh(self):
        self.make_meter(make_target("i-1", revision=5, born_ms=5000))
        self.send_request()
        self.run_for(2.0)
        restarted = make_target("i-1", revision=20, born_ms=90_000)
        self.core.on_target(restarted, self.now_s)
        self.core.on_packet(opening(flow_key(1001)), b"", self.now_s)
        self.run_for(TICK_S)
        loads = {each.born_ms: each for each in self.report().targets}
        self.assertEqual((loads[90_000].busy, loads[90_000].open_flows), (0.0, 1))

    def test_flow_that_moves_to_another_target_takes_its_request_along(self):
        self.make_meter(make_target("i-1"), make_target("i-2"))
        first = self.send_request()
        other = next(b for b in self.core.registry if b is not first)
        moved = data(flow_key(), other.cookie, 101, 500)
        self.core.flows.observe(moved, other, None, self.now_s)
        self.run_for(5.0)
        (target,) = self.report().targets
        self.assertEqual((target.name, round(target.busy, 1)), (other.name, 1.0))


class TestServiceSums(MeterCase):
    def test_answers_are_summed_by_service_and_zone(self):
        self.make_meter(
            make_target("i-1"), make_target("i-2", zone="b"), zones=2, zone_headroom=9
        )
        for belief in self.core.registry:
            key = flow_key(1000 + belief.target.number)
            self.core.flows.observe(data(key, belief.cookie), belief, None, 1.0)
            belief.requests.at_s = self.now_s
            belief.requests.good = 8.0
            belief.requests.poor = 2.0
        self.meter.tick(self.now_s)
        sums = sorted(self.report().services, key=lambda load: load.target_zone)
        self.assertEqual(
            sums,
            [
                ServiceLoad("notes", "a", 0.0, 5.0, 1.0),
                ServiceLoad("notes", "b", 0.0, 5.0, 1.0),
            ],
        )


class TestBounds(MeterCase):
    def test_busiest_targets_of_many_are_reported(self):
        targets = [make_target(f"i-{n:x}") for n in range(1, 301)]
        self.make_meter(*targets)
        for number, belief in enumerate(self.core.registry):
            key = flow_key(2000 + number)
            size = 300 if number >= 290 else 0
            packet = data(key, belief.cookie, data_bytes=size)
            self.core.flows.observe(packet, belief, None, self.now_s)
        self.run_for(1.0)
        report = self.report()
        self.assertEqual(len(report.targets), MAX_REPORT_TARGETS)
        busy = [each.busy > 0 for each in report.targets]
        self.assertEqual(busy, [True] * 10 + [False] * (MAX_REPORT_TARGETS - 10))

    def test_targets_without_flows_here_cost_nothing(self):
        targets = [make_target(f"i-{n:x}") for n in range(1, 301)]
        self.make_meter(*targets)
        self.send_request()
        self.run_for(1.0)
        self.assertEqual(len(self.meter._measured), 1)


if __name__ == "__main__":
    unittest.main()

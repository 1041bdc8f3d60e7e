import itertools
import random
import unittest
from collections import Counter

from endivepick.core.dispatch import FinishKind, FlowActivity
from endivepick.core.dispatch.flow_activity import TargetActivity
from endivepick.core.dispatch.tests.support import make_dispatcher, make_record, submit
from endivepick.records.model import Affinity

REQUESTS_PER_FLOW = 20
INTERVAL_S = 0.05


class ShortFlowLoad:
    """Three concurrent flows, each with 20 requests in one second."""

    def __init__(self, dispatcher):
        self.dispatcher = dispatcher
        self.random = random.Random(1)
        self.opened = Counter()
        self.numbers = itertools.count()

    def run(self, start_s, end_s, kept=()):
        """Run flows; flows on a target in ``kept`` are left open without requests."""
        flows = [self.flows(sent, kept) for sent in (0, 7, 13)]
        for flow in flows:
            next(flow)
        for step in range(round((end_s - start_s) / INTERVAL_S)):
            for flow in flows:
                flow.send(start_s + step * INTERVAL_S)
        for flow in flows:
            flow.close()

    def flows(self, sent, kept):
        """Send a request at each received time; open a new flow after the last one."""
        now_s = yield
        while True:
            flow = FlowActivity()
            target = self.dispatcher.place_flow(flow, now_s, self.random.random())
            self.opened[target] += 1
            try:
                for _ in range(sent, REQUESTS_PER_FLOW):
                    self.request(target, flow, now_s)
                    now_s = yield
            finally:
                if target not in kept:
                    self.dispatcher.close_flow(target, flow, now_s)
            sent = 0

    def request(self, target, flow, now_s):
        number = next(self.numbers)
        submit(self.dispatcher, number, now_s, pinned=target, activity=flow)
        self.dispatcher.finished(number, now_s + 0.02, FinishKind.OK, 0.02)


class TestSilentFlows(unittest.TestCase):
    def test_silent_flows_do_not_keep_new_flows_from_their_target(self):
        record = make_record(Affinity.FLOW, targets=2, slots=2)
        load = ShortFlowLoad(make_dispatcher(record))
        load.run(0.0, 10.0, kept=["t1"])
        load.opened.clear()
        load.run(11.0, 71.0)
        self.assertGreater(load.opened["t1"], load.opened["t0"] / 4)


class TestTargetActivity(unittest.TestCase):
    def test_leaving_flow_removes_its_contribution(self):
        target = TargetActivity(time_constant_s=60.0)
        fast, slow = FlowActivity(), FlowActivity()
        target.join(fast, 1.0, now_s=0.0)
        target.join(slow, 1.0, now_s=0.0)
        for second in range(1, 30):
            target.on_request(fast, float(second))
        target.leave(slow, now_s=30.0)
        self.assertAlmostEqual(target.rate_per_s(30.0), fast.rate_per_s, delta=0.02)
        target.leave(fast, now_s=30.0)
        self.assertAlmostEqual(target.rate_per_s(30.0), 0.0)
        self.assertAlmostEqual(target.active_flows(30.0), 0.0)

    def test_silent_flow_counts_fully_after_its_next_request(self):
        target, flow = TargetActivity(time_constant_s=10.0), FlowActivity()
        target.join(flow, 1.0, now_s=0.0)
        self.assertLess(target.active_flows(100.0), 0.001)
        target.on_request(flow, 100.0)
        self.assertAlmostEqual(target.active_flows(100.0), 1.0)


if __name__ == "__main__":
    unittest.main()

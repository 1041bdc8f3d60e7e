"""Tests of probe intervals and of target changes between probes."""

import random
import unittest
from itertools import count

from endivepick.core.actions import Probe
from endivepick.core.catalog import Catalog
from endivepick.core.dispatch import (
    DispatchSettings,
    FinishKind,
    FlowActivity,
    ProbeFailed,
    ProbeResult,
    RequestIntent,
    Start,
    TargetHealth,
)
from endivepick.core.dispatch.dispatcher import QUIET_AFTER_S
from endivepick.core.executor import RequestExecutor
from endivepick.core.flow_table import FlowTable, Identity
from endivepick.core.peer_messages import InFlightReport
from endivepick.core.roles import RoleSettings, ServiceRoles
from endivepick.core.settings import FlowSettings
from endivepick.core.tests._fixture import NOW_S, SERVICE, record
from endivepick.records import Change, StoredObject
from endivepick.records.model import Affinity
from endivepick.records.schema import write_service

TICK_S = 0.125
QUIET_PERIOD_S = 8.0
DRAIN_DEADLINE_S = 3.0
"""Time after which a draining target must get no new work, in seconds."""


class SoleOwner:
    """Owner selection of an instance that owns every service."""

    def pop_ownership_candidates(self):
        return set()

    def owner_name(self, service):
        return "a"

    def is_owned_here(self, service):
        return True


class OwnerHarness:
    """Owner with two targets that answer each probe at once."""

    def __init__(self):
        self.now_s = NOW_S
        self.health = {
            f"t{n}": self.create_probe_result(TargetHealth.READY) for n in range(2)
        }
        self.probed_at_s = []
        self.numbers = count()
        catalog = Catalog()
        body = write_service(record(affinity=Affinity.REQUEST), 2).body
        catalog.apply((Change(None, StoredObject("service", SERVICE, 1, body)),))
        flow = FlowSettings()
        table = FlowTable(flow, Identity("a", 1), lambda: 1)
        executor = RequestExecutor(flow, table, lambda: 0.5)
        self.roles = ServiceRoles(
            RoleSettings(),
            DispatchSettings(),
            "z1",
            catalog,
            table,
            executor,
            SoleOwner(),
            "a",
        )
        self.roles.activate(SERVICE, NOW_S)
        self.dispatcher = executor.dispatchers[SERVICE]

    @staticmethod
    def create_probe_result(state, incarnation=77, service=SERVICE):
        return ProbeResult(state, service, incarnation)

    def run_until(self, end_s):
        """Run ticks and answer the probes that they request."""
        while self.now_s < end_s:
            self.now_s += TICK_S
            probes = [
                action
                for action in self.roles.tick(self.now_s)
                if isinstance(action, Probe)
            ]
            if probes:
                self.probed_at_s.append(self.now_s)
            for probe in probes:
                outcome = self.health[probe.target]
                self.roles.on_probed(SERVICE, probe.target, outcome, self.now_s)

    def run(self, length_s):
        self.run_until(self.now_s + length_s)

    def probe_intervals_s(self):
        """Return the intervals between recorded probes, in seconds."""
        times = self.probed_at_s
        return [
            later - earlier for earlier, later in zip(times, times[1:], strict=False)
        ]

    def start(self, tie=0.5, deadline_s=5.0):
        """Submit a request and return its start decisions."""
        request_id = (next(self.numbers), 0, 0)
        intent = RequestIntent(request_id, "", self.now_s + deadline_s, True)
        decisions = self.dispatcher.submit(intent, self.now_s, tie)
        return [decision for decision in decisions if isinstance(decision, Start)]

    def request(self, tie=0.5):
        """Run a request to completion and return its target."""
        [start] = self.start(tie)
        self.finish(start, FinishKind.OK)
        return start.target

    def finish(self, start, kind):
        decisions = self.dispatcher.finished(start.request_id, self.now_s, kind, 0.01)
        return [decision for decision in decisions if isinstance(decision, Start)]


class TestProbeTimes(unittest.TestCase):
    def setUp(self):
        self.harness = OwnerHarness()
        self.settings = RoleSettings()

    def make_quiet(self):
        """Let the service become quiet and discard the probes until then."""
        self.harness.run(QUIET_PERIOD_S)
        self.harness.probed_at_s.clear()

    def assert_probe_interval(self, expected_s):
        intervals_s = self.harness.probe_intervals_s()
        self.assertGreater(len(intervals_s), 2)
        for interval_s in intervals_s:
            self.assertAlmostEqual(interval_s, expected_s, delta=TICK_S)

    def test_quiet_service_is_probed_less_often(self):
        self.make_quiet()
        self.harness.run(QUIET_PERIOD_S)
        self.assert_probe_interval(self.settings.quiet_probe_every_s)

    def test_service_with_requests_keeps_the_probe_interval(self):
        self.make_quiet()
        for _ in range(20):
            self.harness.request()
            self.harness.run(1.5)
        self.assert_probe_interval(self.settings.probe_every_s)

    def test_refused_requests_keep_the_probe_interval(self):
        self.make_quiet()
        for _ in range(20):
            self.assertEqual(self.harness.start(deadline_s=0.0), [])
            self.harness.run(1.5)
        self.assert_probe_interval(self.settings.probe_every_s)

    def test_opened_flows_keep_the_probe_interval(self):
        self.make_quiet()
        for _ in range(20):
            self.harness.dispatcher.place_flow(FlowActivity(), self.harness.now_s, 0.5)
            self.harness.run(1.5)
        self.assert_probe_interval(self.settings.probe_every_s)

    def test_long_request_keeps_the_probe_interval(self):
        self.harness.run(TICK_S)
        [start] = self.harness.start()
        self.make_quiet()
        self.harness.run(QUIET_PERIOD_S)
        self.harness.finish(start, FinishKind.OK)
        self.harness.run(QUIET_AFTER_S - TICK_S)
        self.assert_probe_interval(self.settings.probe_every_s)

    def test_requests_of_a_peer_keep_the_probe_interval(self):
        # A peer whose own probes fail relies on this owner's probe results, so the
        # peer's requests count as activity.
        self.make_quiet()
        for _ in range(20):
            report = InFlightReport(SERVICE, {"t0": 1})
            self.harness.roles.on_report("b", report, self.harness.now_s)
            self.harness.run(1.0)
        self.assert_probe_interval(self.settings.probe_every_s)

    def test_report_without_requests_does_not_count_as_activity(self):
        self.make_quiet()
        for _ in range(20):
            report = InFlightReport(SERVICE, {})
            self.harness.roles.on_report("b", report, self.harness.now_s)
            self.harness.run(1.0)
        self.assert_probe_interval(self.settings.quiet_probe_every_s)

    def test_target_that_is_not_ready_keeps_the_probe_interval(self):
        other = OwnerHarness.create_probe_result(TargetHealth.READY, service="other")
        for outcome in (
            ProbeFailed(),
            OwnerHarness.create_probe_result(TargetHealth.STARTING),
            OwnerHarness.create_probe_result(TargetHealth.DRAINING),
            other,
        ):
            with self.subTest(outcome=outcome):
                self.harness = OwnerHarness()
                self.harness.health["t1"] = outcome
                self.make_quiet()
                self.harness.run(QUIET_PERIOD_S)
                self.assert_probe_interval(self.settings.probe_every_s)

    def test_first_request_after_quiet_period_triggers_a_probe(self):
        # Send the request just before the next quiet probe, so that the last probe
        # is old.
        self.make_quiet()
        while not self.harness.probed_at_s:
            self.harness.run(TICK_S)
        self.harness.run(self.settings.quiet_probe_every_s - 2 * TICK_S)
        self.assertEqual(len(self.harness.probed_at_s), 1)
        self.harness.request()
        self.harness.run(TICK_S)
        self.assertEqual(len(self.harness.probed_at_s), 2)

    def test_draining_target_gets_no_new_work_after_the_deadline(self):
        for case in range(200):
            source = random.Random(case)
            self.harness = OwnerHarness()
            self.harness.run(source.uniform(0.5, 12.0))
            self.harness.health["t0"] = OwnerHarness.create_probe_result(
                TargetHealth.DRAINING
            )
            drained_at_s = self.harness.now_s
            while self.harness.now_s < drained_at_s + 12.0:
                self.harness.run(source.choice((0.0, 0.3, 1.1, 2.9, 5.0)))
                target = self.harness.request(tie=source.random())
                after_s = self.harness.now_s - drained_at_s
                if target == "t0":
                    self.assertLess(after_s, DRAIN_DEADLINE_S, f"case {case}")

    def test_request_after_restart_in_quiet_period_updates_the_incarnation(self):
        self.make_quiet()
        for name in ("t0", "t1"):
            self.harness.health[name] = OwnerHarness.create_probe_result(
                TargetHealth.READY, incarnation=78
            )
        # Both targets restarted after the last probe: each answers 421 and runs
        # nothing.
        [start] = self.harness.start()
        [again] = self.harness.finish(start, FinishKind.MISDIRECTED)
        self.assertEqual({start.target, again.target}, {"t0", "t1"})
        self.harness.finish(again, FinishKind.MISDIRECTED)
        self.harness.run(self.settings.probe_every_s + TICK_S)
        targets = self.harness.dispatcher.snapshot().targets
        self.assertEqual({target.incarnation for target in targets}, {78})

    def test_target_of_another_service_is_excluded_at_the_next_probe(self):
        self.make_quiet()
        self.harness.health["t0"] = OwnerHarness.create_probe_result(
            TargetHealth.READY, service="other"
        )
        self.harness.run(self.settings.quiet_probe_every_s)
        self.assertEqual({self.harness.request() for _ in range(9)}, {"t1"})


if __name__ == "__main__":
    unittest.main()

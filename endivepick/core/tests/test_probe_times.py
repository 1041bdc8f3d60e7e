"""When targets are probed, and what a change at a target leads to meanwhile."""

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
LONG_QUIET_S = 8.0
LEFT_ALONE_S = 3.0
"""A target that drains gets no new work after this time, as promised."""


class SoleOwner:
    """Owner choice of an instance that owns every service."""

    def pop_ownership_candidates(self):
        return set()

    def owner_name(self, service):
        return "a"

    def is_owned_here(self, service):
        return True


class World:
    """An owner with two targets that answer each probe at once."""

    def __init__(self):
        self.now_s = NOW_S
        self.health = {f"t{n}": self.word(TargetHealth.READY) for n in range(2)}
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
    def word(state, incarnation=77, service=SERVICE):
        return ProbeResult(state, service, incarnation)

    def run_until(self, end_s):
        """Let ticks pass and answer the probes that they ask for."""
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

    def waits_s(self):
        """Return the times between the probes of the last run, in seconds."""
        times = self.probed_at_s
        return [later - one for one, later in zip(times, times[1:], strict=False)]

    def start(self, tie=0.5, deadline_s=5.0):
        """Submit a request; return where it starts."""
        request_id = (next(self.numbers), 0, 0)
        intent = RequestIntent(request_id, "", self.now_s + deadline_s, True)
        decisions = self.dispatcher.submit(intent, self.now_s, tie)
        return [one for one in decisions if isinstance(one, Start)]

    def request(self, tie=0.5):
        """Submit a request and answer it; return the target that it ran on."""
        [start] = self.start(tie)
        self.finish(start, FinishKind.OK)
        return start.target

    def finish(self, start, kind):
        decisions = self.dispatcher.finished(start.request_id, self.now_s, kind, 0.01)
        return [one for one in decisions if isinstance(one, Start)]


class TestProbeTimes(unittest.TestCase):
    def setUp(self):
        self.world = World()
        self.settings = RoleSettings()

    def rest(self):
        """Let the service become quiet; keep only the probes after that."""
        self.world.run(LONG_QUIET_S)
        self.world.probed_at_s.clear()

    def assert_waits(self, wait_s):
        waits_s = self.world.waits_s()
        self.assertGreater(len(waits_s), 2)
        for one in waits_s:
            self.assertAlmostEqual(one, wait_s, delta=TICK_S)

    def test_quiet_service_is_probed_less_often(self):
        self.rest()
        self.world.run(LONG_QUIET_S)
        self.assert_waits(self.settings.quiet_probe_every_s)

    def test_service_with_requests_is_probed_as_ever(self):
        self.rest()
        for _ in range(20):
            self.world.request()
            self.world.run(1.5)
        self.assert_waits(self.settings.probe_every_s)

    def test_service_whose_requests_are_refused_is_probed_as_ever(self):
        self.rest()
        for _ in range(20):
            self.assertEqual(self.world.start(deadline_s=0.0), [])
            self.world.run(1.5)
        self.assert_waits(self.settings.probe_every_s)

    def test_service_whose_flows_are_opened_is_probed_as_ever(self):
        self.rest()
        for _ in range(20):
            self.world.dispatcher.place_flow(FlowActivity(), self.world.now_s, 0.5)
            self.world.run(1.5)
        self.assert_waits(self.settings.probe_every_s)

    def test_service_with_a_long_request_is_probed_as_ever(self):
        self.world.run(TICK_S)
        [start] = self.world.start()
        self.rest()
        self.world.run(LONG_QUIET_S)
        self.world.finish(start, FinishKind.OK)
        self.world.run(QUIET_AFTER_S - TICK_S)
        self.assert_waits(self.settings.probe_every_s)

    def test_service_that_only_a_peer_uses_is_probed_as_ever(self):
        # Its word reaches a peer whose own probes fail.
        self.rest()
        for _ in range(20):
            report = InFlightReport(SERVICE, {"t0": 1})
            self.world.roles.on_report("b", report, self.world.now_s)
            self.world.run(1.0)
        self.assert_waits(self.settings.probe_every_s)

    def test_peer_without_requests_keeps_no_service_awake(self):
        self.rest()
        for _ in range(20):
            report = InFlightReport(SERVICE, {})
            self.world.roles.on_report("b", report, self.world.now_s)
            self.world.run(1.0)
        self.assert_waits(self.settings.quiet_probe_every_s)

    def test_target_that_is_not_ready_is_asked_as_ever(self):
        other = World.word(TargetHealth.READY, service="other")
        for outcome in (
            ProbeFailed(),
            World.word(TargetHealth.STARTING),
            World.word(TargetHealth.DRAINING),
            other,
        ):
            with self.subTest(outcome=outcome):
                self.world = World()
                self.world.health["t1"] = outcome
                self.rest()
                self.world.run(LONG_QUIET_S)
                self.assert_waits(self.settings.probe_every_s)

    def test_first_request_after_quiet_has_the_targets_probed_at_once(self):
        # Just before the next probe of the quiet time, so that the last one is old.
        self.rest()
        while not self.world.probed_at_s:
            self.world.run(TICK_S)
        self.world.run(self.settings.quiet_probe_every_s - 2 * TICK_S)
        self.assertEqual(len(self.world.probed_at_s), 1)
        self.world.request()
        self.world.run(TICK_S)
        self.assertEqual(len(self.world.probed_at_s), 2)

    def test_draining_target_gets_no_new_work_after_the_promised_time(self):
        for case in range(200):
            source = random.Random(case)
            self.world = World()
            self.world.run(source.uniform(0.5, 12.0))
            self.world.health["t0"] = World.word(TargetHealth.DRAINING)
            drained_at_s = self.world.now_s
            while self.world.now_s < drained_at_s + 12.0:
                self.world.run(source.choice((0.0, 0.3, 1.1, 2.9, 5.0)))
                target = self.world.request(tie=source.random())
                after_s = self.world.now_s - drained_at_s
                if target == "t0":
                    self.assertLess(after_s, LEFT_ALONE_S, f"case {case}")

    def test_first_request_after_a_quiet_restart_learns_the_new_incarnation(self):
        self.rest()
        for name in ("t0", "t1"):
            self.world.health[name] = World.word(TargetHealth.READY, incarnation=78)
        # Both restarted since the last probe: each answers 421, nothing ran.
        [start] = self.world.start()
        [again] = self.world.finish(start, FinishKind.MISDIRECTED)
        self.assertEqual({start.target, again.target}, {"t0", "t1"})
        self.world.finish(again, FinishKind.MISDIRECTED)
        self.world.run(self.settings.probe_every_s + TICK_S)
        targets = self.world.dispatcher.snapshot().targets
        self.assertEqual({target.incarnation for target in targets}, {78})

    def test_target_of_another_service_is_left_at_the_next_probe(self):
        self.rest()
        self.world.health["t0"] = World.word(TargetHealth.READY, service="other")
        self.world.run(self.settings.quiet_probe_every_s)
        self.assertEqual({self.world.request() for _ in range(9)}, {"t1"})


if __name__ == "__main__":
    unittest.main()

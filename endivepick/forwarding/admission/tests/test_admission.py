import unittest

from endivepick.forwarding import (
    Configuration,
    FlowKey,
    Forward,
    OpeningRejected,
    OverloadChanged,
    Packet,
    Reset,
    ResetReason,
    Route,
    RouteKind,
    ServiceShare,
)
from endivepick.forwarding.admission.overload_state import OverloadState
from endivepick.forwarding.tests.support import (
    SERVICE_HOST,
    make_core,
    make_target,
    opening,
    take,
)

URGENT_PORT, BULK_PORT = 500, 502
TARGETS = [make_target("i-1"), make_target("i-2", zone="b")]


class Signals:
    """Signals of a service whose slots are all used, unless set otherwise."""

    def __init__(self):
        self.short = 0.5
        self.busy = {"a": 8.0, "b": 8.0}

    def short_share(self, service, now_s):
        return self.short

    def zone_busy(self, service, target_zone, now_s):
        return self.busy.get(target_zone)


def make_limited_core(signals, priorities=(0, 2), targets=TARGETS, **settings):
    settings["shares_load"] = settings.get("limits_overload", False)
    core = make_core(targets, zones=2, **settings)
    shares, kind = (ServiceShare("notes", 1.0),), RouteKind.IDEMPOTENT
    ports = (URGENT_PORT, BULK_PORT)
    routes = [
        Route(f"p{port}", SERVICE_HOST, port, shares, kind, priority=priority)
        for port, priority in zip(ports, priorities, strict=True)
    ]
    core.on_configuration(Configuration(8, 2, tuple(routes)), 0.0)
    if core.admission is not None:
        core.admission.signals = signals
    core.effects.clear()
    return core


def tick_until(core, begin_s, end_s):
    for tenth in range(round(begin_s * 10), round(end_s * 10)):
        core.tick(tenth / 10)


def open_flow(core, caller_port, now_s, port=BULK_PORT, copy=0):
    flow = FlowKey(0x64400007, caller_port, SERVICE_HOST, port)
    return core.on_packet(opening(flow, copy), b"", now_s)


class TestOverloadedService(unittest.TestCase):
    END_S = 10.0
    """By then the limits are at their lowest."""

    def setUp(self):
        self.signals = Signals()
        self.core = make_limited_core(self.signals, limits_overload=True)
        tick_until(self.core, 0.0, 1.0)
        for port in (URGENT_PORT, BULK_PORT):
            open_flow(self.core, 1000, 1.0, port)
        tick_until(self.core, 1.0, self.END_S)

    def open_many(self, **fields):
        return [
            open_flow(self.core, caller_port, self.END_S, **fields)
            for caller_port in range(2000, 2400)
        ]

    def find_rejected(self):
        """Open flows until one is rejected; returns the reset."""
        return next(v for v in self.open_many() if isinstance(v, Reset))

    def test_urgent_openings_are_forwarded_and_a_tenth_of_the_others(self):
        urgent = self.open_many(port=URGENT_PORT)
        self.assertTrue(all(isinstance(v, Forward) for v in urgent))
        forwarded = sum(isinstance(v, Forward) for v in self.open_many())
        self.assertTrue(20 <= forwarded <= 60, forwarded)

    def test_rejection_is_a_reset_with_its_grounds(self):
        self.core.effects.clear()
        reset = self.find_rejected()
        self.assertIs(reset.reason, ResetReason.OVERLOADED)
        self.assertEqual(reset.sequence, 0)
        rejected = take(self.core, OpeningRejected)[0]
        decision = rejected.decision
        self.assertEqual((rejected.flow, rejected.version), (reset.flow, 8))
        self.assertEqual((decision.service, decision.priority), ("notes", 2))
        self.assertEqual((decision.short_share, decision.busy_per_slot), (0.5, 4.0))
        self.assertAlmostEqual(decision.admitted_share, 0.1)
        self.assertAlmostEqual(decision.age_s, 0.1)

    def test_copy_is_admitted_since_an_earlier_one_may_have_opened_the_flow(self):
        """The first copy went through another instance, or its reset was lost."""
        copies = self.open_many(copy=1)
        self.assertTrue(all(isinstance(v, Forward) for v in copies))

    def test_copy_of_a_rejected_opening_is_admitted(self):
        port = self.find_rejected().flow.caller_port
        self.assertIsInstance(open_flow(self.core, port, 10.2, copy=1), Forward)

    def test_rejected_caller_may_open_a_new_flow_from_another_port(self):
        reset = self.find_rejected()
        self.signals.busy = {"a": 0.2, "b": 0.2}
        tick_until(self.core, self.END_S, 14.0)
        port = reset.flow.caller_port + 1000
        self.assertIsInstance(open_flow(self.core, port, 14.0), Forward)

    def test_opening_forwarded_here_is_never_rejected_later(self):
        """The network duplicates the first copy of an opening."""
        ports = [
            v_port
            for v_port in range(2000, 2400)
            if isinstance(open_flow(self.core, v_port, self.END_S), Forward)
        ]
        for port in ports * 3:
            self.assertIsInstance(open_flow(self.core, port, 10.1), Forward)

    def test_flow_that_is_open_is_never_rejected(self):
        """A duplicate of the opening is late by more than the openings are kept."""
        port = 2000
        while not isinstance(verdict := open_flow(self.core, port, 10.0), Forward):
            port += 1
        flow = FlowKey(0x64400007, port, SERVICE_HOST, BULK_PORT)
        cookie = verdict.belief.cookie
        request = Packet(flow, False, False, cookie, 101, 500, 300)
        self.assertIsInstance(self.core.on_packet(request, b"", 10.1), Forward)
        tick_until(self.core, 10.1, 13.0)
        for _ in range(30):
            self.assertIsInstance(open_flow(self.core, port, 13.0), Forward)

    def test_late_duplicate_of_a_flow_that_has_ended_is_not_rejected(self):
        """The caller has closed its flow, and the target may still answer it."""
        port = 2000
        while not isinstance(verdict := open_flow(self.core, port, 10.0), Forward):
            port += 1
        flow = FlowKey(0x64400007, port, SERVICE_HOST, BULK_PORT)
        end = Packet(flow, False, True, verdict.belief.cookie, 101, 500, 0)
        self.assertIsInstance(self.core.on_packet(end, b"", 10.1), Forward)
        for _ in range(30):
            self.assertIsInstance(open_flow(self.core, port, 10.2), Forward)

    def spares(self, service, priority, now_s, share=0.5):
        admission = self.core.admission
        return admission.spares_reserved(service, priority, lambda: share, now_s)

    def test_limited_priority_spares_targets_until_the_signals_are_too_old(self):
        self.assertTrue(self.spares("notes", 2, self.END_S))
        self.assertFalse(self.spares("notes", 2, self.END_S, share=0.05))
        self.assertFalse(self.spares("notes", 0, self.END_S))
        self.assertFalse(self.spares("packs", 2, self.END_S))
        self.assertFalse(self.spares("notes", 2, self.END_S + 2.5))

    def test_changes_are_reported_with_their_grounds(self):
        (begin,) = take(self.core, OverloadChanged)
        self.assertEqual(
            (begin.service, begin.state), ("notes", OverloadState.OVERLOADED)
        )
        self.assertEqual((begin.short_share, begin.busy_per_slot), (0.5, 4.0))
        self.signals.busy = {"a": 0.2, "b": 0.2}
        tick_until(self.core, self.END_S, 16.0)
        states = [change.state for change in take(self.core, OverloadChanged)]
        self.assertEqual(states, [OverloadState.RECOVERING, OverloadState.NORMAL])

    def test_lost_signals_end_the_limits_after_two_seconds(self):
        self.signals.short = None
        tick_until(self.core, self.END_S, 11.5)
        self.assertIsInstance(self.find_rejected(), Reset)
        tick_until(self.core, 11.5, 12.5)
        self.assertTrue(all(isinstance(v, Forward) for v in self.open_many()))

    def test_paused_instance_admits_everything_until_it_knows_more(self):
        """No tick adjusted the limits while the process was paused."""
        verdicts = [open_flow(self.core, port, 15.0) for port in range(2000, 2100)]
        self.assertTrue(all(isinstance(v, Forward) for v in verdicts))


class TestWithoutLimits(unittest.TestCase):
    def verdicts(self, core):
        """Return all verdicts, resets as text, of a run of ten seconds."""
        verdicts = []
        for tenth in range(100):
            core.tick(tenth / 10)
            for index, port in enumerate((URGENT_PORT, BULK_PORT)):
                verdict = open_flow(core, 1000 + 2 * tenth + index, tenth / 10, port)
                self.assertIsInstance(verdict, Forward)
                verdicts.append(verdict.belief.name)
        return verdicts

    def test_disabled_limits_change_no_verdict(self):
        plain = self.verdicts(make_limited_core(None))
        disabled = self.verdicts(make_limited_core(Signals(), limits_overload=False))
        self.assertEqual(plain, disabled)

    def test_unknown_load_changes_no_verdict(self):
        plain = self.verdicts(make_limited_core(None))
        unconnected = make_limited_core(None, limits_overload=True)
        self.assertEqual(plain, self.verdicts(unconnected))
        silent = Signals()
        silent.short = None
        unknown = make_limited_core(silent, limits_overload=True)
        self.assertEqual(plain, self.verdicts(unknown))

    def test_normal_load_changes_no_verdict(self):
        plain = self.verdicts(make_limited_core(None))
        free = Signals()
        free.short = 0.0
        normal = make_limited_core(free, limits_overload=True)
        self.assertEqual(plain, self.verdicts(normal))

    def test_full_service_of_one_priority_rejects_nothing(self):
        core = make_limited_core(Signals(), (1, 1), limits_overload=True)
        self.verdicts(core)

    def test_targets_that_shed_beside_free_slots_reject_nothing(self):
        """All targets of one zone are full, those of the other are not."""
        signals = Signals()
        signals.busy = {"a": 3.0, "b": 0.4}
        core = make_limited_core(signals, limits_overload=True)
        self.verdicts(core)
        self.assertEqual(take(core, OverloadChanged), [])

    def test_zones_of_unknown_load_are_left_out(self):
        signals = Signals()
        signals.busy = {"a": 3.0}
        core = make_limited_core(signals, limits_overload=True)
        tick_until(core, 0.0, 1.0)
        (change,) = take(core, OverloadChanged)
        self.assertEqual(change.busy_per_slot, 1.5)

    def test_service_without_targets_is_not_overloaded(self):
        core = make_limited_core(Signals(), targets=(), limits_overload=True)
        tick_until(core, 0.0, 5.0)
        self.assertEqual(take(core, OverloadChanged), [])


if __name__ == "__main__":
    unittest.main()

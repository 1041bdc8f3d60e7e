import unittest

from endivepick.forwarding import (
    DecisionRecord,
    Drop,
    DropReason,
    Forward,
    ForwardingCore,
    ForwardingSettings,
    Hold,
    Packet,
    ReadRegistry,
    Release,
    Reset,
    ResetReason,
    TargetPhase,
)
from endivepick.forwarding.cookies import compute_cookie
from endivepick.forwarding.tests.support import (
    SILENT,
    answer_probes,
    data,
    flow_key,
    make_configuration,
    make_core,
    make_target,
    open_flow,
    opening,
    take,
)


class TestLapsedEntries(unittest.TestCase):
    """The store drops entries of live targets and then becomes unavailable."""

    def setUp(self):
        targets = [make_target(f"i-{n}", revision=n) for n in range(1, 4)]
        self.core = make_core(targets)
        for target in targets:
            self.core.on_target_removed(target.name, 20, 1.0)
        self.core.effects.clear()

    def verdict(self, now_s):
        return self.core.on_packet(opening(flow_key()), b"", now_s)

    def registry_reads(self):
        return [e for e in self.core.effects if isinstance(e, ReadRegistry)]

    def test_openings_are_forwarded_while_the_store_is_known_unavailable(self):
        for tenths in range(10, 200):
            self.core.on_registry_unavailable(tenths / 10)
            self.core.tick(tenths / 10, heard_s=1.0)
        self.assertIsInstance(self.verdict(20.0), Forward)

    def test_openings_are_forwarded_while_the_store_does_not_answer(self):
        for tenths in range(10, 60):
            self.core.tick(tenths / 10, heard_s=1.0)
        self.assertIsInstance(self.verdict(6.0), Forward)

    def test_registry_is_read_again_before_entries_are_given_up(self):
        self.core.tick(2.0, heard_s=1.0)
        self.assertEqual(self.registry_reads(), [])
        for tenths in range(36, 46):
            self.core.tick(tenths / 10, heard_s=1.0)
        self.assertEqual(len(self.registry_reads()), 2)
        self.core.tick(4.6, heard_s=4.5)
        self.assertEqual(self.verdict(4.7).reason, ResetReason.NO_TARGET)


class TestTargetsThatLeftBefore(unittest.TestCase):
    """A new instance gets packets of flows to a target that left before it started."""

    COOKIE = compute_cookie("i-99")

    def setUp(self):
        self.core = make_core([])
        self.core.on_target_list([make_target("i-1")], 20, 1.0, asked_s=1.0)

    def verdict(self, now_s):
        return self.core.on_packet(data(flow_key(), self.COOKIE), b"", now_s)

    def read_list(self, asked_s, targets=("i-1",)):
        listed = [make_target(name, revision=30) for name in targets]
        self.core.on_target_list(listed, 40, asked_s + 0.1, asked_s)

    def test_flow_is_reset_when_a_later_list_lacks_the_target(self):
        self.assertIsInstance(self.verdict(9.0), Hold)
        self.assertIsInstance(self.verdict(9.1), Hold)
        self.read_list(asked_s=9.2)
        verdict = self.verdict(9.4)
        self.assertEqual(verdict.reason, ResetReason.TARGET_GONE)
        self.assertEqual(verdict.sequence, 500)

    def test_list_requested_before_the_packet_is_not_sufficient(self):
        self.assertIsInstance(self.verdict(9.0), Hold)
        self.read_list(asked_s=8.9)
        self.assertIsInstance(self.verdict(9.2), Hold)

    def test_flow_is_held_while_the_entry_may_return_after_an_outage(self):
        self.assertIsInstance(self.verdict(1.2), Hold)
        self.read_list(asked_s=1.3)
        self.assertIsInstance(self.verdict(1.5), Hold)
        self.read_list(asked_s=3.6)
        self.assertIsInstance(self.verdict(3.7), Reset)

    def test_lists_before_an_outage_do_not_confirm_a_removal(self):
        self.core.on_registry_unavailable(9.0)
        self.assertIsInstance(self.verdict(9.0), Hold)
        self.read_list(asked_s=9.1)
        self.assertIsInstance(self.verdict(9.2), Hold)
        self.read_list(asked_s=11.7)
        self.assertIsInstance(self.verdict(11.8), Reset)

    def test_packets_are_forwarded_when_a_later_list_has_the_target(self):
        self.assertIsInstance(self.verdict(9.0), Hold)
        self.read_list(asked_s=9.2, targets=("i-1", "i-99"))
        self.assertIsInstance(self.verdict(9.4), Forward)


class TestOpening(unittest.TestCase):
    def setUp(self):
        targets = [make_target(f"i-{n}", revision=n) for n in range(1, 4)]
        self.core = make_core(targets)

    def test_a_copy_goes_to_another_target(self):
        flow = flow_key()
        tried = {
            self.core.on_packet(opening(flow, copy), b"", at_s).belief.name
            for copy, at_s in ((0, 1.0), (1, 1.2), (2, 1.6))
        }
        self.assertEqual(len(tried), 3)

    def test_an_unknown_route_is_refused_at_once(self):
        verdict = self.core.on_packet(opening(flow_key(port=99)), b"", 1.0)
        self.assertEqual(verdict.reason, ResetReason.NO_ROUTE)

    def test_a_service_without_targets_refuses_at_once(self):
        core = make_core([])
        verdict = core.on_packet(opening(flow_key()), b"", 1.0)
        self.assertEqual(verdict.reason, ResetReason.NO_TARGET)

    def test_packets_are_held_until_configuration_and_targets_are_known(self):
        core = ForwardingCore(ForwardingSettings(zone="a"), lambda: 0.5)
        verdict = core.on_packet(opening(flow_key()), b"x", 1.0)
        self.assertEqual(verdict, Hold())
        core.on_configuration(make_configuration(), 1.01)
        self.assertEqual(take(core, Release), [])
        core.on_target_list([make_target("i-1", revision=1)], 10, 1.02)
        (release,) = take(core, Release)
        self.assertEqual(release.data, b"x")
        self.assertEqual(release.verdict.belief.name, "i-1")

    def test_held_packets_are_bounded_and_expire(self):
        core = ForwardingCore(ForwardingSettings(zone="a"), lambda: 0.5)
        for number in range(300):
            verdict = core.on_packet(opening(flow_key(number)), b"x", 1.0)
        self.assertEqual(verdict, Drop(DropReason.NOT_READY))
        self.assertEqual(take(core, ReadRegistry), [])
        core.tick(2.0)
        core.on_configuration(make_configuration(), 2.1)
        core.on_target_list([make_target("i-1", revision=1)], 10, 2.2)
        self.assertEqual(take(core, Release), [])

    def test_placement_record_has_the_inputs_of_the_decision(self):
        self.core.effects.clear()
        belief = open_flow(self.core, flow_key(), 2.0)
        (note,) = take(self.core, DecisionRecord)
        self.assertEqual(note.name, "flow_placed")
        self.assertEqual(note.target, belief.name)
        self.assertEqual((note.candidates, note.version), (3, 7))
        self.assertEqual(note.age_s, 2.0)


class TestFlowPackets(unittest.TestCase):
    def setUp(self):
        self.target = make_target("i-5", revision=1)
        self.core = make_core([self.target])
        self.cookie = compute_cookie("i-5")

    def test_any_instance_finds_the_target_of_any_flow(self):
        verdict = self.core.on_packet(data(flow_key(), self.cookie), b"", 1.0)
        self.assertEqual(verdict.belief.target, self.target)

    def test_packet_without_cookie_is_dropped(self):
        verdict = self.core.on_packet(data(flow_key(), 0), b"", 1.0)
        self.assertEqual(verdict, Drop(DropReason.NO_COOKIE))

    def test_flows_of_a_removed_route_are_reset(self):
        self.core.on_configuration(make_configuration(revision=2, ports=()), 1.0)
        packet = data(flow_key(), self.cookie, acknowledged=777)
        verdict = self.core.on_packet(packet, b"", 1.1)
        expected = Reset(flow_key(), 777, ResetReason.ROUTE_REMOVED, "i-5")
        self.assertEqual(verdict, expected)

    def test_flow_of_an_unknown_route_is_forwarded(self):
        verdict = self.core.on_packet(data(flow_key(port=999), self.cookie), b"", 1.0)
        self.assertIsInstance(verdict, Forward)

    def test_flow_of_a_restored_route_is_forwarded(self):
        self.core.on_configuration(make_configuration(revision=2, ports=()), 1.0)
        self.core.on_configuration(make_configuration(revision=3), 2.0)
        verdict = self.core.on_packet(data(flow_key(), self.cookie), b"", 2.1)
        self.assertIsInstance(verdict, Forward)

    def test_new_configuration_does_not_affect_other_flows(self):
        self.core.on_configuration(make_configuration(revision=2), 1.0)
        verdict = self.core.on_packet(data(flow_key(), self.cookie), b"", 1.1)
        self.assertIsInstance(verdict, Forward)

    def test_packets_to_a_degraded_target_are_logged_once(self):
        draining = make_target("i-5", phase=TargetPhase.DRAINING, revision=20)
        self.core.on_packet(data(flow_key(), self.cookie), b"", 1.0)
        self.core.on_target(draining, 2.0)
        self.core.effects.clear()
        for at_s, sequence in ((2.5, 401), (2.6, 701)):
            packet = data(flow_key(), self.cookie, sequence, sequence + 900)
            self.core.on_packet(packet, b"", at_s)
        (note,) = take(self.core, DecisionRecord)
        self.assertEqual((note.name, note.reason), ("flow_goes_on", "draining"))
        self.assertEqual(note.age_s, 0.5)

    def test_closing_packet_of_the_caller_is_forwarded(self):
        packet = Packet(flow_key(), False, True, self.cookie, 1, 2, 0)
        self.assertIsInstance(self.core.on_packet(packet, b"", 1.0), Forward)
        self.assertEqual(len(self.core.flows), 0)


class TestUnknownCookie(unittest.TestCase):
    def setUp(self):
        self.core = make_core([make_target("i-5", revision=1)])
        self.packet = data(flow_key(), compute_cookie("i-6"))

    def test_packet_is_held_and_the_registry_is_read(self):
        self.assertEqual(self.core.on_packet(self.packet, b"x", 1.0), Hold())
        registry_reads, note = self.core.effects
        self.assertEqual(registry_reads, ReadRegistry())
        self.assertIn(f"{compute_cookie('i-6'):08x}", note.reason)

    def test_packet_is_released_when_its_target_is_known(self):
        self.core.on_packet(self.packet, b"x", 1.0)
        self.core.effects.clear()
        self.core.on_target(make_target("i-6", revision=19), 1.1)
        (release,) = take(self.core, Release)
        self.assertEqual((release.data, release.verdict.belief.name), (b"x", "i-6"))

    def test_packet_is_dropped_and_logged_after_the_hold_time(self):
        self.core.on_packet(self.packet, b"x", 1.0)
        self.core.effects.clear()
        self.core.tick(2.0)
        (note,) = take(self.core, DecisionRecord)
        self.assertEqual((note.name, note.age_s), ("packet_dropped", 1.0))

    def test_forged_cookies_stay_within_the_limits(self):
        registry_reads = 0
        for number in range(2000):
            packet = data(flow_key(number), 0x1000 + number)
            self.core.on_packet(packet, b"x", 1.0 + number / 1e4)
            registry_reads += len(take(self.core, ReadRegistry))
        verdict = self.core.on_packet(self.packet, b"x", 1.2)
        self.assertEqual(verdict, Drop(DropReason.UNKNOWN_COOKIE))
        self.assertEqual(registry_reads, 1)


class TestFlowTable(unittest.TestCase):
    def test_counts_return_to_zero(self):
        core = make_core([make_target("i-5", revision=1)], observed_flows=50)
        belief = core.registry.get("i-5")
        for port in range(200):
            open_flow(core, flow_key(port), 1.0)
            core.on_packet(data(flow_key(port), belief.cookie), b"", 1.0)
        self.assertEqual((belief.flows, belief.busy_flows), (50, 50))
        core.tick(60.9)
        self.assertEqual((belief.flows, belief.busy_flows), (50, 50))
        # The timeout of the configuration applies, not that of the settings.
        core.tick(61.1)
        self.assertEqual((belief.flows, belief.busy_flows), (0, 0))


class TestSharedCookie(unittest.TestCase):
    """Two targets share a cookie; the one that the store created first leaves."""

    LEAVING, STAYING = "i-512cedf1", "i-cfef23c3"

    def setUp(self):
        self.staying = make_target(self.STAYING, created=6, revision=6)
        leaving = make_target(self.LEAVING, created=5, revision=5)
        self.core = make_core([leaving, self.staying])
        self.cookie = self.core.registry.get(self.STAYING).cookie
        self.assertEqual(self.cookie, self.core.registry.get(self.LEAVING).cookie)

    def leave(self):
        open_flow(self.core, flow_key(3), 0.9)
        draining = make_target(
            self.LEAVING, phase=TargetPhase.DRAINING, created=5, revision=11
        )
        self.core.on_target(draining, 1.0)
        self.core.on_target_removed(self.LEAVING, 12, 8.0)
        answer_probes(self.core, SILENT, 8.2)

    def test_instances_agree_on_the_owner_after_the_first_has_left(self):
        # Guards against resets of the other's flows, which an instance that had
        # started since opened there.
        self.leave()
        started_since = make_core([self.staying])
        flow = flow_key()
        for core in (started_since, self.core):
            verdict = core.on_packet(data(flow, self.cookie), b"", 9.0)
            self.assertIsInstance(verdict, Forward)
            self.assertEqual(verdict.belief.name, self.STAYING)

    def test_the_other_takes_new_flows_when_the_first_has_left(self):
        self.assertEqual(open_flow(self.core, flow_key(1), 0.5).name, self.LEAVING)
        self.leave()
        self.assertEqual(open_flow(self.core, flow_key(2), 9.0).name, self.STAYING)

    def test_first_keeps_the_cookie_while_its_entry_is_missing_for_a_moment(self):
        self.core.on_target_removed(self.LEAVING, 12, 1.0)
        verdict = self.core.on_packet(data(flow_key(), self.cookie), b"", 1.1)
        self.assertEqual(verdict.belief.name, self.LEAVING)

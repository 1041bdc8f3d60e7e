import unittest

from endivepick.forwarding import ProbeTarget, Reset, ResetReason
from endivepick.forwarding.mechanisms import Mechanisms
from endivepick.forwarding.settings import ForwardingSettings, apply_mechanisms
from endivepick.forwarding.tests.support import (
    REFUSED,
    SILENT,
    answer_probes,
    data,
    flow_key,
    make_core,
    make_target,
    open_flow,
    opening,
    take,
)

REPEAT_S = 0.2
FLOWS = 40


class TestMechanisms(unittest.TestCase):
    """Each mechanism has an effect while enabled, and none while disabled."""

    def core(self, *off, targets=None, **settings):
        if targets is None:
            targets = [make_target(f"i-{n}", revision=n) for n in range(1, 4)]
        used = Mechanisms(**dict.fromkeys(off, False))
        return make_core(targets, mechanisms=used, **settings)

    def open_busy_flow(self, core, caller_port=1):
        """Open a flow with a request that its target does not answer."""
        flow = flow_key(caller_port)
        belief = open_flow(core, flow, 1.0)
        core.on_packet(data(flow, belief.cookie), b"", 1.0)
        core.effects.clear()
        return flow, belief

    def retransmit(self, core, flow, belief):
        core.on_packet(data(flow, belief.cookie), b"", 1.0 + REPEAT_S)

    def zones_of_flows(self, core):
        flows = [flow_key(port) for port in range(FLOWS)]
        return {open_flow(core, flow, 1.0).target.zone for flow in flows}

    def test_own_zone_first(self):
        targets = [make_target("i-1", "a"), make_target("i-2", "b")]
        on = self.core(targets=targets, zones=2, spill_busy=99.0)
        self.assertEqual(self.zones_of_flows(on), {"a"})
        off = self.core("own_zone_first", targets=targets, zones=2, spill_busy=99.0)
        self.assertEqual(self.zones_of_flows(off), {"a", "b"})

    def test_spill_when_busy(self):
        targets = [make_target("i-1", "a"), make_target("i-2", "b")]
        for off, zones in (((), {"a", "b"}), (("spill_when_busy",), {"a"})):
            core = self.core(*off, targets=targets, zones=2)
            core.registry.get("i-1").busy_flows = 9
            self.assertEqual(self.zones_of_flows(core), zones)

    def test_copies_elsewhere(self):
        for off, most in ((), 3), (("copies_elsewhere",), 1):
            core = self.core(*off)
            core.registry.get("i-2").flows = core.registry.get("i-3").flows = 9
            # The copies are too close together for a target to be suspected.
            times_s = (1.0, 1.05, 1.1)
            names = {
                core.on_packet(opening(flow_key(), copy), b"", now_s).belief.name
                for copy, now_s in enumerate(times_s)
            }
            self.assertEqual(len(names), most)

    def test_probe_repetition(self):
        for off, probes in ((), 1), (("probe_repetition",), 0):
            core = self.core(*off)
            self.retransmit(core, *self.open_busy_flow(core))
            self.assertEqual(len(take(core, ProbeTarget)), probes)

    def test_probe_silent_openings(self):
        for off, probes in ((), 1), (("probe_silent_openings",), 0):
            core = self.core(*off)
            open_flow(core, flow_key(), 1.0)
            core.effects.clear()
            core.tick(1.3)
            self.assertEqual(len(take(core, ProbeTarget)), probes)

    def test_probe_silent_zone(self):
        for off, probes in ((), 2), (("probe_silent_zone",), 0):
            targets = [make_target(f"i-{n}", "b", revision=n) for n in range(1, 4)]
            core = self.core(*off, targets=targets, zones=2)
            flows = [self.open_busy_flow(core, port) for port in range(3)]
            self.retransmit(core, *flows[0])
            answer_probes(core, SILENT, 1.3)
            self.assertEqual(len(take(core, ProbeTarget)), probes)

    def test_reset_unreachable(self):
        for off, reasons in (
            ((), [ResetReason.TARGET_DEAD]),
            (("reset_unreachable",), []),
        ):
            core = self.core(*off)
            flow, belief = self.open_busy_flow(core)
            self.retransmit(core, flow, belief)
            answer_probes(core, REFUSED, 1.3)
            self.assertEqual([r.reason for r in take(core, Reset)], reasons)
            # Flows of a target that the registry removed are reset in both cases.
            core.on_target_removed(belief.name, 50, 2.0)
            core.tick(9.0, 9.0)
            again = core.on_packet(data(flow, belief.cookie), b"", 9.1)
            self.assertIsInstance(again, Reset)

    def test_judge_targets(self):
        for off, counted in ((), True), (("judge_targets",), False):
            core = self.core(*off)
            flow, belief = self.open_busy_flow(core)
            core.on_packet(data(flow, belief.cookie, 401, 2500, 0), b"", 1.03)
            self.assertEqual(belief.requests.good > 0, counted)

    def test_limits_of_disabled_mechanisms_have_no_effect(self):
        neutral = {
            "zone_headroom": ("zone_headroom", 1.0),
            "busy_flows_weigh": ("busy_weight", 0.0),
            "cold_capacity": ("cold_capacity", 1.0),
            "lapse_grace": ("lapse_grace_s", 0.0),
            "entry_return": ("entry_return_s", 0.0),
            "hold_packets": ("held_packets", 0),
        }
        usual = ForwardingSettings("a")
        self.assertEqual(apply_mechanisms(usual), usual)
        for mechanism, (limit, value) in neutral.items():
            with self.subTest(mechanism):
                off = Mechanisms(**{mechanism: False})
                settings = apply_mechanisms(ForwardingSettings("a", mechanisms=off))
                self.assertEqual(getattr(settings, limit), value)
                self.assertNotEqual(getattr(usual, limit), value)


if __name__ == "__main__":
    unittest.main()

import random
import unittest

from endivepick.forwarding import (
    Configuration,
    EvacuatedZone,
    EvacuatedZones,
    Forward,
    ForwardingCore,
    ForwardingSettings,
    ProbeCause,
    Reset,
    ResetReason,
    Route,
    RouteKind,
    ServiceShare,
)
from endivepick.forwarding.actions import DecisionRecord
from endivepick.forwarding.belief import FitnessEvent
from endivepick.forwarding.model import ColdStart
from endivepick.forwarding.tests.support import (
    IDEMPOTENT_PORT,
    SERVICE_HOST,
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

ZONES = ("a", "b", "c")


def zones_of(evacuated):
    return [each.zone for each in evacuated.list_zones()]


class TestEvacuatedZones(unittest.TestCase):
    def setUp(self):
        self.zones = EvacuatedZones()

    def test_list_replaces_what_was_known(self):
        self.zones.apply_list([EvacuatedZone("a", 5), EvacuatedZone("b", 6)], 10)
        changes = self.zones.apply_list([EvacuatedZone("b", 6)], 12)
        self.assertEqual(zones_of(self.zones), ["b"])
        self.assertEqual([(c.zone, c.in_force) for c in changes], [("a", False)])

    def test_late_list_neither_brings_back_nor_takes_away(self):
        self.zones.apply_list([EvacuatedZone("a", 5)], 10)
        self.zones.apply_end("a", 12)
        self.zones.apply_begin(EvacuatedZone("b", 13))
        self.zones.advance_revision(13)
        self.assertEqual(self.zones.apply_list([EvacuatedZone("a", 5)], 11), [])
        self.assertEqual(zones_of(self.zones), ["b"])

    def test_late_changes_are_ignored(self):
        self.zones.apply_list([EvacuatedZone("a", 20)], 30)
        self.assertEqual(self.zones.apply_end("a", 19), [])
        self.assertEqual(self.zones.apply_begin(EvacuatedZone("b", 25)), [])
        self.assertEqual(zones_of(self.zones), ["a"])

    def test_repeated_changes_are_reported_once(self):
        self.zones.apply_list([], 10)
        begun = EvacuatedZone("a", 11)
        self.assertEqual(len(self.zones.apply_begin(begun)), 1)
        self.assertEqual(self.zones.apply_begin(begun), [])
        self.assertEqual(len(self.zones.apply_end("a", 12)), 1)
        self.assertEqual(self.zones.apply_end("a", 12), [])
        self.assertEqual(self.zones.apply_begin(begun), [])

    def test_stale_list_before_the_first_complete_one(self):
        """A start applies entries that may have been removed since."""
        self.zones.apply_begin(EvacuatedZone("a", 5))
        self.assertIn("a", self.zones)
        self.assertFalse(self.zones.known)
        self.assertIsNone(self.zones.make_snapshot())
        self.zones.apply_list([], 9)
        self.assertEqual(zones_of(self.zones), [])

    def test_snapshot_older_than_a_known_change(self):
        self.zones.apply_begin(EvacuatedZone("a", 12))
        self.zones.apply_list([], 9)
        self.assertIn("a", self.zones)

    def test_each_list_counts_as_a_change(self):
        """A zone that began and ended before it may be evacuated at others."""
        for revision in (3, 7):
            self.zones.apply_list([EvacuatedZone("b", 2)], revision)
            self.assertEqual(self.zones.changed_revision, revision)

    def test_begin_and_end_in_one_batch(self):
        self.zones.apply_list([], 10)
        self.zones.apply_begin(EvacuatedZone("a", 11))
        self.zones.apply_end("a", 12)
        self.zones.advance_revision(14)
        self.assertEqual(len(self.zones), 0)
        self.assertEqual(self.zones.make_snapshot().revision, 14)

    def test_changes_in_any_order_end_in_the_same_set(self):
        """Messages of several sources arrive late, repeatedly and in any order."""
        rng = random.Random(7)
        for _ in range(300):
            history, present = self.draw_history(rng)
            zones = EvacuatedZones()
            messages = rng.choices(history, k=12) + history[-1:]
            for revision, listed in messages:
                zones.apply_list(listed, revision)
            self.assertEqual(zones_of(zones), sorted(present))

    def draw_history(self, rng):
        """Return complete lists by revision, and the zones of the last one."""
        present, history = {}, []
        for revision in range(1, 9):
            zone = rng.choice(ZONES)
            if zone in present:
                del present[zone]
            else:
                present[zone] = revision
            listed = [EvacuatedZone(*each) for each in present.items()]
            history.append((revision, listed))
        return history, present


class EvacuationCase(unittest.TestCase):
    def make_core(self, targets_per_zone=2, seed=1):
        numbers = range(1, 3 * targets_per_zone + 1)
        targets = [make_target(f"i-{n:x}", zone=ZONES[n % 3]) for n in numbers]
        core = make_core(targets, zones=3, seed=seed)
        core.evacuations.apply_list([], 10, 0.0)
        return core

    def evacuate(self, core, *zones, revision=20, now_s=1.0):
        for zone in zones:
            core.evacuations.apply_begin(EvacuatedZone(zone, revision), now_s)

    def place(self, core, number=100, now_s=2.0, first_port=1000):
        """Open flows; return the zones of their targets and the resets."""
        zones, resets = [], []
        for port in range(first_port, first_port + number):
            verdict = core.on_packet(opening(flow_key(port)), b"", now_s)
            match verdict:
                case Forward(belief):
                    zones.append(belief.target.zone)
                case Reset(reason=reason):
                    resets.append(reason)
        return zones, resets


class TestPlacement(EvacuationCase):
    """Targets of an evacuated zone take no opening in any way that leads to one."""

    def test_own_zone(self):
        core = self.make_core()
        self.evacuate(core, "a")
        zones, _ = self.place(core)
        self.assertEqual(set(zones), {"b", "c"})
        reasons = {note.reason for note in take(core, DecisionRecord)}
        self.assertEqual(reasons, {"evacuated"})

    def test_other_zone_that_busy_targets_spill_to(self):
        core = self.make_core()
        self.evacuate(core, "b")
        for belief in core.registry:
            if belief.target.zone == "a":
                belief.busy_flows = 10
        zones, _ = self.place(core)
        self.assertIn("c", zones)
        self.assertNotIn("b", zones)

    def test_copies_of_an_opening(self):
        core = self.make_core()
        first = open_flow(core, flow_key(1), 1.0)
        self.evacuate(core, first.target.zone)
        for copy in range(1, 8):
            verdict = core.on_packet(opening(flow_key(1), copy), b"", 1.0 + copy / 5)
            self.assertNotEqual(verdict.belief.target.zone, first.target.zone)

    def test_ejected_returning_and_unreachable_targets(self):
        core = self.make_core()
        self.evacuate(core, "a")
        own = [b for b in core.registry if b.target.zone == "a"]
        others = [b for b in core.registry if b.target.zone != "a"]
        for belief in others:
            core.registry.record_fitness(belief, FitnessEvent.CONDEMNED, "test", 1.0)
        self.assertNotIn("a", self.place(core)[0])
        core.registry.record_fitness(own[0], FitnessEvent.CONDEMNED, "test", 1.0)
        core.registry.record_fitness(own[0], FitnessEvent.RESTED, "test", 1.0)
        self.assertNotIn("a", self.place(core, first_port=2000)[0])
        for belief in others:
            core.on_hint(belief.name, 2.0)
        core.effects.clear()
        for belief in others:
            core.effects += core._failure_detector._probe(belief, ProbeCause.RETRY, 3.0)
        answer_probes(core, SILENT, 3.0)
        zones, _ = self.place(core, now_s=4.0, first_port=3000)
        self.assertNotIn("a", zones)

    def test_all_zones(self):
        core = self.make_core()
        self.evacuate(core, *ZONES)
        zones, resets = self.place(core, 10)
        self.assertEqual(zones, [])
        self.assertEqual(set(resets), {ResetReason.ZONES_EVACUATED})

    def test_service_without_targets_has_another_reason(self):
        core = make_core([])
        self.evacuate(core, "a")
        self.assertEqual(set(self.place(core, 3)[1]), {ResetReason.NO_TARGET})

    def test_unknown_zone_changes_nothing(self):
        core = self.make_core()
        self.evacuate(core, "z")
        self.assertEqual(set(self.place(core)[0]), {"a"})

    def test_open_flows_stay(self):
        core = self.make_core()
        belief = open_flow(core, flow_key(1), 0.5)
        self.evacuate(core, "a")
        verdict = core.on_packet(data(flow_key(1), belief.cookie), b"", 2.0)
        self.assertIs(verdict.belief, belief)

    def test_idle_flows_of_a_silent_target_have_no_alternative(self):
        """Resetting them would send callers where no target takes their flows."""
        core = self.make_core()
        self.evacuate(core, "b", "c")
        own = [b for b in core.registry if b.target.zone == "a"]
        self.assertTrue(core._failure_detector.has_alternative(own[0]))
        self.evacuate(core, "a", revision=21)
        self.assertFalse(core._failure_detector.has_alternative(own[0]))

    def test_end_is_in_force_at_once(self):
        core = self.make_core()
        self.evacuate(core, "a")
        self.place(core)
        core.evacuations.apply_end("a", 30, 3.0)
        self.assertEqual(set(self.place(core, now_s=3.0, first_port=4000)[0]), {"a"})

    def test_late_begin_after_the_end(self):
        core = self.make_core()
        self.evacuate(core, "a")
        core.evacuations.apply_end("a", 30, 3.0)
        self.evacuate(core, "a", revision=20, now_s=4.0)
        self.assertEqual(set(self.place(core)[0]), {"a"})

    def test_target_that_appears_in_an_evacuated_zone(self):
        core = self.make_core()
        self.evacuate(core, "b", "c")
        self.place(core)
        core.on_target(make_target("i-77", zone="b", revision=50, created=50), 3.0)
        self.assertNotIn("b", self.place(core, now_s=3.0, first_port=5000)[0])


class TestRegions(EvacuationCase):
    """A route may be restricted to regions."""

    def make_regional_core(self, regions):
        targets = [make_target(f"i-{n}", zone=ZONES[n % 3]) for n in range(1, 10)]
        settings = ForwardingSettings(
            zone="a", zones=3, zone_regions={"a": "north", "b": "north", "c": "south"}
        )
        core = ForwardingCore(settings, random.Random(1).random)
        route = Route(
            "r",
            SERVICE_HOST,
            IDEMPOTENT_PORT,
            (ServiceShare("notes", 1.0),),
            RouteKind.IDEMPOTENT,
            regions,
        )
        core.on_configuration(Configuration(1, 1, (route,)), 0.0)
        core.on_target_list(targets, 10, 0.0)
        return core

    def test_flows_stay_in_the_regions_of_their_route(self):
        core = self.make_regional_core(("south",))
        self.assertEqual(set(self.place(core)[0]), {"c"})

    def test_route_without_regions_may_use_all(self):
        core = self.make_regional_core(())
        self.assertEqual(set(self.place(core)[0]), {"a"})

    def test_evacuated_zone_of_the_only_region(self):
        core = self.make_regional_core(("south",))
        self.evacuate(core, "c")
        zones, resets = self.place(core, 5)
        self.assertEqual(zones, [])
        self.assertEqual(set(resets), {ResetReason.ZONES_EVACUATED})

    def test_region_without_targets(self):
        core = self.make_regional_core(("east",))
        self.assertEqual(set(self.place(core, 5)[1]), {ResetReason.NO_TARGET})


class TestReturn(EvacuationCase):
    """The targets of a zone that returns may be cold, and have no flows."""

    def test_targets_are_cold_for_the_configured_time(self):
        core = self.make_core()
        known = core.routes.configuration
        starts = {"notes": ColdStart(2.0)}
        newer = Configuration(8, 2, known.routes, known.health_paths, 60.0, starts)
        core.on_configuration(newer, 0.0)
        self.evacuate(core, "a")
        core.evacuations.apply_end("a", 30, 3.0)
        until_s = {b.target.zone: b.cold_until_s for b in core.registry}
        self.assertEqual(until_s["a"], 5.0)
        self.assertLess(until_s["b"], 3.0)


class TestHighestLoad(EvacuationCase):
    """Replays the evacuation of the own zone at the highest load.

    Each of the zone's instances places its callers' flows on what is left.  None may go
    to the evacuated zone, and the flows must spread over all targets that are left.
    """

    TARGETS_PER_ZONE = 40
    FLOWS = 2000

    def test_flows_spread_over_the_other_zones(self):
        core = self.make_core(self.TARGETS_PER_ZONE, seed=3)
        self.evacuate(core, "a")
        zones, resets = self.place(core, self.FLOWS)
        self.assertEqual(resets, [])
        self.assertEqual(set(zones), {"b", "c"})
        flows = [b.flows for b in core.registry if b.target.zone != "a"]
        mean = self.FLOWS / len(flows)
        self.assertLess(max(flows), 2 * mean)
        self.assertGreater(min(flows), mean / 2)


if __name__ == "__main__":
    unittest.main()

import random
import unittest

from endivepick.forwarding import Reachability
from endivepick.forwarding.load.load_placement import LoadPlacer
from endivepick.forwarding.load.reserved import RESERVED_SHARE, is_reserved
from endivepick.forwarding.load.tests.replay import FixedLoad
from endivepick.forwarding.mechanisms import Mechanisms
from endivepick.forwarding.opening_placement import OpeningPlacer
from endivepick.forwarding.placement import choose_target
from endivepick.forwarding.placement_filter import PlacementFilter
from endivepick.forwarding.placement_request import PlacementRequest
from endivepick.forwarding.settings import ForwardingSettings
from endivepick.forwarding.tests.support import (
    make_configuration,
    make_core,
    make_target,
)

TARGETS = [make_target(f"i-{n:x}", "abc"[n % 3]) for n in range(36)]
OPENINGS = 500
ROUTE = make_configuration().routes[0]


def make_placer(load=None, seed=1, **settings):
    core = make_core(TARGETS, zones=3)
    targets = PlacementFilter(core.registry, core.evacuations.zones, {})
    settings = ForwardingSettings("a", zones=3, **settings)
    source = random.Random(seed)
    by_load = None
    if load is not None and settings.shares_load:
        by_load = LoadPlacer(settings, core.routes, load, source.random)
    placer = OpeningPlacer(settings, core.routes, targets, source.random, by_load)
    return placer, targets


def place(placer, count=OPENINGS, **options):
    """Place openings that stay open; returns the placements."""
    placements = []
    for port in range(count):
        now_s = 1.0 + port / 100
        placement = placer.place(PlacementRequest("notes", ROUTE, **options), now_s)
        placement.belief.flows += 1
        placements.append(placement)
    return placements


def load_of(own=1.0, others=1.0, unknown=()):
    """Return a load with so many requests per target of the own and of other zones."""
    busy = {t.name: own if t.zone == "a" else others for t in TARGETS}
    zones = {"a": own * 12, "b": others * 12, "c": others * 12}
    return FixedLoad(busy, {z: n for z, n in zones.items() if z not in unknown})


class TestWithoutSharedLoad(unittest.TestCase):
    """Not one decision differs from those by what the instance sees itself."""

    def place_by_choose_target(self):
        targets = make_placer()[1]
        settings = ForwardingSettings("a", zones=3)
        source = random.Random(1)
        names = []
        for port in range(OPENINGS):
            candidates = targets.find_candidates("notes")
            now_s = 1.0 + port / 100
            placement = choose_target(settings, candidates, (), source.random, now_s)
            placement.belief.flows += 1
            names.append((placement.belief.name, placement.reason, placement.load))
        return names

    def check_equal(self, placer):
        placements = place(placer)
        found = [(p.belief.name, p.reason, p.load) for p in placements]
        self.assertEqual(found, self.place_by_choose_target())

    def test_no_load_is_given(self):
        self.check_equal(make_placer(shares_load=True)[0])

    def test_shared_load_is_off(self):
        load = load_of()
        self.check_equal(make_placer(load)[0])
        self.assertFalse(load.placed)

    def test_limits_of_overload_alone_change_nothing(self):
        self.check_equal(make_placer(load_of(), limits_overload=True)[0])

    def test_cooperation_of_zones_is_off(self):
        mechanisms = Mechanisms(own_zone_first=False)
        placer, _ = make_placer(load_of(), shares_load=True, mechanisms=mechanisms)
        self.assertEqual({p.reason for p in place(placer)}, {"any"})


class TestBySharedLoad(unittest.TestCase):
    def test_placements_are_recorded(self):
        load = load_of()
        place(make_placer(load, shares_load=True)[0])
        self.assertEqual(load.placed.total(), OPENINGS)

    def test_flows_stay_in_a_zone_that_is_not_busy(self):
        placer, _ = make_placer(load_of(1.0, 0.0), shares_load=True)
        self.assertEqual({p.reason for p in place(placer)}, {"zone_load"})

    def test_flows_leave_a_crowded_zone(self):
        placer, _ = make_placer(load_of(4.0, 1.0), shares_load=True)
        placements = place(placer)
        away = [p for p in placements if p.belief.target.zone != "a"]
        self.assertEqual({p.reason for p in away}, {"other_zone_load"})
        self.assertGreater(len(away), OPENINGS / 20)

    def test_news_too_old(self):
        """Placement is then by what the instance sees itself; it is still recorded."""
        load = FixedLoad()
        placer, _ = make_placer(load, shares_load=True)
        self.assertEqual({p.reason for p in place(placer)}, {"zone"})
        self.assertEqual(load.placed.total(), OPENINGS)

    def test_other_zones_cut_off(self):
        """Load is shared in the own zone, and none is moved."""
        placer, _ = make_placer(load_of(4.0, unknown="abc"), shares_load=True)
        self.assertEqual({p.reason for p in place(placer)}, {"zone_load"})

    def test_only_silent_targets_are_left(self):
        load = load_of()
        placer, targets = make_placer(load, shares_load=True)
        candidates = targets.find_candidates("notes")
        for belief in candidates.every:
            belief.reachability = Reachability.SILENT
        candidates.own.clear()
        candidates.others.clear()
        placement = placer.place(PlacementRequest("notes", ROUTE), 1.0)
        self.assertEqual(placement.reason, "doubtful")


class TestReservedTargets(unittest.TestCase):
    """Less urgent openings are limited; urgent ones may use all targets."""

    def count_reserved(self, **options):
        placer, _ = make_placer(load_of(), shares_load=True)
        names = [p.belief.name for p in place(placer, **options)]
        return sum(is_reserved(name, RESERVED_SHARE) for name in names)

    def test_less_urgent_flows_leave_them_free(self):
        self.assertEqual(self.count_reserved(spares_reserved=True), 0)

    def test_urgent_flows_use_all(self):
        self.assertGreater(self.count_reserved(), OPENINGS / 4)

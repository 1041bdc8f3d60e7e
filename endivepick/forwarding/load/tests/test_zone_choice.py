import random
import unittest

from endivepick.forwarding.load.tests.replay import make_belief
from endivepick.forwarding.load.zone_choice import (
    UPDATE_GAP_S,
    ZoneBalancer,
    ZoneState,
    compute_zone_shares,
)
from endivepick.forwarding.placement import Candidates
from endivepick.forwarding.settings import ForwardingSettings

TARGETS = 10
SLOTS = 2 * TARGETS
OWN_AGE_STEPS = 7
"""Age of the load that callers of the own zone put on targets."""
OTHER_AGE_STEPS = 17
"""Age of the totals of callers of other zones."""
NOISE = 0.05


class ZoneView:
    """Load as the instances of a zone know it."""

    def __init__(self, zone, history, unknown, idle_part):
        self._zone = zone
        self._weight = 1.0 + idle_part
        self._history = history
        self._unknown = unknown

    def _seen(self, callers):
        age = OWN_AGE_STEPS if callers == self._zone else OTHER_AGE_STEPS
        return self._history[max(0, len(self._history) - 1 - age)][callers]

    def target_load(self, belief, now_s):
        busy = self._seen(self._zone)[belief.target.zone] / TARGETS
        return busy * self._weight

    def zone_busy(self, service, target_zone, now_s):
        if target_zone in self._unknown:
            return None
        return sum(self._seen(callers)[target_zone] for callers in self._history[0])

    def record_placement(self, belief, now_s):
        pass


class Zones:
    """Callers of several zones, whose flows end and are opened again.

    The load of a zone's callers at each zone's targets follows the shares with the
    lifetime of the flows as time constant.
    """

    def __init__(self, names, lifetime_s, seed=1, unknown=(), idle_part=0.0):
        self.names = names
        self.load = {a: dict.fromkeys(names, 0.0) for a in names}
        """Requests in progress by the zone of the callers and that of the targets."""
        self.shares = {}
        self._lifetime_s = lifetime_s
        self._source = random.Random(seed)
        self._history = [self.load]
        self._views = {a: ZoneView(a, self._history, unknown, idle_part) for a in names}
        self._balancers = {
            a: ZoneBalancer(ForwardingSettings(a, zones=len(names)), "notes")
            for a in names
        }
        self.evacuate("")

    def evacuate(self, zone):
        """Make the targets of a zone unusable for openings."""
        beliefs = [
            make_belief(f"i-{name}{n:x}", name)
            for name in self.names
            if name != zone
            for n in range(TARGETS)
        ]
        self._candidates = {a: Candidates.of_zone(a, beliefs) for a in self.names}

    def run(self, demand, seconds):
        """Run with the requests per slot that each zone's callers would have there."""
        weight = min(1.0, UPDATE_GAP_S / self._lifetime_s)
        for _ in range(round(seconds / UPDATE_GAP_S)):
            now_s = len(self._history) * UPDATE_GAP_S
            for a in self.names:
                self.shares[a] = self._balancers[a].find_shares(
                    self._candidates[a], self._views[a], now_s
                )
                for b in self.names:
                    goal = demand[a] * SLOTS * self.shares[a].get(b, 0.0)
                    self.load[a][b] += weight * (goal - self.load[a][b])
            self._history.append(
                {
                    a: {b: self._report(self.load[a][b]) for b in self.names}
                    for a in self.names
                }
            )

    def _report(self, load):
        return load * self._source.gauss(1.0, NOISE)

    def per_slot(self, zone):
        return sum(of[zone] for of in self.load.values()) / SLOTS

    def away_share(self, zone):
        return 1.0 - self.shares[zone].get(zone, 0.0)


class TestCrowdedZone(unittest.TestCase):
    """One zone has 70 % more callers than the two beside it."""

    DEMAND = {"a": 1.53, "b": 0.9, "c": 0.9}

    def test_loads_meet_with_short_flows(self):
        zones = Zones("abc", lifetime_s=0.1)
        zones.run(self.DEMAND, 60)
        loads = [zones.per_slot(zone) for zone in "abc"]
        self.assertLess(max(loads) - min(loads), 0.15)
        self.assertAlmostEqual(
            zones.shares["a"]["b"], zones.shares["a"]["c"], delta=0.03
        )

    def test_loads_meet_with_flows_of_a_minute(self):
        zones = Zones("abc", lifetime_s=60.0)
        zones.run(self.DEMAND, 600)
        loads = [zones.per_slot(zone) for zone in "abc"]
        self.assertLess(max(loads) - min(loads), 0.2)

    def test_the_other_zones_keep_their_flows(self):
        zones = Zones("abc", lifetime_s=5.0)
        for _ in range(60):
            zones.run(self.DEMAND, 1)
            self.assertLess(zones.away_share("b"), 0.02)
            self.assertLess(zones.away_share("c"), 0.02)

    def test_the_crowded_zone_is_never_emptier_than_the_others(self):
        zones = Zones("abc", lifetime_s=5.0)
        zones.run(self.DEMAND, 20)
        for _ in range(60):
            zones.run(self.DEMAND, 1)
            self.assertGreater(zones.per_slot("a"), zones.per_slot("b") - 0.1)

    def test_all_flows_stay_below_the_load_at_which_requests_wait(self):
        zones = Zones("abc", lifetime_s=5.0)
        zones.run({"a": 0.85, "b": 0.5, "c": 0.5}, 60)
        self.assertEqual(zones.away_share("a"), 0.0)

    def test_all_flows_stay_while_the_other_zones_are_hardly_emptier(self):
        states = [ZoneState("a", 10.0, 15.0, 15.0), ZoneState("b", 10.0, 12.6, 0.0)]
        self.assertEqual(compute_zone_shares("a", states, 1.0)["a"], 1.0)

    def test_flows_return_home_after_the_peak(self):
        zones = Zones("abc", lifetime_s=5.0)
        zones.run(self.DEMAND, 60)
        zones.run({"a": 0.7, "b": 0.9, "c": 0.9}, 30)
        self.assertLess(zones.away_share("a"), 0.01)


class TestAlternatingPeaks(unittest.TestCase):
    """Two zones are full in turn, each for 40 s."""

    def find_turns(self, lifetime_s):
        """Return how often the direction of the net transfer changes, and its peaks."""
        zones = Zones("ab", lifetime_s)
        directions = []
        for half in range(6):
            full, calm = "ab" if half % 2 == 0 else "ba"
            for _ in range(400):
                zones.run({full: 1.6, calm: 0.6}, UPDATE_GAP_S)
                net = zones.away_share("a") - zones.away_share("b")
                if abs(net) > 0.03:
                    directions.append(net > 0)
        changes = zip(directions, directions[1:], strict=False)
        return sum(before != after for before, after in changes)

    def test_the_transfer_turns_once_for_each_peak(self):
        for lifetime_s in (0.1, 2.0, 20.0):
            with self.subTest(lifetime_s=lifetime_s):
                self.assertEqual(self.find_turns(lifetime_s), 5)


class TestIdleFlows(unittest.TestCase):
    """Idle flows count in the load of a target but not in the sums of a zone."""

    def test_loads_meet_and_flows_return_home(self):
        zones = Zones("abc", lifetime_s=5.0, idle_part=1.0)
        zones.run({"a": 1.53, "b": 0.9, "c": 0.9}, 90)
        loads = [zones.per_slot(zone) for zone in "abc"]
        self.assertLess(max(loads) - min(loads), 0.2)
        self.assertLess(zones.away_share("b"), 0.02)
        zones.run({"a": 0.7, "b": 0.9, "c": 0.9}, 60)
        self.assertLess(zones.away_share("a"), 0.02)

    def test_full_zones_alike_move_little(self):
        zones = Zones("abc", lifetime_s=2.0, idle_part=1.0)
        zones.run(dict.fromkeys("abc", 2.5), 60)
        for zone in "abc":
            self.assertLess(zones.away_share(zone), 0.02)


class TestFullZonesAlike(unittest.TestCase):
    DEMAND = {"a": 2.5, "b": 2.5, "c": 2.5}

    def test_nothing_moves(self):
        zones = Zones("abc", lifetime_s=2.0)
        zones.run(self.DEMAND, 20)
        for _ in range(60):
            zones.run(self.DEMAND, 1)
            for zone in "abc":
                self.assertLess(zones.away_share(zone), 0.02)

    def test_a_surge_in_all_zones_moves_little_and_for_seconds_only(self):
        """While load rises, totals of other zones are older and so seem lower."""
        zones = Zones("abc", lifetime_s=2.0)
        for second in range(20):
            zones.run(self.DEMAND, 1)
            limit = 0.1 if second < 10 else 0.02
            for zone in "abc":
                self.assertLess(zones.away_share(zone), limit)

    def test_load_that_the_zones_exchanged_returns(self):
        zones = Zones("abc", lifetime_s=2.0)
        for a in "abc":
            zones.load[a] = {b: 2.5 * SLOTS / 3 for b in "abc"}
        zones.run(self.DEMAND, 30)
        for zone in "abc":
            self.assertLess(zones.away_share(zone), 0.02)


class TestMissingZones(unittest.TestCase):
    def test_evacuated_zone_spreads_over_the_others_by_free_room(self):
        zones = Zones("abc", lifetime_s=2.0)
        zones.evacuate("a")
        zones.run({"a": 0.4, "b": 0.3, "c": 0.6}, 60)
        self.assertEqual(zones.shares["a"].get("a", 0.0), 0.0)
        self.assertAlmostEqual(zones.shares["a"]["b"], 0.7 / 1.1, delta=0.05)
        self.assertAlmostEqual(zones.away_share("b"), 0.0)

    def test_room_is_what_is_free_without_the_own_callers(self):
        """The shares do not follow the load that they cause."""
        states = [ZoneState("b", 10.0, 8.0, 6.0), ZoneState("c", 10.0, 8.0, 2.0)]
        shares = compute_zone_shares("a", states, 0.0)
        self.assertAlmostEqual(shares["b"], 2 / 3)

    def test_all_openings_leave_a_zone_as_soon_as_it_is_evacuated(self):
        zones = Zones("abc", lifetime_s=2.0)
        zones.run({"a": 0.4, "b": 0.3, "c": 0.6}, 20)
        zones.evacuate("a")
        zones.run({"a": 0.4, "b": 0.3, "c": 0.6}, UPDATE_GAP_S)
        self.assertEqual(zones.shares["a"].get("a", 0.0), 0.0)
        self.assertAlmostEqual(sum(zones.shares["a"].values()), 1.0)

    def test_openings_come_back_to_a_returning_zone_over_seconds(self):
        zones = Zones("abc", lifetime_s=2.0)
        zones.evacuate("a")
        zones.run({"a": 0.4, "b": 0.3, "c": 0.6}, 20)
        zones.evacuate("")
        zones.run({"a": 0.4, "b": 0.3, "c": 0.6}, UPDATE_GAP_S)
        self.assertGreater(zones.away_share("a"), 0.9)
        zones.run({"a": 0.4, "b": 0.3, "c": 0.6}, 10)
        self.assertLess(zones.away_share("a"), 0.05)

    def test_own_callers_alone_crowd_their_zone(self):
        """The totals of the own zone's targets lack those of other callers."""
        zones = Zones("abc", lifetime_s=2.0, unknown="a")
        zones.run({"a": 1.8, "b": 0.5, "c": 0.5}, 60)
        self.assertGreater(zones.away_share("a"), 0.2)

    def test_evacuated_zone_uses_full_ones_by_their_slots(self):
        states = [ZoneState("b", 10.0, 10.0, 0.0), ZoneState("c", 20.0, 20.0, 0.0)]
        shares = compute_zone_shares("a", states, 0.0)
        self.assertAlmostEqual(shares["c"], 2 / 3)

    def test_nothing_is_moved_to_a_zone_of_unknown_load(self):
        zones = Zones("abc", lifetime_s=2.0, unknown="b")
        zones.run({"a": 1.8, "b": 0.5, "c": 0.9}, 60)
        self.assertEqual(zones.shares["a"].get("b", 0.0), 0.0)
        self.assertGreater(zones.shares["a"]["c"], 0.1)

    def test_zone_cut_off_from_all_others_keeps_its_flows(self):
        zones = Zones("abc", lifetime_s=2.0, unknown="abc")
        zones.run({"a": 1.8, "b": 0.5, "c": 0.9}, 30)
        self.assertEqual(zones.shares["a"]["a"], 1.0)

    def test_unknown_zone_takes_what_the_own_one_lacks_in_slots(self):
        states = [
            ZoneState("a", 5.0, 2.0, 2.0),
            ZoneState("b", 20.0, None, 0.0),
            ZoneState("c", 20.0, 10.0, 0.0),
        ]
        shares = compute_zone_shares("a", states, nearby_share=0.4)
        self.assertAlmostEqual(shares["b"], 0.3)
        self.assertAlmostEqual(shares["a"], 0.7)
        self.assertAlmostEqual(sum(shares.values()), 1.0)

    def test_no_targets_have_no_shares(self):
        self.assertEqual(compute_zone_shares("a", [], 0.0), {})

import random
import unittest
from collections import Counter

from endivepick.forwarding import Reachability, TargetBelief, TargetState
from endivepick.forwarding.placement import Candidates, choose_target
from endivepick.forwarding.settings import ForwardingSettings
from endivepick.forwarding.tests.support import make_target

FLOWS = 3000


def make_belief(name, zone="a", **fields):
    reachability = fields.pop("reachability", Reachability.REACHABLE)
    belief = TargetBelief(make_target(name, zone), 1, TargetState.READY, 0.0)
    belief.reachability = reachability
    for key, value in fields.items():
        setattr(belief, key, value)
    return belief


def place_flows(beliefs, flows, zones=3, tried=(), now_s=10.0, seed=3):
    """Place flows one after the other; returns the number of flows per target."""
    settings = ForwardingSettings(zone="a", zones=zones)
    source = random.Random(seed)
    placed = Counter()
    for _ in range(flows):
        candidates = Candidates.of_zone("a", beliefs)
        placement = choose_target(settings, candidates, tried, source.random, now_s)
        placement.belief.flows += 1
        placed[placement.belief.name] += 1
    return placed


class TestChooseTarget(unittest.TestCase):
    def test_flows_stay_in_a_zone_that_has_its_share_of_the_slots(self):
        beliefs = [
            *(make_belief(f"i-a{n}", "a") for n in range(2)),
            *(make_belief(f"i-b{n}", "b") for n in range(3)),
            *(make_belief(f"i-c{n}", "c") for n in range(2)),
        ]
        placed = place_flows(beliefs, FLOWS)
        self.assertEqual(set(placed), {"i-a0", "i-a1"})
        self.assertEqual(placed["i-a0"], placed["i-a1"])

    def test_zone_with_half_its_targets_sends_excess_flows_to_other_zones(self):
        beliefs = [
            make_belief("i-a0", "a"),
            *(make_belief(f"i-b{n}", "b") for n in range(3)),
            *(make_belief(f"i-c{n}", "c") for n in range(2)),
        ]
        placed = place_flows(beliefs, FLOWS)
        # Half of its share of the slots, times the headroom of 1.3.
        self.assertAlmostEqual(placed["i-a0"] / FLOWS, 0.65, delta=0.03)

    def test_a_zone_without_targets_uses_those_of_the_others(self):
        beliefs = [make_belief(f"i-b{n}", "b") for n in range(3)]
        self.assertEqual(sum(place_flows(beliefs, 30).values()), 30)

    def test_long_flows_are_even_over_targets(self):
        beliefs = [make_belief(f"i-a{n}") for n in range(5)]
        counts = place_flows(beliefs, FLOWS, zones=1).values()
        self.assertLessEqual(max(counts) - min(counts), 1)

    def test_flows_leave_a_zone_whose_targets_have_queues(self):
        own = [make_belief(f"i-a{n}", busy_flows=2) for n in range(2)]
        far = [make_belief(f"i-b{n}", "b") for n in range(2)]
        placed = place_flows([*own, *far], 4, zones=2)
        self.assertEqual(set(placed), {"i-b0", "i-b1"})

    def test_copies_try_all_silent_targets_of_a_zone_that_was_cut_off(self):
        silent = Reachability.SILENT
        beliefs = [make_belief(f"i-b{n}", "b", reachability=silent) for n in range(2)]
        self.assertEqual(place_flows(beliefs, 1, tried=("i-b0",))["i-b1"], 1)

    def test_sampling_balances_a_large_service(self):
        beliefs = [make_belief(f"i-{n:04x}") for n in range(300)]
        counts = place_flows(beliefs, FLOWS, zones=1)
        self.assertEqual(len(counts), 300)
        self.assertLessEqual(max(counts.values()) - min(counts.values()), 3)

    def test_a_target_with_requests_in_progress_gets_fewer_flows(self):
        busy = make_belief("i-a0", busy_flows=4)
        idle = make_belief("i-a1")
        placed = place_flows([busy, idle], 10, zones=1)
        self.assertEqual(placed["i-a1"], 10)

    def test_cold_target_is_loaded_by_its_reduced_capacity(self):
        cold = make_belief("i-a0", cold_until_s=20.0)
        warm = make_belief("i-a1")
        placed = place_flows([cold, warm], 800, zones=1)
        self.assertAlmostEqual(placed["i-a0"] / placed["i-a1"], 0.6, delta=0.02)

    def test_a_copy_goes_to_a_target_that_was_not_tried(self):
        beliefs = [make_belief("i-a0"), make_belief("i-a1", flows=50)]
        placed = place_flows(beliefs, 1, zones=1, tried=("i-a0",))
        self.assertEqual(placed["i-a1"], 1)

    def test_a_copy_returns_to_the_only_target(self):
        self.assertEqual(
            place_flows([make_belief("i-a0")], 1, tried=("i-a0",))["i-a0"], 1
        )

    def test_silent_and_suspect_targets_are_the_last_resort(self):
        suspect = make_belief("i-a0", reachability=Reachability.SUSPECT)
        silent = make_belief("i-a1", reachability=Reachability.SILENT)
        far = make_belief("i-b0", "b", flows=500)
        self.assertEqual(place_flows([suspect, silent, far], 1)["i-b0"], 1)
        self.assertEqual(sum(place_flows([suspect, silent], 4).values()), 4)

    def test_a_dead_target_is_never_chosen(self):
        dead = make_belief("i-a0", reachability=Reachability.DEAD)
        settings = ForwardingSettings(zone="a")
        candidates = Candidates.of_zone("a", [dead])
        chosen = choose_target(settings, candidates, (), random.Random(1).random, 0.0)
        self.assertIsNone(chosen)

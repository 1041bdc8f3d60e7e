import random
import unittest
from collections import Counter

from endivepick.forwarding import Fitness, Reachability
from endivepick.forwarding.load.balancing import choose_by_load, count_slots
from endivepick.forwarding.load.tests.replay import FixedLoad, make_belief, replay
from endivepick.forwarding.placement import TRIAL_FLOW_SHARE, Candidates
from endivepick.forwarding.settings import ForwardingSettings

SETTINGS = ForwardingSettings("a", zones=3)
AT_HOME = {"a": 1.0}


def choose(beliefs, load, source, tried=(), now_s=10.0, shares=AT_HOME, **options):
    candidates = Candidates.of_zone("a", beliefs)
    return choose_by_load(
        SETTINGS,
        candidates,
        load,
        tried,
        source.random,
        now_s,
        shares=shares,
        **options,
    )


def place(beliefs, load, openings, **options):
    """Place openings under a load that does not change; returns them by target."""
    source = random.Random(5)
    chosen = [choose(beliefs, load, source, **options) for _ in range(openings)]
    return Counter(placement.belief.name for placement in chosen)


class TestSharedView(unittest.TestCase):
    """88 instances place short requests by a view that is 0.7 s old."""

    TARGETS = 30
    STEPS = 60
    SEED = 1
    LOAD = 0.8

    def setUp(self):
        self.beliefs = [make_belief(f"i-{n:x}") for n in range(self.TARGETS)]
        self.candidates = Candidates.of_zone("a", self.beliefs)

    def choose_graded(self, view, random_share, now_s):
        return choose_by_load(
            SETTINGS, self.candidates, view, (), random_share, now_s, shares=AT_HOME
        ).belief

    def choose_lower_of_two(self, view, random_share, now_s):
        source = random.Random(random_share())
        return min(
            source.sample(self.beliefs, 2), key=lambda b: view.target_load(b, now_s)
        )

    def choose_least(self, view, random_share, now_s):
        loads = [(view.target_load(b, now_s), random_share(), b) for b in self.beliefs]
        return min(loads, key=lambda each: each[:2])[2]

    def choose_by_free_slots(self, view, random_share, now_s):
        free = [max(0.05, 2.0 - view.target_load(b, now_s)) for b in self.beliefs]
        position = random_share() * sum(free)
        for belief, part in zip(self.beliefs, free, strict=True):
            position -= part
            if position < 0:
                return belief
        return self.beliefs[-1]

    def choose_any(self, view, random_share, now_s):
        return self.beliefs[int(random_share() * len(self.beliefs))]

    def replay(self, choose_one, long_share=0.0):
        return replay(
            self.beliefs, choose_one, self.LOAD, self.STEPS, self.SEED, long_share
        )

    def test_short_requests_shed_less_than_by_other_uses_of_the_view(self):
        graded = self.replay(self.choose_graded)
        for other in (
            self.choose_least,
            self.choose_lower_of_two,
            self.choose_by_free_slots,
        ):
            with self.subTest(other=other.__name__):
                outcome = self.replay(other)
                self.assertLess(graded.shed_share, outcome.shed_share / 3)

    def test_least_loaded_of_all_has_a_higher_peak(self):
        graded = self.replay(self.choose_graded)
        least = self.replay(self.choose_least)
        self.assertLess(graded.busiest_ratio, least.busiest_ratio)

    def test_uneven_long_flows_shed_less_than_without_the_view(self):
        graded = self.replay(self.choose_graded, long_share=0.5)
        blind = self.replay(self.choose_any, long_share=0.5)
        self.assertLess(graded.shed_share, blind.shed_share / 2)


class TestRelease(unittest.TestCase):
    """Eight of 60 targets are replaced at the peak; nobody knows load of the new ones.

    They take no load of others into account before the view shows it, 0.7 s later.
    """

    COLD_S = 3.0
    BEGIN_S = 3.0

    def test_no_instance_sends_twice_the_mean_share_to_new_targets(self):
        old = [make_belief(f"i-{n:x}") for n in range(60)]
        new = [
            make_belief(f"i-{n:x}", cold_s=self.COLD_S, cold_until_s=6.0)
            for n in range(60, 68)
        ]
        before = Candidates.of_zone("a", old)
        after = Candidates.of_zone("a", [*old[8:], *new])
        openings = Counter()
        at_new = Counter()
        peak_s = Counter()

        def choose_one(view, random_share, now_s):
            released = now_s >= self.BEGIN_S
            candidates = after if released else before
            belief = choose_by_load(
                SETTINGS, candidates, view, (), random_share, now_s, shares=AT_HOME
            ).belief
            openings[id(view)] += released
            at_new[id(view)] += belief in new
            if belief in new:
                peak_s[int(now_s)] += 1
            return belief

        replay([*old, *new], choose_one, 0.8 * 60 / 68, 60, seed=2)
        for view, count in openings.items():
            self.assertLess(at_new[view], 2 * count * 8 / 60)
        fair_per_s = sum(openings.values()) / 3.0 * 8 / 60
        for second in (3, 4, 5):
            self.assertLess(peak_s[second], 1.3 * fair_per_s)

    def test_slots_of_a_new_target_rise_over_its_cold_time(self):
        belief = make_belief("i-1", slots=2, cold_s=4.0, cold_until_s=14.0)
        slots = [count_slots(SETTINGS, belief, 0.0, now_s) for now_s in (10, 12, 14)]
        for value, expected in zip(slots, (1.2, 1.6, 2.0), strict=True):
            self.assertAlmostEqual(value, expected)

    def test_slots_of_a_returned_zone_rise_over_the_configured_cold_time(self):
        belief = make_belief("i-1", slots=2, cold_until_s=14.0)
        self.assertAlmostEqual(count_slots(SETTINGS, belief, 4.0, 12.0), 1.6)


class TestChooseByLoad(unittest.TestCase):
    def test_full_target_beside_an_idle_one_gets_nothing(self):
        beliefs = [make_belief("i-1"), make_belief("i-2")]
        placed = place(beliefs, FixedLoad({"i-1": 10.0, "i-2": 0.0}), 200)
        self.assertEqual(placed, {"i-2": 200})

    def test_larger_target_takes_more_at_equal_load(self):
        beliefs = [make_belief("i-1"), make_belief("i-2", slots=4)]
        placed = place(beliefs, FixedLoad({"i-1": 8.0, "i-2": 8.0}), 1000)
        self.assertGreater(placed["i-2"], 600)

    def test_requests_seen_here_count_at_once(self):
        """A small installation: each instance sees a large part of the load."""
        beliefs = [make_belief("i-1", flows=2, busy_flows=2), make_belief("i-2")]
        placed = place(beliefs, FixedLoad({"i-1": 1.0, "i-2": 1.0}), 200)
        self.assertEqual(placed, {"i-2": 200})

    def test_long_flows_are_even_over_idle_targets(self):
        beliefs = [make_belief(f"i-{n:x}") for n in range(10)]
        load = FixedLoad({b.name: 0.0 for b in beliefs})
        source = random.Random(4)
        for _ in range(500):
            choose(beliefs, load, source).belief.flows += 1
        flows = [b.flows for b in beliefs]
        self.assertLess(max(flows) - min(flows), 15)

    def test_unknown_load_is_not_guessed(self):
        beliefs = [make_belief("i-1"), make_belief("i-2")]
        source = random.Random(1)
        self.assertIsNone(choose(beliefs, FixedLoad({"i-1": 1.0}), source))

    def test_a_copy_goes_to_a_target_that_was_not_tried(self):
        beliefs = [make_belief("i-1"), make_belief("i-2")]
        load = FixedLoad({"i-1": 0.0, "i-2": 10.0})
        placed = place(beliefs, load, 20, tried=("i-1",))
        self.assertEqual(placed, {"i-2": 20})

    def test_tried_or_impaired_targets_alone_are_left_to_the_usual_choice(self):
        tried = make_belief("i-1")
        impaired = make_belief("i-2", fitness=Fitness.IMPAIRED)
        silent = make_belief("i-3", reachability=Reachability.SILENT)
        load = FixedLoad({"i-1": 0.0, "i-2": 0.0, "i-3": 0.0})
        source = random.Random(1)
        beliefs = [tried, impaired, silent]
        self.assertIsNone(choose(beliefs, load, source, tried=("i-1",)))

    def test_target_on_probation_gets_trial_flows_only(self):
        beliefs = [make_belief(f"i-{n:x}") for n in range(9)]
        beliefs.append(make_belief("i-9", fitness=Fitness.RETURNING))
        load = FixedLoad({b.name: 10.0 for b in beliefs} | {"i-9": 0.0})
        placed = place(beliefs, load, 4000)
        self.assertAlmostEqual(placed["i-9"] / 4000, TRIAL_FLOW_SHARE, delta=0.015)
        self.assertEqual(place(beliefs, load, 1000, repeatable=False)["i-9"], 0)

    def test_a_tried_target_on_probation_is_not_chosen_again(self):
        beliefs = [
            make_belief("i-1"),
            make_belief("i-2", fitness=Fitness.RETURNING),
        ]
        load = FixedLoad({"i-1": 10.0, "i-2": 0.0})
        self.assertEqual(place(beliefs, load, 200, tried=("i-2",)), {"i-1": 200})

    def test_shares_of_the_zones_are_kept(self):
        beliefs = [
            make_belief("i-1"),
            make_belief("i-2", "b"),
            make_belief("i-3", "c"),
        ]
        load = FixedLoad({b.name: 1.0 for b in beliefs})
        shares = {"a": 0.5, "b": 0.4, "c": 0.1}
        placed = place(beliefs, load, 4000, shares=shares)
        for name, share in (("i-1", 0.5), ("i-2", 0.4), ("i-3", 0.1)):
            self.assertAlmostEqual(placed[name] / 4000, share, delta=0.03)

    def test_a_share_without_targets_stays_in_the_own_zone(self):
        beliefs = [make_belief("i-1"), make_belief("i-2", "b")]
        load = FixedLoad({"i-1": 1.0, "i-2": 1.0})
        placed = place(beliefs, load, 50, shares={"a": 0.5, "c": 0.5})
        self.assertEqual(placed, {"i-1": 50})

    def test_a_copy_leaves_the_own_zone_by_the_shares_of_the_others(self):
        beliefs = [make_belief("i-1")]
        beliefs += [make_belief("i-2", "b"), make_belief("i-3", "c")]
        load = FixedLoad({b.name: 1.0 for b in beliefs})
        shares = {"a": 0.8, "b": 0.15, "c": 0.05}
        placed = place(beliefs, load, 2000, shares=shares, tried=("i-1",))
        self.assertAlmostEqual(placed["i-2"] / 2000, 0.75, delta=0.04)
        self.assertEqual(placed.total(), placed["i-2"] + placed["i-3"])

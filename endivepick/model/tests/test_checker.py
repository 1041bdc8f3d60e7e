import doctest
import unittest
from collections import deque
from itertools import count

from endivepick.model import _freeze, checker, flows
from endivepick.model._freeze import freeze
from endivepick.model.checker import Specification, check
from endivepick.model.run import specification_of


def counter(limit):
    return Specification(
        name="counter",
        initial=(0, 0),
        steps=lambda s: [
            (f"add to {i}", tuple(n + (at == i) for at, n in enumerate(s)))
            for i in range(2)
            if s[i] < limit
        ],
        invariants={"small sum": lambda s: sum(s) < 4, "true": lambda s: True},
    )


def walk(specification):
    """Reachable states and depth, without the library."""
    depths = {specification.initial: 0}
    queue = deque(depths)
    while queue:
        state = queue.popleft()
        for _, successor in specification.steps(state):
            if successor not in depths:
                depths[successor] = depths[state] + 1
                queue.append(successor)
    return len(depths), max(depths.values())


class CheckerTest(unittest.TestCase):
    def test_examples_run(self):
        for module in (checker, flows, _freeze, _memory):
            self.assertEqual(doctest.testmod(module).failed, 0, module.__name__)

    def test_violation_has_the_shortest_trace(self):
        result = check(counter(3))
        self.assertEqual((result.states, result.depth), (16, 6))
        self.assertEqual(list(result.violations), ["small sum"])
        self.assertEqual(len(result.violations["small sum"]), 4)
        self.assertFalse(result.holds)

    def test_early_end_finds_the_same_violation_and_claims_no_more(self):
        result = check(counter(3), stop_at_violation=True)
        self.assertEqual(len(result.violations["small sum"]), 4)
        self.assertLess(result.states, 16)
        self.assertFalse(result.complete)

    def test_incomplete_walk_does_not_hold(self):
        result = check(counter(1), max_states=2)
        self.assertEqual(result.violations, {})
        self.assertFalse(result.holds)
        self.assertTrue(check(counter(1)).holds)

    def test_states_and_depth_agree_with_a_plain_walk(self):
        for name in ("planned stop, time is up", "keys, restarts"):
            with self.subTest(name):
                specification = specification_of(name)
                result = check(specification)
                self.assertEqual(walk(specification), (result.states, result.depth))


class FreezeTest(unittest.TestCase):
    def test_content_counts_and_identity_does_not(self):
        self.assertEqual(freeze([{1: {2}}]), freeze([{1: {2}}]))
        for other in ([{1: {3}}], [{1: (2,)}], ({1: {2}},), [{True: [2]}]):
            self.assertNotEqual(freeze([{1: {2}}]), freeze(other))

    def test_counters_differ_by_their_next_number(self):
        self.assertNotEqual(freeze(count(1)), freeze(count(2)))

    def test_unknown_state_is_an_error_and_not_ignored(self):
        with self.assertRaisesRegex(TypeError, "bytearray"):
            freeze(bytearray(b"state"))

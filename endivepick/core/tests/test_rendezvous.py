import doctest
import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from endivepick.core import rendezvous
from endivepick.core.rendezvous import owner, rank, top

NAMES = st.lists(st.text(min_size=1, max_size=8), min_size=2, max_size=12, unique=True)


class TestRendezvous(unittest.TestCase):
    def test_examples_run(self):
        self.assertEqual(doctest.testmod(rendezvous).failed, 0)

    @settings(derandomize=True)
    @given(st.text(max_size=8), NAMES)
    def test_order_does_not_depend_on_input_order(self, key, names):
        self.assertEqual(rank(key, names), rank(key, reversed(names)))
        self.assertEqual(top(key, names, 2), rank(key, names)[:2])
        self.assertEqual(owner(key, names), rank(key, names)[0])

    @settings(derandomize=True)
    @given(st.text(max_size=8), NAMES)
    def test_a_name_that_goes_moves_only_its_own_keys(self, key, names):
        ranked = rank(key, names)
        for gone in names:
            left = [name for name in names if name != gone]
            self.assertEqual(rank(key, left), [n for n in ranked if n != gone])

    def test_keys_spread_evenly(self):
        names = [f"entry-{number}" for number in range(8)]
        owned = Counter(owner(f"service-{number}", names) for number in range(8000))
        self.assertEqual(len(owned), 8)
        self.assertLess(max(owned.values()), 1150)
        self.assertGreater(min(owned.values()), 850)

import unittest

from endivepick.forwarding.load.reserved import (
    RESERVED_SHARE,
    exclude_reserved,
    is_reserved,
)
from endivepick.forwarding.load.tests.replay import make_belief
from endivepick.forwarding.placement import Candidates


class TestReservedTargets(unittest.TestCase):
    """Less urgent long flows fill the targets that they may use."""

    def test_about_the_share_of_targets_is_reserved(self):
        names = [f"i-{n:04x}" for n in range(1000)]
        reserved = sum(is_reserved(name, RESERVED_SHARE) for name in names)
        self.assertAlmostEqual(reserved / 1000, RESERVED_SHARE, delta=0.05)

    def test_all_instances_agree(self):
        """The hash of a name is part of the protocol between instances."""
        reserved = [f"i-{n:x}" for n in range(8) if is_reserved(f"i-{n:x}", 0.5)]
        self.assertEqual(reserved, ["i-2", "i-3", "i-6", "i-7"])

    def test_less_urgent_flows_leave_reserved_targets_in_each_zone(self):
        beliefs = [make_belief(f"i-{n:x}", "ab"[n % 2]) for n in range(40)]
        candidates = Candidates.of_zone("a", beliefs)
        left = exclude_reserved(candidates, RESERVED_SHARE)
        self.assertTrue(left.own and left.others)
        for belief in (*left.own, *left.others):
            self.assertFalse(is_reserved(belief.name, RESERVED_SHARE))
        self.assertEqual(left.all_slots, 2 * len([*left.own, *left.others]))
        self.assertEqual(len(left.every), 40)

    def test_reserved_targets_are_used_if_no_other_is_left(self):
        names = [f"i-{n:x}" for n in range(40)]
        reserved = [name for name in names if is_reserved(name, RESERVED_SHARE)]
        candidates = Candidates.of_zone("a", [make_belief(n) for n in reserved])
        self.assertIs(exclude_reserved(candidates, RESERVED_SHARE), candidates)

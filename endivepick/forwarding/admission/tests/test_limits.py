import unittest

from endivepick.forwarding import Configuration, Route, RouteKind, ServiceShare
from endivepick.forwarding.admission.limits import AdmissionLimits, find_priorities

ACTIVE = (0, 1, 2, 3, 4)


def make_limits(*priorities):
    limits = AdmissionLimits()
    limits.set_priorities(priorities)
    return limits


def shares(limits, *priorities):
    return [limits.get_share(priority) for priority in priorities]


class TestAdmissionLimits(unittest.TestCase):
    def test_more_urgent_priority_is_cut_once_the_least_urgent_has_a_tenth(self):
        limits = make_limits(0, 1, 3)
        for _ in range(5):
            self.assertEqual(shares(limits, 0, 1), [1.0, 1.0])
            self.assertGreater(limits.get_share(3), 0.1)
            limits.cut(ACTIVE)
        self.assertEqual(shares(limits, 0, 1, 3), [1.0, 1.0, 0.1])
        limits.cut(ACTIVE)
        self.assertEqual(shares(limits, 0, 1, 3), [1.0, 0.6, 0.1])

    def test_overload_without_end_leaves_each_priority_a_tenth(self):
        limits = make_limits(0, 1, 3)
        for _ in range(100):
            limits.cut(ACTIVE)
        self.assertEqual(shares(limits, 0, 1, 3), [1.0, 0.1, 0.1])

    def test_more_urgent_priority_is_raised_first(self):
        limits = make_limits(0, 1, 3)
        for _ in range(100):
            limits.cut(ACTIVE)
        for _ in range(9):
            self.assertEqual(limits.get_share(3), 0.1)
            limits.raise_most_urgent()
        self.assertEqual(shares(limits, 1, 3), [1.0, 0.1])
        for _ in range(9):
            limits.raise_most_urgent()
        self.assertTrue(limits.all_admitted)

    def test_free_slots_raise_all_priorities_and_remove_the_limits(self):
        limits = make_limits(0, 1, 3)
        for _ in range(100):
            limits.cut(ACTIVE)
        limits.raise_all()
        self.assertEqual(shares(limits, 1, 3), [0.35, 0.35])
        for _ in range(3):
            limits.raise_all()
        self.assertTrue(limits.all_admitted)

    def test_priorities_without_openings_protect_no_other_from_less_urgent_ones(self):
        limits = make_limits(0, 1, 3)
        for _ in range(100):
            limits.cut(active={1, 3})
        self.assertEqual(shares(limits, 0, 1, 3), [1.0, 1.0, 0.1])

    def test_without_openings_nothing_is_limited(self):
        limits = make_limits(0, 1)
        limits.cut(active=())
        self.assertTrue(limits.all_admitted)

    def test_service_of_one_priority_is_not_limited(self):
        limits = make_limits(2)
        for _ in range(10):
            limits.cut(ACTIVE)
        self.assertTrue(limits.all_admitted)

    def test_priorities_stay_ordered_when_the_routes_change(self):
        limits = make_limits(0, 2)
        for _ in range(3):
            limits.cut(ACTIVE)
        share = limits.get_share(2)
        limits.set_priorities([0, 2, 4])
        self.assertEqual(shares(limits, 0, 2, 4), [1.0, share, share])
        limits.set_priorities([2, 4])
        self.assertEqual(shares(limits, 2, 4), [1.0, share])


class TestFindPriorities(unittest.TestCase):
    def test_split_route_counts_for_each_service_with_a_weight(self):
        def route(name, priority, *weights):
            pairs = [ServiceShare(service, weight) for service, weight in weights]
            kind = RouteKind.IDEMPOTENT
            return Route(name, 1, 443, tuple(pairs), kind, priority=priority)

        routes = (
            route("r1", 0, ("notes", 1.0)),
            route("r2", 2, ("notes", 90.0), ("packs", 10.0), ("new", 0.0)),
        )
        self.assertEqual(
            find_priorities(Configuration(7, 1, routes)),
            {"notes": {0, 2}, "packs": {2}},
        )


if __name__ == "__main__":
    unittest.main()

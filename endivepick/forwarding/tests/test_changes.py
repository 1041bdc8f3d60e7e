import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from endivepick.forwarding import Configuration, Route, RouteKind, ServiceShare
from endivepick.forwarding.configuration_changes import (
    REMEMBERED_CHANGES,
    TOLD_ROUTES,
    ChangeHistory,
    apply_change,
    compute_change,
)
from endivepick.forwarding.routes import RouteTable

NAMES = tuple(f"r-{n}" for n in range(6))
SERVICES = ("notes", "packs", "exports")


def route(name, service="notes", port=443):
    kind = RouteKind.IDEMPOTENT
    return Route(name, 0xC6120001, port, (ServiceShare(service, 1.0),), kind)


def versions(contents):
    """Return one version for each dictionary of services by route name."""
    return [
        Configuration(
            version=10 * n + 7,
            revision=100 + n,
            routes=tuple(route(name, service) for name, service in content.items()),
            health_paths={s: f"/{n % 2}/{s}" for s in content.values()},
            idle_timeout_s=10.0 + n % 3,
        )
        for n, content in enumerate(contents)
    ]


def as_set(configuration):
    """Return what has to be equal: the order of routes means nothing."""
    return msgspec.structs.replace(
        configuration, routes=tuple(sorted(configuration.routes, key=repr))
    )


CONTENTS = st.dictionaries(st.sampled_from(NAMES), st.sampled_from(SERVICES))


class TestChanges(unittest.TestCase):
    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(st.lists(CONTENTS, min_size=2, max_size=8))
    def test_from_each_version_one_change_leads_to_the_newest(self, contents):
        series = versions(contents)
        history = ChangeHistory()
        for before, after in zip(series, series[1:], strict=False):
            history.note(before, after)
        for known in series[:-1]:
            told = msgspec.json.encode(history.since(known.revision))
            change = msgspec.json.decode(told, type=type(history.since(known.revision)))
            self.assertEqual(as_set(apply_change(known, change)), as_set(series[-1]))

    def test_it_does_not_fit_another_version(self):
        first, second, third = versions([{}, {"r-1": "notes"}, {"r-2": "notes"}])
        change = compute_change(second, third)
        self.assertIsNone(apply_change(first, change))
        self.assertEqual(apply_change(second, change), third)

    def test_one_that_leads_to_another_number_of_routes_is_refused(self):
        first, second = versions([{"r-1": "notes"}, {"r-1": "notes", "r-2": "notes"}])
        change = msgspec.structs.replace(compute_change(first, second), route_count=3)
        self.assertIsNone(apply_change(first, change))


class TestChangeHistory(unittest.TestCase):
    def filled(self, number):
        history = ChangeHistory()
        series = versions([{"r-1": SERVICES[n % 3]} for n in range(number + 1)])
        for before, after in zip(series, series[1:], strict=False):
            history.note(before, after)
        return series, history

    def test_what_is_too_long_ago_is_not_told(self):
        series, history = self.filled(REMEMBERED_CHANGES + 1)
        self.assertIsNone(history.since(series[0].revision))
        self.assertIsNotNone(history.since(series[1].revision))

    def test_the_newest_and_unknown_versions_need_no_change(self):
        series, history = self.filled(3)
        self.assertIsNone(history.since(series[-1].revision))
        self.assertIsNone(history.since(1))

    def test_a_large_change_is_not_told(self):
        before = Configuration(1, 1, ())
        routes = tuple(route(f"r-{n}", port=n) for n in range(TOLD_ROUTES + 1))
        for number, told in ((TOLD_ROUTES, True), (TOLD_ROUTES + 1, False)):
            history = ChangeHistory()
            history.note(before, Configuration(2, 2, routes[:number]))
            self.assertEqual(history.since(1) is not None, told)


class TestStormOfVersions(unittest.TestCase):
    """Ten versions in a row of 1,640 routes, each of which changes one."""

    def test_what_a_fed_instance_is_told_is_a_thousandth_of_a_version(self):
        table = RouteTable()
        routes = [route(f"r-{n}", port=n) for n in range(1640)]
        for version in range(10):
            routes[version] = route(f"r-{version}", "packs", port=version)
            configuration = Configuration(version, 50 + version, tuple(routes))
            table.apply_configuration(configuration, float(version))
        whole = len(msgspec.json.encode(configuration))
        one = len(msgspec.json.encode(table.change_since(58)))
        all_ten = len(msgspec.json.encode(table.change_since(50)))
        self.assertGreater(whole, 150_000)
        self.assertLess(one, whole / 400)
        self.assertLess(all_ten, whole / 100)


if __name__ == "__main__":
    unittest.main()

import unittest

from endivepick.forwarding.model import Route, RouteKind, ServiceShare
from endivepick.forwarding.routes import RouteTable, service_of
from endivepick.forwarding.tests.support import flow_key, make_configuration

FLOWS = 2000


class TestRouteTable(unittest.TestCase):
    def test_a_route_is_found_by_address_and_port(self):
        table = RouteTable()
        table.apply_configuration(make_configuration(), 0.0)
        self.assertEqual(table.find(flow_key(port=443)).name, "r443")
        self.assertIsNone(table.find(flow_key(port=444)))

    def test_versions_never_go_back(self):
        table = RouteTable()
        self.assertTrue(
            table.apply_configuration(make_configuration(revision=9, ports=()), 0.0)
        )
        self.assertFalse(table.apply_configuration(make_configuration(revision=8), 1.0))
        self.assertFalse(table.apply_configuration(make_configuration(revision=9), 1.0))
        self.assertIsNone(table.find(flow_key()))

    def test_a_removed_route_is_no_longer_found(self):
        table = RouteTable()
        table.apply_configuration(make_configuration(revision=1), 0.0)
        table.apply_configuration(make_configuration(revision=2, ports=(8080,)), 1.0)
        self.assertIsNone(table.find(flow_key(port=443)))
        self.assertIsNotNone(table.find(flow_key(port=8080)))


class TestServiceOf(unittest.TestCase):
    def route(self, *shares):
        services = tuple(ServiceShare(name, weight) for name, weight in shares)
        return Route("r", 1, 443, services, RouteKind.IDEMPOTENT)

    def test_all_copies_of_an_opening_reach_one_service(self):
        route = self.route(("a", 1.0), ("b", 1.0))
        services = {service_of(route, flow_key(7)) for _ in range(10)}
        self.assertEqual(len(services), 1)

    def test_flows_follow_the_weights(self):
        route = self.route(("a", 90), ("b", 10))
        chosen = [service_of(route, flow_key(port)) for port in range(FLOWS)]
        self.assertAlmostEqual(chosen.count("b") / FLOWS, 0.1, delta=0.03)

    def test_a_weight_of_zero_gets_nothing(self):
        route = self.route(("a", 0), ("b", 1), ("c", 0))
        chosen = {service_of(route, flow_key(port)) for port in range(FLOWS)}
        self.assertEqual(chosen, {"b"})

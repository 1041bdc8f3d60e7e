import random
import unittest
from unittest.mock import patch

from endivepick.core import rendezvous
from endivepick.core.owners import ServiceOwners
from endivepick.core.rendezvous import owner

SERVICES = [f"service-{number}" for number in range(50)]


class Live:
    def __init__(self):
        self.names = ()

    def ready_names(self):
        return self.names

    def zone_of(self, name):
        return f"zone-{int(name.rpartition('-')[2]) % 3}"


class TestServiceOwners(unittest.TestCase):
    def setUp(self):
        self.live = Live()
        self.zones = {
            service: frozenset({f"zone-{number % 4}", "zone-0"})
            for number, service in enumerate(SERVICES)
        }
        self.owners = ServiceOwners(
            "entry-1", self.live, lambda service: self.zones[service]
        )

    def expected(self, service):
        near = [
            name
            for name in self.live.names
            if self.live.zone_of(name) in self.zones[service]
        ]
        return owner(service, near or self.live.names)

    def assert_all_right(self):
        for service in SERVICES:
            self.assertEqual(self.owners.owner(service), self.expected(service))

    def assert_mine_right(self):
        for service in SERVICES:
            expected = self.expected(service) in ("entry-1", None)
            self.assertEqual(self.owners.is_mine(service), expected)

    def test_follows_every_change(self):
        chance = random.Random(1)
        present = set()
        for _ in range(300):
            present ^= {f"entry-{chance.randrange(9)}"}
            self.live.names = tuple(sorted(present))
            self.assert_all_right()

    def test_knows_what_is_its_own_after_every_change(self):
        chance = random.Random(2)
        present = set()
        for step in range(300):
            present ^= {f"entry-{chance.randrange(9)}"}
            self.live.names = tuple(sorted(present))
            self.assert_mine_right()
            if step % 3 == 0:
                # With winners cached for some services, too.
                self.owners.owner(chance.choice(SERVICES))
            self.owners.forget(chance.choice(SERVICES))
            self.assert_mine_right()

    def test_looks_at_few_instances_to_know_what_is_not_its_own(self):
        self.live.names = tuple(f"entry-{number}" for number in range(3000))
        with patch.object(rendezvous, "_weight", side_effect=rendezvous._weight) as w:
            for service in SERVICES:
                self.owners.is_mine(service)
        self.assertLess(w.call_count, 30 * len(SERVICES))

    def test_follows_a_record_that_moves_to_other_zones(self):
        self.live.names = tuple(f"entry-{number}" for number in range(6))
        self.assert_all_right()
        self.zones["service-0"] = frozenset({"zone-2"})
        self.owners.forget("service-0")
        self.assert_all_right()

    def test_unknown_service_may_be_owned_anywhere(self):
        self.live.names = ("entry-1", "entry-2")
        self.zones["unknown"] = frozenset()
        self.assertEqual(
            self.owners.owner("unknown"), owner("unknown", self.live.names)
        )

    def test_silent_owner_is_passed_over(self):
        self.live.names = ("entry-0", "entry-3", "entry-6")
        winner = self.owners.owner("service-0")
        other = self.owners.first_that("service-0", lambda name: name != winner)
        self.assertNotEqual(other, winner)
        self.assertEqual(
            self.owners.first_that("service-0", lambda name: False), winner
        )


if __name__ == "__main__":
    unittest.main()

import random
import unittest
from unittest.mock import patch

from endivepick.core import rendezvous
from endivepick.core.rendezvous import owner
from endivepick.core.service_owners import ServiceOwners

SERVICES = [f"service-{number}" for number in range(50)]


class Live:
    def __init__(self):
        self.names = ()

    def eligible_names(self):
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

    def test_follows_every_change(self):
        chance = random.Random(1)
        present = set()
        for _ in range(300):
            present ^= {f"entry-{chance.randrange(9)}"}
            self.live.names = tuple(sorted(present))
            self.assert_all_right()

    def test_knows_what_is_its_own_after_every_change(self):
        chance = random.Random(2)
        present, mine = set(), set(SERVICES)
        for service in SERVICES:
            self.owners.is_owned_here(service)
        for step in range(600):
            present ^= {f"entry-{chance.randrange(9)}"}
            self.live.names = tuple(sorted(present))
            # What is not named as unsettled has not become its own.
            looked_at = self.owners.pop_ownership_candidates() | mine
            mine = {
                service for service in looked_at if self.owners.is_owned_here(service)
            }
            self.assertEqual(mine, self.expected_mine())
            if step % 3 == 0:
                # With winners cached for some services, too.
                self.owners.owner(chance.choice(SERVICES))
            moved = chance.choice(SERVICES)
            self.zones[moved] = frozenset({f"zone-{chance.randrange(4)}"})
            self.owners.forget(moved)
            mine = mine - {moved} | (
                {moved} if self.owners.is_owned_here(moved) else set()
            )

    def expected_mine(self):
        return {s for s in SERVICES if self.expected(s) in ("entry-1", None)}

    def test_keeps_nothing_of_unknown_services(self):
        self.live.names = tuple(f"entry-{number}" for number in range(500))
        for number in range(1000):
            self.zones[f"junk-{number}"] = frozenset()
        with patch.object(rendezvous, "_weight", side_effect=rendezvous._weight) as w:
            for number in range(1000):
                self.owners.owner(f"junk-{number}")
                self.owners.first_that(f"junk-{number}", lambda name: False)
        self.assertLess(w.call_count, 300 * 1000)
        self.assertEqual(len(self.owners._winners), 0)

    def test_looks_at_few_instances_to_know_what_is_not_its_own(self):
        self.live.names = tuple(f"entry-{number}" for number in range(3000))
        with patch.object(rendezvous, "_weight", side_effect=rendezvous._weight) as w:
            for service in SERVICES:
                self.owners.is_owned_here(service)
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

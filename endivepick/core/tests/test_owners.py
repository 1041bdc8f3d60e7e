import random
import unittest

from endivepick.core.owners import ServiceOwners
from endivepick.core.rendezvous import owner

SERVICES = [f"service-{number}" for number in range(50)]


class TestServiceOwners(unittest.TestCase):
    def setUp(self):
        self.names = ()
        self.owners = ServiceOwners(lambda: self.names)

    def test_follows_every_change(self):
        chance = random.Random(1)
        present = set()
        for _ in range(200):
            present ^= {f"entry-{chance.randrange(12)}"}
            self.names = tuple(sorted(present))
            for service in SERVICES:
                self.assertEqual(self.owners.owner(service), owner(service, self.names))

    def test_silent_owner_is_passed_over(self):
        self.names = ("a", "b", "c")
        winner = self.owners.owner("notes")
        other = self.owners.first_that("notes", lambda name: name != winner)
        self.assertNotEqual(other, winner)
        self.assertEqual(self.owners.first_that("notes", lambda name: False), winner)


if __name__ == "__main__":
    unittest.main()

import unittest

from endivepick.forwarder.feeders import Feed, FollowFeeder, WriteClaim, next_step
from endivepick.forwarder.ports import FeederClaim

OWN = "10.0.0.1:1"
PLACES = ["a.0", "a.1"]
OTHERS = [
    FeederClaim("a.0", "10.0.0.2:1", 5),
    FeederClaim("a.1", "10.0.0.3:1", 6),
    FeederClaim("b.0", "10.0.0.4:1", 7),
]


def step(claims, lost=(), share=0.0):
    return next_step(OWN, PLACES, claims, lost, lambda: share)


class TestNextStep(unittest.TestCase):
    def test_a_free_place_is_taken(self):
        taken = step(OTHERS[:1])
        self.assertEqual(taken, WriteClaim(FeederClaim("a.1", OWN)))

    def test_places_of_other_zones_are_not_looked_at(self):
        self.assertEqual(step(OTHERS[2:]).claim.name, "a.0")

    def test_the_holder_of_a_claim_feeds(self):
        self.assertEqual(step([FeederClaim("a.1", OWN, 3), OTHERS[0]]), Feed())

    def test_others_follow_one_of_the_feeders(self):
        followed = {step(OTHERS, share=share) for share in (0.0, 0.4, 0.6, 0.999)}
        self.assertEqual(followed, {FollowFeeder(claim) for claim in OTHERS[:2]})

    def test_the_place_of_a_lost_feeder_is_taken_under_its_revision(self):
        taken = step(OTHERS, lost=["10.0.0.3:1", "10.0.0.4:1"], share=0.99)
        self.assertEqual(taken, WriteClaim(FeederClaim("a.1", OWN, 6)))


if __name__ == "__main__":
    unittest.main()

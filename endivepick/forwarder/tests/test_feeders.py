import random
import unittest

from endivepick.forwarder.feeder_election import (
    CLAIM_SHARE,
    Feed,
    FollowFeeder,
    FollowStore,
    WriteClaim,
    next_step,
)
from endivepick.forwarder.ports import FeederClaim
from endivepick.forwarder.zone_member import MOST_PLACES

OWN = "10.0.0.1:1"
PLACES = ["a.0", "a.1", "a.2"]
FEWEST = 2
OTHERS = [
    FeederClaim("a.0", "10.0.0.2:1", 5),
    FeederClaim("a.1", "10.0.0.3:1", 6),
    FeederClaim("b.0", "10.0.0.4:1", 7),
]


def step(claims, lost=(), full=(), share=0.0):
    return next_step(OWN, PLACES, FEWEST, claims, lost, full, lambda: share)


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

    def test_the_place_of_a_claim_that_names_nobody_is_taken_under_its_revision(self):
        taken = step([FeederClaim("a.0", "", 5), OTHERS[1]])
        self.assertEqual(taken, WriteClaim(FeederClaim("a.0", OWN, 5)))

    def test_a_claim_of_which_nothing_can_be_read_is_left_alone(self):
        followed = step([FeederClaim("a.0", "", 0), OTHERS[1]])
        self.assertEqual(followed, FollowFeeder(OTHERS[1]))

    def test_places_beyond_the_fewest_stay_free_while_feeders_have_room(self):
        followed = step(OTHERS, full=["10.0.0.2:1"])
        self.assertEqual(followed, FollowFeeder(OTHERS[1]))

    def test_some_of_those_who_find_all_full_become_feeders(self):
        full = ["10.0.0.2:1", "10.0.0.3:1"]
        taken = step(OTHERS, full=full, share=CLAIM_SHARE - 0.01)
        self.assertEqual(taken, WriteClaim(FeederClaim("a.2", OWN)))
        self.assertEqual(step(OTHERS, full=full, share=CLAIM_SHARE), FollowStore())

    def test_without_a_free_place_the_store_is_followed(self):
        claims = [*OTHERS, FeederClaim("a.2", "10.0.0.5:1", 8)]
        full = [claim.holder for claim in claims]
        self.assertEqual(step(claims, full=full), FollowStore())


class TestZonesOfAllSizes(unittest.TestCase):
    """Instances of a zone start at once; each looks at the claims once a round."""

    FED_MOST = 24

    def settle(self, number, rounds=12, seed=5):
        """Return who is fed by whom, the claims, and how many were written in vain."""
        random_share = random.Random(seed).random
        claims, vain, feeder_of = {}, 0, {}
        full = {n: set() for n in range(number)}
        places = [f"z.{n}" for n in range(MOST_PLACES)]
        for _ in range(rounds):
            seen = list(claims.values())
            for n in range(number):
                if n in feeder_of:
                    continue
                own = str(n)
                taken = next_step(own, places, 1, seen, (), full[n], random_share)
                match taken:
                    case WriteClaim(claim) if claim.name in claims:
                        vain += 1
                    case WriteClaim(claim):
                        claims[claim.name] = claim
                    case FollowFeeder(claim):
                        fed = [f for f in feeder_of.values() if f == claim.holder]
                        if len(fed) < self.FED_MOST:
                            feeder_of[n] = claim.holder
                        else:
                            full[n].add(claim.holder)
        return feeder_of, claims, vain

    def test_nearly_all_are_fed_by_few(self):
        for number, most_feeders in ((1, 1), (3, 1), (22, 1), (60, 6), (571, 60)):
            feeder_of, claims, vain = self.settle(number)
            with self.subTest(number=number, feeders=len(claims), vain=vain):
                self.assertLessEqual(len(claims), most_feeders)
                fed = len(feeder_of) + len(claims)
                self.assertGreaterEqual(fed, 0.9 * number)

    def test_after_the_first_round_few_claims_are_in_vain(self):
        _, claims, vain = self.settle(571)
        self.assertLessEqual(vain - 570, len(claims))


if __name__ == "__main__":
    unittest.main()

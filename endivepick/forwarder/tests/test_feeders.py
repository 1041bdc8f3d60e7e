import random
import unittest

from endivepick.forwarder.feeder_election import (
    CLAIM_PROBABILITY,
    Feed,
    FollowFeeder,
    FollowStore,
    WriteClaim,
    choose_step,
)
from endivepick.forwarder.ports import FeederClaim
from endivepick.forwarder.zone_member import MAX_FEEDERS

OWN = "10.0.0.1:1"
PLACES = ["a.0", "a.1", "a.2"]
FEWEST = 2
OTHERS = [
    FeederClaim("a.0", "10.0.0.2:1", 5),
    FeederClaim("a.1", "10.0.0.3:1", 6),
    FeederClaim("b.0", "10.0.0.4:1", 7),
]


def step(claims, lost=(), full=(), share=0.0):
    return choose_step(OWN, PLACES, FEWEST, claims, lost, full, lambda: share)


class TestChooseStep(unittest.TestCase):
    def test_free_claim_is_written(self):
        taken = step(OTHERS[:1])
        self.assertEqual(taken, WriteClaim(FeederClaim("a.1", OWN)))

    def test_claims_of_other_zones_are_ignored(self):
        self.assertEqual(step(OTHERS[2:]).claim.name, "a.0")

    def test_holder_of_a_claim_feeds(self):
        own = FeederClaim("a.1", OWN, 3)
        self.assertEqual(step([own, OTHERS[0]]), Feed(own))

    def test_other_instances_follow_a_feeder(self):
        followed = {step(OTHERS, share=share) for share in (0.0, 0.4, 0.6, 0.999)}
        self.assertEqual(followed, {FollowFeeder(claim) for claim in OTHERS[:2]})

    def test_claim_of_a_lost_feeder_is_replaced_at_its_revision(self):
        taken = step(OTHERS, lost=["10.0.0.3:1", "10.0.0.4:1"], share=0.99)
        self.assertEqual(taken, WriteClaim(FeederClaim("a.1", OWN, 6)))

    def test_claim_without_holder_is_replaced_at_its_revision(self):
        taken = step([FeederClaim("a.0", "", 5), OTHERS[1]])
        self.assertEqual(taken, WriteClaim(FeederClaim("a.0", OWN, 5)))

    def test_unreadable_claim_is_not_replaced(self):
        followed = step([FeederClaim("a.0", "", 0), OTHERS[1]])
        self.assertEqual(followed, FollowFeeder(OTHERS[1]))

    def test_no_further_claim_while_feeders_have_capacity(self):
        followed = step(OTHERS, full=["10.0.0.2:1"])
        self.assertEqual(followed, FollowFeeder(OTHERS[1]))

    def test_some_instances_become_feeders_when_all_are_full(self):
        full = ["10.0.0.2:1", "10.0.0.3:1"]
        taken = step(OTHERS, full=full, share=CLAIM_PROBABILITY - 0.01)
        self.assertEqual(taken, WriteClaim(FeederClaim("a.2", OWN)))
        self.assertEqual(
            step(OTHERS, full=full, share=CLAIM_PROBABILITY), FollowStore()
        )

    def test_store_is_followed_without_a_free_claim(self):
        claims = [*OTHERS, FeederClaim("a.2", "10.0.0.5:1", 8)]
        full = [claim.holder for claim in claims]
        self.assertEqual(step(claims, full=full), FollowStore())


class TestZonesOfAllSizes(unittest.TestCase):
    """Instances of a zone start at once; each reads the claims once per round."""

    FED_MOST = 24

    def settle(self, number, rounds=12, seed=5):
        """Return the feeder of each instance, the claims, and the failed writes."""
        random_share = random.Random(seed).random
        claims, vain, feeder_of = {}, 0, {}
        full = {n: set() for n in range(number)}
        places = [f"z.{n}" for n in range(MAX_FEEDERS)]
        for _ in range(rounds):
            seen = list(claims.values())
            for n in range(number):
                if n in feeder_of:
                    continue
                own = str(n)
                taken = choose_step(own, places, 1, seen, (), full[n], random_share)
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

    def test_nearly_all_instances_are_fed_by_few_feeders(self):
        for number, most_feeders in ((1, 1), (3, 1), (22, 1), (60, 6), (571, 60)):
            feeder_of, claims, vain = self.settle(number)
            with self.subTest(number=number, feeders=len(claims), vain=vain):
                self.assertLessEqual(len(claims), most_feeders)
                fed = len(feeder_of) + len(claims)
                self.assertGreaterEqual(fed, 0.9 * number)

    def test_few_writes_fail_after_the_first_round(self):
        _, claims, vain = self.settle(571)
        self.assertLessEqual(vain - 570, len(claims))


if __name__ == "__main__":
    unittest.main()

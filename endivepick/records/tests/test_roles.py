import unittest
from collections import Counter
from itertools import count

from endivepick.core.rendezvous import rank
from endivepick.membership.view import InstanceView, PeerState
from endivepick.records.roles import compute_zone_roles
from endivepick.records.settings import DisseminationSettings

ZONE = "thamel"
SETTINGS = DisseminationSettings()


def make_roles(names, suspects=(), leaving=()):
    states = dict.fromkeys(names, PeerState.ALIVE)
    states |= dict.fromkeys(suspects, PeerState.SUSPECT)
    states |= dict.fromkeys(leaving, PeerState.LEAVING)
    views = [InstanceView(name, ZONE, 1, "", state) for name, state in states.items()]
    return compute_zone_roles(ZONE, views, SETTINGS)


def find_first_feeders(roles):
    subscribers = [n for n in roles.ranked + roles.leaving if n not in roles.watchers]
    return {name: roles.rank_feeders(name, SETTINGS)[0] for name in subscribers}


def make_names(size, number=0):
    return [f"entry-{number}-{index}" for index in range(size)]


def make_top_ranked_name(names):
    """Return a new name that ranks above all given names."""
    candidates = (f"newcomer-{number}" for number in count())
    return next(
        name
        for name in candidates
        if rank(f"configuration:{ZONE}", [*names, name])[0] == name
    )


class TestFeeders(unittest.TestCase):
    def test_no_instance_feeds_more_than_the_fan_out(self):
        for size in (2, 3, 8, 10, 11, 64, 571):
            for number in range(3):
                roles = make_roles(make_names(size, number))
                loads = Counter(find_first_feeders(roles).values())
                max_load = max(loads.values(), default=0)
                self.assertLessEqual(max_load, SETTINGS.fan_out, size)

    def test_feeders_rank_above_their_subscribers(self):
        roles = make_roles(make_names(200))
        rank_by_name = {name: index for index, name in enumerate(roles.ranked)}
        for name, feeder in find_first_feeders(roles).items():
            self.assertLess(rank_by_name[feeder], rank_by_name[name])

    def test_leaving_instances_are_distributed_over_feeders(self):
        names = make_names(64)
        roles = make_roles(names, leaving=names[:20])
        loads = Counter(find_first_feeders(roles).values())
        self.assertLessEqual(max(loads.values()), SETTINGS.fan_out)
        self.assertFalse(loads.keys() & set(names[:20]))

    def test_last_remaining_instance_feeds_all_leaving_instances(self):
        names = make_names(30)
        roles = make_roles(names, leaving=names[1:])
        self.assertEqual(set(find_first_feeders(roles).values()), {names[0]})

    def test_zone_with_only_leaving_instances_has_no_feeders(self):
        names = make_names(3)
        roles = make_roles(names, leaving=names)
        self.assertEqual(
            [roles.rank_feeders(name, SETTINGS) for name in names], [[]] * 3
        )

    def test_subscribers_of_a_suspected_feeder_are_distributed(self):
        names = make_names(200)
        before = find_first_feeders(make_roles(names))
        watchers = make_roles(names).watchers
        loads = Counter(before.values())
        fully_loaded = [
            n for n in before if n not in watchers and loads[n] == SETTINGS.fan_out
        ]
        for suspect in fully_loaded[:10]:
            after = find_first_feeders(make_roles(names, suspects=[suspect]))
            moved = {name for name in after if after[name] != before[name]}
            self.assertEqual(moved, {n for n in before if before[n] == suspect})
            taken = Counter(after[name] for name in moved)
            self.assertNotIn(suspect, taken)
            self.assertGreater(len(taken), 1)

    def test_adding_or_removing_an_instance_moves_few_subscribers(self):
        names = make_names(571)
        before = find_first_feeders(make_roles(names))
        ranked = make_roles(names).ranked
        changed_members = [[*names, make_top_ranked_name(names)]]
        changed_members += [
            [n for n in names if n != ranked[at]] for at in (0, 2, 20, 300)
        ]
        for members in changed_members:
            after = find_first_feeders(make_roles(members))
            moved = [n for n in after if n in before and after[n] != before[n]]
            self.assertLess(len(moved), len(names) / 5)

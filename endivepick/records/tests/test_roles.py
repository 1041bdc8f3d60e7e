import unittest
from collections import Counter
from itertools import count

from endivepick.core.rendezvous import rank
from endivepick.membership.view import InstanceView, PeerState
from endivepick.records.roles import compute_zone_roles
from endivepick.records.settings import DisseminationSettings

ZONE = "thamel"
SETTINGS = DisseminationSettings()


def roles_of(names, suspects=(), leaving=()):
    states = dict.fromkeys(names, PeerState.ALIVE)
    states |= dict.fromkeys(suspects, PeerState.SUSPECT)
    states |= dict.fromkeys(leaving, PeerState.LEAVING)
    views = [InstanceView(name, ZONE, 1, "", state) for name, state in states.items()]
    return compute_zone_roles(ZONE, views, SETTINGS)


def first_choices(roles):
    fed = [n for n in roles.ranked + roles.others if n not in roles.watchers]
    return {name: roles.feeders(name, SETTINGS)[0] for name in fed}


def zone(size, number=0):
    return [f"entry-{number}-{index}" for index in range(size)]


def first_of(names):
    """Return a new name that comes before all these in the order."""
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
                roles = roles_of(zone(size, number))
                loads = Counter(first_choices(roles).values())
                most = max(loads.values(), default=0)
                self.assertLessEqual(most, SETTINGS.fan_out, size)

    def test_each_feeder_comes_before_those_it_feeds(self):
        roles = roles_of(zone(200))
        place = {name: index for index, name in enumerate(roles.ranked)}
        for name, feeder in first_choices(roles).items():
            self.assertLess(place[feeder], place[name])

    def test_leaving_instances_do_not_all_go_to_the_watchers(self):
        names = zone(64)
        roles = roles_of(names, leaving=names[:20])
        loads = Counter(first_choices(roles).values())
        self.assertLessEqual(max(loads.values()), SETTINGS.fan_out)
        self.assertFalse(loads.keys() & set(names[:20]))

    def test_leaving_zone_is_fed_by_the_last_that_stays(self):
        names = zone(30)
        roles = roles_of(names, leaving=names[1:])
        self.assertEqual(set(first_choices(roles).values()), {names[0]})

    def test_zone_that_leaves_as_a_whole_has_no_feeders(self):
        names = zone(3)
        roles = roles_of(names, leaving=names)
        self.assertEqual([roles.feeders(name, SETTINGS) for name in names], [[]] * 3)

    def test_suspected_feeder_moves_only_its_own_subscribers_apart(self):
        names = zone(200)
        before = first_choices(roles_of(names))
        watchers = roles_of(names).watchers
        loads = Counter(before.values())
        full = [n for n in before if n not in watchers and loads[n] == SETTINGS.fan_out]
        for lost in full[:10]:
            after = first_choices(roles_of(names, suspects=[lost]))
            moved = {name for name in after if after[name] != before[name]}
            self.assertEqual(moved, {n for n in before if before[n] == lost})
            taken = Counter(after[name] for name in moved)
            self.assertNotIn(lost, taken)
            self.assertGreater(len(taken), 1)

    def test_one_more_or_less_moves_few(self):
        names = zone(571)
        before = first_choices(roles_of(names))
        ranked = roles_of(names).ranked
        changed = [[*names, first_of(names)]]
        changed += [[n for n in names if n != ranked[at]] for at in (0, 2, 20, 300)]
        for members in changed:
            after = first_choices(roles_of(members))
            moved = [n for n in after if n in before and after[n] != before[n]]
            self.assertLess(len(moved), len(names) / 5)

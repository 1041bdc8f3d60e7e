import unittest

from endivepick.membership import (
    MembershipSettings,
    SendToSeed,
)
from endivepick.membership.tests._fleet import (
    ZONES,
    all_see_live_count,
    count_actions,
    start_fleet,
)


class SeedsTest(unittest.TestCase):
    """Instances that restart without the list of the platform."""

    def restarted(self, fleet, names):
        addresses = tuple(me.peer_address for me in fleet.identities.values())
        settings = MembershipSettings(seed_addresses=addresses)
        for name in names:
            fleet.kill(name)
        return [fleet.add(name, ZONES[0], settings, generation=2) for name in names]

    def test_whole_zone_finds_the_others(self):
        fleet = start_fleet()
        nodes = self.restarted(fleet, ["entry-0", "entry-3", "entry-6"])
        fleet.run_until(lambda: all(node.joined for node in nodes), 30)
        fleet.run_until(lambda: all_see_live_count(fleet, 9), 30)

    def test_joining_instances_that_know_only_each_other_contact_seeds(self):
        fleet = start_fleet()
        names = ["entry-0", "entry-3", "entry-6"]
        fleet.is_cut = lambda sender, receiver: (sender in names) != (receiver in names)
        nodes = self.restarted(fleet, names)
        fleet.run_until(lambda: all(len(n.live_names()) == 3 for n in nodes), 30)
        fleet.run(60)
        fleet.is_cut = lambda sender, receiver: False
        fleet.run_until(lambda: all_see_live_count(fleet, 9), 30)

    def test_no_seed_is_contacted_after_a_list(self):
        fleet = start_fleet()
        self.restarted(fleet, ["entry-0"])
        fleet.deliver_list()
        fleet.run(5)
        self.assertEqual(count_actions(fleet, SendToSeed), 0)


if __name__ == "__main__":
    unittest.main()

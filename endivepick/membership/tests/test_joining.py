import unittest

from endivepick.membership import (
    MembershipSettings,
    SendToSeed,
)
from endivepick.membership.tests._fleet import (
    ZONES,
    count_of,
    everybody_sees,
    started,
)


class SeedsTest(unittest.TestCase):
    """Restarted instances that get no list from the platform."""

    def restarted(self, loop, names):
        addresses = tuple(me.peer_address for me in loop.me.values())
        settings = MembershipSettings(seed_addresses=addresses)
        for name in names:
            loop.kill(name)
        return [loop.add(name, ZONES[0], settings, generation=2) for name in names]

    def test_whole_zone_finds_the_others(self):
        loop = started()
        nodes = self.restarted(loop, ["entry-0", "entry-3", "entry-6"])
        loop.run_until(lambda: all(node.joined for node in nodes), 30)
        loop.run_until(lambda: everybody_sees(loop, 9), 30)

    def test_newcomers_that_know_only_each_other_go_on_asking(self):
        loop = started()
        names = ["entry-0", "entry-3", "entry-6"]
        loop.is_cut = lambda sender, receiver: (sender in names) != (receiver in names)
        nodes = self.restarted(loop, names)
        loop.run_until(lambda: all(len(n.live_names()) == 3 for n in nodes), 30)
        loop.run(60)
        loop.is_cut = lambda sender, receiver: False
        loop.run_until(lambda: everybody_sees(loop, 9), 30)

    def test_nobody_is_asked_once_there_was_a_list(self):
        loop = started()
        self.restarted(loop, ["entry-0"])
        loop.list_all()
        loop.run(5)
        self.assertEqual(count_of(loop, SendToSeed), 0)


if __name__ == "__main__":
    unittest.main()

import unittest

from endivepick.membership._simulated_fleet import SimulatedFleet
from endivepick.membership.view import PeerState

SERVING = (PeerState.ALIVE, PeerState.SUSPECT)


class TestLiveNames(unittest.TestCase):
    def assert_as_shown(self, fleet):
        for node in fleet.nodes.values():
            views = node.view().values()
            shown = [v.name for v in views if v.ready and v.state in SERVING]
            self.assertEqual(node.live_names(), tuple(sorted(shown)))
            self.assertIs(node.live_names(), node.live_names())

    def test_live_names_match_the_view_after_every_change(self):
        fleet = SimulatedFleet(3, loss=0.2)
        for number in range(6):
            fleet.add(f"entry-{number}", f"z{number % 2}")
        fleet.deliver_list()
        for _ in fleet.steps(8.0):
            self.assert_as_shown(fleet)
        fleet.kill("entry-1")
        fleet.apply_actions("entry-2", fleet.nodes["entry-2"].leave(fleet.now_s))
        for _ in fleet.steps(8.0):
            self.assert_as_shown(fleet)
        fleet.add("entry-1", "z1")
        fleet.deliver_list(leaving=("entry-3",))
        for _ in fleet.steps(8.0):
            self.assert_as_shown(fleet)
        live = fleet.nodes["entry-0"].live_names()
        self.assertEqual(live, ("entry-0", "entry-1", "entry-4", "entry-5"))


if __name__ == "__main__":
    unittest.main()

import unittest

from endivepick.membership._simulated_fleet import Loop
from endivepick.membership.view import PeerState

SERVING = (PeerState.ALIVE, PeerState.SUSPECT)


class TestLiveNames(unittest.TestCase):
    def assert_as_shown(self, loop):
        for node in loop.nodes.values():
            views = node.view().values()
            shown = [v.name for v in views if v.ready and v.state in SERVING]
            self.assertEqual(node.live_names(), tuple(sorted(shown)))
            self.assertIs(node.live_names(), node.live_names())

    def test_are_those_shown_to_serve_after_every_kind_of_change(self):
        loop = Loop(3, loss=0.2)
        for number in range(6):
            loop.add(f"entry-{number}", f"z{number % 2}")
        loop.list_all()
        for _ in loop.steps(8.0):
            self.assert_as_shown(loop)
        loop.kill("entry-1")
        loop.carry_out("entry-2", loop.nodes["entry-2"].leave(loop.now_s))
        for _ in loop.steps(8.0):
            self.assert_as_shown(loop)
        loop.add("entry-1", "z1")
        loop.list_all(leaving=("entry-3",))
        for _ in loop.steps(8.0):
            self.assert_as_shown(loop)
        live = loop.nodes["entry-0"].live_names()
        self.assertEqual(live, ("entry-0", "entry-1", "entry-4", "entry-5"))


if __name__ == "__main__":
    unittest.main()

import unittest
from unittest.mock import patch

import msgspec

from endivepick.bench._fleet import PLANNED_FLEET
from endivepick.bench._simulated_node import SimulatedNode
from endivepick.core.configuration import MEMBERS_WAIT_S, Configuration
from endivepick.membership.peer_messages import Phase, Ping


class TestMemberNews(unittest.TestCase):
    def setUp(self):
        self.node = SimulatedNode(PLANNED_FLEET.scaled(800))
        self.node.join()
        self.node.run(1.0)

    def leave(self, number):
        update = self.node.get_member_update(number)
        news = msgspec.structs.replace(update, phase=Phase.LEAVING)
        self.node.deliver_message(Ping(1, 1, 0, [news], []))

    def test_first_counts_at_once_and_more_are_taken_together(self):
        looks = []
        look = Configuration._members_changed

        def counted(configuration, now_s):
            looks.append(now_s)
            return look(configuration, now_s)

        with patch.object(Configuration, "_members_changed", counted):
            began_s = self.node.now_s
            for number in range(1, 41):
                self.leave(number)
                self.node.run(0.05)
            ended_s = self.node.now_s
            self.node.run(1.0)
        self.assertLess(looks[0] - began_s, 0.06)
        wait_s = MEMBERS_WAIT_S * 800
        self.assertLessEqual(len(looks), 2 + (ended_s - began_s) / wait_s)
        self.assertGreaterEqual(looks[-1], ended_s)


if __name__ == "__main__":
    unittest.main()

import unittest
from unittest.mock import patch

import msgspec

from endivepick.bench._fleet import PLANNED_FLEET
from endivepick.bench._simulated_node import SimulatedNode
from endivepick.core.configuration import UPDATE_INTERVAL_PER_MEMBER_S, Configuration
from endivepick.membership.peer_messages import Phase, Ping


class TestMemberUpdates(unittest.TestCase):
    def setUp(self):
        self.node = SimulatedNode(PLANNED_FLEET.scaled(800))
        self.node.join()
        self.node.run(1.0)

    def announce_leaving(self, number):
        update = self.node.get_member_update(number)
        news = msgspec.structs.replace(update, phase=Phase.LEAVING)
        self.node.deliver_message(Ping(1, 1, 0, [news], []))

    def test_first_change_is_applied_at_once_and_later_ones_are_batched(self):
        updated_at_s = []
        update_members = Configuration._update_members

        def record_update(configuration, now_s):
            updated_at_s.append(now_s)
            return update_members(configuration, now_s)

        with patch.object(Configuration, "_update_members", record_update):
            start_s = self.node.now_s
            for number in range(1, 41):
                self.announce_leaving(number)
                self.node.run(0.05)
            end_s = self.node.now_s
            self.node.run(1.0)
        self.assertLess(updated_at_s[0] - start_s, 0.06)
        interval_s = UPDATE_INTERVAL_PER_MEMBER_S * 800
        self.assertLessEqual(len(updated_at_s), 2 + (end_s - start_s) / interval_s)
        self.assertGreaterEqual(updated_at_s[-1], end_s)


if __name__ == "__main__":
    unittest.main()

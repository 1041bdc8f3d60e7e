import unittest

from standins.addressblock import AddressBlockError, address_block
from standins.shapes import LEAVE_DESK


def hosts(shape):
    targets = [plan for service in shape.services for plan in service.targets]
    return {plan.host for plan in (*shape.instances, *targets)}


class TestAddressBlock(unittest.TestCase):
    def test_blocks_held_at_once_share_no_address(self):
        first = self.enterContext(address_block())
        second = self.enterContext(address_block())
        one, other = LEAVE_DESK.in_block(first), LEAVE_DESK.in_block(second)
        self.assertEqual(len(hosts(one)), len(hosts(LEAVE_DESK)))
        self.assertEqual(hosts(one) & hosts(other), set())

    def test_all_blocks_in_use(self):
        with self.assertRaisesRegex(AddressBlockError, "end other installations"):
            self.enterContext(address_block(count=0))


if __name__ == "__main__":
    unittest.main()

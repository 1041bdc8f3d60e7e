import unittest

from msgspec.structs import replace

from endivepick.forwarding import check_target, parse_target_number
from endivepick.forwarding.tests.support import make_target

GOOD = make_target("i-7f3a91c2")


class TestChecks(unittest.TestCase):
    def test_what_targets_write_is_taken(self):
        for fields in (
            {},
            {"slots": 1},
            {"slots": 65_536},
            {"cold_s": 3600.0},
            {"born_ms": 1_796_000_000_000},
            {"host": "127.0.0.1", "port": 1},
            {"port": 65535},
        ):
            check_target(replace(GOOD, **fields))

    def test_values_that_cannot_be_used_are_refused(self):
        for fields in (
            {"slots": 0},
            {"slots": -3},
            {"slots": 10**30},
            {"cold_s": -0.1},
            {"cold_s": 1e308},
            {"cold_s": float("inf")},
            {"cold_s": float("nan")},
            {"service": ""},
            {"zone": ""},
            {"host": "0.0.0.0"},
            {"host": "224.0.0.1"},
            {"host": "255.255.255.255"},
            {"host": "notes.local"},
            {"port": 0},
            {"port": 65536},
            {"born_ms": -1},
            {"born_ms": 1 << 60},
            {"name": "i-7f3a91c3"},
            {"name": "i/..%-7f3a91c2"},
            {"name": "i" * 200 + "-7f3a91c2"},
            {"number": 0},
            {"number": 1 << 64},
        ):
            with self.subTest(fields), self.assertRaises(ValueError):
                check_target(replace(GOOD, **fields))

    def test_a_name_has_a_number_that_packets_carry(self):
        self.assertEqual(parse_target_number("i-ffffffffffffffff"), (1 << 64) - 1)
        self.assertEqual(parse_target_number("i-00ab"), 0xAB)
        for name in ("i-0", "i-", "i", "-5", "i--5", "i-1_0", "i-+5", "i- 5", "i-x"):
            with self.subTest(name), self.assertRaises(ValueError):
                parse_target_number(name)
        with self.assertRaises(ValueError):
            parse_target_number("i-" + "f" * 17)

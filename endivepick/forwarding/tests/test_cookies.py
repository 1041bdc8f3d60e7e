import unittest
import unittest.mock

from endivepick.forwarding.cookies import CookieDirectory

FLEET_TARGETS = 44_000


def constant_hash(cookie):
    return lambda _name: cookie


class TestCookies(unittest.TestCase):
    def test_each_target_owns_its_cookie_or_takes_no_flows(self):
        directory = CookieDirectory()
        names = [f"i-{number * 2654435761 % 2**40:010x}" for number in range(44_000)]
        cookies = {n: directory.add(n, created) for created, n in enumerate(names)}
        self.assertEqual(len(names), FLEET_TARGETS)
        for name, cookie in cookies.items():
            self.assertNotEqual(cookie, 0)
            if directory.owns(name):
                self.assertEqual(directory.resolve(cookie), name)
        owners = [name for name in names if directory.owns(name)]
        self.assertEqual(len({cookies[name] for name in owners}), len(owners))

    def test_cookie_collision_resolves_alike_at_all_instances(self):
        with unittest.mock.patch(
            "endivepick.forwarding.cookies.compute_cookie", constant_hash(5)
        ):
            one, other = CookieDirectory(), CookieDirectory()
            one.add("i-1", created=10)
            one.add("i-2", created=20)
            other.add("i-2", created=20)
            other.add("i-1", created=10)
            for directory in (one, other):
                self.assertEqual(directory.resolve(5), "i-1")
                self.assertFalse(directory.owns("i-2"))

    def test_second_target_owns_the_cookie_after_removal_of_the_first(self):
        with unittest.mock.patch(
            "endivepick.forwarding.cookies.compute_cookie", constant_hash(5)
        ):
            directory = CookieDirectory()
            directory.add("i-1", created=10)
            directory.add("i-2", created=20)
            directory.remove("i-1")
            self.assertEqual(directory.resolve(5), "i-2")
            directory.remove("i-2")
            self.assertIsNone(directory.resolve(5))

    def test_target_that_is_gone_leaves_the_cookie_to_the_other(self):
        with unittest.mock.patch(
            "endivepick.forwarding.cookies.compute_cookie", constant_hash(5)
        ):
            directory = CookieDirectory()
            directory.add("i-1", created=10)
            directory.add("i-1", created=10, gone=True)
            self.assertEqual(directory.resolve(5), "i-1")
            directory.add("i-2", created=20)
            self.assertEqual(directory.resolve(5), "i-2")
            directory.add("i-1", created=30)
            self.assertEqual(directory.resolve(5), "i-2")

import unittest

from endivepick.core.stop_request_filter import StopWish
from endivepick.records.cache import Change
from endivepick.records.objects import INSTANCE_KIND, StoredObject

DRAINING = {"schema_version": 1, "write_id": "w", "draining": True}


def wish(version, body=DRAINING, name="a"):
    return Change(None, StoredObject(INSTANCE_KIND, name, version, body))


class TestStopWish(unittest.TestCase):
    def setUp(self):
        self.wish = StopWish("a")
        self.wish.set_known(StoredObject(INSTANCE_KIND, "a", 4, DRAINING))

    def test_newer_version_asks_for_the_stop(self):
        self.assertTrue(self.wish.is_new(wish(5)))

    def test_wish_to_a_predecessor_is_left_out(self):
        self.assertFalse(self.wish.is_new(wish(4)))

    def test_nothing_counts_before_the_configuration_is_whole(self):
        self.assertFalse(StopWish("a").is_new(wish(5)))

    def test_first_wish_of_all(self):
        first = StopWish("a")
        first.set_known(None)
        self.assertTrue(first.is_new(wish(1)))

    def test_other_objects_and_bodies(self):
        for change in (
            wish(5, name="b"),
            wish(5, body=None),
            wish(5, body=DRAINING | {"draining": False}),
            wish(5, body=DRAINING | {"schema_version": 2}),
            wish(5, body=DRAINING | {"draining": "yes"}),
            wish(5, body={}),
            Change(None, StoredObject("service", "a", 5, DRAINING)),
        ):
            with self.subTest(change):
                self.assertFalse(self.wish.is_new(change))

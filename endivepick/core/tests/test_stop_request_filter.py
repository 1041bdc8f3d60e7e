import unittest

from endivepick.core.stop_request_filter import StopRequestFilter
from endivepick.records.cache import Change
from endivepick.records.objects import INSTANCE_KIND, StoredObject

DRAINING = {"schema_version": 1, "write_id": "w", "draining": True}


def change_of(version, body=DRAINING, name="a"):
    return Change(None, StoredObject(INSTANCE_KIND, name, version, body))


class TestStopRequestFilter(unittest.TestCase):
    def setUp(self):
        self.stop_requests = StopRequestFilter("a")
        self.stop_requests.set_baseline(StoredObject(INSTANCE_KIND, "a", 4, DRAINING))

    def test_newer_version_requests_stop(self):
        self.assertTrue(self.stop_requests.is_stop_request(change_of(5)))

    def test_request_to_an_earlier_process_is_ignored(self):
        self.assertFalse(self.stop_requests.is_stop_request(change_of(4)))

    def test_requests_are_ignored_before_the_configuration_is_complete(self):
        self.assertFalse(StopRequestFilter("a").is_stop_request(change_of(5)))

    def test_first_version_without_a_baseline_object(self):
        without_baseline = StopRequestFilter("a")
        without_baseline.set_baseline(None)
        self.assertTrue(without_baseline.is_stop_request(change_of(1)))

    def test_other_objects_and_invalid_bodies_are_ignored(self):
        for change in (
            change_of(5, name="b"),
            change_of(5, body=None),
            change_of(5, body=DRAINING | {"draining": False}),
            change_of(5, body=DRAINING | {"schema_version": 2}),
            change_of(5, body=DRAINING | {"draining": "yes"}),
            change_of(5, body={}),
            Change(None, StoredObject("service", "a", 5, DRAINING)),
        ):
            with self.subTest(change):
                self.assertFalse(self.stop_requests.is_stop_request(change))

import unittest
from unittest import mock

import gevent
from returns.result import Failure, Success

from endivepick.core.events import ObjectsListed, PlatformCallFailed
from endivepick.daemon import platform
from endivepick.errors import WatchExpiredError
from endivepick.platform.answers import InstanceList, ListedInstance, ObjectList
from endivepick.records.cache import CACHED_KINDS
from endivepick.settings import parse_settings

SETTINGS = """{
    instance: {name: "entry-1", zone: "fukuoka"},
    listen: {data_address: "127.0.0.1:0", peer_address: "127.0.0.1:0"},
    platform: {address: "127.0.0.1:1"},
    secrets: {peer_secret_hex: "000102030405060708090a0b0c0d0e0f"},
}"""
ROUNDS = 6
LISTS = ROUNDS * len(CACHED_KINDS)


class _LaggingPlatform:
    """Platform whose lists are older than its watch history."""

    def __init__(self, *_):
        self.lists = 0

    def list(self, kind):
        self.lists += 1
        if self.lists > LISTS:
            raise gevent.GreenletExit
        return Success(ObjectList(kind, 3, ()))

    def watch(self, kinds, after):
        return Failure(WatchExpiredError("gone"))


class PlatformTaskTest(unittest.TestCase):
    def test_backs_off_while_lists_lag_behind_the_history(self):
        settings = parse_settings(SETTINGS).unwrap()
        events, delays_s, results = [], [], []
        with (
            mock.patch.object(platform, "PlatformClient", _LaggingPlatform),
            mock.patch.object(platform.gevent, "sleep", delays_s.append),
        ):
            task = platform.PlatformTask(settings, events.append, results.append)
            task.watch(0)
            task._watch.join()
        kinds = [type(event) for event in events]
        self.assertEqual(kinds.count(ObjectsListed), LISTS)
        self.assertEqual(kinds.count(PlatformCallFailed), ROUNDS)
        self.assertEqual(len(delays_s), ROUNDS)
        self.assertGreater(min(delays_s), 0)
        self.assertEqual(results.count("ok"), LISTS)
        self.assertEqual(results.count("expired"), ROUNDS)

    def test_list_rate_of_a_large_fleet_is_bounded(self):
        settings = parse_settings(SETTINGS).unwrap()
        cases = ((9, False, 2.5), (8_000, False, 160.0), (9, True, 0.5))
        for listed, watches, min_delay_s in (*cases, (8_000, True, 160.0)):
            with self.subTest(listed=listed, watches=watches):
                delays_s = self.measure_list_delays(settings, listed, watches)
                self.assertGreaterEqual(min(delays_s), min_delay_s)
                self.assertLess(max(delays_s), 3 * min_delay_s)

    def measure_list_delays(self, settings, listed, watches):
        entry = ListedInstance("entry-2", "z", "127.0.0.1:1", "127.0.0.1:2", "live")
        lists = iter([Success(InstanceList(0, (entry,) * listed))] * ROUNDS)
        delays_s = []
        client = mock.Mock(instances=lambda: next(lists))
        with (
            mock.patch.object(platform, "PlatformClient", return_value=client),
            mock.patch.object(platform.gevent, "sleep", delays_s.append),
            self.assertRaises(StopIteration),
        ):
            task = platform.PlatformTask(settings, mock.Mock(), mock.Mock())
            task._watch = mock.Mock() if watches else None
            task.run_instance_listing()
        return delays_s


if __name__ == "__main__":
    unittest.main()

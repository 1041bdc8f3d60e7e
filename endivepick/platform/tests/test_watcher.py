import unittest

from returns.result import Failure, Success

from endivepick.errors import PlatformUnavailableError, WatchExpiredError
from endivepick.platform.answers import ObjectList
from endivepick.platform.settings import PlatformSettings
from endivepick.platform.watcher import Watcher, WatchFailed
from endivepick.records.cache import CACHED_KINDS

FAILED_WATCHES = 6


class StopWatcherError(Exception):
    pass


class LaggingPlatform:
    """Lists at a revision older than the history that watches can return."""

    def __init__(self, watch_error):
        self.watch_error = watch_error
        self.watched = []

    def list(self, kind):
        return Success(ObjectList(kind, 3, ()))

    def watch(self, kinds, after):
        self.watched.append(after)
        return Failure(self.watch_error)


class TestWatcher(unittest.TestCase):
    def run_until_failures(self, watch_error):
        platform, events, waits_s = LaggingPlatform(watch_error), [], []

        def sleep(wait_s):
            waits_s.append(wait_s)
            if len(waits_s) == FAILED_WATCHES:
                raise StopWatcherError

        settings = PlatformSettings("127.0.0.1:1")
        watcher = Watcher(settings, platform, events.append, sleep, lambda: 1.0)
        with self.assertRaises(StopWatcherError):
            watcher.run(0)
        return platform, events, waits_s

    def test_expired_watch_lists_again_with_growing_waits(self):
        _, events, waits_s = self.run_until_failures(WatchExpiredError("gone"))
        lists = [event for event in events if isinstance(event, ObjectList)]
        self.assertEqual(len(lists), FAILED_WATCHES * len(CACHED_KINDS))
        self.assertEqual(waits_s, sorted(waits_s))
        self.assertGreater(waits_s[-1], waits_s[0])

    def test_failed_watch_resumes_at_its_revision_without_a_list(self):
        error = PlatformUnavailableError("Try again later.", retry_after_s=20.0)
        platform, events, waits_s = self.run_until_failures(error)
        self.assertEqual(platform.watched, [3] * FAILED_WATCHES)
        self.assertEqual(events.count(WatchFailed(error)), FAILED_WATCHES)
        self.assertGreaterEqual(min(waits_s), 20.0)

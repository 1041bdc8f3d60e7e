from gevent import monkey

monkey.patch_all()

# ruff: noqa: E402
import random
import tempfile
import unittest
from pathlib import Path

import gevent

from endivepick.backoff import BackoffSettings
from endivepick.errors import (
    PlatformAnswerError,
    PlatformUnavailableError,
    RecordConflictError,
    WatchExpiredError,
    WriteOutcomeUnknownError,
)
from endivepick.platform.answers import ObjectList, WatchResult
from endivepick.platform.client import PlatformClient
from endivepick.platform.settings import PlatformSettings
from endivepick.platform.watcher import Watcher, WatchFailed
from endivepick.records.cache import RecordCache
from standins.platform_handle import PlatformHandle
from standins.process import ChildProcess, wait_until

RACERS = 6


class TestWithProcess(unittest.TestCase):
    """The client against a platform process with faults switched on."""

    name = "notes"

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        errors = str(Path(folder.name) / "platform.err")
        process = ChildProcess("platform", "standins.platform", [], errors)
        self.addCleanup(process.terminate, 5.0)
        process.wait_ready()
        self.platform = PlatformHandle(process)
        self.settings = PlatformSettings(
            self.platform.api,
            source_host="127.0.0.9",
            call_timeout_s=2.0,
            watch_wait_s=0.5,
            backoff=BackoffSettings(base_s=0.01, cap_s=0.05),
        )
        self.client = self.new_client()

    def new_client(self):
        client = PlatformClient(self.settings, gevent.sleep, random.Random(1).random)
        self.addCleanup(client.close)
        return client

    def control(self, **change):
        self.platform.control(**change)

    def put(self, write_id, if_version, **body):
        body = {"write_id": write_id} | body
        return self.client.put("service", self.name, body, if_version)

    def versions(self):
        watched = self.client.watch(["service"], 0, 0.0).unwrap()
        return [event for event in watched.events if event.name == self.name]

    def test_write_read_list_delete(self):
        stored = self.put("a", 0, slots=2).unwrap()
        self.assertEqual(self.client.get("service", self.name).unwrap(), stored)
        self.assertIn(stored, self.client.list("service").unwrap().objects)
        self.client.delete("service", self.name, stored.version).unwrap()
        self.assertIsNone(self.client.get("service", self.name).unwrap())
        self.assertTrue(self.versions()[-1].deleted)

    def test_lost_answer_is_found_to_have_taken_effect(self):
        version = 0
        for write_id in ("a", "b", "c"):
            self.control(lose_answers=1)
            stored = self.put(write_id, version).unwrap()
            self.assertEqual(stored.body["write_id"], write_id)
            version = stored.version
        self.assertEqual(len(self.versions()), 3)

    def test_lost_answer_with_stale_reads_is_found_out_too(self):
        base = self.put("a", 0).unwrap()
        self.control(lose_answers=1, stale_reads=1)
        self.put("b", base.version).unwrap()
        self.assertEqual(len(self.versions()), 2)

    def test_lost_answers_beyond_the_attempts_end_typed(self):
        self.control(lose_answers=1)

        def outage(wait_s):
            self.control(outage="unavailable")

        client = PlatformClient(self.settings, outage, random.random)
        self.addCleanup(client.close)
        result = client.put("service", self.name, {"write_id": "a"}, 0)
        self.assertIsInstance(result.failure(), WriteOutcomeUnknownError)

    def test_lost_answer_to_a_deletion(self):
        stored = self.put("a", 0).unwrap()
        self.control(lose_answers=1)
        self.client.delete("service", self.name, stored.version).unwrap()
        self.assertIsNone(self.client.get("service", self.name).unwrap())

    def test_racing_writers_lose_no_update(self):
        first = self.put("start", 0, count=0).unwrap()
        conflicts = []

        def add_one(number):
            client = self.new_client()
            while True:
                stored = client.get("service", self.name).unwrap()
                count = stored.body["count"] + 1
                body = {"write_id": f"{number}", "count": count}
                result = client.put(
                    "service", self.name, body, stored.version, stored.body
                )
                match result.swap().value_or(None):
                    case None:
                        return
                    case RecordConflictError() as conflict:
                        conflicts.append(conflict)

        self.control(lose_answers=3)
        gevent.joinall(
            [gevent.spawn(add_one, n) for n in range(RACERS)], raise_error=True
        )
        last = self.versions()[-1]
        self.assertEqual(last.body["count"], RACERS)
        self.assertEqual(len(self.versions()), RACERS + 1)
        self.assertGreater(last.version, first.version)
        for conflict in conflicts:
            self.assertEqual(conflict.differences[0].field, "count")

    def test_outages_are_typed_and_write_nothing(self):
        for outage in ("unavailable", "refuse", "hang"):
            self.control(outage=outage)
            error = self.client.get("service", self.name).failure()
            self.assertIsInstance(error, PlatformUnavailableError)
        self.control(outage="unavailable")
        self.assertIsInstance(self.put("a", 0).failure(), PlatformUnavailableError)
        self.control(outage=None)
        self.assertIsNone(self.client.get("service", self.name).unwrap())

    def test_unreachable_address_is_typed(self):
        self.settings = PlatformSettings("127.0.0.1:1")
        result = self.new_client().put("service", "a", {"write_id": "a"}, 0)
        self.assertIsInstance(result.failure(), PlatformUnavailableError)

    def test_call_outside_the_contract_is_typed(self):
        result = self.put("a", 0, text="x" * 1_100_000)
        self.assertIsInstance(result.failure(), PlatformAnswerError)

    def test_watch_sees_changes_and_expires(self):
        stored = self.put("a", 0).unwrap()
        watched = self.client.watch(["service"], stored.version - 1).unwrap()
        self.assertEqual(watched.events[0], stored)
        self.control(history_limit=1)
        self.put("b", stored.version).unwrap()
        self.put("c", self.client.get("service", self.name).unwrap().version).unwrap()
        expired = self.client.watch(["service"], 0).failure()
        self.assertIsInstance(expired, WatchExpiredError)

    def test_calls_come_from_the_source_address(self):
        self.client.list("service").unwrap()
        self.assertIn("127.0.0.9", self.platform.stats()["sources"])

    def watch_into(self, cache, after, events):
        def deliver(event):
            events.append(event)
            match event:
                case ObjectList(kind, revision, objects):
                    cache.offer_list(kind, revision, objects)
                case WatchResult(after, revision, changed):
                    for stored in changed:
                        cache.offer(stored)
                    cache.advance(after, revision)
            held = cache.get("service", self.name)
            self.held_versions.append(held.version if held else 0)

        self.held_versions = []
        watcher = Watcher(
            self.settings, self.new_client(), deliver, gevent.sleep, random.random
        )
        task = gevent.spawn(watcher.run, after)
        self.addCleanup(task.kill)
        return task

    def test_watcher_goes_on_after_an_outage(self):
        cache, events = RecordCache(), []
        first = self.put("a", 0).unwrap()
        self.watch_into(cache, 0, events)
        wait_until(lambda: cache.get("service", self.name), "the first version")
        self.control(outage="unavailable")
        wait_until(lambda: isinstance(events[-1], WatchFailed), "the outage")
        self.control(outage=None)
        second = self.put("b", first.version).unwrap()
        wait_until(lambda: cache.revision >= second.version, "the second version")
        self.client.delete("service", self.name, second.version).unwrap()
        wait_until(lambda: cache.get("service", self.name).deleted, "the deletion")

    def test_stale_lists_move_no_cache_back(self):
        cache, events = RecordCache(), []
        first = self.put("a", 0).unwrap()
        second = self.put("b", first.version).unwrap()
        cache.offer(second)
        third = self.put("c", second.version).unwrap()
        self.control(stale_reads=2)
        self.watch_into(cache, 0, events)
        wait_until(lambda: cache.get("service", self.name) == third, "the third")
        self.assertEqual(events[0].revision, first.version)
        for version in self.held_versions:
            self.assertGreaterEqual(version, second.version)

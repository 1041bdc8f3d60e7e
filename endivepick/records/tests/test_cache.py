import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from endivepick.records._digest import hash_to_bucket
from endivepick.records.cache import CACHED_KINDS, RecordCache
from endivepick.records.objects import ObjectKey, StoredObject

NAMES = ("a", "b", "c")


def put(name, version, kind="service"):
    return StoredObject(kind, name, version, {"version": version})


def deletion(name, version, kind="service"):
    return StoredObject(kind, name, version, None)


class History:
    """History of a store, with one put or deletion per revision."""

    def __init__(self, steps):
        self.events = []
        for revision, (kind, name, deleted) in enumerate(steps, start=1):
            make = deletion if deleted else put
            self.events.append(make(name, revision, kind))

    def expected_objects(self, revision):
        newest = {event.key: event for event in self.events[:revision]}
        return {key: event for key, event in newest.items() if not event.deleted}

    def full_cache(self, revision):
        cache = RecordCache()
        for event in self.events[:revision]:
            cache.offer(event)
        cache.advance(0, revision)
        return cache


def apply_step(cache, history, step):
    what, first, second = step
    first, second = first % (len(history.events) + 1), second % len(history.events)
    match what:
        case "event":
            cache.offer(history.events[second])
        case "list":
            for kind in CACHED_KINDS:
                cache.offer_list(kind, first, history.expected_objects(first).values())
        case "watch":
            for event in history.events[first : second + 1]:
                cache.offer(event)
            cache.advance(first, max(first, second + 1))
        case "agree":
            cache.advance_if_equal(history.full_cache(first).digest)
        case "inventory":
            buckets = {hash_to_bucket(ObjectKey("service", NAMES[second % 3]))}
            keys = history.expected_objects(first).keys()
            kept = [key for key in keys if hash_to_bucket(key) in buckets]
            cache.offer_inventory(first, buckets, kept)


steps = st.tuples(st.sampled_from(CACHED_KINDS), st.sampled_from(NAMES), st.booleans())
cache_steps = st.tuples(
    st.sampled_from(["event", "list", "watch", "agree", "inventory"]),
    st.integers(0, 40),
    st.integers(0, 40),
)


class TestMonotonicity(unittest.TestCase):
    @settings(derandomize=True, max_examples=400, deadline=None)
    @given(st.lists(steps, min_size=1, max_size=25), st.lists(cache_steps, max_size=25))
    def test_versions_never_decrease_in_any_order_of_offers(self, store_steps, offers):
        history = History(store_steps)
        cache = RecordCache(max_tombstones=1)
        seen = {}
        for step in offers:
            revision = cache.revision
            apply_step(cache, history, step)
            self.assertGreaterEqual(cache.revision, revision)
            for stored in cache.iter_newer_than(0):
                self.assertGreaterEqual(stored.version, seen.get(stored.key, 0))
                seen[stored.key] = stored.version
            expected_objects = history.expected_objects(cache.revision)
            live = {stored.key: stored.version for stored in cache.live()}
            for key, stored in expected_objects.items():
                held = cache.get(key.kind, key.name)
                self.assertGreaterEqual(held.version, stored.version)
            for key, version in live.items():
                if version <= cache.revision:
                    self.assertEqual(version, expected_objects[key].version)

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(st.lists(steps, min_size=1, max_size=25), st.lists(cache_steps, max_size=10))
    def test_digest_follows_the_live_objects_only(self, store_steps, offers):
        history = History(store_steps)
        cache = RecordCache()
        for step in offers:
            apply_step(cache, history, step)
        fresh = RecordCache()
        for stored in cache.live():
            fresh.offer(stored)
        self.assertEqual(fresh.digest.root, cache.digest.root)


class TestCache(unittest.TestCase):
    def test_stale_listing_is_ignored(self):
        cache = RecordCache()
        cache.offer(put("a", 7))
        self.assertIsNone(cache.offer(put("a", 7)))
        self.assertEqual(cache.offer_list("service", 5, []), [])
        self.assertFalse(cache.get("service", "a").deleted)

    def test_object_missing_from_a_listing_is_deleted(self):
        cache = RecordCache()
        cache.offer(put("a", 7))
        self.assertTrue(cache.offer_list("service", 9, [])[0].after.deleted)
        self.assertIsNone(cache.offer(put("a", 7)))

    def test_object_can_be_created_again_after_its_deletion(self):
        cache = RecordCache()
        for offered in (put("a", 3), deletion("a", 4), put("a", 6)):
            self.assertIsNotNone(cache.offer(offered))
        self.assertIsNone(cache.offer(deletion("a", 4)))
        self.assertEqual(cache.get("service", "a").version, 6)

    def test_object_older_than_a_listing_stays_deleted(self):
        cache = RecordCache()
        cache.offer_list("service", 12, [])
        cache.offer_list("keyring", 12, [])
        self.assertIsNone(cache.offer(put("a", 5)))

    def test_tombstone_above_the_revision_is_not_pruned(self):
        cache = RecordCache(max_tombstones=1)
        cache.offer(deletion("a", 4))
        cache.offer(deletion("b", 6))
        self.assertIsNone(cache.offer(put("a", 3)))

    def test_inventory_affects_only_its_buckets(self):
        cache = RecordCache()
        cache.offer(put("a", 1))
        cache.offer(put("b", 2))
        self.assertNotEqual(*(hash_to_bucket(stored.key) for stored in cache.live()))
        deleted = cache.offer_inventory(
            9, [hash_to_bucket(ObjectKey("service", "a"))], []
        )
        self.assertEqual([change.after.name for change in deleted], ["a"])

    def test_partial_caches_merge_to_the_newest_versions(self):
        left, right = RecordCache(), RecordCache()
        left.offer(put("a", 5))
        left.offer(put("b", 2))
        right.offer(put("a", 3))
        right.offer(put("b", 6))
        for receiver, sender in ((left, right), (right, left)):
            for stored in list(sender.iter_newer_than(0)):
                receiver.offer(stored)
        self.assertEqual(left.digest, right.digest)
        self.assertEqual([s.version for s in left.iter_newer_than(0)], [5, 6])

    def test_revision_does_not_advance_over_a_gap(self):
        cache = RecordCache()
        self.assertFalse(cache.advance(4, 9))
        self.assertEqual(cache.revision, 0)

    def test_other_kinds_are_ignored(self):
        self.assertIsNone(RecordCache().offer(put("fukuoka", 3, "status")))

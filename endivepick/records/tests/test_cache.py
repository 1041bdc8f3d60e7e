import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from endivepick.records._digest import bucket_of
from endivepick.records.cache import CACHED_KINDS, RecordCache
from endivepick.records.objects import ObjectKey, StoredObject

NAMES = ("a", "b", "c")


def put(name, version, kind="service"):
    return StoredObject(kind, name, version, {"version": version})


def deletion(name, version, kind="service"):
    return StoredObject(kind, name, version, None)


class History:
    """What a store went through: each revision one put or deletion."""

    def __init__(self, steps):
        self.events = []
        for revision, (kind, name, deleted) in enumerate(steps, start=1):
            make = deletion if deleted else put
            self.events.append(make(name, revision, kind))

    def truth(self, revision):
        newest = {event.key: event for event in self.events[:revision]}
        return {key: event for key, event in newest.items() if not event.deleted}

    def full_cache(self, revision):
        cache = RecordCache()
        for event in self.events[:revision]:
            cache.offer(event)
        cache.advance(0, revision)
        return cache


def feed(cache, history, step):
    what, first, second = step
    first, second = first % (len(history.events) + 1), second % len(history.events)
    match what:
        case "event":
            cache.offer(history.events[second])
        case "list":
            for kind in CACHED_KINDS:
                cache.offer_list(kind, first, history.truth(first).values())
        case "watch":
            for event in history.events[first : second + 1]:
                cache.offer(event)
            cache.advance(first, max(first, second + 1))
        case "agree":
            cache.agree(history.full_cache(first).digest)
        case "inventory":
            buckets = {bucket_of(ObjectKey("service", NAMES[second % 3]))}
            keys = history.truth(first).keys()
            kept = [key for key in keys if bucket_of(key) in buckets]
            cache.offer_inventory(first, buckets, kept)


steps = st.tuples(st.sampled_from(CACHED_KINDS), st.sampled_from(NAMES), st.booleans())
feeds = st.tuples(
    st.sampled_from(["event", "list", "watch", "agree", "inventory"]),
    st.integers(0, 40),
    st.integers(0, 40),
)


class TestNeverBack(unittest.TestCase):
    @settings(derandomize=True, max_examples=400, deadline=None)
    @given(st.lists(steps, min_size=1, max_size=25), st.lists(feeds, max_size=25))
    def test_no_order_of_offers_moves_it_back(self, store_steps, feed_steps):
        history = History(store_steps)
        cache = RecordCache(max_tombstones=1)
        seen = {}
        for step in feed_steps:
            revision = cache.revision
            feed(cache, history, step)
            self.assertGreaterEqual(cache.revision, revision)
            for stored in cache.newer_than(0):
                self.assertGreaterEqual(stored.version, seen.get(stored.key, 0))
                seen[stored.key] = stored.version
            truth = history.truth(cache.revision)
            live = {stored.key: stored.version for stored in cache.live()}
            for key, stored in truth.items():
                held = cache.get(key.kind, key.name)
                self.assertGreaterEqual(held.version, stored.version)
            for key, version in live.items():
                if version <= cache.revision:
                    self.assertEqual(version, truth[key].version)

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(st.lists(steps, min_size=1, max_size=25), st.lists(feeds, max_size=10))
    def test_digest_follows_the_live_objects_only(self, store_steps, feed_steps):
        history = History(store_steps)
        cache = RecordCache()
        for step in feed_steps:
            feed(cache, history, step)
        fresh = RecordCache()
        for stored in cache.live():
            fresh.offer(stored)
        self.assertEqual(fresh.digest.root, cache.digest.root)


class TestCache(unittest.TestCase):
    def test_stale_list_means_nothing(self):
        cache = RecordCache()
        cache.offer(put("a", 7))
        self.assertIsNone(cache.offer(put("a", 7)))
        self.assertEqual(cache.offer_list("service", 5, []), [])
        self.assertFalse(cache.get("service", "a").deleted)

    def test_list_without_a_known_object_deletes_it(self):
        cache = RecordCache()
        cache.offer(put("a", 7))
        self.assertTrue(cache.offer_list("service", 9, [])[0].after.deleted)
        self.assertIsNone(cache.offer(put("a", 7)))

    def test_created_again_after_a_deletion(self):
        cache = RecordCache()
        for offered in (put("a", 3), deletion("a", 4), put("a", 6)):
            self.assertIsNotNone(cache.offer(offered))
        self.assertIsNone(cache.offer(deletion("a", 4)))
        self.assertEqual(cache.get("service", "a").version, 6)

    def test_forgotten_deletion_does_not_come_back(self):
        cache = RecordCache()
        cache.offer_list("service", 12, [])
        cache.offer_list("keyring", 12, [])
        self.assertIsNone(cache.offer(put("a", 5)))

    def test_deletion_above_the_revision_is_not_forgotten(self):
        cache = RecordCache(max_tombstones=1)
        cache.offer(deletion("a", 4))
        cache.offer(deletion("b", 6))
        self.assertIsNone(cache.offer(put("a", 3)))

    def test_inventory_speaks_for_its_buckets_only(self):
        cache = RecordCache()
        cache.offer(put("a", 1))
        cache.offer(put("b", 2))
        self.assertNotEqual(*(bucket_of(stored.key) for stored in cache.live()))
        deleted = cache.offer_inventory(9, [bucket_of(ObjectKey("service", "a"))], [])
        self.assertEqual([change.after.name for change in deleted], ["a"])

    def test_half_views_merge_to_the_newest_of_each(self):
        left, right = RecordCache(), RecordCache()
        left.offer(put("a", 5))
        left.offer(put("b", 2))
        right.offer(put("a", 3))
        right.offer(put("b", 6))
        for mine, theirs in ((left, right), (right, left)):
            for stored in list(theirs.newer_than(0)):
                mine.offer(stored)
        self.assertEqual(left.digest, right.digest)
        self.assertEqual([s.version for s in left.newer_than(0)], [5, 6])

    def test_gap_stops_the_revision(self):
        cache = RecordCache()
        self.assertFalse(cache.advance(4, 9))
        self.assertEqual(cache.revision, 0)

    def test_other_kinds_are_ignored(self):
        self.assertIsNone(RecordCache().offer(put("fukuoka", 3, "status")))

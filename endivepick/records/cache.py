"""Cache of stored objects with monotonic versions."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from endivepick.records._digest import BucketDigest, hash_to_bucket
from endivepick.records._version_index import VersionIndex
from endivepick.records.objects import (
    INSTANCE_KIND,
    KEYRING_KIND,
    SERVICE_KIND,
    ObjectKey,
    StoredObject,
)

__all__ = ["CACHED_KINDS", "CacheDigest", "Change", "RecordCache"]

CACHED_KINDS = (SERVICE_KIND, KEYRING_KIND, INSTANCE_KIND)
"""Kinds that every instance caches."""
MAX_TOMBSTONES = 10_000
"""Maximum number of tombstones; ``history_floor`` covers older deletions."""


@dataclass(frozen=True)
class Change:
    """An accepted change of an object.

    Attributes
    ----------
    before : StoredObject or None
        Previous entry of the cache; None if the object was unknown.
    after : StoredObject
        Current entry; a tombstone if the object was deleted.
    """

    before: StoredObject | None
    after: StoredObject


@dataclass(frozen=True)
class CacheDigest:
    """Digest of a cache, of constant size.

    Attributes
    ----------
    root : int
        Hash over the keys and versions of all live objects (64 bits).
    revision : int
        Revision of the store up to which the cache has all changes.
    """

    root: int
    revision: int


class RecordCache:
    """Cache of the highest known version of each object.

    Two rules keep versions from going back.  A version, or a deletion, is accepted
    only if it is higher than the cached one.  The cache has all changes up to
    ``revision`` of the store, so an object that is not cached and is offered with a
    version up to ``revision`` has been deleted since.

    Parameters
    ----------
    kinds : iterable of str, default=CACHED_KINDS
        Kinds of objects to cache; others are ignored.
    max_tombstones : int, default=MAX_TOMBSTONES
        Maximum number of tombstones to keep.

    Examples
    --------
    >>> cache = RecordCache()
    >>> cache.offer(StoredObject("service", "notes", 7, {"slots": 2})) is None
    False
    >>> cache.offer(StoredObject("service", "notes", 5, {"slots": 1})) is None
    True
    >>> [change.after.deleted for change in cache.offer_list("service", 9, [])]
    [True]
    """

    def __init__(
        self,
        kinds: Iterable[str] = CACHED_KINDS,
        max_tombstones: int = MAX_TOMBSTONES,
    ) -> None:
        self._revisions = dict.fromkeys(kinds, 0)
        self._max_tombstones = max_tombstones
        self._objects: dict[ObjectKey, StoredObject] = {}
        self._index = VersionIndex()
        self._digest = BucketDigest()
        self._history_floor = 0

    def __len__(self) -> int:
        """Return the number of live objects."""
        return len(self._objects) - self._index.tombstone_count

    @property
    def kinds(self) -> tuple[str, ...]:
        """Kinds of objects that are cached."""
        return tuple(self._revisions)

    @property
    def revision(self) -> int:
        """Revision of the store up to which the cache has all changes."""
        return min(self._revisions.values())

    @property
    def history_floor(self) -> int:
        """Revision above which every deletion is kept as a tombstone."""
        return self._history_floor

    @property
    def digest(self) -> CacheDigest:
        """Digest to compare with that of a peer."""
        return CacheDigest(self._digest.root, self.revision)

    @property
    def buckets(self) -> bytes:
        """Hashes of the digest's buckets."""
        return self._digest.buckets

    def get(self, kind: str, name: str) -> StoredObject | None:
        """Return the cached version or tombstone of an object, or None."""
        return self._objects.get(ObjectKey(kind, name))

    def live(self, kind: str | None = None) -> Iterator[StoredObject]:
        """Iterate over the live objects of one kind or of all kinds."""
        for cached in self._objects.values():
            if not cached.deleted and kind in (None, cached.kind):
                yield cached

    def offer(self, offered: StoredObject) -> Change | None:
        """Accept a version if it is newer than the cached one.

        Parameters
        ----------
        offered : StoredObject
            Version or deletion from the platform or a peer, of any age.

        Returns
        -------
        Change or None
            None if the version is not newer.
        """
        if offered.kind not in self._revisions:
            return None
        cached = self._objects.get(offered.key)
        newest_known = cached.version if cached else self._revisions[offered.kind]
        if offered.version <= newest_known:
            return None
        return self._accept(cached, offered)

    def offer_list(
        self, kind: str, revision: int, objects: Iterable[StoredObject]
    ) -> list[Change]:
        """Apply a listing of all objects of a kind at a revision of the store.

        A cached object with a version up to ``revision`` that is not listed was
        deleted.  A listing older than the known revision is ignored.

        Parameters
        ----------
        kind : str
            Kind that was listed.
        revision : int
            Revision of the store at which the listing was taken.
        objects : iterable of StoredObject
            All objects of the kind.

        Returns
        -------
        list of Change
            Accepted changes.
        """
        if kind not in self._revisions or revision < self._revisions[kind]:
            return []
        listed = {stored.key: stored for stored in objects if stored.kind == kind}
        changes = [self._offer_listed(stored) for stored in listed.values()]
        cached_keys = [stored.key for stored in self.live(kind)]
        missing = [key for key in cached_keys if key not in listed]
        changes += [self._delete_missing(key, revision) for key in missing]
        self._revisions[kind] = revision
        self._history_floor = max(self._history_floor, revision)
        return [change for change in changes if change is not None]

    def offer_inventory(
        self, revision: int, buckets: Iterable[int], keys: Iterable[ObjectKey]
    ) -> list[Change]:
        """Apply a peer's inventory of the objects in some buckets.

        Parameters
        ----------
        revision : int
            Revision up to which the peer has all changes.
        buckets : iterable of int
            Buckets that the inventory covers.
        keys : iterable of ObjectKey
            All live objects of the peer in these buckets.

        Returns
        -------
        list of Change
            Deletions of objects that the peer lacks although its revision covers
            their versions.
        """
        covered = set(buckets)
        existing = set(keys)
        missing = [
            stored.key
            for stored in self.live()
            if stored.key not in existing and hash_to_bucket(stored.key) in covered
        ]
        changes = [self._delete_missing(key, revision) for key in missing]
        return [change for change in changes if change is not None]

    def advance(self, after: int, revision: int) -> bool:
        """Advance the revision after all changes of a range were offered.

        Parameters
        ----------
        after, revision : int
            All changes with ``after < version <= revision``, including deletions,
            were offered.

        Returns
        -------
        bool
            False if the cache lacks changes up to ``after`` and did not advance.
        """
        if after > self.revision:
            return False
        for kind, known in self._revisions.items():
            self._revisions[kind] = max(known, revision)
        return True

    def advance_if_equal(self, digest: CacheDigest) -> bool:
        """Advance to the revision of a peer whose live objects are equal.

        Returns
        -------
        bool
            False if the live objects of the peer differ.
        """
        if digest.root != self._digest.root:
            return False
        if digest.revision > self.revision:
            self.advance(self.revision, digest.revision)
            self._history_floor = digest.revision
        return True

    def iter_newer_than(self, version: int) -> Iterator[StoredObject]:
        """Iterate over objects and tombstones above ``version``, lowest first."""
        for key in self._index.keys_after(version):
            yield self._objects[key]

    def iter_bucket_keys(self, buckets: Iterable[int]) -> Iterator[ObjectKey]:
        """Iterate over the keys of the live objects in some buckets."""
        wanted = set(buckets)
        for stored in self.live():
            if hash_to_bucket(stored.key) in wanted:
                yield stored.key

    def differing_buckets(self, buckets: bytes) -> list[int]:
        """Return the buckets whose hashes differ from those of a peer."""
        return self._digest.differing_buckets(buckets)

    def _offer_listed(self, listed: StoredObject) -> Change | None:
        cached = self._objects.get(listed.key)
        if cached is not None and listed.version <= cached.version:
            return None
        return self._accept(cached, listed)

    def _delete_missing(self, key: ObjectKey, revision: int) -> Change | None:
        return self.offer(StoredObject(key.kind, key.name, revision, None))

    def _accept(self, cached: StoredObject | None, offered: StoredObject) -> Change:
        if cached is not None:
            self._remove_cached(cached)
        self._objects[offered.key] = offered
        self._index.add(offered)
        if offered.deleted:
            self._prune_tombstones()
        else:
            self._digest.toggle(offered.key, offered.version)
        return Change(cached, offered)

    def _remove_cached(self, cached: StoredObject) -> None:
        self._index.remove(cached)
        if not cached.deleted:
            self._digest.toggle(cached.key, cached.version)

    def _prune_tombstones(self) -> None:
        # Keep tombstones above the revision: without one, `offer` would accept an
        # older version of the deleted object.
        while self._index.tombstone_count > self._max_tombstones:
            oldest = self._objects[self._index.oldest_tombstone()]
            if oldest.version > self._revisions[oldest.kind]:
                return
            self._remove_cached(self._objects.pop(oldest.key))
            self._history_floor = max(self._history_floor, oldest.version)

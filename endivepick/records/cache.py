"""Cache of stored objects that never moves back."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from endivepick.records._digest import BucketDigest, bucket_of
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
"""Kinds that every instance holds."""
MAX_TOMBSTONES = 10_000
"""Deletions remembered one by one; older ones are known by ``history_floor``."""


@dataclass(frozen=True)
class Change:
    """An accepted change of one object.

    Attributes
    ----------
    before : StoredObject or None
        What the cache held; None if it knew nothing of the object.
    after : StoredObject
        What it holds now; a tombstone if the object was deleted.
    """

    before: StoredObject | None
    after: StoredObject


@dataclass(frozen=True)
class CacheDigest:
    """Short description of a cache, of constant size.

    Attributes
    ----------
    root : int
        Hash over the keys and versions of all live objects, 64 bits.
    revision : int
        The cache lacks no change up to this revision of the store.
    """

    root: int
    revision: int


class RecordCache:
    """Objects with the highest version seen of each.

    Two facts keep it from going back.  A version is accepted only above the one
    held, deletions included.  And ``revision`` says up to which revision of the
    store the cache lacks no change: an object that the cache does not hold and
    that is offered with a version up to ``revision`` was deleted since.

    Parameters
    ----------
    kinds : iterable of str, default=CACHED_KINDS
        Kinds that the cache holds; others are ignored.
    max_tombstones : int, default=MAX_TOMBSTONES
        Number of deletions that are remembered one by one.

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
        return len(self._objects) - self._index.tombstones

    @property
    def kinds(self) -> tuple[str, ...]:
        """Kinds that the cache holds."""
        return tuple(self._revisions)

    @property
    def revision(self) -> int:
        """Revision of the store up to which the cache lacks no change."""
        return min(self._revisions.values())

    @property
    def history_floor(self) -> int:
        """Revision from which on every deletion is held as a tombstone."""
        return self._history_floor

    @property
    def digest(self) -> CacheDigest:
        """Digest to compare with a peer's."""
        return CacheDigest(self._digest.root, self.revision)

    @property
    def buckets(self) -> bytes:
        """Hashes of the digest's buckets."""
        return self._digest.buckets

    def get(self, kind: str, name: str) -> StoredObject | None:
        """Return what is held of an object: a version, a tombstone or None."""
        return self._objects.get(ObjectKey(kind, name))

    def live(self, kind: str | None = None) -> Iterator[StoredObject]:
        """Iterate over the live objects, of one kind or of all."""
        for held in self._objects.values():
            if not held.deleted and kind in (None, held.kind):
                yield held

    def offer(self, offered: StoredObject) -> Change | None:
        """Take a version if it is newer than the one held.

        Parameters
        ----------
        offered : StoredObject
            A version or a deletion, from the platform or a peer, however old.

        Returns
        -------
        Change or None
            None if the cache already knew as much.
        """
        if offered.kind not in self._revisions:
            return None
        held = self._objects.get(offered.key)
        newest_known = held.version if held else self._revisions[offered.kind]
        if offered.version <= newest_known:
            return None
        return self._accept(held, offered)

    def offer_list(
        self, kind: str, revision: int, objects: Iterable[StoredObject]
    ) -> list[Change]:
        """Take the list of all objects of a kind at a revision of the store.

        An object that is held with a version up to ``revision`` and is not listed
        was deleted.  A list older than what the cache knows changes nothing.

        Parameters
        ----------
        kind : str
            Kind that was listed.
        revision : int
            Revision of the store that the list shows.
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
        held_keys = [stored.key for stored in self.live(kind)]
        missing = [key for key in held_keys if key not in listed]
        changes += [self._delete_missing(key, revision) for key in missing]
        self._revisions[kind] = revision
        self._history_floor = max(self._history_floor, revision)
        return [change for change in changes if change is not None]

    def offer_inventory(
        self, revision: int, buckets: Iterable[int], keys: Iterable[ObjectKey]
    ) -> list[Change]:
        """Take a peer's word on which objects exist in some buckets.

        Parameters
        ----------
        revision : int
            The peer lacks no change up to this revision.
        buckets : iterable of int
            Buckets that the peer looked through.
        keys : iterable of ObjectKey
            All live objects of the peer in these buckets.

        Returns
        -------
        list of Change
            Deletions of objects that the peer lacks although it would know them.
        """
        covered = set(buckets)
        existing = set(keys)
        missing = [
            stored.key
            for stored in self.live()
            if stored.key not in existing and bucket_of(stored.key) in covered
        ]
        changes = [self._delete_missing(key, revision) for key in missing]
        return [change for change in changes if change is not None]

    def advance(self, after: int, revision: int) -> bool:
        """Note that all changes after one revision up to another were offered.

        Parameters
        ----------
        after, revision : int
            The changes with ``after < version <= revision`` were offered, deletions
            included.

        Returns
        -------
        bool
            False if the cache lacks changes before ``after``: it did not advance.
        """
        if after > self.revision:
            return False
        for kind, known in self._revisions.items():
            self._revisions[kind] = max(known, revision)
        return True

    def agree(self, digest: CacheDigest) -> bool:
        """Advance to the revision of a peer that holds the same live objects.

        Returns
        -------
        bool
            False if the peer's live objects differ.
        """
        if digest.root != self._digest.root:
            return False
        if digest.revision > self.revision:
            self.advance(self.revision, digest.revision)
            self._history_floor = digest.revision
        return True

    def newer_than(self, version: int) -> Iterator[StoredObject]:
        """Iterate over versions and tombstones above ``version``, oldest first."""
        for key in self._index.keys_after(version):
            yield self._objects[key]

    def keys_in(self, buckets: Iterable[int]) -> Iterator[ObjectKey]:
        """Iterate over the live objects that fall into some buckets."""
        wanted = set(buckets)
        for stored in self.live():
            if bucket_of(stored.key) in wanted:
                yield stored.key

    def differing_buckets(self, buckets: bytes) -> list[int]:
        """Return the buckets whose hashes differ from a peer's ``buckets``."""
        return self._digest.differing_buckets(buckets)

    def _offer_listed(self, listed: StoredObject) -> Change | None:
        held = self._objects.get(listed.key)
        if held is not None and listed.version <= held.version:
            return None
        return self._accept(held, listed)

    def _delete_missing(self, key: ObjectKey, revision: int) -> Change | None:
        return self.offer(StoredObject(key.kind, key.name, revision, None))

    def _accept(self, held: StoredObject | None, offered: StoredObject) -> Change:
        if held is not None:
            self._forget(held)
        self._objects[offered.key] = offered
        self._index.add(offered)
        if offered.deleted:
            self._prune_tombstones()
        else:
            self._digest.toggle(offered.key, offered.version)
        return Change(held, offered)

    def _forget(self, held: StoredObject) -> None:
        self._index.remove(held)
        if not held.deleted:
            self._digest.toggle(held.key, held.version)

    def _prune_tombstones(self) -> None:
        # A tombstone above the revision is all that keeps its object deleted.
        while self._index.tombstones > self._max_tombstones:
            oldest = self._objects[self._index.oldest_tombstone()]
            if oldest.version > self._revisions[oldest.kind]:
                return
            self._forget(self._objects.pop(oldest.key))
            self._history_floor = max(self._history_floor, oldest.version)

"""Index of cached objects by version."""

from bisect import bisect_left, bisect_right, insort
from collections.abc import Iterator

from endivepick.records.objects import ObjectKey, StoredObject

_Entry = tuple[int, ObjectKey]


class VersionIndex:
    """Keys ordered by version, with a second index of tombstones."""

    def __init__(self) -> None:
        self._all: list[_Entry] = []
        self._tombstones: list[_Entry] = []

    def add(self, stored: StoredObject) -> None:
        """Add a version or a tombstone."""
        entry = (stored.version, stored.key)
        insort(self._all, entry)
        if stored.deleted:
            insort(self._tombstones, entry)

    def remove(self, stored: StoredObject) -> None:
        """Remove a version or a tombstone that was added."""
        entry = (stored.version, stored.key)
        del self._all[bisect_left(self._all, entry)]
        if stored.deleted:
            del self._tombstones[bisect_left(self._tombstones, entry)]

    def keys_after(self, version: int) -> Iterator[ObjectKey]:
        """Iterate over the keys with a higher version, lowest first."""
        start = bisect_right(self._all, version, key=lambda entry: entry[0])
        for _, key in self._all[start:]:
            yield key

    @property
    def tombstone_count(self) -> int:
        """Number of tombstones."""
        return len(self._tombstones)

    def oldest_tombstone(self) -> ObjectKey:
        """Return the key of the oldest tombstone; at least one must exist."""
        return self._tombstones[0][1]

"""Object store with store-wide revisions and a bounded change history."""

import collections
from dataclasses import dataclass
from typing import Any, Literal

from gevent.event import Event

__all__ = ["Key", "ObjectStore", "StoreEvent", "StoredObject", "VersionConflictError"]


@dataclass(frozen=True)
class StoredObject:
    """One version of an object."""

    kind: str
    name: str
    version: int
    body: Any

    def to_json(self) -> dict[str, Any]:
        """Return the object in the format of the API."""
        return dict(self.__dict__)


@dataclass(frozen=True)
class StoreEvent:
    """Change of the store, with the object that it replaced."""

    type: Literal["put", "delete"]
    object: StoredObject
    previous: StoredObject | None


class VersionConflictError(Exception):
    """Condition of a write does not hold; `current` is the stored object."""

    def __init__(self, current: StoredObject | None) -> None:
        super().__init__("The object has another version; read it again.")
        self.current = current


Key = tuple[str, str]
"""Kind and name of an object."""


class ObjectStore:
    """Stores objects with store-wide revisions and a history of changes."""

    def __init__(self) -> None:
        self.revision = 0
        self.changed = Event()
        self._objects: dict[Key, StoredObject] = {}
        self._history: collections.deque[StoreEvent] = collections.deque()

    def put(self, key: Key, body: Any, if_version: int | None) -> StoredObject:
        """Write an object; raises VersionConflictError if `if_version` differs."""
        previous = self._check_version(key, if_version)
        self.revision += 1
        stored = StoredObject(*key, self.revision, body)
        self._objects[key] = stored
        self._record(StoreEvent("put", stored, previous))
        return stored

    def delete(self, key: Key, if_version: int | None) -> StoredObject | None:
        """Delete an object; returns its tombstone, or None if it does not exist."""
        previous = self._check_version(key, if_version)
        if previous is None:
            return None
        self.revision += 1
        tombstone = StoredObject(*key, self.revision, previous.body)
        del self._objects[key]
        self._record(StoreEvent("delete", tombstone, previous))
        return tombstone

    def snapshot(self, revisions_ago: int) -> tuple[int, dict[Key, StoredObject]]:
        """Return the revision and the objects of an earlier revision."""
        if revisions_ago <= 0:
            return self.revision, self._objects
        objects = dict(self._objects)
        revision = self.revision
        for event in list(self._history)[: -revisions_ago - 1 : -1]:
            key = (event.object.kind, event.object.name)
            if event.previous is None:
                objects.pop(key, None)
            else:
                objects[key] = event.previous
            revision = event.object.version - 1
        return revision, objects

    def events_after(self, revision: int, kinds: set[str]) -> list[StoreEvent] | None:
        """Return later events of `kinds`, or None if the history is too short."""
        if revision < self.revision - len(self._history):
            return None
        count = max(0, self.revision - revision)
        recent = list(self._history)[len(self._history) - count :]
        return [event for event in recent if event.object.kind in kinds]

    def trim_history(self, limit: int) -> None:
        """Discard all but the last `limit` events."""
        while len(self._history) > limit:
            self._history.popleft()

    def wake_watches(self) -> None:
        """Wake all waiting watches so that they check for events."""
        waiting, self.changed = self.changed, Event()
        waiting.set()

    def _check_version(self, key: Key, if_version: int | None) -> StoredObject | None:
        current = self._objects.get(key)
        version = current.version if current else 0
        if if_version is not None and if_version != version:
            raise VersionConflictError(current)
        return current

    def _record(self, event: StoreEvent) -> None:
        self._history.append(event)
        self.wake_watches()

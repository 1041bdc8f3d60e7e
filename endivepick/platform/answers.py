"""Answers of the object API: checked at the border, data classes inside."""

from dataclasses import dataclass
from typing import Any, Literal, TypeVar

import msgspec

from endivepick.errors import PlatformAnswerError
from endivepick.records.objects import StoredObject

__all__ = [
    "InstanceList",
    "ListedInstance",
    "ObjectList",
    "WatchResult",
    "read_conflict",
    "decode_instances",
    "read_list",
    "read_object",
    "read_watch",
]


@dataclass(frozen=True)
class ObjectList:
    """All objects of a kind.

    Attributes
    ----------
    kind : str
        Kind that was listed.
    revision : int
        Revision of the store that the list shows.
    objects : tuple of StoredObject
        Objects, none of them deleted.
    """

    kind: str
    revision: int
    objects: tuple[StoredObject, ...]


@dataclass(frozen=True)
class WatchResult:
    """Changes after a revision.

    Attributes
    ----------
    after, revision : int
        The changes with ``after < version <= revision``.
    events : tuple of StoredObject
        Versions and tombstones, oldest first.
    """

    after: int
    revision: int
    events: tuple[StoredObject, ...]


class ListedInstance(msgspec.Struct, frozen=True):
    """One entry of the platform's instance list."""

    name: str
    zone: str
    peer_address: str
    data_address: str
    state: Literal["live", "leaving"]


class InstanceList(msgspec.Struct, frozen=True):
    """The platform's lagging list of instances.

    Attributes
    ----------
    age_ms : int
        Age that the platform gives its list, in milliseconds.
    instances : tuple of ListedInstance
        Live and leaving instances.
    """

    age_ms: float
    instances: tuple[ListedInstance, ...]


class _Object(msgspec.Struct):
    kind: str
    name: str
    version: int
    body: Any = None


class _List(msgspec.Struct):
    revision: int
    objects: list[_Object]


class _Event(msgspec.Struct):
    type: Literal["put", "delete"]
    object: _Object


class _Watch(msgspec.Struct):
    revision: int
    events: list[_Event]


class _Conflict(msgspec.Struct):
    current: _Object | None


T = TypeVar("T")


def read_object(data: bytes) -> StoredObject:
    """Read one object; PlatformAnswerError if it is malformed."""
    return _stored(_decode(data, _Object))


def read_list(kind: str, data: bytes) -> ObjectList:
    """Read the list of a kind; PlatformAnswerError if it is malformed."""
    answer = _decode(data, _List)
    return ObjectList(kind, answer.revision, tuple(map(_stored, answer.objects)))


def read_watch(after: int, data: bytes) -> WatchResult:
    """Read the answer to a watch; PlatformAnswerError if it is malformed."""
    answer = _decode(data, _Watch)
    events = tuple(_changed(event) for event in answer.events)
    return WatchResult(after, answer.revision, events)


def decode_instances(data: bytes) -> InstanceList:
    """Read the instance list; PlatformAnswerError if it is malformed."""
    return _decode(data, InstanceList)


def read_conflict(data: bytes) -> StoredObject | None:
    """Read what stands after a conflict; PlatformAnswerError if malformed."""
    current = _decode(data, _Conflict).current
    return None if current is None else _stored(current)


def _decode(data: bytes, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.DecodeError, RecursionError) as error:
        raise PlatformAnswerError(
            f"The platform's answer is outside its contract: {error}. "
            "Check that platform.address names the object API."
        ) from error


def _stored(answer: _Object) -> StoredObject:
    # A body that is no JSON object is kept as an empty one and refused later.
    body = answer.body if isinstance(answer.body, dict) else {}
    return StoredObject(answer.kind, answer.name, answer.version, body)


def _changed(event: _Event) -> StoredObject:
    stored = _stored(event.object)
    if event.type == "put":
        return stored
    return StoredObject(stored.kind, stored.name, stored.version, None)

"""Data classes of the object API's answers, and their validated decoding."""

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
    "decode_conflict",
    "decode_instances",
    "decode_list",
    "decode_object",
    "decode_watch",
]


@dataclass(frozen=True)
class ObjectList:
    """List of all objects of a kind.

    Attributes
    ----------
    kind : str
        Kind of the listed objects.
    revision : int
        Store revision that the list reflects.
    objects : tuple of StoredObject
        Objects without tombstones.
    """

    kind: str
    revision: int
    objects: tuple[StoredObject, ...]


@dataclass(frozen=True)
class WatchResult:
    """Changes after a store revision.

    Attributes
    ----------
    after, revision : int
        The events cover all changes with ``after < version <= revision``.
    events : tuple of StoredObject
        New versions and tombstones, oldest first.
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
    """The platform's list of instances, which may be out of date.

    Attributes
    ----------
    age_ms : int
        Age of the list as reported by the platform, in milliseconds.
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


def decode_object(data: bytes) -> StoredObject:
    """Decode one object; raise PlatformAnswerError if it is malformed."""
    return _to_stored_object(_decode(data, _Object))


def decode_list(kind: str, data: bytes) -> ObjectList:
    """Decode the list of a kind; raise PlatformAnswerError if it is malformed."""
    answer = _decode(data, _List)
    return ObjectList(
        kind, answer.revision, tuple(map(_to_stored_object, answer.objects))
    )


def decode_watch(after: int, data: bytes) -> WatchResult:
    """Decode the answer to a watch; raise PlatformAnswerError if it is malformed."""
    answer = _decode(data, _Watch)
    events = tuple(_to_changed_object(event) for event in answer.events)
    return WatchResult(after, answer.revision, events)


def decode_instances(data: bytes) -> InstanceList:
    """Decode the instance list; raise PlatformAnswerError if it is malformed."""
    return _decode(data, InstanceList)


def decode_conflict(data: bytes) -> StoredObject | None:
    """Decode the stored object of a conflict; PlatformAnswerError if malformed."""
    current = _decode(data, _Conflict).current
    return None if current is None else _to_stored_object(current)


def _decode(data: bytes, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.DecodeError, RecursionError) as error:
        raise PlatformAnswerError(
            f"The platform's answer violates its contract: {error}. "
            "Check that platform.address names the object API."
        ) from error


def _to_stored_object(answer: _Object) -> StoredObject:
    # A body that is not an object becomes an empty one, which validation rejects.
    body = answer.body if isinstance(answer.body, dict) else {}
    return StoredObject(answer.kind, answer.name, answer.version, body)


def _to_changed_object(event: _Event) -> StoredObject:
    stored = _to_stored_object(event.object)
    if event.type == "put":
        return stored
    return StoredObject(stored.kind, stored.name, stored.version, None)

"""Calls to the platform's object API and their results."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

from endivepick.records.objects import StoredObject

__all__ = [
    "CallFailed",
    "CallPurpose",
    "ListObjects",
    "ObjectRead",
    "ObjectWritten",
    "ObjectsRead",
    "PlatformAnswer",
    "PlatformCall",
    "ReadObject",
    "WriteObject",
]


class CallPurpose(Enum):
    """Component of the core that receives the result of a call."""

    STATUS = "status"
    """Writer of the zone status."""
    KEYS = "keys"
    """Rotation of keys for flow tokens."""


@dataclass(frozen=True, slots=True)
class ReadObject:
    """Read one object."""

    kind: str
    name: str


@dataclass(frozen=True, slots=True)
class ListObjects:
    """Read all objects of one kind."""

    kind: str


@dataclass(frozen=True, slots=True)
class WriteObject:
    """Write an object on condition that its version is unchanged.

    Attributes
    ----------
    kind, name : str
        Kind and name of the object.
    body : mapping
        Content without a write id; the client adds a unique one to each call.
    if_version : int
        Version that the stored object must have; 0 if no object may exist.
    """

    kind: str
    name: str
    body: Mapping[str, Any]
    if_version: int


PlatformCall = ReadObject | ListObjects | WriteObject


@dataclass(frozen=True, slots=True)
class ObjectRead:
    """Result of reading one object; None if it does not exist."""

    stored: StoredObject | None


@dataclass(frozen=True, slots=True)
class ObjectsRead:
    """Result of reading all objects of one kind."""

    objects: tuple[StoredObject, ...]


@dataclass(frozen=True, slots=True)
class ObjectWritten:
    """Result of a successful write, with the new version."""

    stored: StoredObject


@dataclass(frozen=True, slots=True)
class CallFailed:
    """Failure of a call.

    The outcome of a write may be unknown, so read the object before the next write.
    """

    reason: str


PlatformAnswer = ObjectRead | ObjectsRead | ObjectWritten | CallFailed

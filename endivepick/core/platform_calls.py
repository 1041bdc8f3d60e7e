"""Single calls of the platform's object API, and what comes of them."""

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
    """Part of the core that the answer goes to."""

    STATUS = "status"
    """Status of the zone."""
    KEYS = "keys"
    """Rotation of the keys for flow tokens."""


@dataclass(frozen=True, slots=True)
class ReadObject:
    """Read one object."""

    kind: str
    name: str


@dataclass(frozen=True, slots=True)
class ListObjects:
    """Read all objects of a kind."""

    kind: str


@dataclass(frozen=True, slots=True)
class WriteObject:
    """Write an object if its version is still the one that was read.

    Attributes
    ----------
    kind, name : str
        The object.
    body : mapping
        Content without a write id; whoever makes the call adds a unique one.
    if_version : int
        Version that must stand; 0 if there must be no object.
    """

    kind: str
    name: str
    body: Mapping[str, Any]
    if_version: int


PlatformCall = ReadObject | ListObjects | WriteObject


@dataclass(frozen=True, slots=True)
class ObjectRead:
    """What stands; None if there is no such object."""

    stored: StoredObject | None


@dataclass(frozen=True, slots=True)
class ObjectsRead:
    """All objects of the kind."""

    objects: tuple[StoredObject, ...]


@dataclass(frozen=True, slots=True)
class ObjectWritten:
    """The version that the write made."""

    stored: StoredObject


@dataclass(frozen=True, slots=True)
class CallFailed:
    """The call failed, or its outcome is unknown: read before the next write."""

    reason: str


PlatformAnswer = ObjectRead | ObjectsRead | ObjectWritten | CallFailed

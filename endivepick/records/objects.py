"""Objects as the platform stores them."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

__all__ = [
    "INSTANCE_KIND",
    "KEYRING_KIND",
    "KEYRING_NAME",
    "SERVICE_KIND",
    "STATUS_KIND",
    "ObjectKey",
    "StoredObject",
]

SERVICE_KIND = "service"
STATUS_KIND = "status"
KEYRING_KIND = "keyring"
KEYRING_NAME = "tokens"
"""Name of the one keyring."""
INSTANCE_KIND = "instance"
"""Kind of the objects that ask an instance to stop as planned."""


@dataclass(frozen=True, order=True)
class ObjectKey:
    """What identifies an object.

    Attributes
    ----------
    kind : str
        Kind of the object, for example ``service``.
    name : str
        Unique within its kind.
    """

    kind: str
    name: str


@dataclass(frozen=True)
class StoredObject:
    """One version of an object, or its deletion.

    Attributes
    ----------
    kind : str
        Kind of the object.
    name : str
        Unique within its kind.
    version : int
        Revision of the store that wrote this version, or that deleted the object.
    body : mapping or None
        Content as JSON values; None if the object is deleted.
    """

    kind: str
    name: str
    version: int
    body: Mapping[str, Any] | None

    @property
    def key(self) -> ObjectKey:
        """Kind and name."""
        return ObjectKey(self.kind, self.name)

    @property
    def deleted(self) -> bool:
        """Whether this is a tombstone."""
        return self.body is None

"""Objects stored by the platform."""

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
"""Name of the only keyring object."""
INSTANCE_KIND = "instance"
"""Kind of the objects that request a planned stop of an instance."""


@dataclass(frozen=True, order=True)
class ObjectKey:
    """Identifier of an object.

    Attributes
    ----------
    kind : str
        Kind of the object, for example ``service``.
    name : str
        Name of the object, unique within its kind.
    """

    kind: str
    name: str


@dataclass(frozen=True)
class StoredObject:
    """Version of an object, or its deletion.

    Attributes
    ----------
    kind : str
        Kind of the object.
    name : str
        Name of the object, unique within its kind.
    version : int
        Revision of the store at which it was written or deleted.
    body : mapping or None
        Content as JSON values; None if the object was deleted.
    """

    kind: str
    name: str
    version: int
    body: Mapping[str, Any] | None

    @property
    def key(self) -> ObjectKey:
        """Key of the object: kind and name."""
        return ObjectKey(self.kind, self.name)

    @property
    def deleted(self) -> bool:
        """Whether this is a deletion (tombstone)."""
        return self.body is None

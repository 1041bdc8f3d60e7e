"""What the forwarder needs from the platform that it runs on.

The forwarder speaks neither the packets nor the object API of any one platform.  An
adapter implements these protocols and decodes all wire names into the product's types.
"""

from enum import Enum
from typing import Protocol

from msgspec import Struct

from endivepick.forwarding import Configuration, FlowKey, Packet, Target
from endivepick.store import StoreCall

__all__ = [
    "ChangeBatch",
    "FeedKind",
    "FeederClaim",
    "ItemRemoved",
    "ListPage",
    "PacketCodec",
    "StoreDialect",
    "TargetIdentity",
    "UnreadableItem",
]


class FeedKind(Enum):
    """What is read from the store."""

    REGISTRY = "registry"
    CONFIGURATION = "configuration"


class ItemRemoved(Struct, frozen=True):
    """An object is no longer in the store."""

    name: str
    revision: int


class UnreadableItem(Struct, frozen=True):
    """An object that the adapter could not read; the others stay valid.

    Attributes
    ----------
    name : str
        Its name, "" if not even that can be read.
    fault : str
        What is wrong with it.
    revision : int
        Revision of the store that wrote it, or that it was read at.
    """

    name: str
    fault: str
    revision: int


Item = Target | Configuration | ItemRemoved | UnreadableItem


class ListPage(Struct, frozen=True):
    """Part of a list of objects.

    Attributes
    ----------
    items : tuple of Item
        Objects in order of their names.
    next_after : str
        Name to continue after, "" if this is the last page.
    revision : int
        Revision of the store that the page shows.
    """

    items: tuple[Item, ...]
    next_after: str
    revision: int


class ChangeBatch(Struct, frozen=True):
    """Changes that a watch returned; the last one of an object counts.

    Attributes
    ----------
    items : tuple of Item
        Objects and removals, oldest first.
    revision : int
        Revision to watch from next.
    """

    items: tuple[Item, ...]
    revision: int


class FeederClaim(Struct, frozen=True):
    """Object of the product's own in the store: who feeds a zone's instances.

    Attributes
    ----------
    name : str
        Name of the object: one of the zone's places for feeders.
    holder : str
        Address at which the feeder answers its peers, "" if it cannot be read.
    revision : int
        Revision of the store that wrote it; 0 if it is to be created, or not known.
    """

    name: str
    holder: str
    revision: int = 0


class TargetIdentity(Struct, frozen=True):
    """Who answered a health check.

    Attributes
    ----------
    name : str
        Name of the target's entry, "" if it does not say.
    born_ms : int
        When it started, in Unix milliseconds; 0 if it does not say.
    """

    name: str
    born_ms: int = 0


class StoreDialect(Protocol):
    """Paths and bodies of a platform's object API."""

    def list_path(self, kind: FeedKind, after: str) -> str:
        """Return path and query that list objects, after a name or from the start."""
        ...

    def watch_path(self, kind: FeedKind, revision: int, wait_s: float) -> str:
        """Return path and query that wait for changes after a revision."""
        ...

    def read_page(self, kind: FeedKind, body: bytes) -> ListPage:
        """Decode a list; raises PlatformAnswerError if it is none."""
        ...

    def read_changes(self, kind: FeedKind, body: bytes) -> ChangeBatch:
        """Decode what a watch returned; raises PlatformAnswerError if it is none."""
        ...

    def claims_path(self) -> str:
        """Return path and query that list all claims; they may be seconds old."""
        ...

    def read_claims(self, body: bytes) -> tuple[FeederClaim, ...]:
        """Decode a list of claims; raises PlatformAnswerError if it is none."""
        ...

    def write_claim(self, claim: FeederClaim) -> StoreCall:
        """Return the call that creates a claim, or replaces its revision."""
        ...

    @property
    def identity_header(self) -> bytes:
        """Header in which a target's health check names its entry, lower case."""
        ...

    def read_health(self, header: str, body: bytes) -> TargetIdentity:
        """Decode who answered a health check, from that header and the body."""
        ...


class PacketCodec(Protocol):
    """Packets of a platform's fabric."""

    def decode(self, data: bytes) -> Packet:
        """Read the head of a caller's packet; raises PacketInvalidError."""
        ...

    def to_target(self, data: bytes, target: Target, cookie: int) -> bytes:
        """Return the datagram that brings a caller's packet to a target."""
        ...

    def reset(self, flow: FlowKey, sequence: int) -> bytes:
        """Return the packet that resets a flow at its caller."""
        ...

"""Interfaces that a platform adapter implements for the forwarder.

The forwarder knows neither the packet format nor the object API of a platform. An
adapter implements these protocols and translates all names on the wire into the types
of this library.
"""

from enum import Enum
from typing import Protocol

from msgspec import Struct

from endivepick.forwarding import (
    Configuration,
    EvacuatedZone,
    FlowKey,
    Packet,
    Target,
)
from endivepick.store import StoreCall

__all__ = [
    "ChangeBatch",
    "DamagedPage",
    "FeedKind",
    "FeederClaim",
    "REQUIRED_KINDS",
    "ItemRemoved",
    "ListPage",
    "PacketCodec",
    "StoreDialect",
    "TargetIdentity",
    "UnreadableItem",
]


class FeedKind(Enum):
    """Kind of objects that is read from the store."""

    REGISTRY = "registry"
    CONFIGURATION = "configuration"
    EVACUATIONS = "evacuations"
    CLAIMS = "claims"


REQUIRED_KINDS = (FeedKind.REGISTRY, FeedKind.CONFIGURATION)
"""Kinds without which an instance cannot place flows.  The others exist only in some
installations, and trouble with reading them must not delay these."""


class ItemRemoved(Struct, frozen=True):
    """An object that was removed from the store."""

    name: str
    revision: int


class UnreadableItem(Struct, frozen=True):
    """An object that the adapter could not decode; the others remain valid.

    Attributes
    ----------
    name : str
        Its name, "" if the name cannot be decoded either.
    fault : str
        Reason why it is unreadable.
    revision : int
        Revision of the store that wrote it, or at which it was read.
    """

    name: str
    fault: str
    revision: int


class FeederClaim(Struct, frozen=True):
    """Object of this library in the store that names a feeder of a zone.

    Attributes
    ----------
    name : str
        Name of the object, one of the names reserved for the zone's feeders.
    holder : str
        Peer address of the feeder, "" if it cannot be decoded.
    revision : int
        Revision of the store that wrote it; 0 if it is to be created or the revision is
        unknown.
    """

    name: str
    holder: str
    revision: int = 0


Item = (
    Target | Configuration | EvacuatedZone | FeederClaim | ItemRemoved | UnreadableItem
)


class ListPage(Struct, frozen=True):
    """One page of a list of objects.

    Attributes
    ----------
    items : tuple of Item
        Objects in order of their names.
    next_after : str
        Name after which the next page starts, "" for the last page.
    revision : int
        Revision of the store that the page shows.
    intact : bool
        Whether the page is certain to have all objects of the store and no others; the
        bytes of a damaged object may look like the end of a list, or like objects.
    """

    items: tuple[Item, ...]
    next_after: str
    revision: int
    intact: bool = True


class DamagedPage(Struct, frozen=True):
    """What can be told from a page of a list that is not intact.

    Attributes
    ----------
    items : tuple of Item
        Objects up to the first that cannot be separated from the bytes after it.
    item_names : tuple of str
        Their names.
    certain : int
        How many of these are certain.  The others are if ``rest`` is what the store
        lists after the last of them.
    next_name : str
        Name of the first object that is not certain, "" if not even that is.
    names : frozenset of str
        Names of all objects of the page, and any others that occur in it.
    rest : bytes
        The list from the object after ``items`` on.
    """

    items: tuple[Item, ...]
    item_names: tuple[str, ...]
    certain: int
    next_name: str
    names: frozenset[str]
    rest: bytes


class ChangeBatch(Struct, frozen=True):
    """Changes returned by a watch; the last change of an object counts.

    Attributes
    ----------
    items : tuple of Item
        Objects and removals, oldest first.
    revision : int
        Revision from which the next watch starts.
    intact : bool
        Whether the batch is certain to have all changes and no others.
    recovered : bool
        Whether it was read object by object, since the watch's answer was not intact.
    """

    items: tuple[Item, ...]
    revision: int
    intact: bool = True
    recovered: bool = False


class TargetIdentity(Struct, frozen=True):
    """Identity of the target that answered a health check.

    Attributes
    ----------
    name : str
        Name of the target's registry entry, "" if not given.
    born_ms : int
        Start time of the target, in Unix milliseconds; 0 if not given.
    """

    name: str
    born_ms: int = 0


class StoreDialect(Protocol):
    """Paths and bodies of a platform's object API."""

    def list_path(self, kind: FeedKind, after: str) -> str:
        """Return path and query that list objects, after a name or from the start."""
        ...

    def stale_list_path(self, kind: FeedKind, after: str = "") -> str:
        """Return path and query of a cheaper list, which may be seconds old."""
        ...

    def list_end_path(self, kind: FeedKind) -> str:
        """Return path and query of the empty page after all objects of a kind."""
        ...

    def object_path(self, kind: FeedKind, name: str) -> str:
        """Return the path of one object."""
        ...

    def watch_path(self, kind: FeedKind, revision: int, wait_s: float) -> str:
        """Return path and query that watch for changes after a revision."""
        ...

    def read_page(self, kind: FeedKind, body: bytes) -> ListPage:
        """Decode a page of a list; raise AnswerDamagedError if it is no valid list."""
        ...

    def read_damaged_page(self, kind: FeedKind, body: bytes) -> DamagedPage:
        """Decode the certain part of a page that is not intact.

        Raises PlatformAnswerError if the body does not even begin like a list.
        """
        ...

    def read_list_content(self, body: bytes) -> bytes:
        """Return the bytes of a page from its first object on."""
        ...

    def read_changes(self, kind: FeedKind, body: bytes) -> ChangeBatch:
        """Decode a watch's answer; raise AnswerDamagedError if it is invalid."""
        ...

    def find_names(self, body: bytes) -> frozenset[str]:
        """Return the names of all objects of a body, and any others in its bytes."""
        ...

    def is_usable_name(self, kind: FeedKind, name: str) -> bool:
        """Whether an object of that name can be of use; all others may be skipped."""
        ...

    def read_object(self, kind: FeedKind, name: str, body: bytes) -> Item:
        """Decode one object that was read by its path."""
        ...

    def write_claim(self, claim: FeederClaim) -> StoreCall:
        """Encode the call that creates a claim or replaces its given revision."""
        ...

    @property
    def identity_header(self) -> bytes:
        """Lower-case header in which a health check names the target's entry."""
        ...

    def read_health(self, header: str, body: bytes) -> TargetIdentity:
        """Decode the identity of a target from that header and the body."""
        ...


class PacketCodec(Protocol):
    """Codec of the packets of a platform's fabric."""

    def decode(self, data: bytes) -> Packet:
        """Decode the header of a caller's packet; raise PacketInvalidError."""
        ...

    def to_target(self, data: bytes, target: Target, cookie: int) -> bytes:
        """Encode the datagram that carries a caller's packet to a target."""
        ...

    def reset(self, flow: FlowKey, sequence: int) -> bytes:
        """Encode the packet that resets a flow at its caller."""
        ...

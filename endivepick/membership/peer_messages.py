"""Membership messages between instances, tags 64 to 79.

The envelope of each message contains the name and incarnation of the sender.
"""

from enum import IntEnum
from typing import Annotated

import msgspec

__all__ = [
    "UNSOLICITED",
    "Ack",
    "HandedOver",
    "LeaveWish",
    "Liveness",
    "MemberUpdate",
    "MembershipMessage",
    "Phase",
    "Ping",
    "PingRequest",
    "ProbeReport",
    "ShortUpdate",
    "SyncDigest",
    "SyncPage",
    "SyncRequest",
]


UNSOLICITED = 2**64 - 1
"""Value of ``SyncPage.answered`` for a page that answers no request."""
_Counter = Annotated[int, msgspec.Meta(ge=0, lt=2**62)]
"""Counter with room for increments within the 64-bit encoding."""
_Incarnation = Annotated[int, msgspec.Meta(ge=0)]
_Text = Annotated[str, msgspec.Meta(max_length=255)]


class Phase(IntEnum):
    """Phase announced by an instance; never decreases within an incarnation."""

    JOINING = 0
    READY = 1
    LEAVING = 2
    STOPPED = 3


class Liveness(IntEnum):
    """Liveness determined by other instances; the highest wins until refuted."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Update about one instance.

    Attributes
    ----------
    name, zone, peer_address : str
        Name, zone and address from its settings.
    incarnation : int
        Random number drawn at its start.
    generation : int
        Orders the incarnations of one name; a higher one supersedes a lower one.
    phase : Phase
        Phase announced by the instance.
    refutation : int
        Counter incremented by the instance with each announcement; a higher value
        overrides the ``liveness`` of a lower one.
    liveness : Liveness
        Liveness determined by other instances.
    accuser : str
        Name of the instance that suspects it; empty if none.
    """

    name: _Text
    zone: _Text
    peer_address: _Text
    incarnation: _Incarnation
    generation: _Counter
    phase: Phase
    refutation: _Counter
    liveness: Liveness
    accuser: _Text = ""


class ShortUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Update about an incarnation that the receiver knows.

    Attributes
    ----------
    incarnation : int
        The incarnation.
    phase : Phase
        Phase announced by the instance.
    refutation : int
        Highest refutation known to the sender.
    liveness : Liveness
        Liveness determined by other instances.
    """

    incarnation: _Incarnation
    phase: Phase
    refutation: _Counter
    liveness: Liveness


class HandedOver(msgspec.Struct, frozen=True, array_like=True):
    """Handover of the flows of a service from an incarnation to a successor.

    Attributes
    ----------
    incarnation : int
        Incarnation that handed over the flows.
    service : str
        Name of the service.
    to_name : str
        Name of the successor.
    to_incarnation : int
        Incarnation of the successor.
    order : int
        Larger than the order of every handover of the service that ``incarnation``
        knew of.
    remaining_s : int
        Remaining lifetime of the entry, in seconds.
    """

    incarnation: _Incarnation
    service: _Text
    to_name: _Text
    to_incarnation: _Incarnation
    order: _Counter
    remaining_s: _Counter


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=64):
    """Probe of a peer.

    Attributes
    ----------
    sequence : int
        Number that is repeated in the answer.
    known_incarnation, known_refutation : int
        What the sender knows of the receiver; the answer contains the receiver's
        status only if it differs.
    updates : list of MemberUpdate
        Piggybacked updates.
    handed_over : list of HandedOver
        Piggybacked handovers.
    short_updates : list of ShortUpdate
        Piggybacked short updates, used if too many are queued for ``updates``.
    """

    sequence: _Counter
    known_incarnation: _Incarnation
    known_refutation: _Counter
    updates: list[MemberUpdate]
    handed_over: list[HandedOver]
    short_updates: list[ShortUpdate] = []


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=65):
    """Answer to ``Ping``."""

    sequence: _Counter
    updates: list[MemberUpdate]
    handed_over: list[HandedOver]
    short_updates: list[ShortUpdate] = []


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag=66):
    """Request for an indirect probe of another instance."""

    sequence: _Counter
    name: _Text


class ProbeReport(msgspec.Struct, frozen=True, array_like=True, tag=67):
    """Result of a ``PingRequest``, sent also if the instance was not reached."""

    sequence: _Counter
    name: _Text
    reached: bool
    updates: list[MemberUpdate]


class SyncRequest(msgspec.Struct, frozen=True, array_like=True, tag=68):
    """Request for one page of a peer's full view; ``cursor`` starts at 0."""

    cursor: _Counter
    me: MemberUpdate


class SyncPage(msgspec.Struct, frozen=True, array_like=True, tag=69):
    """One page of entries.

    Attributes
    ----------
    next_cursor : int
        Bucket at which the next page starts; 0 after the last page.
    wanted : list of int
        Buckets whose entries the sender requests from the receiver.
    members : list of MemberUpdate
        Membership entries.
    handed_over : list of HandedOver
        Handover entries.
    answered : int
        Incarnation whose ``SyncRequest`` it answers, or ``UNSOLICITED``; 0 from
        builds without this field.
    """

    next_cursor: _Counter
    wanted: list[int]
    members: list[MemberUpdate]
    handed_over: list[HandedOver]
    answered: _Incarnation = 0


class SyncDigest(msgspec.Struct, frozen=True, array_like=True, tag=70):
    """Digest for comparing two views: one hash per bucket of entries."""

    members: list[int]
    handed_over: list[int]


class LeaveWish(msgspec.Struct, frozen=True, array_like=True, tag=71):
    """Notifies an incarnation that the platform lists it as leaving."""

    incarnation: _Incarnation


MembershipMessage = (
    Ping
    | Ack
    | PingRequest
    | ProbeReport
    | SyncRequest
    | SyncPage
    | SyncDigest
    | LeaveWish
)

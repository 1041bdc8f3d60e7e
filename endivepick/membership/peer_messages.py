"""Messages of the membership between instances, tags 64 to 79.

The envelope around each message names the sender and its incarnation.
"""

from enum import IntEnum
from typing import Annotated

import msgspec

__all__ = [
    "UNASKED",
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


UNASKED = 2**64 - 1
"""Marks a page that answers no request."""
_Counter = Annotated[int, msgspec.Meta(ge=0, lt=2**62)]
"""Number that may be increased and still fits the wire."""
_Incarnation = Annotated[int, msgspec.Meta(ge=0)]
_Text = Annotated[str, msgspec.Meta(max_length=255)]


class Phase(IntEnum):
    """What an instance says about itself; only grows within an incarnation."""

    JOINING = 0
    READY = 1
    LEAVING = 2
    STOPPED = 3


class Liveness(IntEnum):
    """What others say about an instance; the higher one wins, until refuted."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True):
    """News about one instance.

    Attributes
    ----------
    name, zone, peer_address : str
        As in its settings.
    incarnation : int
        Random number drawn at its start.
    generation : int
        Orders the incarnations of one name; the higher one supersedes.
    phase : Phase
        What it said about itself.
    refutation : int
        Counts what the instance said about itself; a higher one overrides
        ``liveness`` of a lower one.
    liveness : Liveness
        What others found.
    accuser : str
        Who suspects it; empty if nobody does.
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
    """News about an incarnation that the receiver knows.

    Attributes
    ----------
    incarnation : int
        The incarnation.
    phase : Phase
        What it said about itself.
    refutation : int
        Highest one that the sender knows of it.
    liveness : Liveness
        What others found.
    """

    incarnation: _Incarnation
    phase: Phase
    refutation: _Counter
    liveness: Liveness


class HandedOver(msgspec.Struct, frozen=True, array_like=True):
    """An incarnation handed the flows of a service to a successor.

    Attributes
    ----------
    incarnation : int
        Incarnation of the giver.
    service : str
        Name of the service.
    to_name : str
        Name of the successor.
    to_incarnation : int
        Incarnation of the successor.
    order : int
        Larger than the order of every earlier hand-over to the giver.
    remaining_s : int
        How long the entry stays of use, in seconds.
    """

    incarnation: _Incarnation
    service: _Text
    to_name: _Text
    to_incarnation: _Incarnation
    order: _Counter
    remaining_s: _Counter


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=64):
    """Ask for a sign of life.

    Attributes
    ----------
    sequence : int
        Number that comes back in the answer.
    known_incarnation, known_refutation : int
        What the sender knows of the receiver, which answers with news only.
    updates : list of MemberUpdate
        Piggy-backed news.
    handed_over : list of HandedOver
        Piggy-backed hand-overs.
    short_updates : list of ShortUpdate
        Piggy-backed news that are too many for ``updates``.
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
    """Ask a peer to probe another instance."""

    sequence: _Counter
    name: _Text


class ProbeReport(msgspec.Struct, frozen=True, array_like=True, tag=67):
    """Answer to ``PingRequest``, also when the instance was not reached."""

    sequence: _Counter
    name: _Text
    reached: bool
    updates: list[MemberUpdate]


class SyncRequest(msgspec.Struct, frozen=True, array_like=True, tag=68):
    """Ask for one page of all that a peer knows; ``cursor`` starts at 0."""

    cursor: _Counter
    me: MemberUpdate


class SyncPage(msgspec.Struct, frozen=True, array_like=True, tag=69):
    """One page of entries.

    Attributes
    ----------
    next_cursor : int
        Where the next page starts; 0 after the last one.
    wanted : list of int
        Buckets of which the sender wants the receiver's entries.
    members : list of MemberUpdate
        Entries of the membership.
    handed_over : list of HandedOver
        Entries of the hand-overs.
    answered : int
        Incarnation whose ``SyncRequest`` it answers, or ``UNASKED``; 0 from a build
        that does not tell.
    """

    next_cursor: _Counter
    wanted: list[int]
    members: list[MemberUpdate]
    handed_over: list[HandedOver]
    answered: _Incarnation = 0


class SyncDigest(msgspec.Struct, frozen=True, array_like=True, tag=70):
    """Compare two views: one hash for each bucket of entries."""

    members: list[int]
    handed_over: list[int]


class LeaveWish(msgspec.Struct, frozen=True, array_like=True, tag=71):
    """Tell an incarnation that the platform's list names it as leaving."""

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

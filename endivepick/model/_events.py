"""Input events and output effects of an instance of the flow model."""

from collections.abc import Hashable
from dataclasses import dataclass

from endivepick.core.actions import (
    Action,
    CancelAttempt,
    RequestId,
    SendToCaller,
    SendToPeer,
    StartAttempt,
)
from endivepick.core.dispatch import FinishKind
from endivepick.core.flow_table import Identity
from endivepick.core.messages import (
    AnswerPart,
    InstancePacket,
    Outcome,
    Refused,
    Reissued,
)
from endivepick.core.packet_codec import encode_struct
from endivepick.model._environment import Placement, View

__all__ = [
    "AttemptCancelled",
    "Effect",
    "AttemptEnded",
    "Event",
    "ExpireFlows",
    "ContinueHandOver",
    "Packet",
    "PeerMessage",
    "AttemptStarted",
    "BeginStop",
    "StopDeadline",
    "ToCaller",
    "ToPeer",
    "PlaceQueued",
    "effects_of",
]

_CALLER_OUTCOMES = (AnswerPart, Outcome, Refused, Reissued)
"""Packets that a caller acts on; other packets report no outcome."""


@dataclass(frozen=True)
class Packet:
    """A caller's packet arrives, from the fabric or from a relay."""

    datagram: bytes
    view: View = View()
    placement: Placement = Placement.START


@dataclass(frozen=True)
class AttemptEnded:
    """An attempt at a target ends."""

    request_id: RequestId
    attempt: int
    kind: FinishKind
    placement: Placement = Placement.START


@dataclass(frozen=True)
class PlaceQueued:
    """A queued request is placed again."""

    request_id: Hashable
    placement: Placement


@dataclass(frozen=True)
class BeginStop:
    """A planned stop begins."""


@dataclass(frozen=True)
class ContinueHandOver:
    """The leaving instance continues its hand-over."""

    successor: Identity
    dead: bool


@dataclass(frozen=True)
class PeerMessage:
    """A hand-over message of another instance arrives.

    ``successor`` is the next candidate if the message is a refusal.
    """

    sender: Identity
    kind: type
    data: bytes
    successor: Identity | None = None
    placement: Placement = Placement.START


@dataclass(frozen=True)
class StopDeadline:
    """The deadline of the planned stop is near: running requests are abandoned."""

    successor: Identity


@dataclass(frozen=True)
class ExpireFlows:
    """Time passes and flows that were closed or never used expire."""


Event = (
    Packet
    | AttemptEnded
    | PlaceQueued
    | BeginStop
    | ContinueHandOver
    | PeerMessage
    | StopDeadline
    | ExpireFlows
)


@dataclass(frozen=True)
class ToCaller:
    """A packet that the caller acts on."""

    packet: InstancePacket


@dataclass(frozen=True)
class ToPeer:
    """A hand-over message to another instance."""

    name: str
    kind: type
    data: bytes


@dataclass(frozen=True)
class AttemptStarted:
    """A request was sent to a target."""

    request_id: RequestId
    attempt: int


@dataclass(frozen=True)
class AttemptCancelled:
    """An attempt was cancelled."""

    request_id: RequestId
    attempt: int


Effect = ToCaller | ToPeer | AttemptStarted | AttemptCancelled


def effects_of(actions: list[Action]) -> tuple[Effect, ...]:
    """Return the effects that other parts of the model observe."""
    effects: list[Effect] = []
    for action in actions:
        match action:
            case SendToCaller(packet=packet) if isinstance(packet, _CALLER_OUTCOMES):
                effects.append(ToCaller(packet))
            case SendToPeer(name=name, message=message):
                effects.append(ToPeer(name, type(message), encode_struct(message)))
            case StartAttempt(request_id=request_id, attempt=attempt):
                effects.append(AttemptStarted(request_id, attempt))
            case CancelAttempt(request_id=request_id, attempt=attempt):
                effects.append(AttemptCancelled(request_id, attempt))
    return tuple(effects)

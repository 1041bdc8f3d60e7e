"""Events that an instance of the flow model takes, and effects that they have."""

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
    "Cancelled",
    "Effect",
    "Ended",
    "Event",
    "Forget",
    "Give",
    "Packet",
    "Peer",
    "Sent",
    "Stop",
    "TimeUp",
    "ToCaller",
    "ToPeer",
    "Turn",
    "effects_of",
]

_TOLD = (AnswerPart, Outcome, Refused, Reissued)
"""Packets that a caller acts on; the others promise nothing."""


@dataclass(frozen=True)
class Packet:
    """A caller's packet arrives, from the fabric or from a relay."""

    datagram: bytes
    view: View = View()
    placement: Placement = Placement.START


@dataclass(frozen=True)
class Ended:
    """An attempt at a target ends."""

    request_id: RequestId
    attempt: int
    kind: FinishKind
    placement: Placement = Placement.START


@dataclass(frozen=True)
class Turn:
    """The turn of a waiting request comes."""

    request_id: Hashable
    placement: Placement


@dataclass(frozen=True)
class Stop:
    """A planned stop begins."""


@dataclass(frozen=True)
class Give:
    """The leaving instance works on its hand-over."""

    successor: Identity
    dead: bool


@dataclass(frozen=True)
class Peer:
    """A message about a hand-over arrives.

    ``successor`` is the next candidate, if the message is a refusal.
    """

    sender: Identity
    kind: type
    data: bytes
    successor: Identity | None = None
    placement: Placement = Placement.START


@dataclass(frozen=True)
class TimeUp:
    """The time limit of the planned stop comes near: what runs is given up."""

    successor: Identity


@dataclass(frozen=True)
class Forget:
    """Time passes and flows that were closed or never used are forgotten."""


Event = Packet | Ended | Turn | Stop | Give | Peer | TimeUp | Forget


@dataclass(frozen=True)
class ToCaller:
    """A packet that the caller acts on."""

    packet: InstancePacket


@dataclass(frozen=True)
class ToPeer:
    """A message about a hand-over."""

    name: str
    kind: type
    data: bytes


@dataclass(frozen=True)
class Sent:
    """A request went to a target."""

    request_id: RequestId
    attempt: int


@dataclass(frozen=True)
class Cancelled:
    """An attempt was cut off."""

    request_id: RequestId
    attempt: int


Effect = ToCaller | ToPeer | Sent | Cancelled


def effects_of(actions: list[Action]) -> tuple[Effect, ...]:
    """Keep what another part of the model can see."""
    effects: list[Effect] = []
    for action in actions:
        match action:
            case SendToCaller(packet=packet) if isinstance(packet, _TOLD):
                effects.append(ToCaller(packet))
            case SendToPeer(name=name, message=message):
                effects.append(ToPeer(name, type(message), encode_struct(message)))
            case StartAttempt(request_id=request_id, attempt=attempt):
                effects.append(Sent(request_id, attempt))
            case CancelAttempt(request_id=request_id, attempt=attempt):
                effects.append(Cancelled(request_id, attempt))
    return tuple(effects)

"""What the surroundings tell the decision core."""

from dataclasses import dataclass
from typing import Any

from endivepick.core.actions import RequestId
from endivepick.core.dispatch import FinishKind, ProbeOutcome
from endivepick.core.messages import CallerAddress
from endivepick.core.platform_calls import CallPurpose, PlatformAnswer
from endivepick.membership import ListedInstance
from endivepick.platform.answers import ObjectList, WatchResult

__all__ = [
    "AttemptAnswered",
    "AttemptFailed",
    "CallerDatagram",
    "Event",
    "InstancesListed",
    "ObjectsChanged",
    "ObjectsListed",
    "PeerMessage",
    "PeerSendFailed",
    "PlatformAnswered",
    "PlatformCallFailed",
    "Probed",
    "StreamData",
    "StreamEnded",
    "StreamOpened",
    "StopRequested",
    "Tick",
]


@dataclass(frozen=True, slots=True)
class CallerDatagram:
    """A datagram came from the fabric."""

    caller: CallerAddress
    datagram: bytes


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message came from another instance."""

    sender: str
    incarnation: int
    message: Any


@dataclass(frozen=True, slots=True)
class AttemptAnswered:
    """The target's whole answer is here."""

    request_id: RequestId
    attempt: int
    status: int
    headers: list[tuple[str, str]]
    body: bytes
    duration_s: float


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """An attempt ended without an answer."""

    request_id: RequestId
    attempt: int
    kind: FinishKind
    duration_s: float
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class StreamOpened:
    """The target began to answer with an event stream."""

    request_id: RequestId
    attempt: int
    status: int
    headers: list[tuple[str, str]]


@dataclass(frozen=True, slots=True)
class StreamData:
    """One whole event of a stream."""

    request_id: RequestId
    attempt: int
    data: bytes
    event_id: str


@dataclass(frozen=True, slots=True)
class StreamEnded:
    """The target ended a stream."""

    request_id: RequestId
    attempt: int


@dataclass(frozen=True, slots=True)
class Probed:
    """A target was asked for its health and load."""

    service: str
    target: str
    outcome: ProbeOutcome


@dataclass(frozen=True, slots=True)
class PeerSendFailed:
    """A message could not be handed to the connection of a peer."""

    name: str


@dataclass(frozen=True, slots=True)
class InstancesListed:
    """The platform listed the instances."""

    entries: tuple[ListedInstance, ...]
    age_s: float


@dataclass(frozen=True, slots=True)
class ObjectsListed:
    """The platform listed all objects of a kind."""

    listed: ObjectList


@dataclass(frozen=True, slots=True)
class ObjectsChanged:
    """The platform told all changes between two revisions."""

    result: WatchResult


@dataclass(frozen=True, slots=True)
class PlatformCallFailed:
    """A list or watch of the platform failed."""


@dataclass(frozen=True, slots=True)
class PlatformAnswered:
    """A call that the core asked for has ended."""

    purpose: CallPurpose
    answer: PlatformAnswer


@dataclass(frozen=True, slots=True)
class StopRequested:
    """A planned stop begins."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Time passed."""


Event = (
    CallerDatagram
    | InstancesListed
    | ObjectsChanged
    | ObjectsListed
    | PeerMessage
    | PeerSendFailed
    | PlatformAnswered
    | PlatformCallFailed
    | Probed
    | AttemptAnswered
    | AttemptFailed
    | StreamOpened
    | StreamData
    | StreamEnded
    | StopRequested
    | Tick
)

"""Events that the host process passes to the decision core."""

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
    """A datagram arrived from the fabric."""

    caller: CallerAddress
    datagram: bytes


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message arrived from another instance."""

    sender: str
    incarnation: int
    message: Any


@dataclass(frozen=True, slots=True)
class AttemptAnswered:
    """The complete answer of the target arrived."""

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
    """The target started to answer with an event stream."""

    request_id: RequestId
    attempt: int
    status: int
    headers: list[tuple[str, str]]


@dataclass(frozen=True, slots=True)
class StreamData:
    """One complete event of a stream arrived."""

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
    """A probe of a target's health and load ended."""

    service: str
    target: str
    outcome: ProbeOutcome


@dataclass(frozen=True, slots=True)
class PeerSendFailed:
    """A message could not be queued on the connection to a peer."""

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
    """The platform reported all changes between two revisions."""

    result: WatchResult


@dataclass(frozen=True, slots=True)
class PlatformCallFailed:
    """A list or watch call to the platform failed.

    A failed call of ``CallPlatform`` is reported with ``PlatformAnswered``.
    """


@dataclass(frozen=True, slots=True)
class PlatformAnswered:
    """A call requested with ``CallPlatform`` ended."""

    purpose: CallPurpose
    answer: PlatformAnswer


@dataclass(frozen=True, slots=True)
class StopRequested:
    """A planned stop was requested."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Periodic timer event."""


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

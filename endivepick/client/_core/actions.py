"""Inputs and actions of the protocol core."""

from collections import Counter
from dataclasses import dataclass, field

from endivepick.client.errors import OpenError, RequestError
from endivepick.client.model import Answer, StreamEvent, StreamHead
from endivepick.core.messages import CallerPacket, RequestHead
from endivepick.core.packet_codec import encode_packet

__all__ = [
    "Action",
    "Completed",
    "EventArrived",
    "FlowOpened",
    "HeadArrived",
    "OpenFailed",
    "Outbox",
    "RequestCall",
    "SendDatagram",
    "WriteLog",
]


@dataclass(frozen=True, slots=True)
class RequestCall:
    """A request that the program wants to send.

    Attributes
    ----------
    request_id : int
        Identifier of the request in the program.
    flow_id : int
        Flow to send it on.
    head : RequestHead
        Method, path, headers and body.
    idempotent : bool
        Whether the request may run more than once.
    deadline_at_s : float
        Deadline of the request, on the core's clock.
    """

    request_id: int
    flow_id: int
    head: RequestHead
    idempotent: bool
    deadline_at_s: float


@dataclass(frozen=True, slots=True)
class SendDatagram:
    """Send a datagram to the fabric."""

    datagram: bytes


@dataclass(frozen=True, slots=True)
class FlowOpened:
    """The flow requested with ``open_id`` is open."""

    open_id: int
    flow_id: int


@dataclass(frozen=True, slots=True)
class OpenFailed:
    """The opening of the flow requested with ``open_id`` failed."""

    open_id: int
    error: OpenError


@dataclass(frozen=True, slots=True)
class HeadArrived:
    """The status and headers of a stream arrived."""

    request_id: int
    head: StreamHead


@dataclass(frozen=True, slots=True)
class EventArrived:
    """The next event of a stream arrived."""

    request_id: int
    event: StreamEvent


@dataclass(frozen=True, slots=True)
class Completed:
    """A request ended; no further action refers to it."""

    request_id: int
    result: Answer | RequestError


@dataclass(frozen=True, slots=True)
class WriteLog:
    """Write a log event.

    Attributes
    ----------
    name : str
        Name of the event.
    message : str
        Text of the log event.
    flow_id : int
        Flow that the event concerns.
    binding : int or None
        Binding of the flow's token, if known.
    seq : int
        Request number; 0 for an event of the flow itself.
    """

    name: str
    message: str
    flow_id: int
    binding: int | None
    seq: int = 0


Action = (
    SendDatagram
    | FlowOpened
    | OpenFailed
    | HeadArrived
    | EventArrived
    | Completed
    | WriteLog
)


@dataclass(slots=True)
class Outbox:
    """Collects the actions and counts of the core.

    Attributes
    ----------
    actions : list
        Actions since the last `take_actions`.
    counts : collections.Counter
        Protocol counters, by name: dropped, duplicate and retransmitted packets,
        polls and socket errors.
    """

    actions: list[Action] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)

    def send(self, packet: CallerPacket) -> None:
        """Add an action that sends a packet."""
        self.actions.append(SendDatagram(encode_packet(packet)))

    def emit(self, action: Action) -> None:
        """Add an action."""
        self.actions.append(action)

    def take_actions(self) -> list[Action]:
        """Remove and return all actions."""
        actions = self.actions
        self.actions = []
        return actions

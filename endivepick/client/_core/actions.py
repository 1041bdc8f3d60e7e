"""What goes into and comes out of the core."""

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
        Number by which the program knows the request.
    flow_id : int
        Flow to send it on.
    head : RequestHead
        The request itself.
    idempotent : bool
        Whether it may run more than once.
    deadline_at_s : float
        When the program stops waiting, on the core's clock.
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
    """The flow asked for by ``open_id`` is open."""

    open_id: int
    flow_id: int


@dataclass(frozen=True, slots=True)
class OpenFailed:
    """The flow asked for by ``open_id`` will not be opened."""

    open_id: int
    error: OpenError


@dataclass(frozen=True, slots=True)
class HeadArrived:
    """Status and headers of a stream are known."""

    request_id: int
    head: StreamHead


@dataclass(frozen=True, slots=True)
class EventArrived:
    """The next event of a stream."""

    request_id: int
    event: StreamEvent


@dataclass(frozen=True, slots=True)
class Completed:
    """A request has ended; nothing more comes for it."""

    request_id: int
    result: Answer | RequestError


@dataclass(frozen=True, slots=True)
class WriteLog:
    """Write an event into the log.

    Attributes
    ----------
    name : str
        Name of the event.
    message : str
        Short sentence.
    flow_id : int
        Flow that it is about.
    binding : int or None
        Binding of its token, if known.
    seq : int
        Request number; 0 for an event of the flow.
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
    """Collects actions and counts.

    Attributes
    ----------
    actions : list
        Actions since the last `drain`.
    counts : collections.Counter
        What was dropped or repeated, by name.
    """

    actions: list[Action] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)

    def send(self, packet: CallerPacket) -> None:
        """Add a datagram."""
        self.actions.append(SendDatagram(encode_packet(packet)))

    def emit(self, action: Action) -> None:
        """Add an action."""
        self.actions.append(action)

    def drain(self) -> list[Action]:
        """Take all actions out."""
        actions = self.actions
        self.actions = []
        return actions

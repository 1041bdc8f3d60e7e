"""Messages from the greenlets of the program to the socket task."""

from dataclasses import dataclass
from typing import Protocol

from gevent.event import AsyncResult

from endivepick.client.errors import OpenError, RequestError
from endivepick.client.model import Answer, StreamEvent, StreamHead
from endivepick.core.messages import RequestHead

__all__ = [
    "AbandonOpen",
    "CancelRequest",
    "CloseFlow",
    "DatagramsArrived",
    "OpenFlow",
    "RequestSink",
    "SendRequest",
    "Stop",
    "TaskMessage",
]


class RequestSink(Protocol):
    """Receives the progress and the result of one request."""

    def on_head(self, head: StreamHead) -> None:
        """Receive the status and headers of a stream."""

    def on_event(self, event: StreamEvent) -> bool:
        """Receive an event; return False if the buffer is full."""

    def on_end(self, result: Answer | RequestError) -> None:
        """Receive the answer or the error that ends the request."""


@dataclass(frozen=True, slots=True)
class OpenFlow:
    """Open a flow; ``opened`` receives its flow id or the error."""

    open_id: int
    service: str
    timeout_s: float
    opened: "AsyncResult[int | OpenError]"


@dataclass(frozen=True, slots=True)
class AbandonOpen:
    """Abandon the opening of a flow."""

    open_id: int


@dataclass(frozen=True, slots=True)
class SendRequest:
    """Send a request; ``sink`` receives its progress and result."""

    request_id: int
    flow_id: int
    head: RequestHead
    idempotent: bool
    timeout_s: float
    sink: RequestSink


@dataclass(frozen=True, slots=True)
class CancelRequest:
    """Cancel a request."""

    request_id: int


@dataclass(frozen=True, slots=True)
class CloseFlow:
    """Close a flow."""

    flow_id: int


@dataclass(frozen=True, slots=True)
class DatagramsArrived:
    """Process datagrams read from the socket."""

    datagrams: list[bytes]


@dataclass(frozen=True, slots=True)
class Stop:
    """Close all flows and end the socket task."""


TaskMessage = (
    OpenFlow
    | AbandonOpen
    | SendRequest
    | CancelRequest
    | CloseFlow
    | DatagramsArrived
    | Stop
)

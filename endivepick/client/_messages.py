"""Messages from the program's tasks to the socket task."""

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
    """Where the news about one request go."""

    def on_head(self, head: StreamHead) -> None:
        """Take status and headers of a stream."""

    def on_event(self, event: StreamEvent) -> bool:
        """Take an event; False if there is no room for more."""

    def on_end(self, result: Answer | RequestError) -> None:
        """Take the end."""


@dataclass(frozen=True, slots=True)
class OpenFlow:
    """Open a flow; ``opened`` receives its id or the error."""

    open_id: int
    service: str
    timeout_s: float
    opened: "AsyncResult[int | OpenError]"


@dataclass(frozen=True, slots=True)
class AbandonOpen:
    """Give an opening up."""

    open_id: int


@dataclass(frozen=True, slots=True)
class SendRequest:
    """Send a request; ``sink`` receives what comes of it."""

    request_id: int
    flow_id: int
    head: RequestHead
    idempotent: bool
    timeout_s: float
    sink: RequestSink


@dataclass(frozen=True, slots=True)
class CancelRequest:
    """Give a request up."""

    request_id: int


@dataclass(frozen=True, slots=True)
class CloseFlow:
    """Close a flow."""

    flow_id: int


@dataclass(frozen=True, slots=True)
class DatagramsArrived:
    """Datagrams that the socket had."""

    datagrams: list[bytes]


@dataclass(frozen=True, slots=True)
class Stop:
    """Close all flows and end."""


TaskMessage = (
    OpenFlow
    | AbandonOpen
    | SendRequest
    | CancelRequest
    | CloseFlow
    | DatagramsArrived
    | Stop
)

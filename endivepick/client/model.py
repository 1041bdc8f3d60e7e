"""Data classes of the public interface: answers and stream events."""

from dataclasses import dataclass, field

__all__ = ["Answer", "StreamEvent", "StreamHead"]

Headers = list[tuple[str, str]]


@dataclass(frozen=True, slots=True)
class Answer:
    """A complete answer.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : list of tuple of str
        Response headers, in order.
    body : bytes
        Complete body.
    """

    status: int
    headers: Headers = field(default_factory=list)
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class StreamHead:
    """Status and headers of an answer that is a stream."""

    status: int
    headers: Headers = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One server-sent event.

    Attributes
    ----------
    event_id : str
        Last event id that the target sent; empty if it sent none.
    event : str
        Event type; ``message`` if the target sent none.
    data : str
        Data lines of the event, joined by newlines.
    """

    event_id: str
    event: str
    data: str

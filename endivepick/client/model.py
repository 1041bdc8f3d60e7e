"""Data classes that the caller's program sees."""

from dataclasses import dataclass, field

__all__ = ["Answer", "StreamEvent", "StreamHead"]

Headers = list[tuple[str, str]]


@dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : list of tuple of str
        Headers, in order.
    body : bytes
        Whole body.
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
        Last id that the target gave, empty if it gave none.
    event : str
        Type of the event, ``message`` if the target named none.
    data : str
        Lines of the event, joined by newlines.
    """

    event_id: str
    event: str
    data: str

"""Splits a server-sent event stream into complete events."""

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

__all__ = ["StreamEvent", "split_events"]

EVENT_SIZE_BYTES_MAX = 1 << 20
_SEPARATOR = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID_LINE = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)


@dataclass(frozen=True)
class StreamEvent:
    """Raw bytes of one event, and its id (empty if it has none)."""

    data: bytes
    event_id: str


def split_events(chunks: Iterable[bytes]) -> Iterator[StreamEvent]:
    r"""Yield each event as soon as its last byte is received.

    An incomplete event at the end is dropped, because the resumed stream repeats
    it completely.

    Raises
    ------
    ValueError
        If an event is larger than 1 MiB.

    Examples
    --------
    >>> [event.event_id for event in split_events([b"id: 1\ndata: a\n", b"\n"])]
    ['1']
    """
    pending = b""
    for chunk in chunks:
        pending += chunk
        while match := _SEPARATOR.search(pending):
            yield _parse_event(pending[: match.end()])
            pending = pending[match.end() :]
        if len(pending) > EVENT_SIZE_BYTES_MAX:
            raise ValueError("event of the stream exceeds 1 MiB")


def _parse_event(data: bytes) -> StreamEvent:
    match = _ID_LINE.search(data)
    event_id = match.group(1).decode("utf-8", "replace") if match else ""
    return StreamEvent(data, event_id)

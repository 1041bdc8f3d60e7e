"""Cuts an event stream into whole events."""

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

__all__ = ["StreamEvent", "split_events"]

EVENT_SIZE_BYTES_MAX = 1 << 20
_SEPARATOR = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID_LINE = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)


@dataclass(frozen=True)
class StreamEvent:
    """One event as the target wrote it, and its id (empty if it has none)."""

    data: bytes
    event_id: str


def split_events(chunks: Iterable[bytes]) -> Iterator[StreamEvent]:
    r"""Yield each event as soon as its last byte is in.

    An event that the target cut off is dropped: the resumed stream brings it
    again, whole.

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
        while found := _SEPARATOR.search(pending):
            yield _event(pending[: found.end()])
            pending = pending[found.end() :]
        if len(pending) > EVENT_SIZE_BYTES_MAX:
            raise ValueError("Send events of at most 1 MiB.")


def _event(data: bytes) -> StreamEvent:
    found = _ID_LINE.search(data)
    event_id = found.group(1).decode("utf-8", "replace") if found else ""
    return StreamEvent(data, event_id)

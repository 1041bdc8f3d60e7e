"""Server-sent events, parsed from the body of an answer."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from endivepick.client.model import StreamEvent

__all__ = ["EventParser", "EventTooLongError"]

MAX_EVENT_BYTES = 1 << 20


class EventTooLongError(Exception):
    """One event is longer than the parser collects."""


@dataclass(slots=True)
class EventParser:
    r"""Parser of ``text/event-stream``.

    Attributes
    ----------
    last_event_id : str
        Id of the last whole event; a stream goes on after it.

    Examples
    --------
    >>> parser = EventParser()
    >>> [event.data for event in parser.feed(b"id: 7\ndata: hello\n\n")]
    ['hello']
    >>> parser.last_event_id
    '7'
    """

    last_event_id: str = ""
    _rest: bytes = b""
    _id: str = ""
    _event: str = ""
    _data: list[str] = field(default_factory=list)
    _data_bytes: int = 0

    def feed(self, chunk: bytes) -> Iterator[StreamEvent]:
        """Take bytes and yield the events that they complete.

        Raises
        ------
        EventTooLongError
            If an event exceeds 1 MB.
        """
        lines = (self._rest + chunk).split(b"\n")
        self._rest = lines.pop()
        if len(self._rest) + self._data_bytes > MAX_EVENT_BYTES:
            raise EventTooLongError
        for line in lines:
            event = self._take_line(line.rstrip(b"\r").decode("utf-8", "replace"))
            if event is not None:
                yield event

    def restart(self) -> None:
        """Forget a half event: the stream goes on after the last whole one."""
        self._rest = b""
        self._id = self.last_event_id
        self._clear_event()

    def _clear_event(self) -> None:
        self._event = ""
        self._data = []
        self._data_bytes = 0

    def _take_line(self, line: str) -> StreamEvent | None:
        if not line:
            return self._finish_event()
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        match name:
            case "data":
                self._data.append(value)
                self._data_bytes += len(value)
            case "id":
                self._id = value
            case "event":
                self._event = value
        return None

    def _finish_event(self) -> StreamEvent | None:
        self.last_event_id = self._id
        if not self._data:
            self._clear_event()
            return None
        event = StreamEvent(self._id, self._event or "message", "\n".join(self._data))
        self._clear_event()
        return event

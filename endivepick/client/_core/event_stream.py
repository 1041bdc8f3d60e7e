"""Parser of server-sent events in the body of an answer."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from endivepick.client.model import StreamEvent

__all__ = ["EventParser", "EventTooLongError"]

MAX_EVENT_BYTES = 1 << 20


class EventTooLongError(Exception):
    """An event exceeds the maximum size."""


@dataclass(slots=True)
class EventParser:
    r"""Parser of ``text/event-stream``.

    Attributes
    ----------
    last_event_id : str
        Id of the last whole event, from which a stream is resumed.

    Examples
    --------
    >>> parser = EventParser()
    >>> [event.data for event in parser.feed(b"id: 7\ndata: hello\n\n")]
    ['hello']
    >>> parser.last_event_id
    '7'
    """

    last_event_id: str = ""
    _incomplete_line: bytes = b""
    _id: str = ""
    _event: str = ""
    _data: list[str] = field(default_factory=list)
    _data_bytes: int = 0

    def feed(self, chunk: bytes) -> Iterator[StreamEvent]:
        """Parse bytes and yield the events that they complete.

        Raises
        ------
        EventTooLongError
            If an event exceeds 1 MB.
        """
        lines = (self._incomplete_line + chunk).split(b"\n")
        self._incomplete_line = lines.pop()
        # The other lines of this chunk are not parsed yet and not counted here.
        if len(self._incomplete_line) + self._data_bytes > MAX_EVENT_BYTES:
            raise EventTooLongError
        for line in lines:
            event = self._parse_line(line.rstrip(b"\r").decode("utf-8", "replace"))
            if event is not None:
                yield event

    def restart(self) -> None:
        """Discard an incomplete event; the stream resumes after the last whole one."""
        self._incomplete_line = b""
        self._id = self.last_event_id
        self._clear_event()

    def _clear_event(self) -> None:
        self._event = ""
        self._data = []
        self._data_bytes = 0

    def _parse_line(self, line: str) -> StreamEvent | None:
        if not line:
            return self._finish_event()
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        match name:
            case "data":
                self._data.append(value)
                # Counts characters, which are at most as many as the bytes.
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

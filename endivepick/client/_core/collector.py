"""What is made of the parts of an answer: a body, or the events of a stream."""

from dataclasses import dataclass, field

from endivepick.client._core.actions import EventArrived, HeadArrived, Outbox
from endivepick.client._core.event_stream import EventParser, EventTooLongError
from endivepick.client.model import Answer, StreamHead
from endivepick.core.messages import AnswerHead, RequestHead
from endivepick.core.packet_codec import decode_struct
from endivepick.errors import PacketInvalidError

__all__ = ["AnswerUnusableError", "BodyCollector", "Collector", "StreamCollector"]

LAST_EVENT_ID = "Last-Event-ID"
FIRST_STATUS_WITHOUT_STREAM = 300


class AnswerUnusableError(Exception):
    """The answer arrived but cannot be handed on."""


def _decode_head(data: bytes) -> AnswerHead:
    try:
        return decode_struct(data, AnswerHead)
    except PacketInvalidError as error:
        raise AnswerUnusableError("head of the answer is malformed") from error


@dataclass(slots=True)
class BodyCollector:
    """Collects a whole body.

    Parameters
    ----------
    max_answer_bytes : int
        Longest body, in bytes.
    """

    max_answer_bytes: int
    _head: AnswerHead = field(default_factory=lambda: AnswerHead(0, []))
    _chunks: list[bytes] = field(default_factory=list)
    _size_bytes: int = 0

    def add(self, index: int, data: bytes) -> None:
        """Take the next part in order."""
        if index == 0:
            self._head = _decode_head(data)
            return
        self._size_bytes += len(data)
        if self._size_bytes > self.max_answer_bytes:
            raise AnswerUnusableError("answer is longer than max_answer_bytes")
        self._chunks.append(data)

    def finish(self) -> Answer:
        """Return the whole answer."""
        return Answer(self._head.status, self._head.headers, b"".join(self._chunks))

    def restart(self) -> None:
        """Drop everything: the answer begins anew."""
        self._chunks = []
        self._size_bytes = 0

    def resumed(self, head: RequestHead) -> RequestHead:
        """Return the request to send after the owner was lost."""
        return head


@dataclass(slots=True)
class StreamCollector:
    """Hands the events of a stream on as they arrive.

    Parameters
    ----------
    request_id : int
        Request that the events belong to.
    outbox : Outbox
        Where they go.
    """

    request_id: int
    outbox: Outbox
    _head: AnswerHead = field(default_factory=lambda: AnswerHead(0, []))
    _parser: EventParser = field(default_factory=EventParser)

    def add(self, index: int, data: bytes) -> None:
        """Take the next part in order."""
        if index == 0:
            self._head = _decode_head(data)
            head = StreamHead(self._head.status, self._head.headers)
            self.outbox.emit(HeadArrived(self.request_id, head))
            return
        if self._head.status >= FIRST_STATUS_WITHOUT_STREAM:
            return
        try:
            for event in self._parser.feed(data):
                self.outbox.emit(EventArrived(self.request_id, event))
        except EventTooLongError as error:
            raise AnswerUnusableError("event is longer than 1 MB") from error

    def finish(self) -> Answer:
        """Return status and headers; the events were handed on."""
        return Answer(self._head.status, self._head.headers)

    def restart(self) -> None:
        """Go on after the last whole event."""
        self._parser.restart()

    def resumed(self, head: RequestHead) -> RequestHead:
        """Return the request that goes on after the last whole event."""
        last_event_id = self._parser.last_event_id
        if not last_event_id:
            return head
        name = LAST_EVENT_ID.lower()
        headers = [pair for pair in head.headers if pair[0].lower() != name]
        headers.append((LAST_EVENT_ID, last_event_id))
        return RequestHead(head.method, head.path, headers, head.body, head.stream)


Collector = BodyCollector | StreamCollector

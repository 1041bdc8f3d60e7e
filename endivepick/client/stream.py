"""Long-lived answers, read event by event."""

from collections.abc import Callable

from gevent.event import AsyncResult
from gevent.queue import Queue

from endivepick.client.errors import (
    OutcomeUnknown,
    RequestError,
    StreamAnswerError,
)
from endivepick.client.model import Answer, StreamEvent, StreamHead

__all__ = ["EventStream"]

MIN_NON_STREAM_STATUS = 300


class EventStream:
    """Iterator over the events of one stream.

    Each event is delivered once and in order. The iteration ends when the target
    ends the stream.

    Parameters
    ----------
    max_events : int
        Maximum number of unread events. If the reader falls further behind, the
        stream ends with `OutcomeUnknown`.
    cancel : callable
        Cancels the request of the stream.

    Raises
    ------
    RequestError
        While iterating, if the stream ended with an error.
    StreamAnswerError
        While iterating, if the target answered without a stream.
    """

    def __init__(self, max_events: int, cancel: Callable[[], None]) -> None:
        self._max_events = max_events
        self._cancel = cancel
        self._head: AsyncResult[StreamHead | RequestError] = AsyncResult()
        self._events: Queue[StreamEvent | Answer | RequestError] = Queue()
        self._failure: Exception | None = None
        self._ended = False
        self._overflowed = False

    # Called by the socket task

    def on_head(self, head: StreamHead) -> None:
        """Receive the status and headers."""
        self._head.set(head)
        if head.status >= MIN_NON_STREAM_STATUS:
            self._failure = StreamAnswerError(head.status)

    def on_event(self, event: StreamEvent) -> bool:
        """Receive an event; return False if the reader is too far behind."""
        if self._events.qsize() >= self._max_events:
            self._overflowed = True
            return False
        self._events.put(event)
        return True

    def on_end(self, result: Answer | RequestError) -> None:
        """Receive the answer or the error that ends the stream."""
        if self._overflowed:
            result = OutcomeUnknown("the reader of the stream was too slow")
        if not self._head.ready():
            self._head.set(_head_of(result))
        self._events.put(result)

    # Called by the reader

    def head(self, timeout_s: float | None = None) -> StreamHead:
        """Wait for the status and headers.

        Raises
        ------
        RequestError
            If the request ended before they arrived.
        gevent.Timeout
            If they did not arrive within ``timeout_s``.
        """
        head = self._head.get(timeout=timeout_s)
        if isinstance(head, RequestError):
            raise head
        return head

    def __iter__(self) -> "EventStream":
        return self

    def __next__(self) -> StreamEvent:
        if self._ended:
            raise StopIteration
        item = self._events.get()
        if isinstance(item, StreamEvent):
            return item
        self._ended = True
        if self._failure is not None:
            raise self._failure
        if isinstance(item, RequestError):
            raise item
        raise StopIteration

    def close(self) -> None:
        """Cancel the stream; the target is notified."""
        self._cancel()


def _head_of(result: Answer | RequestError) -> StreamHead | RequestError:
    if isinstance(result, Answer):
        return StreamHead(result.status, result.headers)
    return result

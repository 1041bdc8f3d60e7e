"""Public classes of the caller library, for programs that use gevent."""

import itertools
import secrets
from collections import Counter
from collections.abc import Iterator, Sequence
from contextlib import contextmanager

import gevent
from gevent.event import AsyncResult
from returns.result import Failure, Result, Success

from endivepick.client._messages import (
    AbandonOpen,
    CancelRequest,
    CloseFlow,
    OpenFlow,
    RequestSink,
    SendRequest,
    Stop,
)
from endivepick.client._task import SocketTask
from endivepick.client.errors import CallerClosed, NotRun, OpenError, RequestError
from endivepick.client.model import Answer, StreamEvent, StreamHead
from endivepick.client.settings import CallerSettings
from endivepick.client.stream import EventStream
from endivepick.core.messages import RequestHead

__all__ = ["Caller", "Flow", "PendingRequest", "open_caller"]

DEFAULT_OPEN_S = 5.0
DEFAULT_REQUEST_S = 10.0
DEFAULT_STREAM_S = 12 * 3600.0

Headers = Sequence[tuple[str, str]]


class PendingRequest:
    """A request in progress.

    Parameters
    ----------
    task : SocketTask
        Socket task that processes the request.
    request_id : int
        Identifier of the request in the socket task.
    """

    def __init__(self, task: SocketTask, request_id: int) -> None:
        self._task = task
        self._request_id = request_id
        self._result: AsyncResult[Answer | RequestError] = AsyncResult()

    def on_head(self, head: StreamHead) -> None:
        """Ignore the status and headers of a stream."""

    def on_event(self, event: StreamEvent) -> bool:
        """Ignore an event of a stream."""
        return True

    def on_end(self, result: Answer | RequestError) -> None:
        """Store the result."""
        self._result.set(result)

    def cancel(self) -> None:
        """Cancel the request; `result` then reports whether it may have run."""
        self._task.inbox.put(CancelRequest(self._request_id))

    def result(self) -> Result[Answer, RequestError]:
        """Wait for the result.

        If the waiting greenlet is killed, the request is cancelled.
        """
        try:
            result = self._result.get()
        except BaseException:
            self.cancel()
            raise
        if isinstance(result, RequestError):
            return Failure(result)
        return Success(result)


class Flow:
    """An open flow to one service.

    Parameters
    ----------
    caller : Caller
        Caller that opened the flow.
    flow_id : int
        Identifier of the flow, the same for all its tokens.
    service : str
        Name of the service.
    """

    def __init__(self, caller: "Caller", flow_id: int, service: str) -> None:
        self.flow_id = flow_id
        self.service = service
        self._caller = caller

    def request(
        self,
        method: str = "GET",
        path: str = "/",
        headers: Headers = (),
        body: bytes = b"",
        idempotent: bool = False,
        deadline_s: float = DEFAULT_REQUEST_S,
    ) -> Result[Answer, RequestError]:
        """Send a request and wait for its complete answer.

        Parameters
        ----------
        method, path : str
            HTTP method and path.
        headers : sequence of tuple of str
            Request headers, in order.
        body : bytes
            Request body.
        idempotent : bool
            Whether the request may run more than once. Only idempotent requests
            are sent again when the owner of the flow is lost.
        deadline_s : float
            Time limit for the answer, in seconds.

        Returns
        -------
        returns.result.Result
            The answer, or `NotRun`, `OutcomeUnknown` or `GaveUp`.
        """
        pending = self.send(method, path, headers, body, idempotent, deadline_s)
        return pending.result()

    def send(
        self,
        method: str = "GET",
        path: str = "/",
        headers: Headers = (),
        body: bytes = b"",
        idempotent: bool = False,
        deadline_s: float = DEFAULT_REQUEST_S,
    ) -> PendingRequest:
        """Send a request without waiting for its answer.

        The parameters are those of `request`.
        """
        head = RequestHead(method, path, list(headers), body)
        request_id = self._caller.next_request_id()
        pending = PendingRequest(self._caller.task, request_id)
        self._submit(request_id, head, idempotent, deadline_s, pending)
        return pending

    def stream(
        self,
        path: str,
        headers: Headers = (),
        method: str = "GET",
        body: bytes = b"",
        idempotent: bool = True,
        deadline_s: float = DEFAULT_STREAM_S,
    ) -> EventStream:
        """Request an event stream and return an iterator over its events.

        If the owner of the flow is lost, an idempotent stream resumes after the
        last received event. The parameters are those of `request`.
        """
        request_id = self._caller.next_request_id()
        head = RequestHead(method, path, list(headers), body, stream=True)
        inbox = self._caller.task.inbox
        stream = EventStream(
            max_events=self._caller.settings.stream_buffer_events,
            cancel=lambda: inbox.put(CancelRequest(request_id)),
        )
        self._submit(request_id, head, idempotent, deadline_s, stream)
        return stream

    def _submit(
        self,
        request_id: int,
        head: RequestHead,
        idempotent: bool,
        deadline_s: float,
        sink: RequestSink,
    ) -> None:
        if self._caller.closed:
            sink.on_end(NotRun("the caller is closed"))
            return
        message = SendRequest(
            request_id, self.flow_id, head, idempotent, deadline_s, sink
        )
        self._caller.task.inbox.put(message)

    def close(self) -> None:
        """Close the flow and cancel its requests in progress."""
        self._caller.task.inbox.put(CloseFlow(self.flow_id))


class Caller:
    """Opens flows through the fabric; created by `open_caller`.

    Parameters
    ----------
    settings : CallerSettings
        Settings of the caller.
    """

    def __init__(self, settings: CallerSettings) -> None:
        self.settings = settings
        self._closing = False
        self.task = SocketTask(settings)
        self._greenlet = gevent.spawn(self.task.run)
        self._request_ids = itertools.count(1)

    @property
    def closed(self) -> bool:
        """Whether `close` was called or the socket task has failed."""
        return self._closing or self._greenlet.ready()

    def next_request_id(self) -> int:
        """Return an identifier for the next request."""
        return next(self._request_ids)

    @property
    def counts(self) -> Counter[str]:
        """Protocol counters, by name.

        They cover dropped, duplicate and retransmitted packets, polls and socket
        errors.
        """
        return self.task.counts

    def open(
        self, service: str, deadline_s: float = DEFAULT_OPEN_S
    ) -> Result[Flow, OpenError]:
        """Open a flow to a service.

        Parameters
        ----------
        service : str
            Name of the service.
        deadline_s : float
            Time limit for the opening, in seconds.

        Returns
        -------
        returns.result.Result
            The flow, or `OpenRefused`, `OpenTimedOut` or `CallerClosed`.
        """
        if self.closed:
            return Failure(CallerClosed())
        opened: AsyncResult[int | OpenError] = AsyncResult()
        open_id = secrets.randbits(63)
        self.task.inbox.put(OpenFlow(open_id, service, deadline_s, opened))
        try:
            result = opened.get()
        except BaseException:
            self.task.inbox.put(AbandonOpen(open_id))
            raise
        if isinstance(result, int):
            return Success(Flow(self, result, service))
        return Failure(result)

    def close(self) -> None:
        """Close all flows and the socket."""
        if self._closing:
            return
        self._closing = True
        self.task.inbox.put(Stop())
        self._greenlet.join()


@contextmanager
def open_caller(settings: CallerSettings) -> Iterator[Caller]:
    """Create a caller and close it, with all its flows, on exit.

    Examples
    --------
    >>> with open_caller(CallerSettings(fabric_address="127.0.0.1:7000")) as caller:
    ...     caller.closed
    False
    """
    caller = Caller(settings)
    try:
        yield caller
    finally:
        caller.close()

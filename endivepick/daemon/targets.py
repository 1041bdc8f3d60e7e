"""Tasks that send HTTP requests to targets, one per attempt."""

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import gevent
from gevent.pool import Group
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError
from urllib3.response import HTTPResponse

from endivepick.addresses import parse_address
from endivepick.core.actions import CancelAttempt, RequestId, StartAttempt
from endivepick.core.dispatch import (
    FinishKind,
)
from endivepick.core.events import (
    AttemptAnswered,
    AttemptFailed,
    Event,
    StreamData,
    StreamEnded,
    StreamOpened,
)
from endivepick.daemon.logs import PartLog
from endivepick.daemon.sse import split_events
from endivepick.settings.model import DaemonSettings

__all__ = ["TargetTasks", "target_tasks"]

MISDIRECTED_STATUS = 421
SHED_STATUS = 503
EXPIRED_STATUS = 504
NOT_RUN_HEADER = "Endivepick-Not-Run"
READ_SIZE_BYTES = 64 << 10
CANCEL_TIMEOUT_S = 1.0
_HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_log = PartLog("targets")


class _AnswerTooLargeError(Exception):
    """The response of the target exceeds the size limit."""


class TargetTasks:
    """Starts attempts, cancels them and reports their outcome.

    A connection is used for one request: if the target closes a persistent
    connection during a send, it is unknown whether the request ran.

    Parameters
    ----------
    settings : DaemonSettings
        Settings with the timeouts and the source address.
    deliver : callable
        Called with each event.
    """

    def __init__(
        self, settings: DaemonSettings, deliver: Callable[[Event], None]
    ) -> None:
        self._settings = settings
        self._deliver = deliver
        self._source = (parse_address(settings.listen.peer_address)[0], 0)
        self._attempts: dict[tuple[RequestId, int], tuple[gevent.Greenlet, str]] = {}
        self._group = Group()

    def start(self, action: StartAttempt) -> None:
        """Send a request to its target."""
        greenlet = self._group.spawn(self._run_and_deliver, action)
        key = (action.request_id, action.attempt)
        self._attempts[key] = (greenlet, _cancel_address_and_path(action))
        greenlet.link(lambda _: self._attempts.pop(key, None))

    def cancel(self, action: CancelAttempt) -> None:
        """Close the connection of an attempt; notify the target if requested."""
        entry = self._attempts.get((action.request_id, action.attempt))
        if entry is None:
            return
        greenlet, address_and_path = entry
        greenlet.kill(block=False)
        self._group.spawn(self._finish_cancellation, action, greenlet, address_and_path)

    def close(self) -> None:
        """End all tasks."""
        self._group.kill()

    @contextmanager
    def _connection(self, address: str, timeout_s: float) -> Iterator[HTTPConnection]:
        host, port = parse_address(address)
        connection = HTTPConnection(
            host, port, timeout=timeout_s, source_address=self._source
        )
        try:
            yield connection
        finally:
            connection.close()

    def _run_and_deliver(self, action: StartAttempt) -> None:
        self._deliver(self._run_attempt(action, time.monotonic()))

    def _finish_cancellation(
        self, action: CancelAttempt, greenlet: gevent.Greenlet, address_and_path: str
    ) -> None:
        greenlet.join()
        if isinstance(greenlet.value, gevent.GreenletExit):
            # The attempt reported nothing and may not have started.
            self._deliver(
                AttemptFailed(
                    action.request_id, action.attempt, FinishKind.CANCELLED, 0.0, 0.0
                )
            )
        if action.by_key:
            self._send_cancellation(address_and_path)

    def _run_attempt(self, action: StartAttempt, started_s: float) -> Event:
        connect_timeout_s = self._settings.targets.connect_timeout_s
        with self._connection(action.address, connect_timeout_s) as connection:
            try:
                connection.connect()
            except (HTTPError, OSError):
                return _build_failure(action, FinishKind.CONNECT_FAILED, started_s)
            try:
                return self._send_request(connection, action, started_s)
            except _AnswerTooLargeError:
                return _build_failure(action, FinishKind.BROKEN, started_s)
            except (HTTPError, OSError):
                return _build_failure(action, FinishKind.BROKEN, started_s)
            except gevent.Timeout:
                return _build_failure(action, FinishKind.LATE, started_s)

    def _send_request(
        self, connection: HTTPConnection, action: StartAttempt, started_s: float
    ) -> Event:
        head = action.head
        connection.timeout = None
        if connection.sock is not None:
            connection.sock.settimeout(None)
        with gevent.Timeout(action.timeout_s) as timeout:
            connection.request(
                head.method,
                head.path,
                body=head.body or None,
                headers=_request_headers(action),
                preload_content=False,
            )
            response = connection.getresponse()
            not_run = _not_run_kind(response)
            if not_run is not None:
                return _build_failure(
                    action, not_run, started_s, _retry_after_s(response)
                )
            if head.stream:
                # The caller decides how long a stream lasts, so it has no timeout.
                timeout.cancel()
                return self._stream(response, action)
            return AttemptAnswered(
                action.request_id,
                action.attempt,
                response.status,
                _answer_headers(response),
                self._read_body(response),
                time.monotonic() - started_s,
            )

    def _read_body(self, response: HTTPResponse) -> bytes:
        limit_bytes = self._settings.flow.answer_bytes_max
        chunks: list[bytes] = []
        size_bytes = 0
        for chunk in response.stream(READ_SIZE_BYTES):
            chunks.append(chunk)
            size_bytes += len(chunk)
            if size_bytes > limit_bytes:
                raise _AnswerTooLargeError
        return b"".join(chunks)

    def _stream(self, response: HTTPResponse, action: StartAttempt) -> Event:
        request_id, attempt = action.request_id, action.attempt
        self._deliver(
            StreamOpened(
                request_id, attempt, response.status, _answer_headers(response)
            )
        )
        for event in split_events(_iterate_chunks(response)):
            self._deliver(StreamData(request_id, attempt, event.data, event.event_id))
        return StreamEnded(request_id, attempt)

    def _send_cancellation(self, address_and_path: str) -> None:
        address, path = address_and_path.split("/", 1)
        try:
            with (
                gevent.Timeout(CANCEL_TIMEOUT_S),
                self._connection(address, CANCEL_TIMEOUT_S) as connection,
            ):
                connection.request("DELETE", f"/{path}", preload_content=True)
                connection.getresponse()
        except (HTTPError, OSError, gevent.Timeout) as error:
            _log.debug(
                "cancel_failed",
                "cancellation could not be sent to the target",
                reason=str(error),
            )


def _iterate_chunks(response: HTTPResponse) -> Iterator[bytes]:
    """Yield bytes of the body as soon as they arrive."""
    if response.chunked:
        yield from response.read_chunked()
        return
    while data := response.read1(READ_SIZE_BYTES):
        yield data


def _build_failure(
    action: StartAttempt,
    kind: FinishKind,
    started_s: float,
    retry_after_s: float = 0.0,
) -> AttemptFailed:
    duration_s = time.monotonic() - started_s
    return AttemptFailed(
        action.request_id, action.attempt, kind, duration_s, retry_after_s
    )


def _not_run_kind(response: HTTPResponse) -> FinishKind | None:
    """Return the finish kind if the target states that the request did not run."""
    if response.status == MISDIRECTED_STATUS:
        return FinishKind.MISDIRECTED
    if response.headers.get(NOT_RUN_HEADER, "").lower() != "true":
        return None
    if response.status == SHED_STATUS:
        return FinishKind.SHED
    if response.status == EXPIRED_STATUS:
        return FinishKind.EXPIRED
    return None


def _retry_after_s(response: HTTPResponse) -> float:
    try:
        return max(0.0, float(response.headers.get("Retry-After", "0")))
    except ValueError:
        return 0.0


def _answer_headers(response: HTTPResponse) -> list[tuple[str, str]]:
    return [
        (name, value)
        for name, value in response.headers.items()
        if name.lower() not in _HOP_BY_HOP_HEADERS
    ]


def _request_headers(action: StartAttempt) -> dict[str, str]:
    headers = {
        name: value
        for name, value in action.head.headers
        if name.lower() not in _HOP_BY_HOP_HEADERS
        and not name.lower().startswith("endivepick")
    }
    headers["Endivepick-Service"] = action.service
    headers["Endivepick-Target-Incarnation"] = str(action.target_incarnation)
    headers["Endivepick-Idempotent"] = "true" if action.idempotent else "false"
    headers["Endivepick-Deadline-Ms"] = str(int(action.timeout_s * 1000))
    headers["Idempotency-Key"] = action.idempotency_key
    headers["Connection"] = "close"
    if action.last_event_id:
        headers["Last-Event-ID"] = action.last_event_id
    return headers


def _cancel_address_and_path(action: StartAttempt) -> str:
    return f"{action.address}/requests/{action.idempotency_key}"


@contextmanager
def target_tasks(
    settings: DaemonSettings, deliver: Callable[[Event], None]
) -> Iterator[TargetTasks]:
    """Run attempts while the context is open."""
    tasks = TargetTasks(settings, deliver)
    try:
        yield tasks
    finally:
        tasks.close()

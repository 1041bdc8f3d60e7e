"""HTTP calls to an object API over one persistent connection."""

from collections.abc import Iterator
from contextlib import contextmanager
from select import POLLRDHUP
from socket import socket as PlainSocket

import gevent
import httptools
from gevent import monkey, socket
from msgspec import Struct

from endivepick.addresses import parse_address
from endivepick.clock import steady_now_s
from endivepick.errors import WatchExpiredError
from endivepick.store.outcomes import (
    Answer,
    AnswerLost,
    CallOutcome,
    NotSent,
    call_error,
    retry_after_s,
)

__all__ = ["CallLimits", "StoreCall", "StoreConnection", "store_connection"]

_READ_BYTES = 65536
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
"""TCP keepalive detects an unresponsive peer after three seconds."""
READ_TIMEOUT_S = 2.0
"""Maximum gap between two reads: a large response takes seconds on a slow link."""
_OK = 200
_CREATED = 201
_NOT_FOUND = 404
_CONFLICT = 409
_GONE = 410
_RETRY_AFTER = b"retry-after"
# Unpatched poll, so that the check of a connection between two calls never yields.
_poll = monkey.get_original("select", "poll")


class StoreCall(Struct, frozen=True):
    """Request of an object API call.

    Attributes
    ----------
    method : str
        HTTP method.
    path : str
        Path and query.
    body : bytes
        JSON body; empty for a request without a body.
    """

    method: str
    path: str
    body: bytes = b""


class CallLimits(Struct, frozen=True):
    """Timeouts of a call.

    Attributes
    ----------
    first_byte_s : float
        Timeout until the response begins, in seconds; includes connecting.
    read_s : float
        Timeout between two reads of the response, in seconds.
    connect_s : float or None
        Timeout of connecting, in seconds; None: ``first_byte_s`` alone applies.
    total_s : float or None
        Timeout of the whole call, in seconds; None: no further timeout.
    """

    first_byte_s: float
    read_s: float = READ_TIMEOUT_S
    connect_s: float | None = None
    total_s: float | None = None


class _ResponseReader:
    """Parser of one HTTP response."""

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._body = bytearray()
        self._retry_after_s: float | None = None
        self.complete = False
        self.keep_alive = False
        """Whether the connection stays open for a further call."""

    def feed(self, data: bytes) -> None:
        """Parse the next bytes."""
        self._parser.feed_data(data)

    def answer(self) -> Answer:
        """Return the response read so far; partial unless `complete` is set."""
        status = self._parser.get_status_code()
        return Answer(status, bytes(self._body), self._retry_after_s)

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == _RETRY_AFTER:
            self._retry_after_s = retry_after_s(value.decode("ascii", "replace"))

    def on_body(self, data: bytes) -> None:
        self._body += data

    def on_message_complete(self) -> None:
        self.complete = True
        # The parser resets this state when the callback returns.
        self.keep_alive = self._parser.should_keep_alive()


class StoreConnection:
    """Persistent connection that returns typed outcomes; it never retries a call.

    Parameters
    ----------
    address : str
        ``host:port`` of the object API.
    pending_socket : socket, default=None
        Connected socket on which the first request was already sent.
    source_host : str, default=""
        Local IPv4 address of the connection; the system chooses if it is empty.
    """

    def __init__(
        self,
        address: str,
        pending_socket: PlainSocket | None = None,
        source_host: str = "",
    ) -> None:
        self._address = address
        self._pending_socket = pending_socket
        self._source = (source_host, 0) if source_host else None
        self._socket: socket.socket | None = None
        self.received_s = float("-inf")
        """Monotonic time at which the last bytes arrived, in seconds."""

    @property
    def is_open(self) -> bool:
        """Whether there is an open connection, as far as is known."""
        return self._socket is not None

    def close(self) -> None:
        """Close the connection; the next call opens a new one."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def get(self, path: str, timeout_s: float) -> bytes:
        """Return the body of the response to a GET request.

        Parameters
        ----------
        path : str
            Path and query.
        timeout_s : float
            Timeout until the response begins, in seconds.

        Raises
        ------
        PlatformUnavailableError
            If there is no response, or the store rejects calls temporarily.
        WatchExpiredError
            If the store has discarded the requested history.
        PlatformAnswerError
            If the call was rejected for another reason.
        """
        return _get_body(path, self.call(StoreCall("GET", path), CallLimits(timeout_s)))

    def find(self, path: str, timeout_s: float) -> bytes | None:
        """Return the body of an object, None if the object does not exist.

        Parameters
        ----------
        path : str
            Path and query.
        timeout_s : float
            Timeout until the response begins, in seconds.

        Raises
        ------
        PlatformUnavailableError
            If there is no response, or the store rejects calls temporarily.
        PlatformAnswerError
            If the call was rejected for another reason.
        """
        match self.call(StoreCall("GET", path), CallLimits(timeout_s)):
            case Answer(status=status) if status == _NOT_FOUND:
                return None
            case outcome:
                return _get_body(path, outcome)

    def write(self, call: StoreCall, timeout_s: float) -> bool:
        """Write an object; returns False on a conflict with another writer.

        Parameters
        ----------
        call : StoreCall
            The call; it has to contain the precondition of the write.
        timeout_s : float
            Timeout until the response begins, in seconds.

        Raises
        ------
        PlatformUnavailableError
            If there is no response: the write may be applied, now or later.
        PlatformAnswerError
            If the call was rejected for another reason.
        """
        match self.call(call, CallLimits(timeout_s)):
            case Answer(status=status) if status in (_OK, _CREATED, _CONFLICT):
                return status != _CONFLICT
            case outcome:
                raise call_error(outcome)

    def call(self, call: StoreCall, limits: CallLimits) -> CallOutcome:
        """Make one call; failures are returned as outcomes and not raised.

        Parameters
        ----------
        call : StoreCall
            The call.
        limits : CallLimits
            Timeouts of the call.
        """
        try:
            with gevent.Timeout(limits.total_s):
                return self._call(call, limits)
        except (OSError, gevent.Timeout, httptools.HttpParserError) as error:
            self.close()
            return AnswerLost(repr(error))
        except BaseException:
            # The task was killed. The next call must not read the late response.
            self.close()
            raise

    def _call(self, call: StoreCall, limits: CallLimits) -> CallOutcome:
        reader = _ResponseReader()
        with gevent.Timeout(limits.first_byte_s):
            if self._pending_socket is not None:
                self._socket = _wrap_socket(self._pending_socket)
                self._pending_socket = None
            else:
                try:
                    connection = self._open_connection(limits)
                except (OSError, gevent.Timeout) as error:
                    return NotSent(repr(error))
                connection.sendall(self._encode(call))
            self._read_into(reader)
        while not reader.complete:
            with gevent.Timeout(limits.read_s):
                self._read_into(reader)
        if not reader.keep_alive:
            self.close()
        return reader.answer()

    def _open_connection(self, limits: CallLimits) -> socket.socket:
        if self._socket is not None and _is_closed_by_peer(self._socket):
            self.close()
        if self._socket is None:
            with gevent.Timeout(limits.connect_s):
                connection = socket.create_connection(
                    parse_address(self._address), source_address=self._source
                )
            self._socket = _set_options(connection)
        return self._socket

    def _encode(self, call: StoreCall) -> bytes:
        head = f"{call.method} {call.path} HTTP/1.1\r\nHost: {self._address}\r\n"
        if call.body:
            head += "Content-Type: application/json\r\n"
            head += f"Content-Length: {len(call.body)}\r\n"
        return f"{head}\r\n".encode() + call.body

    def _read_into(self, reader: _ResponseReader) -> None:
        assert self._socket is not None
        data = self._socket.recv(_READ_BYTES)
        if not data:
            raise ConnectionResetError(
                "connection closed before the response was complete"
            )
        self.received_s = steady_now_s()
        reader.feed(data)


@contextmanager
def store_connection(
    address: str, pending_socket: PlainSocket | None = None
) -> Iterator[StoreConnection]:
    """Provide a connection that is closed with the context; see `StoreConnection`."""
    connection = StoreConnection(address, pending_socket)
    try:
        yield connection
    finally:
        connection.close()


def _get_body(path: str, outcome: CallOutcome) -> bytes:
    match outcome:
        case Answer(status=status, data=data) if status == _OK:
            return data
        case Answer(status=status) if status == _GONE:
            raise WatchExpiredError(
                "The store discarded the requested changes. List again."
            )
        case Answer(status=status, data=data, retry_after_s=wait_s):
            raise call_error(Answer(status, f"{path}: ".encode() + data, wait_s))
        case _:
            raise call_error(outcome)


def _is_closed_by_peer(connection: socket.socket) -> bool:
    """Return whether the peer has closed or reset a connection."""
    poll = _poll()
    poll.register(connection.fileno(), POLLRDHUP)
    return bool(poll.poll(0))


def _wrap_socket(plain: PlainSocket) -> socket.socket:
    fileno = plain.detach()
    return _set_options(
        socket.socket(socket.AF_INET, socket.SOCK_STREAM, fileno=fileno)
    )


def _set_options(connection: socket.socket) -> socket.socket:
    options = {
        socket.TCP_KEEPIDLE: _KEEPALIVE_IDLE_S,
        socket.TCP_KEEPINTVL: _KEEPALIVE_INTERVAL_S,
        socket.TCP_KEEPCNT: _KEEPALIVE_PROBES,
        socket.TCP_NODELAY: 1,
    }
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in options.items():
        connection.setsockopt(socket.IPPROTO_TCP, option, value)
    return connection

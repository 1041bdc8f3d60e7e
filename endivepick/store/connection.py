"""Calls to an object API over one kept connection."""

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
_KEEPALIVE_GAP_S = 1
_KEEPALIVE_PROBES = 2
"""A connection that went silent is noticed after three seconds."""
READ_TIMEOUT_S = 2.0
"""Longest pause within an answer: a large one takes seconds on a slow link."""
_OK = 200
_CREATED = 201
_CONFLICT = 409
_GONE = 410
_RETRY_AFTER = b"retry-after"
# Never yields: what a connection shows is asked between two calls.
_poll = monkey.get_original("select", "poll")


class StoreCall(Struct, frozen=True):
    """One call.

    Attributes
    ----------
    method : str
        HTTP method.
    path : str
        Path and query.
    body : bytes
        JSON; empty if there is none.
    """

    method: str
    path: str
    body: bytes = b""


class CallLimits(Struct, frozen=True):
    """How long a call may take.

    Attributes
    ----------
    begin_s : float
        Until the answer begins, in seconds.
    pause_s : float
        Between two pieces of the answer, in seconds.
    connect_s : float or None
        To connect, in seconds; None: within ``first_byte_s`` only.
    whole_s : float or None
        For the whole call, in seconds; None: no further limit.
    """

    first_byte_s: float
    read_s: float = READ_TIMEOUT_S
    connect_s: float | None = None
    total_s: float | None = None


class _Reader:
    """Collects one response as httptools parses it."""

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._body = bytearray()
        self._retry_after_s: float | None = None
        self.complete = False
        self.kept = False
        """Whether the connection serves a further call."""

    def feed(self, data: bytes) -> None:
        """Take the next bytes."""
        self._parser.feed_data(data)

    def answer(self) -> Answer:
        """Return what was read; `complete` tells whether that is all."""
        status = self._parser.get_status_code()
        return Answer(status, bytes(self._body), self._retry_after_s)

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == _RETRY_AFTER:
            self._retry_after_s = retry_after_s(value.decode("ascii", "replace"))

    def on_body(self, data: bytes) -> None:
        self._body += data

    def on_message_complete(self) -> None:
        self.complete = True
        # The parser knows only until the callback returns.
        self.kept = self._parser.should_keep_alive()


class StoreConnection:
    """Typed answers to calls; repeats nothing by itself.

    Parameters
    ----------
    address : str
        ``host:port`` of the object API.
    asked : socket, default=None
        Connection on which the first request was sent already.
    source_host : str, default=""
        IPv4 address that calls come from; empty lets the system choose.
    """

    def __init__(
        self, address: str, asked: PlainSocket | None = None, source_host: str = ""
    ) -> None:
        self._address = address
        self._asked = asked
        self._source = (source_host, 0) if source_host else None
        self._socket: socket.socket | None = None
        self.received_s = float("-inf")
        """When the last bytes came, in seconds."""

    @property
    def is_open(self) -> bool:
        """Whether the next call needs no new connection, as far as is known."""
        return self._socket is not None

    def close(self) -> None:
        """Close the connection; the next call opens another."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def get(self, path: str, timeout_s: float) -> bytes:
        """Return the body of an answer.

        Parameters
        ----------
        path : str
            Path and query.
        timeout_s : float
            Longest wait until the answer begins, in seconds.

        Raises
        ------
        PlatformUnavailableError
            No answer, or the store refuses this instance for now.
        WatchExpiredError
            The history asked for is gone.
        PlatformAnswerError
            The call was refused for another reason.
        """
        match self.call(StoreCall("GET", path), CallLimits(timeout_s)):
            case Answer(status=status, data=data) if status == _OK:
                return data
            case Answer(status=status) if status == _GONE:
                raise WatchExpiredError("The changes asked for are gone. List again.")
            case Answer(status=status, data=data, retry_after_s=wait_s):
                raise call_error(Answer(status, f"{path}: ".encode() + data, wait_s))
            case outcome:
                raise call_error(outcome)

    def write(self, call: StoreCall, timeout_s: float) -> bool:
        """Write an object; returns False if another writer was first.

        Parameters
        ----------
        call : StoreCall
            The call; it has to carry the condition under which it holds.
        timeout_s : float
            Longest wait until the answer begins, in seconds.

        Raises
        ------
        PlatformUnavailableError
            No answer: it may have been done, or may be done later.
        PlatformAnswerError
            The call was refused for another reason.
        """
        match self.call(call, CallLimits(timeout_s)):
            case Answer(status=status) if status in (_OK, _CREATED, _CONFLICT):
                return status != _CONFLICT
            case outcome:
                raise call_error(outcome)

    def call(self, call: StoreCall, limits: CallLimits) -> CallOutcome:
        """Make one call; what became of it is told, never raised.

        Parameters
        ----------
        call : StoreCall
            The call.
        limits : CallLimits
            How long it may take.
        """
        try:
            with gevent.Timeout(limits.total_s):
                return self._call(call, limits)
        except (OSError, gevent.Timeout, httptools.HttpParserError) as error:
            self.close()
            return AnswerLost(repr(error))
        except BaseException:
            # The task was ended; a late answer would be read as that of another call.
            self.close()
            raise

    def _call(self, call: StoreCall, limits: CallLimits) -> CallOutcome:
        reader = _Reader()
        with gevent.Timeout(limits.first_byte_s):
            if self._asked is not None:
                self._socket = _adopt(self._asked)
                self._asked = None
            else:
                try:
                    connection = self._connected(limits)
                except (OSError, gevent.Timeout) as error:
                    return NotSent(repr(error))
                connection.sendall(self._encode(call))
            self._read_into(reader)
        while not reader.complete:
            with gevent.Timeout(limits.read_s):
                self._read_into(reader)
        if not reader.kept:
            self.close()
        return reader.answer()

    def _connected(self, limits: CallLimits) -> socket.socket:
        if self._socket is not None and _has_ended(self._socket):
            self.close()
        if self._socket is None:
            with gevent.Timeout(limits.connect_s):
                connection = socket.create_connection(
                    parse_address(self._address), source_address=self._source
                )
            self._socket = _with_options(connection)
        return self._socket

    def _encode(self, call: StoreCall) -> bytes:
        head = f"{call.method} {call.path} HTTP/1.1\r\nHost: {self._address}\r\n"
        if call.body:
            head += "Content-Type: application/json\r\n"
            head += f"Content-Length: {len(call.body)}\r\n"
        return f"{head}\r\n".encode() + call.body

    def _read_into(self, reader: _Reader) -> None:
        assert self._socket is not None
        data = self._socket.recv(_READ_BYTES)
        if not data:
            raise ConnectionResetError("closed before the answer was complete")
        self.received_s = steady_now_s()
        reader.feed(data)


@contextmanager
def store_connection(
    address: str, asked: PlainSocket | None = None
) -> Iterator[StoreConnection]:
    """Keep a connection while the context is open; see `StoreConnection`."""
    connection = StoreConnection(address, asked)
    try:
        yield connection
    finally:
        connection.close()


def _has_ended(connection: socket.socket) -> bool:
    """Tell whether the other side has closed or reset a connection."""
    poll = _poll()
    poll.register(connection.fileno(), POLLRDHUP)
    return bool(poll.poll(0))


def _adopt(plain: PlainSocket) -> socket.socket:
    fileno = plain.detach()
    return _with_options(
        socket.socket(socket.AF_INET, socket.SOCK_STREAM, fileno=fileno)
    )


def _with_options(connection: socket.socket) -> socket.socket:
    options = {
        socket.TCP_KEEPIDLE: _KEEPALIVE_IDLE_S,
        socket.TCP_KEEPINTVL: _KEEPALIVE_GAP_S,
        socket.TCP_KEEPCNT: _KEEPALIVE_PROBES,
        socket.TCP_NODELAY: 1,
    }
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in options.items():
        connection.setsockopt(socket.IPPROTO_TCP, option, value)
    return connection

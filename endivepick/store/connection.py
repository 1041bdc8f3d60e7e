"""Calls to the platform's object API over one kept connection."""

from collections.abc import Iterator
from contextlib import contextmanager
from socket import socket as PlainSocket

import gevent
import httptools
from gevent import socket

from endivepick.addresses import parse_address
from endivepick.errors import WatchExpiredError
from endivepick.forwarder.clock import steady_now_s
from endivepick.forwarder.ports import StoreWrite
from endivepick.store_calls import Answer, AnswerLost, call_error, retry_after_s

__all__ = ["StoreConnection", "store_connection"]

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


class _Answer:
    """Collects one response as httptools parses it."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.body = bytearray()
        self.complete = False
        self.kept = False
        self.retry_after_s: float | None = None

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == _RETRY_AFTER:
            self.retry_after_s = retry_after_s(value.decode("ascii", "replace"))

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        self.complete = True
        # The parser knows only until the callback returns.
        self.kept = self.parser.should_keep_alive()


class StoreConnection:
    """Typed answers to reading calls; repeats nothing by itself.

    Parameters
    ----------
    address : str
        ``host:port`` of the object API.
    asked : socket, default=None
        Connection on which the first request was sent already.
    """

    def __init__(self, address: str, asked: PlainSocket | None = None) -> None:
        self._address = address
        self._asked = asked
        self._socket: socket.socket | None = None
        self.received_s = float("-inf")
        """When the last bytes came, in seconds."""

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
        status, answer = self._exchange(StoreWrite("GET", path, b""), timeout_s)
        return _body_of(status, answer, path)

    def write(self, call: StoreWrite, timeout_s: float) -> bool:
        """Write an object; returns False if another writer was first.

        Parameters
        ----------
        call : StoreWrite
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
        status, answer = self._exchange(call, timeout_s)
        if status in (_OK, _CREATED, _CONFLICT):
            return status != _CONFLICT
        raise call_error(Answer(status, bytes(answer.body), answer.retry_after_s))

    def _exchange(self, call: StoreWrite, timeout_s: float) -> tuple[int, _Answer]:
        try:
            return self._try_exchange(call, timeout_s)
        except (OSError, gevent.Timeout, httptools.HttpParserError) as error:
            self.close()
            raise call_error(AnswerLost(repr(error))) from None

    def _try_exchange(self, call: StoreWrite, timeout_s: float) -> tuple[int, _Answer]:
        answer = _Answer()
        with gevent.Timeout(timeout_s):
            if self._asked is not None:
                self._socket = _adopt(self._asked)
                self._asked = None
            else:
                self._send(call)
            self._read_into(answer)
        while not answer.complete:
            with gevent.Timeout(READ_TIMEOUT_S):
                self._read_into(answer)
        if not answer.kept:
            self.close()
        return answer.parser.get_status_code(), answer

    def _send(self, call: StoreWrite) -> None:
        if self._socket is None:
            self._socket = _with_options(
                socket.create_connection(parse_address(self._address))
            )
        self._socket.sendall(self._encode(call))

    def _encode(self, call: StoreWrite) -> bytes:
        head = f"{call.method} {call.path} HTTP/1.1\r\nHost: {self._address}\r\n"
        if call.body:
            head += "Content-Type: application/json\r\n"
            head += f"Content-Length: {len(call.body)}\r\n"
        return f"{head}\r\n".encode() + call.body

    def _read_into(self, answer: _Answer) -> None:
        assert self._socket is not None
        data = self._socket.recv(_READ_BYTES)
        if not data:
            raise ConnectionResetError("closed before the answer was complete")
        self.received_s = steady_now_s()
        answer.parser.feed_data(data)


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


def _body_of(status: int, answer: _Answer, path: str) -> bytes:
    if status == _OK:
        return bytes(answer.body)
    if status == _GONE:
        raise WatchExpiredError("The changes asked for are gone. List again.")
    data = f"{path}: ".encode() + answer.body
    raise call_error(Answer(status, data, answer.retry_after_s))

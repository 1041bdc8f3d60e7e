"""Kept HTTP/1.1 connection for small, frequent questions."""

from collections.abc import Callable

import httptools
from gevent import socket

__all__ = ["AnswerError", "KeptHttp"]

READ_SIZE_BYTES = 64 << 10
ANSWER_SIZE_BYTES_MAX = 1 << 20
_LENGTH_HEADERS = frozenset({b"content-length", b"transfer-encoding"})


class AnswerError(Exception):
    """The other side's answer is no HTTP, too long or cut off."""


class _AnswerReader:
    """Parser of the answers on one connection, one after the other."""

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self.begin()

    def begin(self) -> None:
        """Get ready for the next answer."""
        self.body = b""
        self.is_complete = False
        self.keeps_connection = False
        self._in_body = False
        self._has_length = False

    def feed(self, data: bytes) -> None:
        """Take the next bytes; AnswerError if they are no HTTP or too many."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            raise AnswerError(str(error)) from error
        if len(self.body) > ANSWER_SIZE_BYTES_MAX:
            raise AnswerError("The answer is longer than a megabyte.")

    def end(self) -> None:
        """Take the end of the connection, which ends an answer without a length."""
        if not self._in_body:
            raise ConnectionResetError("closed before the answer")
        if self._has_length:
            raise AnswerError("The answer is cut off.")
        self.is_complete = True

    # Callbacks of the parser

    def on_header(self, name: bytes, _value: bytes) -> None:
        if name.lower() in _LENGTH_HEADERS:
            self._has_length = True

    def on_headers_complete(self) -> None:
        self._in_body = True

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        self.is_complete = True
        self.keeps_connection = self._parser.should_keep_alive()


class _Connection:
    """One TCP connection and the reader of its answers."""

    def __init__(
        self, address: tuple[str, int], source: tuple[str, int], timeout_s: float
    ) -> None:
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.reader = _AnswerReader()
        try:
            self.socket.settimeout(timeout_s)
            self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.socket.bind(source)
            self.socket.connect(address)
        except OSError:
            self.socket.close()
            raise

    def ask(self, request: bytes) -> bytes:
        """Send a request and return the body of its answer."""
        reader = self.reader
        reader.begin()
        self.socket.sendall(request)
        while not reader.is_complete:
            data = self.socket.recv(READ_SIZE_BYTES)
            if data:
                reader.feed(data)
            else:
                reader.end()
        return reader.body


class KeptHttp:
    """One connection, opened when it is needed and kept while it works.

    It never sends a request again by itself.

    Parameters
    ----------
    address : tuple of (str, int)
        IPv4 number and port to connect to.
    source : tuple of (str, int)
        IPv4 number and port to connect from.
    timeout_s : float
        Longest wait for the connection and for each read, in seconds.
    """

    def __init__(
        self, address: tuple[str, int], source: tuple[str, int], timeout_s: float
    ) -> None:
        self._host = f"{address[0]}:{address[1]}"
        self._connect: Callable[[], _Connection]
        self._connect = lambda: _Connection(address, source, timeout_s)
        self._connection: _Connection | None = None

    @property
    def is_open(self) -> bool:
        """Whether a connection of an earlier question is kept."""
        return self._connection is not None

    def get(self, path: str) -> bytes:
        """Return the body of the answer, whatever its status.

        Raises
        ------
        OSError
            If there is no connection or it breaks.
        AnswerError
            If the answer cannot be read.
        """
        if self._connection is None:
            self._connection = self._connect()
        request = f"GET {path} HTTP/1.1\r\nHost: {self._host}\r\n\r\n"
        body = self._connection.ask(request.encode())
        if not self._connection.reader.keeps_connection:
            self.close()
        return body

    def close(self) -> None:
        """Close the connection; the next question opens another."""
        if self._connection is not None:
            self._connection.socket.close()
            self._connection = None

"""Minimal HTTP server for readiness, metrics, status and peers."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import gevent
import httptools
import msgspec
from gevent import socket
from gevent.server import StreamServer
from msgspec import Struct

from endivepick.addresses import parse_address

__all__ = ["Response", "http_server", "json_response", "parse_query"]

_READ_BYTES = 4096
_IDLE_S = 30.0
"""Time without requests after which a connection is closed; readiness is requested
twice a second."""
_REASONS = {200: "OK", 404: "Not Found", 503: "Service Unavailable"}


class Response(Struct, frozen=True):
    """Answer to a request."""

    status: int
    body: bytes = b""
    content_type: str = "text/plain"


def json_response(value: object) -> Response:
    """Return an answer that contains a value as JSON."""
    return Response(200, msgspec.json.encode(value), "application/json")


def parse_query(query: str) -> dict[str, str]:
    """Return the fields of a query string; one without a value is empty.

    Examples
    --------
    >>> parse_query("config=7&from")
    {'config': '7', 'from': ''}
    """
    return dict(each.partition("=")[::2] for each in query.split("&"))


RequestHandler = Callable[[str, str], Response]


class _Requests:
    """Collects requests as they are parsed by httptools."""

    def __init__(self) -> None:
        self.parser = httptools.HttpRequestParser(self)
        self.keep_alive = True
        self.targets: list[tuple[str, str]] = []
        self._url = b""

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_message_complete(self) -> None:
        path, _, query = self._url.decode("ascii", "replace").partition("?")
        self.targets.append((path, query))
        # The parser provides this only until the callback returns.
        self.keep_alive = self.parser.should_keep_alive()
        self._url = b""


@contextmanager
def http_server(address: str, answer: RequestHandler) -> Iterator[str]:
    """Answer GET requests while the context is open.

    Parameters
    ----------
    address : str
        Address to bind; with port 0 the system chooses the port.
    answer : callable
        Called with path and query string.

    Yields
    ------
    str
        The bound address.
    """
    server = StreamServer(
        parse_address(address), lambda connection, _: _serve(connection, answer)
    )
    server.start()
    try:
        yield f"{server.server_host}:{server.server_port}"
    finally:
        server.stop(timeout=0)


def _serve(connection: socket.socket, answer: RequestHandler) -> None:
    requests = _Requests()
    try:
        while True:
            with gevent.Timeout(_IDLE_S):
                data = connection.recv(_READ_BYTES)
            if not data:
                return
            requests.parser.feed_data(data)
            while requests.targets:
                connection.sendall(_encode(answer(*requests.targets.pop(0))))
            if not requests.keep_alive:
                return
    except (OSError, gevent.Timeout, httptools.HttpParserError):
        # The client closed the connection or does not use HTTP; there is no one to
        # notify.
        return
    finally:
        connection.close()


def _encode(response: Response) -> bytes:
    head = (
        f"HTTP/1.1 {response.status} {_REASONS[response.status]}\r\n"
        f"Content-Type: {response.content_type}\r\n"
        f"Content-Length: {len(response.body)}\r\n\r\n"
    )
    return head.encode() + response.body

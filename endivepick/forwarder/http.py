"""Small HTTP server for readiness, metrics and status."""

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
"""A connection without requests is closed after that time; readiness is asked for
twice a second."""
_REASONS = {200: "OK", 404: "Not Found", 503: "Service Unavailable"}


class Response(Struct, frozen=True):
    """Answer to a request."""

    status: int
    body: bytes = b""
    content_type: str = "text/plain"


def json_response(value: object) -> Response:
    """Return an answer that holds a value as JSON."""
    return Response(200, msgspec.json.encode(value), "application/json")


def parse_query(query: str) -> dict[str, str]:
    """Return the fields of a query; one without a value has an empty one.

    Examples
    --------
    >>> parse_query("config=7&from")
    {'config': '7', 'from': ''}
    """
    return dict(each.partition("=")[::2] for each in query.split("&"))


RequestHandler = Callable[[str, str], Response]


class _Requests:
    """Collects requests as httptools parses them."""

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
        # The parser knows only until the callback returns.
        self.keep_alive = self.parser.should_keep_alive()
        self._url = b""


@contextmanager
def http_server(address: str, answer: RequestHandler) -> Iterator[str]:
    """Answer GET requests while the context is open.

    Parameters
    ----------
    address : str
        Where to listen; port 0 lets the system choose.
    answer : callable
        Called with path and query.

    Yields
    ------
    str
        The address that was bound.
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
        # The other end left or does not speak HTTP; there is nobody to tell.
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

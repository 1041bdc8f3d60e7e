"""Shared parts of the stand-in programs: settings, control endpoint, JSON server.

Every stand-in runs as a separate process, which prints one line of JSON
(``{"ready": true, "addresses": {...}}``) when it listens.  Its control endpoint
answers ``GET /control``, ``PUT /control`` (JSON merge patch, RFC 7396; ``null``
sets a field back to its default) and ``GET /stats``.
"""

import ipaddress
import json
import os
import socket
import time
from collections.abc import Callable
from typing import Annotated, Any, Generic, TypeVar

import json5
import pydantic
from gevent.event import Event
from gevent.pywsgi import WSGIServer

__all__ = [
    "BodyLostError",
    "Address",
    "AddressText",
    "Answer",
    "BorderModel",
    "Control",
    "EventLog",
    "ProgramSettings",
    "format_address",
    "json_server",
    "load_settings",
    "merge_patch",
    "parse_address",
    "read_json",
]

_BACKLOG = 1024
_MAX_PORT = 65535
_REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    410: "Gone",
    413: "Content Too Large",
    429: "Too Many Requests",
    503: "Service Unavailable",
}

Address = tuple[str, int]
"""IPv4 address and port."""


def parse_address(text: str) -> Address:
    """Split ``"host:port"``.

    Examples
    --------
    >>> parse_address("127.0.0.1:80")
    ('127.0.0.1', 80)
    """
    host, _, port = text.rpartition(":")
    return host, int(port)


def format_address(address: Address) -> str:
    """Join host and port to ``"host:port"``.

    Examples
    --------
    >>> format_address(("127.0.0.1", 80))
    '127.0.0.1:80'
    """
    return f"{address[0]}:{address[1]}"


def _check_address(text: str) -> str:
    host, port = parse_address(text)
    ipaddress.IPv4Address(host)
    if not 0 <= port <= _MAX_PORT:
        raise ValueError(f"{text}: the port must be between 0 and {_MAX_PORT}")
    return text


AddressText = Annotated[str, pydantic.AfterValidator(_check_address)]
"""Address as ``"host:port"`` with an IPv4 address as host."""


class BorderModel(pydantic.BaseModel):
    """Base class of settings and control documents; rejects unknown fields."""

    model_config = pydantic.ConfigDict(extra="forbid")


class ProgramSettings(BorderModel):
    """Settings common to all stand-ins.

    Attributes
    ----------
    control_listen : str
        Address of the control endpoint.
    log_path : str or None
        Log of JSON lines for the checker.
    max_life_s : float
        Time after which the program ends, so that it cannot outlive its harness.
    """

    control_listen: AddressText = "127.0.0.1:0"
    log_path: str | None = None
    max_life_s: float = 1800.0


class Answer:
    """HTTP response with a JSON body.

    Parameters
    ----------
    status : int
        HTTP status code.
    body : object
        Object that the json module can encode.
    headers : list of tuple, optional
        Further header fields.
    """

    def __init__(
        self, status: int, body: Any, headers: list[tuple[str, str]] | None = None
    ) -> None:
        self.status = status
        self.body = body
        self.headers = headers or []


def merge_patch(document: Any, patch: Any) -> Any:
    """Apply a JSON merge patch (RFC 7396) and return the new document.

    Examples
    --------
    >>> merge_patch({"a": 1, "b": {"c": 2}}, {"a": None, "b": {"d": 3}})
    {'b': {'c': 2, 'd': 3}}
    """
    if not isinstance(patch, dict):
        return patch
    merged = dict(document) if isinstance(document, dict) else {}
    for key, value in patch.items():
        if value is None:
            merged.pop(key, None)
        else:
            merged[key] = merge_patch(merged.get(key), value)
    return merged


SettingsT = TypeVar("SettingsT", bound=BorderModel)
ControlT = TypeVar("ControlT", bound=BorderModel)


def load_settings(
    model: type[SettingsT], path: str | None, flags: dict[str, Any]
) -> SettingsT:
    """Read a settings file (JSON with comments); flags override its fields."""
    document: Any = {}
    if path is not None:
        with open(path, encoding="utf-8") as file:
            document = json5.load(file)
    return model.model_validate({**document, **flags})


class EventLog:
    """Log of JSON lines for the checker; each line has a time ``at_s``.

    Each line is written by one system call, so that a killed process leaves
    only complete lines.

    Parameters
    ----------
    path : str or None
        File to append to; None or an empty path discards the lines.
    """

    def __init__(self, path: str | None) -> None:
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        self._file = os.open(path or os.devnull, flags, 0o644)

    def append(self, event: str, **fields: Any) -> None:
        """Write one line with the wall-clock time ``at_s``."""
        line = {"at_s": time.time(), "event": event, **fields}
        os.write(self._file, json.dumps(line).encode() + b"\n")


class Control(Generic[ControlT]):
    """Control document of a stand-in and its HTTP endpoint.

    Parameters
    ----------
    document : BorderModel
        Initial document; `current` is the document in force.
    log : EventLog
        Log that gets a line for each change.
    stats : callable
        Function that returns the body of ``GET /stats``.
    """

    def __init__(
        self, document: ControlT, log: EventLog, stats: Callable[[], Any]
    ) -> None:
        self.current = document
        self.changed = Event()
        self._log = log
        self._stats = stats
        self._listeners: list[Callable[[], None]] = []
        self._extra_routes: dict[tuple[str, str], Callable[[Any], Any]] = {}

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change of the document."""
        self._listeners.append(listener)

    def add_route(self, method: str, path: str, handler: Callable[[Any], Any]) -> None:
        """Serve an additional path; `handler` maps the JSON body to the response."""
        self._extra_routes[(method, path)] = handler

    def answer(self, environ: dict[str, Any]) -> Answer:
        """Answer one request to the control endpoint."""
        key = (environ["REQUEST_METHOD"], environ["PATH_INFO"])
        try:
            return self._dispatch(key, environ)
        except ValueError as error:
            return Answer(400, {"error": str(error)})

    def _dispatch(self, key: tuple[str, str], environ: dict[str, Any]) -> Answer:
        match key:
            case ("GET", "/control"):
                return Answer(200, self.current.model_dump(mode="json"))
            case ("PUT", "/control"):
                self._merge(read_json(environ))
                return Answer(200, self.current.model_dump(mode="json"))
            case ("GET", "/stats"):
                return Answer(200, self._stats())
            case _ if key in self._extra_routes:
                body = None if key[0] == "GET" else read_json(environ)
                return Answer(200, self._extra_routes[key](body))
            case _:
                return Answer(404, {"error": "Use /control or /stats."})

    def _merge(self, patch: Any) -> None:
        merged = merge_patch(self.current.model_dump(mode="json"), patch)
        self.current = type(self.current).model_validate(merged)
        self._log.append("control", patch=patch)
        waiting, self.changed = self.changed, Event()
        waiting.set()
        for listener in self._listeners:
            listener()


class BodyLostError(ValueError):
    """Connection that ended before the body of a request was complete."""


def read_json(environ: dict[str, Any]) -> Any:
    """Decode the JSON body of a request.

    Raises
    ------
    BodyLostError
        If the connection ended before the body was complete.
    ValueError
        If the body is not valid JSON.
    """
    try:
        body = environ["wsgi.input"].read()
    except OSError as error:
        raise BodyLostError(str(error)) from error
    return json.loads(body)


def json_server(listen: str, answer: Callable[[dict[str, Any]], Answer]) -> WSGIServer:
    """Start an HTTP server with JSON responses.

    `answer` may raise ConnectionResetError (with its errno) to close the
    connection without a response.
    """

    def application(environ: dict[str, Any], start_response: Any) -> list[bytes]:
        result = answer(environ)
        body = json.dumps(result.body).encode()
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        status = f"{result.status} {_REASONS[result.status]}"
        start_response(status, headers + result.headers)
        return [body]

    server = WSGIServer(
        parse_address(listen),
        application,
        backlog=_BACKLOG,
        log=None,
        error_log=None,
    )
    server.stop_timeout = 0
    server.start()
    # Accepted sockets inherit the option.  The server sends head and body in two
    # writes; without TCP_NODELAY the body waits about 40 ms for the delayed
    # acknowledgement of the client.
    server.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return server

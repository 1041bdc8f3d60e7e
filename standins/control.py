"""What the stand-in programs share: settings, control endpoint, log, life cycle.

Every stand-in is a process of its own.  It listens, prints one line of JSON
(``{"ready": true, "addresses": {...}}``) and runs until SIGTERM.  Its control
endpoint answers ``GET /control``, ``PUT /control`` (JSON merge patch, RFC 7396;
``null`` sets a field back to its default) and ``GET /stats``.
"""

import contextlib
import json
import signal
import sys
import time
from collections.abc import Callable, Iterator
from typing import Any, Generic, TypeVar

import gevent
import json5
import pydantic
from gevent.event import Event
from gevent.pywsgi import WSGIServer

__all__ = [
    "Address",
    "Answer",
    "BorderModel",
    "Control",
    "EventLog",
    "format_address",
    "json_server",
    "load_settings",
    "merge_patch",
    "parse_address",
    "read_json",
    "run_until_terminated",
]

Address = tuple[str, int]
"""IPv4 address and port."""

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


class BorderModel(pydantic.BaseModel):
    """Base of settings and control documents; unknown fields are refused."""

    model_config = pydantic.ConfigDict(extra="forbid")


class Answer:
    """One HTTP answer with a JSON body.

    Parameters
    ----------
    status : int
        HTTP status code.
    body : object
        Anything that the json module can encode.
    headers : list of tuple, optional
        Further header fields.
    """

    def __init__(
        self, status: int, body: Any, headers: list[tuple[str, str]] | None = None
    ) -> None:
        self.status = status
        self.body = body
        self.headers = headers or []


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
    """JSON lines for the checker of the tests; each line has ``at_s``.

    Parameters
    ----------
    path : str or None
        File to append to; None drops the lines.
    """

    def __init__(self, path: str | None) -> None:
        self._file = open(path, "a", encoding="utf-8") if path else None  # noqa: SIM115

    def append(self, event: str, **fields: Any) -> None:
        """Write one line; it is flushed so that no line is lost at the end."""
        if self._file is None:
            return
        line = {"at_s": time.time(), "event": event, **fields}
        self._file.write(json.dumps(line) + "\n")
        self._file.flush()


class Control(Generic[ControlT]):
    """The control document of a stand-in and its HTTP endpoint.

    Parameters
    ----------
    document : BorderModel
        Document at start; `current` holds the present one.
    log : EventLog
        Gets a line for each change.
    stats : callable
        Returns the body of ``GET /stats``.
    """

    def __init__(
        self, document: ControlT, log: EventLog, stats: Callable[[], Any]
    ) -> None:
        self.current = document
        self.changed = Event()
        self._log = log
        self._stats = stats
        self._listeners: list[Callable[[], None]] = []
        self._extra: dict[tuple[str, str], Callable[[Any], Any]] = {}

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change of the document."""
        self._listeners.append(listener)

    def add_route(self, method: str, path: str, handler: Callable[[Any], Any]) -> None:
        """Serve one more path; `handler` maps the JSON body to the answer."""
        self._extra[(method, path)] = handler

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
            case _ if key in self._extra:
                body = None if key[0] == "GET" else read_json(environ)
                return Answer(200, self._extra[key](body))
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


def read_json(environ: dict[str, Any]) -> Any:
    """Decode the JSON body of a request; ValueError if it is none."""
    return json.loads(environ["wsgi.input"].read())


def json_server(listen: str, answer: Callable[[dict[str, Any]], Answer]) -> WSGIServer:
    """Start an HTTP server whose answers are JSON.

    `answer` may raise ConnectionResetError (with its errno) to close the
    connection without an answer.
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

    server = WSGIServer(parse_address(listen), application, log=None, error_log=None)
    server.stop_timeout = 0
    server.start()
    return server


@contextlib.contextmanager
def _termination() -> Iterator[Event]:
    """Yield an event that SIGTERM or SIGINT sets."""
    stop = Event()
    handlers = [gevent.signal_handler(s, stop.set) for s in _STOP_SIGNALS]
    try:
        yield stop
    finally:
        for handler in handlers:
            handler.cancel()


_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def run_until_terminated(addresses: dict[str, Any]) -> None:
    """Print the ready line and return once SIGTERM or SIGINT arrives."""
    with _termination() as stop:
        print(json.dumps({"ready": True, "addresses": addresses}), flush=True)
        stop.wait()
    sys.stdout.flush()

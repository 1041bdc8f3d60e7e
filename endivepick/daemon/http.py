"""HTTP endpoints for operators: metrics, health, readiness and status."""

import socket
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

import gevent
import msgspec
from gevent.pool import Pool
from gevent.pywsgi import WSGIServer
from gevent.queue import Queue

from endivepick.addresses import parse_address
from endivepick.daemon.logs import PartLog
from endivepick.daemon.metrics import DaemonMetrics
from endivepick.settings.model import ListenSettings

__all__ = ["HttpTask", "ReadinessChanged", "http_task"]

_CONNECTIONS_MAX = 64
_STOP_TIMEOUT_S = 1.0
_log = PartLog("http")


@dataclass(frozen=True)
class ReadinessChanged:
    """Message with the readiness of this instance; a reason if it is not ready."""

    ready: bool
    reason: str = ""


@dataclass(frozen=True)
class _Response:
    """One HTTP response."""

    status: str
    body: bytes
    content_type: str = "text/plain; charset=utf-8"


class HttpTask:
    """Server task that owns its socket and receives readiness changes as messages.

    Parameters
    ----------
    settings : ListenSettings
        Address to bind.
    metrics : DaemonMetrics
        Metrics rendered at ``/metrics``.
    status : callable
        Returns the snapshot for ``/status``: any object that msgspec encodes as JSON.

    Attributes
    ----------
    inbox : gevent.queue.Queue of ReadinessChanged
        Readiness changes sent to this task.
    """

    def __init__(
        self,
        settings: ListenSettings,
        metrics: DaemonMetrics,
        status: Callable[[], Any],
    ) -> None:
        self.inbox: Queue[ReadinessChanged] = Queue()
        self._metrics = metrics
        self._status = status
        self._readiness = ReadinessChanged(False, "starting")
        self._server = WSGIServer(
            parse_address(settings.http_address),
            self._handle_request,
            log=None,
            error_log=None,
            spawn=Pool(_CONNECTIONS_MAX),
        )
        self._reader: gevent.Greenlet | None = None

    @property
    def address(self) -> str:
        """Bound address as ``host:port``."""
        return f"{self._server.server_host}:{self._server.server_port}"

    def start(self) -> None:
        """Bind the address and serve requests.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        self._server.start()
        # Accepted sockets inherit the option. The server sends head and body
        # separately; without the option Nagle's algorithm holds the body back until
        # the client's delayed acknowledgement, about 40 ms.
        self._server.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._reader = gevent.spawn(self._read_inbox)
        _log.event(
            "http_listening",
            "listening for requests of operators",
            address=self.address,
        )

    def stop(self) -> None:
        """Close the socket; responses in progress have 1 s to complete."""
        self._server.stop(timeout=_STOP_TIMEOUT_S)
        if self._reader is not None:
            self._reader.kill()

    def _read_inbox(self) -> None:
        for message in self.inbox:
            self._readiness = message
            _log.event(
                "readiness_changed",
                "readiness changed",
                ready=message.ready,
                reason=message.reason,
            )

    def _handle_request(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        response = self._build_response(environ)
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
        ]
        start_response(response.status, headers)
        return [] if environ["REQUEST_METHOD"] == "HEAD" else [response.body]

    def _build_response(self, environ: dict[str, Any]) -> _Response:
        if environ["REQUEST_METHOD"] not in ("GET", "HEAD"):
            return _Response("405 Method Not Allowed", b"Use GET.\n")
        match environ["PATH_INFO"]:
            case "/metrics":
                return self._metrics_response(environ.get("HTTP_ACCEPT", ""))
            case "/healthz":
                return _Response("200 OK", b"ok\n")
            case "/readyz":
                return self._readiness_response()
            case "/status":
                body = msgspec.json.encode(self._status(), enc_hook=str)
                return _Response("200 OK", body + b"\n", "application/json")
        paths = b"Use /metrics, /healthz, /readyz or /status.\n"
        return _Response("404 Not Found", paths)

    def _metrics_response(self, accept: str) -> _Response:
        body, headers = self._metrics.render([accept])
        return _Response("200 OK", body, headers["Content-Type"])

    def _readiness_response(self) -> _Response:
        if self._readiness.ready:
            return _Response("200 OK", b"ready\n")
        reason = f"not ready: {self._readiness.reason}\n"
        return _Response("503 Service Unavailable", reason.encode())


@contextmanager
def http_task(
    settings: ListenSettings, metrics: DaemonMetrics, status: Callable[[], Any]
) -> Iterator[HttpTask]:
    """Serve the endpoints for operators while the context is open."""
    task = HttpTask(settings, metrics, status)
    task.start()
    try:
        yield task
    finally:
        task.stop()

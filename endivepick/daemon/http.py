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
    """Message to the task: whether this instance can serve, and why not."""

    ready: bool
    reason: str = ""


@dataclass(frozen=True)
class _Answer:
    """One HTTP answer."""

    status: str
    body: bytes
    content_type: str = "text/plain; charset=utf-8"


class HttpTask:
    """Server task that owns its socket and takes readiness as messages.

    Parameters
    ----------
    settings : ListenSettings
        Address to bind.
    metrics : DaemonMetrics
        What ``/metrics`` renders.
    status : callable
        Gives the snapshot for ``/status``: anything that msgspec encodes as JSON.

    Attributes
    ----------
    inbox : gevent.queue.Queue of ReadinessChanged
        Messages to this task.
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
            self._serve,
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
        """Bind the address and serve.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        self._server.start()
        # Accepted sockets inherit it.  The server sends head and body apart; without
        # it the body waits for the client's delayed acknowledgement, about 40 ms.
        self._server.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._reader = gevent.spawn(self._read_inbox)
        _log.event("http_listening", "listening for operators", address=self.address)

    def stop(self) -> None:
        """Close the socket; answers in progress have a second to end."""
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

    def _serve(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        answer = self._answer(environ)
        headers = [
            ("Content-Type", answer.content_type),
            ("Content-Length", str(len(answer.body))),
        ]
        start_response(answer.status, headers)
        return [] if environ["REQUEST_METHOD"] == "HEAD" else [answer.body]

    def _answer(self, environ: dict[str, Any]) -> _Answer:
        if environ["REQUEST_METHOD"] not in ("GET", "HEAD"):
            return _Answer("405 Method Not Allowed", b"Use GET.\n")
        match environ["PATH_INFO"]:
            case "/metrics":
                return self._metrics_answer(environ.get("HTTP_ACCEPT", ""))
            case "/healthz":
                return _Answer("200 OK", b"ok\n")
            case "/readyz":
                return self._ready_answer()
            case "/status":
                body = msgspec.json.encode(self._status(), enc_hook=str)
                return _Answer("200 OK", body + b"\n", "application/json")
        paths = b"Use /metrics, /healthz, /readyz or /status.\n"
        return _Answer("404 Not Found", paths)

    def _metrics_answer(self, accept: str) -> _Answer:
        body, headers = self._metrics.render([accept])
        return _Answer("200 OK", body, headers["Content-Type"])

    def _ready_answer(self) -> _Answer:
        if self._readiness.ready:
            return _Answer("200 OK", b"ready\n")
        reason = f"not ready: {self._readiness.reason}\n"
        return _Answer("503 Service Unavailable", reason.encode())


@contextmanager
def http_task(
    settings: ListenSettings, metrics: DaemonMetrics, status: Callable[[], Any]
) -> Iterator[HttpTask]:
    """Serve the operators' endpoints while the context is open."""
    task = HttpTask(settings, metrics, status)
    task.start()
    try:
        yield task
    finally:
        task.stop()

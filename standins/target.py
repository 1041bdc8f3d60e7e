"""Backend server stand-in: HTTP/1.1 with slots, streams and configurable faults.

Paths are ``POST /work``, ``GET /events``, ``GET /health``, ``GET /load``,
``DELETE /requests/<key>`` and ``PUT /control``.
"""

import json
import os
import random
import socket
import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any
from urllib.parse import parse_qs

import fire
import gevent
import msgspec
from gevent.pywsgi import WSGIHandler, WSGIServer

from standins.control import parse_address
from standins.payload import make_answer, make_event
from standins.process import run_until_stopped
from standins.target_state import Run, TargetSettings, TargetState, WorkRequest
from standins.wsgi import (
    STATUS_LINES,
    Body,
    Environ,
    StartResponse,
    read_body,
    reply,
)

__all__ = ["TargetServer", "main"]

_SOCKET_KEY = "standins.socket"
_NOT_RUN = ("Endivepick-Not-Run", "true")
_RETRY_AFTER = ("Retry-After", "1")
_MAX_EVENTS = 1_000_000
_CHUNK_BYTES = 2**16


class _Handler(WSGIHandler):
    """Handler that passes its socket to the application."""

    def get_environ(self) -> Environ:
        environ = super().get_environ()
        environ[_SOCKET_KEY] = self.socket
        return environ


@contextmanager
def _cancel_when_closed(run: Run, connection: socket.socket) -> Iterator[None]:
    """Cancel the run when the peer closes the connection."""

    def watch() -> None:
        gevent.socket.wait_read(connection.fileno())
        try:
            closed = connection.recv(1, socket.MSG_PEEK) == b""
        except OSError:
            closed = True
        if closed:
            run.cancelled.set()

    watcher = gevent.spawn(watch)
    try:
        yield
    finally:
        watcher.kill()


class TargetServer:
    """HTTP server of one target.

    Parameters
    ----------
    settings : TargetSettings
        Settings.
    """

    def __init__(self, settings: TargetSettings) -> None:
        incarnation = settings.incarnation or random.SystemRandom().getrandbits(64)
        self.state = TargetState(settings, incarnation)
        self.server = WSGIServer(
            parse_address(settings.listen),
            self._application,
            handler_class=_Handler,
            spawn=settings.connections,
            log=None,
            error_log=None,
        )

    @property
    def address(self) -> str:
        """Listening ``host:port``; known once the server listens."""
        return f"{self.server.server_host}:{self.server.server_port}"

    def _application(self, environ: Environ, start_response: StartResponse) -> Body:
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        match method, path.split("/")[1:]:
            case "POST", ["work"]:
                return self._work(environ, start_response)
            case "GET", ["events"]:
                return self._events(environ, start_response)
            case "GET", ["health"]:
                return self._health(start_response)
            case "GET", ["load"]:
                connections = len(self.server.pool)
                return reply(start_response, 200, self.state.load(connections))
            case "DELETE", ["requests", key]:
                status = 200 if self.state.cancel(key) else 404
                return reply(start_response, status, {"key": key})
            case "PUT", ["control"]:
                return self._control(environ, start_response)
        return reply(start_response, 404, {"error": f"no {method} {path}"})

    def _health(self, start_response: StartResponse) -> Body:
        health = self.state.health()
        status = 500 if health["state"] == "error" else 200
        return reply(start_response, status, health)

    def _control(self, environ: Environ, start_response: StartResponse) -> Body:
        try:
            control = self.state.update_control(json.loads(read_body(environ)))
        except (ValueError, TypeError, msgspec.ValidationError) as error:
            return reply(start_response, 400, {"error": str(error)})
        return reply(start_response, 200, msgspec.structs.asdict(control))

    def _is_addressed_here(self, run: Run) -> bool:
        own = (self.state.settings.service, str(self.state.incarnation))
        return (run.service, run.incarnation) == own

    def _refuse_misdirected(self, run: Run, start_response: StartResponse) -> Body:
        self.state.log("misdirected", **run.log_fields())
        return reply(start_response, 421, self.state.health())

    def _work(self, environ: Environ, start_response: StartResponse) -> Body:
        received_s = time.monotonic()
        run = _parse_run(environ)
        try:
            body = read_body(environ)
            request = msgspec.json.decode(body or b"{}", type=WorkRequest)
            deadline_s = received_s + _deadline_ms(environ) / 1000
        except (ValueError, msgspec.DecodeError) as error:
            return reply(start_response, 400, {"error": str(error)})
        except OSError as error:
            # The sender ended or lost its connection during the request.
            self.state.log("body_lost", error=str(error), **run.log_fields())
            return reply(start_response, 400, {"error": str(error)})
        run.echo = request.echo
        if not self._is_addressed_here(run):
            return self._refuse_misdirected(run, start_response)
        connection = environ[_SOCKET_KEY]
        with self._register_while_running(run), _cancel_when_closed(run, connection):
            end = self.state.run(run, request, deadline_s)
        match end.event:
            case "end":
                return self._answer(request, connection, start_response)
            case "shed":
                headers = [_NOT_RUN, _RETRY_AFTER]
                return reply(start_response, 503, {"error": "shed"}, headers)
            case "late":
                return reply(start_response, 504, {"error": "late"}, [_NOT_RUN])
            case "dropped":
                return reply(start_response, 499, {"error": "cancelled"}, [_NOT_RUN])
        return reply(start_response, 499, {"error": "cancelled"})

    def _answer(
        self,
        request: WorkRequest,
        connection: socket.socket,
        start_response: StartResponse,
    ) -> Body:
        control = self.state.control
        if control.close_after_run:
            connection.shutdown(socket.SHUT_RDWR)
            return []
        if control.answer_delay_ms:
            gevent.sleep(control.answer_delay_ms / 1000)
        body = make_answer(
            request.echo,
            request.answer_bytes,
            service=self.state.settings.service,
            target=self.state.settings.target,
            incarnation=self.state.incarnation,
        )
        headers = [
            ("Content-Type", "application/octet-stream"),
            ("Content-Length", str(len(body))),
        ]
        start_response(STATUS_LINES[200], headers)
        return (
            body[start : start + _CHUNK_BYTES]
            for start in range(0, len(body), _CHUNK_BYTES)
        )

    def _events(self, environ: Environ, start_response: StartResponse) -> Body:
        run = _parse_run(environ)
        query = parse_qs(environ.get("QUERY_STRING", ""))
        try:
            count = min(_MAX_EVENTS, int(query.get("count", ["10"])[0]))
            interval_ms = float(query.get("interval_ms", ["100"])[0])
            last_id = int(environ.get("HTTP_LAST_EVENT_ID") or 0)
        except ValueError as error:
            return reply(start_response, 400, {"error": str(error)})
        run.echo = query.get("echo", [""])[0]
        if not self._is_addressed_here(run):
            return self._refuse_misdirected(run, start_response)
        if self.state.control.shed:
            self.state.log("shed", **run.log_fields())
            headers = [_NOT_RUN, _RETRY_AFTER]
            return reply(start_response, 503, {"error": "shed"}, headers)
        headers = [("Content-Type", "text/event-stream"), ("Cache-Control", "no-store")]
        start_response(STATUS_LINES[200], headers)
        numbers = range(last_id + 1, count + 1)
        return self._stream(run, numbers, interval_ms / 1000, environ[_SOCKET_KEY])

    def _stream(
        self, run: Run, numbers: range, interval_s: float, connection: socket.socket
    ) -> Iterator[bytes]:
        self.state.log("stream_start", first=numbers.start, **run.log_fields())
        sent = numbers.start - 1
        try:
            with (
                self._register_while_running(run),
                _cancel_when_closed(run, connection),
            ):
                for number in numbers:
                    if run.cancelled.wait(interval_s):
                        return
                    yield make_event(run.echo, number)
                    sent = number
        finally:
            self.state.log("stream_end", last=sent, **run.log_fields())

    @contextmanager
    def _register_while_running(self, run: Run) -> Iterator[None]:
        self.state.register_run(run)
        try:
            yield
        finally:
            self.state.unregister_run(run)


def _parse_run(environ: Environ) -> Run:
    return Run(
        key=environ.get("HTTP_IDEMPOTENCY_KEY", ""),
        idempotent=environ.get("HTTP_ENDIVEPICK_IDEMPOTENT") == "true",
        service=environ.get("HTTP_ENDIVEPICK_SERVICE", ""),
        incarnation=environ.get("HTTP_ENDIVEPICK_TARGET_INCARNATION", ""),
    )


def _deadline_ms(environ: Environ) -> float:
    return float(environ.get("HTTP_ENDIVEPICK_DEADLINE_MS") or "inf")


def main(**settings: Any) -> None:
    """Run a target until a signal or the end of its maximum lifetime.

    Parameters
    ----------
    **settings : object
        Fields of `standins.target_state.TargetSettings`.
    """
    target = TargetServer(TargetSettings(**settings))
    target.server.start()
    # Avoids a delay between head and body, as in standins.control.json_server.
    target.server.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    ready = {
        "ready": True,
        "address": target.address,
        "incarnation": target.state.incarnation,
        "pid": os.getpid(),
    }
    run_until_stopped(ready, target.state.settings.max_life_s)
    target.server.stop(timeout=1)


if __name__ == "__main__":
    fire.Fire(main)

"""Probes of single targets, each in a task of its own."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import gevent
import httptools
from gevent import socket
from msgspec import Struct

from endivepick.forwarder.ports import StoreDialect, TargetIdentity
from endivepick.forwarding import (
    ForwardingSettings,
    ProbeOutcome,
    ProbeResult,
    ProbeTarget,
)

__all__ = ["ANSWER_TIMEOUT_S", "probe_target"]

ANSWER_TIMEOUT_S = 0.5
"""A target that accepted a connection lives; its answer only tells who it is, and
waits for a free slot."""
_READ_BYTES = 4096
LONGEST_BODY_BYTES = 65536
"""What is read of an answer that says who gives it."""


class _Answer:
    """Collects the header that names the target's entry, and the body."""

    def __init__(self, header: bytes) -> None:
        self._header = header
        self.header = ""
        self.body = b""
        self.complete = False

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == self._header:
            self.header = value.decode("ascii", "replace").strip()

    def on_body(self, data: bytes) -> None:
        self.body += data
        self.complete = len(self.body) > LONGEST_BODY_BYTES

    def on_message_complete(self) -> None:
        self.complete = True


class _Outcome(Struct, frozen=True):
    """How one attempt ended, and when the target that answered had started."""

    outcome: ProbeOutcome
    born_ms: int = 0


def probe_target(
    probe: ProbeTarget,
    dialect: StoreDialect,
    settings: ForwardingSettings,
    deliver: Callable[[ProbeResult], None],
) -> None:
    """Find out whether a target lives, and say so.

    Parameters
    ----------
    probe : ProbeTarget
        Target and path.
    dialect : StoreDialect
        Reads from an answer who gave it.
    settings : ForwardingSettings
        Longest wait of each attempt.
    deliver : callable
        Called once with the outcome.
    """
    target = probe.target
    ended = _Outcome(ProbeOutcome.SILENT)
    for timeout_s in settings.probe_timeouts_s:
        ended = _outcome(probe, dialect, timeout_s)
        if ended.outcome is not ProbeOutcome.SILENT:
            break
    deliver(ProbeResult(target.name, ended.outcome, target.born_ms, ended.born_ms))


def _outcome(probe: ProbeTarget, dialect: StoreDialect, timeout_s: float) -> _Outcome:
    address = (probe.target.host, probe.target.port)
    try:
        with gevent.Timeout(timeout_s):
            connection = socket.create_connection(address)
    except ConnectionRefusedError:
        return _Outcome(ProbeOutcome.REFUSED)
    except (OSError, gevent.Timeout):
        return _Outcome(ProbeOutcome.SILENT)
    with _closing(connection):
        identity = _identity(connection, probe.path, dialect)
    if identity.name and identity.name != probe.target.name:
        return _Outcome(ProbeOutcome.REPLACED)
    return _Outcome(ProbeOutcome.ALIVE, identity.born_ms)


@contextmanager
def _closing(connection: socket.socket) -> Iterator[None]:
    try:
        yield
    finally:
        connection.close()


def _identity(
    connection: socket.socket, path: str, dialect: StoreDialect
) -> TargetIdentity:
    """Return who answers, as far as the answer says it in time."""
    answer = _Answer(dialect.identity_header)
    try:
        with gevent.Timeout(ANSWER_TIMEOUT_S):
            _ask(connection, path, answer)
    except (OSError, gevent.Timeout, httptools.HttpParserError):
        # It accepted the connection, so something lives there; what came counts.
        pass
    return dialect.read_health(answer.header, answer.body)


def _ask(connection: socket.socket, path: str, answer: _Answer) -> None:
    request = f"GET {path} HTTP/1.1\r\nHost: target\r\nConnection: close\r\n\r\n"
    connection.sendall(request.encode())
    parser = httptools.HttpResponseParser(answer)
    while not answer.complete:
        data = connection.recv(_READ_BYTES)
        if not data:
            return
        parser.feed_data(data)

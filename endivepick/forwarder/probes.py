"""Probes single targets, each in its own task."""

import errno
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import TypeAlias

import gevent
import httptools
from gevent import socket
from msgspec import Struct

from endivepick.clock import steady_now_s
from endivepick.forwarder.ports import StoreDialect, TargetIdentity
from endivepick.forwarding import (
    ForwardingSettings,
    ProbeOutcome,
    ProbeResult,
    ProbeTarget,
    Target,
)

__all__ = ["ANSWER_TIMEOUT_S", "probe_target"]

ANSWER_TIMEOUT_S = 0.5
"""Timeout of the answer to a health check. A target that accepted the connection is
alive; the answer only identifies it, and waits for a free slot."""
_MIN_ANSWER_WAIT_S = 0.02
"""Minimum wait for a target's answer after that of the reference target; answers that
arrived together are read within it, also after a pause of this process."""
_READ_BYTES = 4096
MAX_BODY_BYTES = 65536
"""Maximum size of the body that is read to identify the target."""


_LOCAL_ERRORS = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL}
)
"""Errors of a connection attempt for which this machine is the cause."""
_ConnectResult: TypeAlias = socket.socket | ProbeOutcome
"""A connection, or ``REFUSED``, ``SILENT`` or ``NOT_MADE``."""


class _Answer:
    """Collects the body of an answer and the header that names the target's entry."""

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
        self.complete = len(self.body) > MAX_BODY_BYTES

    def on_message_complete(self) -> None:
        self.complete = True


class _Outcome(Struct, frozen=True):
    """Outcome of one probe, and the start time of the target that answered."""

    outcome: ProbeOutcome
    born_ms: int = 0


def probe_target(
    probe: ProbeTarget,
    dialect: StoreDialect,
    settings: ForwardingSettings,
    deliver: Callable[[ProbeResult], None],
) -> None:
    """Probe a target and deliver the result.

    Parameters
    ----------
    probe : ProbeTarget
        Target and path.
    dialect : StoreDialect
        Decodes the identity of the target that answered.
    settings : ForwardingSettings
        Timeout of each attempt, and time after which the last one depends on the
        reference target.
    deliver : callable
        Called once with the result.
    """
    began_s = steady_now_s()
    ended = _run_probe(probe, dialect, settings)
    target = probe.target
    deliver(
        ProbeResult(
            target.name,
            ended.outcome,
            target.born_ms,
            ended.born_ms,
            cause=probe.cause,
            took_s=steady_now_s() - began_s,
            compared=probe.control is not None,
        )
    )


def _run_probe(
    probe: ProbeTarget, dialect: StoreDialect, settings: ForwardingSettings
) -> _Outcome:
    reached = _connect_repeatedly(probe, settings)
    if isinstance(reached, ProbeOutcome):
        return _Outcome(reached)
    with _closing(reached):
        identity = _read_identity(reached, probe.path, dialect)
    if identity.name and identity.name != probe.target.name:
        return _Outcome(ProbeOutcome.REPLACED)
    return _Outcome(ProbeOutcome.ALIVE, identity.born_ms)


def _connect_repeatedly(
    probe: ProbeTarget, settings: ForwardingSettings
) -> _ConnectResult:
    """Connect to a target, with several attempts if it is silent."""
    *earlier_s, last_s = settings.probe_timeouts_s
    for timeout_s in earlier_s:
        reached = _connect(probe.target, timeout_s)
        if reached is not ProbeOutcome.SILENT:
            return reached
    if probe.control is None:
        return _connect(probe.target, last_s)
    return _connect_with_reference(probe.target, probe.control, settings)


def _connect_with_reference(
    target: Target, reference: Target, settings: ForwardingSettings
) -> _ConnectResult:
    """Connect to a target and to a reference target in parallel.

    Once the reference answers, the target gets as long again. This tells a dead target
    from a congested local link.
    """
    last_s = settings.probe_timeouts_s[-1]
    attempt = gevent.spawn(_connect, target, last_s)
    reference_attempt = gevent.spawn(_measure_answer_s, reference, last_s)
    try:
        attempt.join(settings.probe_compared_s)
        gevent.wait((attempt, reference_attempt), count=1)
        reference_s = reference_attempt.value if reference_attempt.ready() else None
        attempt.join(
            None if reference_s is None else max(reference_s, _MIN_ANSWER_WAIT_S)
        )
        return attempt.value if attempt.ready() else ProbeOutcome.SILENT
    finally:
        gevent.killall([attempt, reference_attempt], block=False)


def _measure_answer_s(target: Target, timeout_s: float) -> float | None:
    """Return the time that a target took to answer, None if it did not.

    A refusal counts as an answer.
    """
    began_s = steady_now_s()
    reached = _connect(target, timeout_s)
    if reached in (ProbeOutcome.SILENT, ProbeOutcome.NOT_MADE):
        return None
    if not isinstance(reached, ProbeOutcome):
        reached.close()
    return steady_now_s() - began_s


def _connect(target: Target, timeout_s: float) -> _ConnectResult:
    """Make one attempt to connect."""
    try:
        with gevent.Timeout(timeout_s):
            return socket.create_connection((target.host, target.port))
    except ConnectionRefusedError:
        return ProbeOutcome.REFUSED
    except OSError as error:
        is_local = error.errno in _LOCAL_ERRORS
        return ProbeOutcome.NOT_MADE if is_local else ProbeOutcome.SILENT
    except gevent.Timeout:
        return ProbeOutcome.SILENT


@contextmanager
def _closing(connection: socket.socket) -> Iterator[None]:
    try:
        yield
    finally:
        connection.close()


def _read_identity(
    connection: socket.socket, path: str, dialect: StoreDialect
) -> TargetIdentity:
    """Return the identity of the target, as far as it is received in time."""
    answer = _Answer(dialect.identity_header)
    try:
        with gevent.Timeout(ANSWER_TIMEOUT_S):
            _request_health(connection, path, answer)
    except (OSError, gevent.Timeout, httptools.HttpParserError):
        # The target accepted the connection, so it is alive; the data received so far
        # are used.
        pass
    return dialect.read_health(answer.header, answer.body)


def _request_health(connection: socket.socket, path: str, answer: _Answer) -> None:
    request = f"GET {path} HTTP/1.1\r\nHost: target\r\nConnection: close\r\n\r\n"
    connection.sendall(request.encode())
    parser = httptools.HttpResponseParser(answer)
    while not answer.complete:
        data = connection.recv(_READ_BYTES)
        if not data:
            return
        parser.feed_data(data)

"""Probes of single targets, each in a task of its own."""

from collections.abc import Callable

import gevent
import httptools
from gevent import socket

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


class _Identity:
    """Finds the header that names the target's entry."""

    def __init__(self, header: bytes) -> None:
        self._header = header
        self.name = ""
        self.complete = False

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == self._header:
            self.name = value.decode("ascii", "replace").strip()

    def on_headers_complete(self) -> None:
        self.complete = True


def probe_target(
    probe: ProbeTarget,
    identity_header: bytes,
    settings: ForwardingSettings,
    deliver: Callable[[ProbeResult], None],
) -> None:
    """Find out whether a target lives, and say so.

    Parameters
    ----------
    probe : ProbeTarget
        Target and path.
    identity_header : bytes
        Header that names the target's entry, lower case.
    settings : ForwardingSettings
        Longest wait of each attempt.
    deliver : callable
        Called once with the outcome.
    """
    outcome = ProbeOutcome.SILENT
    for timeout_s in settings.probe_timeouts_s:
        outcome = _outcome(probe, identity_header, timeout_s)
        if outcome is not ProbeOutcome.SILENT:
            break
    deliver(ProbeResult(probe.target.name, outcome))


def _outcome(
    probe: ProbeTarget, identity_header: bytes, timeout_s: float
) -> ProbeOutcome:
    address = (probe.target.host, probe.target.port)
    try:
        with gevent.Timeout(timeout_s):
            connection = socket.create_connection(address)
    except ConnectionRefusedError:
        return ProbeOutcome.REFUSED
    except (OSError, gevent.Timeout):
        return ProbeOutcome.SILENT
    try:
        with gevent.Timeout(ANSWER_TIMEOUT_S):
            name = _identity(connection, probe.path, identity_header)
    except (OSError, gevent.Timeout, httptools.HttpParserError):
        # It accepted the connection, so something lives there.
        return ProbeOutcome.ALIVE
    finally:
        connection.close()
    if name and name != probe.target.name:
        return ProbeOutcome.REPLACED
    return ProbeOutcome.ALIVE


def _identity(connection: socket.socket, path: str, identity_header: bytes) -> str:
    request = f"GET {path} HTTP/1.1\r\nHost: target\r\nConnection: close\r\n\r\n"
    connection.sendall(request.encode())
    identity = _Identity(identity_header)
    parser = httptools.HttpResponseParser(identity)
    while not identity.complete:
        data = connection.recv(_READ_BYTES)
        if not data:
            break
        parser.feed_data(data)
    return identity.name

"""Tasks that probe targets for their health and load, on one connection each.

These connections are not used for requests: if the target closes a persistent
connection during a send, it is unknown whether the request ran.  Probes are
idempotent and are retried on a new connection.
"""

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import gevent
import msgspec
from gevent.pool import Group

from endivepick.addresses import parse_address
from endivepick.core.actions import Probe
from endivepick.core.dispatch import (
    ProbeFailed,
    ProbeOutcome,
    ProbeResult,
    TargetHealth,
)
from endivepick.core.events import Event, Probed
from endivepick.daemon._persistent_http import (
    HttpResponseError,
    PersistentHttpConnection,
)
from endivepick.settings.model import DaemonSettings

__all__ = ["ProbeTasks", "probe_tasks"]

CONNECTION_LIFETIME_S = 10.0
"""Lifetime of a connection, limited because the target at an address can change."""
UNUSED_TIMEOUT_S = 10.0
"""Time after which the connection to a target that is no longer probed is closed."""
_FAILURES = (HttpResponseError, OSError, msgspec.DecodeError, ValueError)


class _HealthBody(msgspec.Struct):
    service: str
    target: str
    incarnation: int
    state: str


class _LoadBody(msgspec.Struct):
    in_progress: int = 0
    waiting: int = 0
    slots: int = 0
    connections: int = 0
    age_ms: int = 0


_decode_health = msgspec.json.Decoder(_HealthBody).decode
_decode_load = msgspec.json.Decoder(_LoadBody).decode


class _ProbeConnection:
    """Persistent connection to one target."""

    def __init__(self, connection: PersistentHttpConnection) -> None:
        self._connection = connection
        self.is_busy = False
        self.last_used_s = 0.0
        self._opened_at_s = 0.0

    def send_probe(self) -> ProbeResult:
        """Request health and load; retry on a new connection if the old one broke."""
        now_s = time.monotonic()
        if now_s - self._opened_at_s >= CONNECTION_LIFETIME_S:
            self.close()
        was_open = self._connection.is_open
        if not was_open:
            self._opened_at_s = now_s
        try:
            return self._request_health_and_load()
        except OSError:
            self.close()
            if not was_open:
                raise
        return self._request_health_and_load()

    def _request_health_and_load(self) -> ProbeResult:
        health = _decode_health(self._connection.get("/health"))
        load = _decode_load(self._connection.get("/load"))
        return ProbeResult(
            state=TargetHealth(health.state),
            service=health.service,
            incarnation=health.incarnation,
            in_progress=load.in_progress,
            waiting=load.waiting,
            slots=load.slots,
            age_ms=load.age_ms,
        )

    def close(self) -> None:
        """Close the connection; the next probe opens a new one."""
        self._connection.close()


class ProbeTasks:
    """Runs at most one probe of a target at a time.

    Parameters
    ----------
    settings : DaemonSettings
        Settings with the probe timeout and the source address.
    deliver : callable
        Called with each ``Probed``.
    """

    def __init__(
        self, settings: DaemonSettings, deliver: Callable[[Event], None]
    ) -> None:
        self._timeout_s = settings.targets.probe_timeout_s
        self._source = (parse_address(settings.listen.peer_address)[0], 0)
        self._deliver = deliver
        self._connections: dict[str, _ProbeConnection] = {}
        self._group = Group()
        self._next_sweep_s = time.monotonic() + UNUSED_TIMEOUT_S

    def probe(self, action: Probe) -> None:
        """Probe health and load of a target, unless a probe is in progress."""
        now_s = time.monotonic()
        if now_s >= self._next_sweep_s:
            self._next_sweep_s = now_s + UNUSED_TIMEOUT_S
            self.close_unused_connections(UNUSED_TIMEOUT_S)
        connection = self._get_connection(action.address)
        connection.last_used_s = now_s
        if not connection.is_busy:
            connection.is_busy = True
            self._group.spawn(self._run, action, connection)

    def _get_connection(self, address: str) -> _ProbeConnection:
        probe_connection = self._connections.get(address)
        if probe_connection is None:
            connection = PersistentHttpConnection(
                parse_address(address), self._source, self._timeout_s
            )
            probe_connection = self._connections[address] = _ProbeConnection(connection)
        return probe_connection

    def _run(self, action: Probe, connection: _ProbeConnection) -> None:
        outcome: ProbeOutcome = ProbeFailed()
        try:
            # The timeout of the connection limits only single reads.
            with gevent.Timeout(self._timeout_s, False):
                outcome = connection.send_probe()
        except _FAILURES:
            pass
        finally:
            if not _is_from_service(outcome, action.service):
                connection.close()
            connection.is_busy = False
        self._deliver(Probed(action.service, action.target, outcome))

    def close_unused_connections(self, unused_s: float) -> None:
        """Close connections to targets that were not probed for this time."""
        oldest_s = time.monotonic() - unused_s
        for address, connection in list(self._connections.items()):
            if connection.last_used_s <= oldest_s and not connection.is_busy:
                connection.close()
                del self._connections[address]

    def close(self) -> None:
        """End all tasks and close all connections."""
        self._group.kill()
        for connection in self._connections.values():
            connection.close()


def _is_from_service(outcome: ProbeOutcome, service: str) -> bool:
    return isinstance(outcome, ProbeResult) and outcome.service == service


@contextmanager
def probe_tasks(
    settings: DaemonSettings, deliver: Callable[[Event], None]
) -> Iterator[ProbeTasks]:
    """Run probes while the context is open."""
    tasks = ProbeTasks(settings, deliver)
    try:
        yield tasks
    finally:
        tasks.close()

"""Tasks that ask targets for their health and load, on one connection each.

The connections are never used for requests: one that the target closes at the
moment of the send would leave open whether the request ran.  A probe that meets
such a connection is simply sent again on a new one.
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
from endivepick.daemon._persistent_http import AnswerError, KeptHttp
from endivepick.settings.model import DaemonSettings

__all__ = ["ProbeTasks", "probe_tasks"]

KEPT_S = 10.0
"""How long one connection is used: what stands behind an address can change."""
UNUSED_S = 10.0
"""How long the connection to a target stays open that is not probed any more."""
_FAILURES = (AnswerError, OSError, msgspec.DecodeError, ValueError)


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
    """Kept connection to one target."""

    def __init__(self, connection: KeptHttp) -> None:
        self._connection = connection
        self.busy = False
        self.used_at_s = 0.0
        self._opened_at_s = 0.0

    def ask(self) -> ProbeResult:
        """Ask for health and load; on a new connection if the kept one is gone."""
        now_s = time.monotonic()
        if now_s - self._opened_at_s >= KEPT_S:
            self.close()
        was_open = self._connection.is_open
        if not was_open:
            self._opened_at_s = now_s
        try:
            return self._ask()
        except OSError:
            self.close()
            if not was_open:
                raise
        return self._ask()

    def _ask(self) -> ProbeResult:
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
        """Close the connection; the next question opens it again."""
        self._connection.close()


class ProbeTasks:
    """Runs at most one probe of a target at a time.

    Parameters
    ----------
    settings : DaemonSettings
        Time-out and the address to connect from.
    deliver : callable
        Takes each ``Probed``.
    """

    def __init__(
        self, settings: DaemonSettings, deliver: Callable[[Event], None]
    ) -> None:
        self._timeout_s = settings.targets.probe_timeout_s
        self._source = (parse_address(settings.listen.peer_address)[0], 0)
        self._deliver = deliver
        self._connections: dict[str, _ProbeConnection] = {}
        self._group = Group()
        self._next_sweep_s = time.monotonic() + UNUSED_S

    def probe(self, action: Probe) -> None:
        """Ask a target for its health and load, unless it is being asked."""
        now_s = time.monotonic()
        if now_s >= self._next_sweep_s:
            self._next_sweep_s = now_s + UNUSED_S
            self.forget_unused(UNUSED_S)
        connection = self._connection_to(action.address)
        connection.used_at_s = now_s
        if not connection.busy:
            connection.busy = True
            self._group.spawn(self._run, action, connection)

    def _connection_to(self, address: str) -> _ProbeConnection:
        known = self._connections.get(address)
        if known is None:
            connection = KeptHttp(parse_address(address), self._source, self._timeout_s)
            known = self._connections[address] = _ProbeConnection(connection)
        return known

    def _run(self, action: Probe, connection: _ProbeConnection) -> None:
        outcome: ProbeOutcome = ProbeFailed()
        try:
            # The time-out of the connection limits each read only.
            with gevent.Timeout(self._timeout_s, False):
                outcome = connection.ask()
        except _FAILURES:
            pass
        finally:
            if not _is_answer_of(outcome, action.service):
                connection.close()
            connection.busy = False
        self._deliver(Probed(action.service, action.target, outcome))

    def forget_unused(self, unused_s: float) -> None:
        """Close connections to targets that were not probed for this long."""
        oldest_s = time.monotonic() - unused_s
        for address, connection in list(self._connections.items()):
            if connection.used_at_s <= oldest_s and not connection.busy:
                connection.close()
                del self._connections[address]

    def close(self) -> None:
        """End all tasks and close all connections."""
        self._group.kill()
        for connection in self._connections.values():
            connection.close()


def _is_answer_of(outcome: ProbeOutcome, service: str) -> bool:
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

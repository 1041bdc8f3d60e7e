"""Fault cases under which `standins.in_force` changes records."""

import random
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import AbstractContextManager, contextmanager, nullcontext
from dataclasses import dataclass, field
from typing import Any

from endivepick.membership.view import InstanceView, PeerState
from endivepick.records.roles import compute_zone_roles
from endivepick.records.settings import DisseminationSettings
from standins.cluster import Cluster
from standins.versions import wait_in_force

__all__ = ["CASES", "Case", "CaseRun", "Change"]

PAUSE_MAX_S = 0.5
"""Upper bound of the random pause between two changes."""
CUT_BOUNDS_S = (0.0, 4.0)
"""Shortest and longest time between the start of a cut and the change."""
OUTAGE_BOUNDS_S = (5.0, 20.0)
"""Shortest and longest duration of an outage or a cut."""
DELAY_MS = 100.0
LOSS = 0.05
LOSSY_DELAY_MS = 20.0
SLOW_MS = 1000.0
CHANGES_UNDER_LASTING_FAULT = 100
"""Number of changes in a case whose fault lasts for all of them."""
CHANGES_WITH_OWN_FAULT = 20
"""Number of changes in a case that causes its fault anew for each change."""
_OUTAGES = ("refuse", "unavailable", "hang")
_CUTS = ("cut", "blackhole")
_PEERS = {"route": "peer:*"}
_PLATFORM = {"route": "platform"}


@dataclass(frozen=True)
class Change:
    """Change that came into force.

    Attributes
    ----------
    record : str
        Name of the record.
    version : int
        Its version.
    names : tuple of str
        Instances that had to apply it.
    since_s : float
        Wall time from which the duration counts; 0 means the time of acceptance.
    """

    record: str
    version: int
    names: tuple[str, ...]
    since_s: float = 0.0


@dataclass
class CaseRun:
    """State of one case in one installation."""

    running: Cluster
    rng: random.Random
    changes: list[Change] = field(default_factory=list)

    def draw_s(self, bounds_s: tuple[float, float]) -> float:
        """Draw a duration uniformly between two bounds."""
        return self.rng.uniform(*bounds_s)

    def draw_zone(self) -> str:
        """Draw one of the zones."""
        return self.rng.choice(self.running.shape.zones)

    def write(self) -> dict[str, Any]:
        """Change a record; returns the accepted object."""
        service = self.rng.choice(self.running.shape.services).name
        waiting = self.rng.randint(4, 8)

        def change(body: dict[str, Any]) -> None:
            body["waiting_per_slot"] = waiting

        return self.running.platform.change_record(service, change)

    def wait(
        self,
        written: dict[str, Any],
        names: tuple[str, ...] = (),
        since_s: float = 0.0,
    ) -> None:
        """Wait until a change is in force, by default everywhere, and record it."""
        record, version = written["name"], written["version"]
        names = names or tuple(self.running.instances)
        wait_in_force(self.running, record, version, names)
        self.changes.append(Change(record, version, names, since_s))


def _write_and_wait(run: CaseRun) -> None:
    run.wait(run.write())


@contextmanager
def _apply_rules(
    run: CaseRun, *actions: dict[str, Any], **match: str
) -> Iterator[None]:
    """Apply rules of the fault proxy until the context exits."""
    assert run.running.faults is not None
    for action in actions:
        run.running.faults.add_rule(action, **match)
    try:
        yield
    finally:
        run.running.heal()


def _delay_peers(run: CaseRun) -> AbstractContextManager[None]:
    return _apply_rules(run, {"type": "delay", "delay_ms": DELAY_MS}, **_PEERS)


def _lose_peer_chunks(run: CaseRun) -> AbstractContextManager[None]:
    delay = {"type": "delay", "delay_ms": LOSSY_DELAY_MS}
    return _apply_rules(run, delay, {"type": "loss", "share": LOSS}, **_PEERS)


def _change_twice(run: CaseRun) -> None:
    """Change a record again while watches that delivered the first change reopen."""
    with ThreadPoolExecutor() as writers:
        first = writers.submit(run.write)
        time.sleep(run.draw_s((0.0, SLOW_MS / 1000)))
        second = writers.submit(run.write)
    run.wait(first.result())
    run.wait(second.result())


@contextmanager
def _slow_platform(run: CaseRun) -> Iterator[None]:
    run.running.platform.control(slow_ms=SLOW_MS)
    try:
        yield
    finally:
        run.running.platform.control(slow_ms=0.0)


def _change_without_platform_in_zone(run: CaseRun) -> None:
    """Change a record after a zone lost the platform but not its peers."""
    action = {"type": run.rng.choice(_CUTS)}
    with _apply_rules(run, action, source_zone=run.draw_zone(), **_PLATFORM):
        time.sleep(run.draw_s(CUT_BOUNDS_S))
        _write_and_wait(run)


def _change_after_outage(run: CaseRun) -> None:
    """Change a record immediately after the end of a platform outage."""
    run.running.platform.control(outage=run.rng.choice(_OUTAGES))
    time.sleep(run.draw_s(OUTAGE_BOUNDS_S))
    run.running.platform.control(outage=None)
    _write_and_wait(run)


def _change_while_platform_unreachable(run: CaseRun) -> None:
    """Change a record while no instance reaches the platform.

    The duration counts from the time at which the links are restored.
    """
    with _apply_rules(run, {"type": run.rng.choice(_CUTS)}, **_PLATFORM):
        written = run.write()
        time.sleep(run.draw_s(OUTAGE_BOUNDS_S))
    run.wait(written, since_s=time.time())


def _zone_watchers(run: CaseRun, zone: str) -> tuple[str, ...]:
    views = [
        InstanceView(plan.name, plan.zone, 0, "", PeerState.ALIVE)
        for plan in run.running.shape.instances
    ]
    return compute_zone_roles(zone, views, DisseminationSettings()).watchers


def _change_after_killing_watchers(run: CaseRun) -> None:
    """Change a record after all watchers of a zone were killed.

    The zone has other instances, and the killed ones stay in the instance list.
    """
    # The first zone has the most instances.
    killed = _zone_watchers(run, run.running.shape.zones[0])
    for name in killed:
        run.running.kill_instance(name, listed=True)
    living = tuple(name for name in run.running.instances if name not in killed)
    run.wait(run.write(), living)
    run.running.start_instances(killed)


def _change_during_planned_stop(run: CaseRun) -> None:
    """Change a record during the planned stop of a zone's status writer."""
    name = _zone_watchers(run, run.draw_zone())[0]
    others = tuple(other for other in run.running.instances if other != name)
    run.running.begin_stop(name)
    run.wait(run.write(), others)
    run.running.finish_stop(name)
    run.running.start_instance(name)


def _change_while_zone_cut(run: CaseRun) -> None:
    """Change a record while a zone is cut off from all others and the platform.

    The duration counts from the time at which the links are restored.
    """
    action = run.rng.choice(_CUTS)
    run.running.cut_zone(run.draw_zone(), platform=True, action=action)
    written = run.write()
    time.sleep(run.draw_s(OUTAGE_BOUNDS_S))
    run.running.heal()
    run.wait(written, since_s=time.time())


@dataclass(frozen=True)
class Case:
    """Fault case and the way in which changes are made under it.

    Attributes
    ----------
    name : str
        Name on the command line.
    changes : int
        Number of calls of ``make_change``.
    make_change : callable
        Makes one or two changes and waits until they are in force.
    fault_context : callable
        Returns a context manager of a fault that lasts for all changes.
    requires_ready_peers : bool
        Whether to wait before each change until all instances know that all
        others are ready.
    """

    name: str
    changes: int = CHANGES_UNDER_LASTING_FAULT
    make_change: Callable[[CaseRun], None] = _write_and_wait
    fault_context: Callable[[CaseRun], AbstractContextManager[None]] = lambda _: (
        nullcontext()
    )
    requires_ready_peers: bool = False


CASES = (
    Case("undisturbed"),
    Case("peers-delayed", fault_context=_delay_peers),
    Case("peers-lossy", fault_context=_lose_peer_chunks),
    Case(
        "platform-slow", CHANGES_UNDER_LASTING_FAULT // 2, _change_twice, _slow_platform
    ),
    Case(
        "zone-without-platform",
        CHANGES_WITH_OWN_FAULT,
        _change_without_platform_in_zone,
    ),
    Case(
        "replacement",
        CHANGES_WITH_OWN_FAULT,
        _change_during_planned_stop,
        requires_ready_peers=True,
    ),
    Case(
        "watchers-killed",
        CHANGES_WITH_OWN_FAULT,
        _change_after_killing_watchers,
        requires_ready_peers=True,
    ),
    Case("platform-back", CHANGES_WITH_OWN_FAULT, _change_after_outage),
    Case(
        "platform-reached-again",
        CHANGES_WITH_OWN_FAULT,
        _change_while_platform_unreachable,
    ),
    Case(
        "zone-healed",
        CHANGES_WITH_OWN_FAULT,
        _change_while_zone_cut,
        requires_ready_peers=True,
    ),
)

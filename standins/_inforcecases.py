"""Faults under which `standins.in_force` changes records."""

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

__all__ = ["CASES", "Case", "Change", "Run"]

PAUSE_S = 0.5
"""Longest pause between two changes, in seconds; it is drawn."""
CUT_S = (0.0, 4.0)
OUTAGE_S = (5.0, 20.0)
"""Shortest and longest duration of an outage, in seconds."""
DELAY_MS = 100.0
LOSS = 0.05
LOSSY_DELAY_MS = 20.0
SLOW_MS = 1000.0
CHANGES = 100
"""Changes of a case whose fault lasts."""
FAILURES = 20
"""Changes of a case that brings its fault about for each of them."""
_OUTAGES = ("refuse", "unavailable", "hang")
_CUTS = ("cut", "blackhole")
_PEERS = {"route": "peer:*"}
_PLATFORM = {"route": "platform"}


@dataclass(frozen=True)
class Change:
    """A change that was in force in the end.

    Attributes
    ----------
    record : str
        Name of the record.
    version : int
        Its version.
    names : tuple of str
        Instances that had to have it.
    since_s : float
        Wall time from which to count; 0 counts from its acceptance.
    """

    record: str
    version: int
    names: tuple[str, ...]
    since_s: float = 0.0


@dataclass
class Run:
    """One case in one installation."""

    running: Cluster
    chance: random.Random
    changes: list[Change] = field(default_factory=list)

    def draw_s(self, bounds_s: tuple[float, float]) -> float:
        """Return a duration between two bounds, in seconds."""
        return self.chance.uniform(*bounds_s)

    def draw_zone(self) -> str:
        """Return one of the zones."""
        return self.chance.choice(self.running.shape.zones)

    def write(self) -> dict[str, Any]:
        """Change a record; returns the accepted object."""
        service = self.chance.choice(self.running.shape.services).name
        waiting = self.chance.randint(4, 8)

        def change(body: dict[str, Any]) -> None:
            body["waiting_per_slot"] = waiting

        return self.running.platform.change_record(service, change)

    def wait(
        self,
        written: dict[str, Any],
        names: tuple[str, ...] = (),
        since_s: float = 0.0,
    ) -> None:
        """Wait until a change is in force, everywhere by default, and note it."""
        record, version = written["name"], written["version"]
        names = names or tuple(self.running.instances)
        wait_in_force(self.running, record, version, names)
        self.changes.append(Change(record, version, names, since_s))


def _change(run: Run) -> None:
    run.wait(run.write())


@contextmanager
def _rules(run: Run, *actions: dict[str, Any], **match: str) -> Iterator[None]:
    """Apply rules of the fault proxy while the context is open."""
    assert run.running.faults is not None
    for action in actions:
        run.running.faults.add_rule(action, **match)
    try:
        yield
    finally:
        run.running.heal()


def _delay(run: Run) -> AbstractContextManager[None]:
    return _rules(run, {"type": "delay", "delay_ms": DELAY_MS}, **_PEERS)


def _loss(run: Run) -> AbstractContextManager[None]:
    delay = {"type": "delay", "delay_ms": LOSSY_DELAY_MS}
    return _rules(run, delay, {"type": "loss", "share": LOSS}, **_PEERS)


def _change_twice(run: Run) -> None:
    """Change a record again while the watches that brought the first come back."""
    with ThreadPoolExecutor() as writers:
        first = writers.submit(run.write)
        time.sleep(run.draw_s((0.0, SLOW_MS / 1000)))
        second = writers.submit(run.write)
    run.wait(first.result())
    run.wait(second.result())


@contextmanager
def _slow(run: Run) -> Iterator[None]:
    run.running.platform.control(slow_ms=SLOW_MS)
    try:
        yield
    finally:
        run.running.platform.control(slow_ms=0.0)


def _zone_without_platform(run: Run) -> None:
    """Change a record some time after a zone lost the platform, not its peers."""
    action = {"type": run.chance.choice(_CUTS)}
    with _rules(run, action, source_zone=run.draw_zone(), **_PLATFORM):
        time.sleep(run.draw_s(CUT_S))
        _change(run)


def _platform_back(run: Run) -> None:
    """Change a record as soon as the platform is back after an outage."""
    run.running.platform.control(outage=run.chance.choice(_OUTAGES))
    time.sleep(run.draw_s(OUTAGE_S))
    run.running.platform.control(outage=None)
    _change(run)


def _platform_reached_again(run: Run) -> None:
    """Change a record while no instance reaches the platform; count from the heal."""
    with _rules(run, {"type": run.chance.choice(_CUTS)}, **_PLATFORM):
        written = run.write()
        time.sleep(run.draw_s(OUTAGE_S))
    run.wait(written, since_s=time.time())


def _watchers(run: Run, zone: str) -> tuple[str, ...]:
    views = [
        InstanceView(plan.name, plan.zone, 0, "", PeerState.ALIVE)
        for plan in run.running.shape.instances
    ]
    return compute_zone_roles(zone, views, DisseminationSettings()).watchers


def _watchers_killed(run: Run) -> None:
    """Kill all watchers of a zone that has other instances; they stay listed."""
    # The first zone has the most instances.
    killed = _watchers(run, run.running.shape.zones[0])
    for name in killed:
        run.running.kill_instance(name, listed=True)
    living = tuple(name for name in run.running.instances if name not in killed)
    run.wait(run.write(), living)
    run.running.start_instances(killed)


def _replacement(run: Run) -> None:
    """Change a record while the status writer of a zone stops as planned."""
    name = _watchers(run, run.draw_zone())[0]
    others = tuple(other for other in run.running.instances if other != name)
    run.running.begin_stop(name)
    run.wait(run.write(), others)
    run.running.finish_stop(name)
    run.running.start_instance(name)


def _zone_healed(run: Run) -> None:
    """Change a record while a zone is cut from everything; count from the heal."""
    action = run.chance.choice(_CUTS)
    run.running.cut_zone(run.draw_zone(), platform=True, action=action)
    written = run.write()
    time.sleep(run.draw_s(OUTAGE_S))
    run.running.heal()
    run.wait(written, since_s=time.time())


@dataclass(frozen=True)
class Case:
    """A fault, and how a change is made under it.

    Attributes
    ----------
    name : str
        Name on the command line.
    changes : int
        How often ``once`` is called.
    once : callable
        Makes one change, or two, and waits for them.
    around : callable
        Returns the fault that lasts for all changes.
    settled : bool
        Let all instances know each other before each change.
    """

    name: str
    changes: int = CHANGES
    once: Callable[[Run], None] = _change
    around: Callable[[Run], AbstractContextManager[None]] = lambda _: nullcontext()
    settled: bool = False


CASES = (
    Case("undisturbed"),
    Case("peers-delayed", around=_delay),
    Case("peers-lossy", around=_loss),
    Case("platform-slow", CHANGES // 2, _change_twice, _slow),
    Case("zone-without-platform", FAILURES, _zone_without_platform),
    Case("replacement", FAILURES, _replacement, settled=True),
    Case("watchers-killed", FAILURES, _watchers_killed, settled=True),
    Case("platform-back", FAILURES, _platform_back),
    Case("platform-reached-again", FAILURES, _platform_reached_again),
    Case("zone-healed", FAILURES, _zone_healed, settled=True),
)

"""Randomized run with single, repeated and combined failures under load.

``python -m standins.combined --shape=small --seed=7 --run_s=30`` draws failures
from a seed, which it prints first, so that a run can be repeated.  The checker
then reads only the logs of callers, targets and platform.  It checks the promises
that hold under any failure; flows may break, since the failures are unplanned.
"""

import random
import sys
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import fire

from standins.cases import choose_shape
from standins.checker import Promise, Report, UnplannedFailure, Violation, check
from standins.cluster import Cluster, ClusterSettings, cluster
from standins.demo import start_callers, stop_callers
from standins.evidence import read_evidence
from standins.shapes import Shape
from standins.versions import VersionWatch, wait_in_force, watch_versions

__all__ = ["main", "run_combined"]

CHECKED_PROMISES = (
    Promise.SERVICE,
    Promise.WHOLE,
    Promise.NOT_RUN,
    Promise.ONCE,
    Promise.LEAVING,
    Promise.IN_FORCE,
)
PAUSE_BOUNDS_S = (0.2, 1.0)
"""Shortest and longest time between two failures."""
DURATION_BOUNDS_S = (0.5, 4.0)
"""Shortest and longest duration of a failure."""
MAX_ACTIVE_FAILURES = 3
MIN_LIVE_INSTANCES = 2
RACING_WRITERS = 4


@dataclass
class _Failure:
    """Active failure with the function that ends it."""

    kind: str
    subject: str
    until_s: float
    end: Callable[[], None]


@dataclass
class _Run:
    """State of one randomized run."""

    running: Cluster
    rng: random.Random
    started_s: float
    active: list[_Failure] = field(default_factory=list)
    counts: dict[str, int] = field(default_factory=dict)
    written: list[dict[str, int]] = field(default_factory=list)

    def print_step(self, text: str) -> None:
        print(f"{time.monotonic() - self.started_s:5.1f} s  {text}", flush=True)

    def is_active(self, *kinds: str) -> bool:
        return any(failure.kind in kinds for failure in self.active)

    def untouched_instances(self) -> list[str]:
        touched = {failure.subject for failure in self.active}
        return sorted(set(self.running.instances) - touched)

    def untouched_targets(self) -> list[str]:
        touched = {failure.subject for failure in self.active}
        return sorted(set(self.running.targets) - touched)


def _do_nothing() -> None:
    return None


def _freeze(run: _Run) -> tuple[str, Callable[[], None]] | None:
    names = run.untouched_instances()
    if len(names) <= MIN_LIVE_INSTANCES - 1:
        return None
    name = run.rng.choice(names)
    run.running.freeze_instance(name)
    return name, lambda: run.running.thaw_instance(name)


def _kill(run: _Run) -> tuple[str, Callable[[], None]] | None:
    names = run.untouched_instances()
    if len(names) < MIN_LIVE_INSTANCES:
        return None
    name = run.rng.choice(names)
    listed = run.running.instances[name]
    run.running.kill_instance(name)
    return listed.plan.name, lambda: run.running.start_instances([name])


def _replace(run: _Run) -> tuple[str, Callable[[], None]] | None:
    names = run.untouched_instances()
    if len(names) < MIN_LIVE_INSTANCES:
        return None
    name = run.rng.choice(names)
    run.running.begin_stop(name)

    def end() -> None:
        run.running.finish_stop(name)
        run.running.start_instances([name])

    return name, end


def _cut_zone(run: _Run) -> tuple[str, Callable[[], None]] | None:
    if run.is_active("cut_zone"):
        return None
    zone = run.rng.choice(run.running.shape.zones)
    action = run.rng.choice(("cut", "blackhole"))
    run.running.cut_zone(zone, platform=run.rng.random() < 0.5, action=action)
    return zone, run.running.heal


def _begin_outage(run: _Run) -> tuple[str, Callable[[], None]] | None:
    if run.is_active("outage"):
        return None
    platform = run.running.platform
    kind = run.rng.choice(("refuse", "hang", "unavailable"))
    platform.control(outage=kind)
    return kind, lambda: platform.control(outage=None) and None


def _degrade_fabric(run: _Run) -> tuple[str, Callable[[], None]] | None:
    if run.is_active("bad_fabric"):
        return None
    faults = {"loss": 0.1, "duplicate": 0.3, "delay_ms_min": 0, "delay_ms_max": 30}
    run.running.control_fabric(to_instances=faults, to_callers=faults)
    no_faults = {"loss": 0.0, "duplicate": 0.0, "delay_ms_min": 0, "delay_ms_max": 0}

    def end() -> None:
        run.running.control_fabric(to_instances=no_faults, to_callers=no_faults)

    return "fabric", end


def _break_target(run: _Run) -> tuple[str, Callable[[], None]] | None:
    names = run.untouched_targets()
    name = run.rng.choice(names)
    fault = run.rng.choice(("shed", "stuck", "close_after_run"))
    target = run.running.targets[name]
    target.control(**{fault: True})
    return name, lambda: target.control(**{fault: False})


def _restart_target(run: _Run) -> tuple[str, Callable[[], None]] | None:
    name = run.rng.choice(run.untouched_targets())
    plan = run.running.targets[name].plan
    service = next(s for s in run.running.shape.services if s.name == plan.service)
    run.running.kill_target(name)

    def end() -> None:
        run.running.start_target(plan)
        run.running.write_record(service)

    return name, end


def _race_writers(run: _Run) -> tuple[str, Callable[[], None]] | None:
    """Let several writers change one record concurrently."""
    if run.is_active("outage"):
        return None
    service = run.rng.choice(run.running.shape.services).name

    def write(number: int) -> None:
        def change(body: dict[str, object]) -> None:
            body["waiting_per_slot"] = 8 + number

        written = run.running.platform.change_record(service, change)
        run.written.append({written["name"]: written["version"]})

    writers = [
        threading.Thread(target=write, args=(number,))
        for number in range(RACING_WRITERS)
    ]
    for writer in writers:
        writer.start()
    for writer in writers:
        writer.join()
    return service, _do_nothing


_FAILURES = {
    "freeze": _freeze,
    "kill": _kill,
    "replace": _replace,
    "cut_zone": _cut_zone,
    "outage": _begin_outage,
    "bad_fabric": _degrade_fabric,
    "break_target": _break_target,
    "restart_target": _restart_target,
    "race": _race_writers,
}
_NEED_PLATFORM = frozenset({"kill", "replace", "restart_target"})
"""Failures whose end starts a process or writes a record and needs the platform."""


def _begin_failure(run: _Run) -> None:
    kind = run.rng.choice(sorted(_FAILURES))
    begun = _FAILURES[kind](run)
    if begun is None:
        return
    subject, end = begun
    until_s = time.monotonic() + run.rng.uniform(*DURATION_BOUNDS_S)
    run.active.append(_Failure(kind, subject, until_s, end))
    run.counts[kind] = run.counts.get(kind, 0) + 1
    run.print_step(f"{kind} {subject}")


def _end_due_failures(run: _Run, end_all: bool = False) -> None:
    """End failures that are due.

    Failures whose end needs the platform stay active while it may be unreachable.
    """
    due = [
        failure
        for failure in run.active
        if end_all or time.monotonic() >= failure.until_s
    ]
    for failure in sorted(due, key=lambda failure: failure.kind in _NEED_PLATFORM):
        blocked = run.is_active("cut_zone", "outage", "freeze")
        if failure.kind in _NEED_PLATFORM and blocked and not end_all:
            continue
        run.active.remove(failure)
        failure.end()
        run.print_step(f"end of {failure.kind} {failure.subject}")


def _run_failures(run: _Run, run_s: float) -> None:
    callers = start_callers(run.running)
    for process in callers:
        process.wait_ready()
    end_s = time.monotonic() + run_s
    while time.monotonic() < end_s:
        _end_due_failures(run)
        if len(run.active) < MAX_ACTIVE_FAILURES:
            _begin_failure(run)
        # The random time between two failures is part of the experiment.
        time.sleep(run.rng.uniform(*PAUSE_BOUNDS_S))
    _end_due_failures(run, end_all=True)
    for name in run.running.instances:
        run.running.wait_instance_ready(name)
    _check_in_force(run)
    stop_callers(callers)


def _check_in_force(run: _Run) -> None:
    """Wait until the newest version of each record is in force on all instances."""
    for service in run.running.shape.services:
        stored = run.running.platform.get("service", service.name)
        assert stored is not None
        wait_in_force(run.running, service.name, stored["version"])
        accepted = [w[service.name] for w in run.written if service.name in w]
        if accepted and max(accepted) > stored["version"]:
            raise AssertionError(
                f"{service.name} has an older version in the platform than accepted"
            )


@contextmanager
def _start_run(
    shape: Shape, seed: int, folder: str
) -> Iterator[tuple[_Run, VersionWatch]]:
    settings = ClusterSettings(shape, faults=True, seed=seed, folder=folder)
    with cluster(settings) as running, watch_versions(running) as watch:
        yield _Run(running, random.Random(seed), time.monotonic()), watch


def run_combined(
    shape: Shape, seed: int, run_s: float, folder: str = ""
) -> tuple[Report, dict[str, int]]:
    """Run random failures under load and check the logs.

    Parameters
    ----------
    shape : Shape
        Installation to run.
    seed : int
        Seed of failures, load and fabric.
    run_s : float
        Time in which failures begin.
    folder : str
        Folder for logs; empty for a temporary directory.

    Returns
    -------
    Report, dict
        Counts and broken promises, and the number of failures of each kind.
    """
    print(f"seed {seed}, shape {shape.name}, {run_s:g} s of failures", flush=True)
    with _start_run(shape, seed, folder) as (run, watch):
        _run_failures(run, run_s)
        logs = run.running.launcher.logs
        evidence = read_evidence(logs("callers"), logs("targets"), logs("platform"))
        report = check(evidence, [UnplannedFailure(0.0, time.time())])
        report.violations += [
            Violation(Promise.IN_FORCE, detail) for detail in watch.reverted
        ]
        report.violations = [
            v for v in report.violations if v.promise in CHECKED_PROMISES
        ]
        return report, run.counts


def main(shape: str = "small", seed: int = 0, run_s: float = 30.0) -> None:
    """Run random failures; the exit status is 1 if a promise was broken.

    Parameters
    ----------
    shape : str
        ``harada``, ``leave-desk`` or ``small``.
    seed : int
        Seed; 0 draws a random one, which is printed.
    run_s : float
        Time in which failures begin, in seconds; at most 600.
    """
    drawn = seed or random.SystemRandom().randrange(1, 1_000_000)
    report, counts = run_combined(choose_shape(shape), drawn, min(run_s, 600.0))
    print("failures:", ", ".join(f"{kind} {n}" for kind, n in sorted(counts.items())))
    for name in ("requests", "answer_whole", "not_run", "unknown", "gave_up"):
        print(f"{name:20} {report.counts[name]}")
    for violation in report.violations:
        print(f"BROKEN {violation}")
    sys.exit(1 if report.violations else 0)


if __name__ == "__main__":
    fire.Fire(main)

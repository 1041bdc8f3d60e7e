"""What instances cost that handle no request: processor time and wake-ups.

``python -m endivepick.bench.idle`` runs an installation of real processes without
callers and prints one JSON line for each instance and window.
"""

import json
import os
import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import fire

from endivepick.bench._instances import running_cluster

__all__ = ["IdleWindow", "measure_idle", "run"]

SETTLE_S = 8.0
"""Time in which instances agree on owners and targets have been healthy a while."""
WINDOW_S = 10.0
WINDOWS = 3
_NS_PER_S = 1e9
_WAKE_UPS = "voluntary_ctxt_switches:"


@dataclass(frozen=True)
class IdleWindow:
    """One instance in one window.

    Attributes
    ----------
    instance : str
        Its name.
    targets : int
        Targets that it probes.
    cpu_percent : float
        Processor time, in percent of a core.
    main_wake_ups_per_s, other_wake_ups_per_s : float
        How often its main thread, and all others, went on after a wait.
    load_average : float
        Of the machine in the last minute, at the end of the window.
    """

    instance: str
    targets: int
    cpu_percent: float
    main_wake_ups_per_s: float
    other_wake_ups_per_s: float
    load_average: float


@dataclass(frozen=True)
class _Reading:
    """Totals of one process at one moment."""

    at_s: float
    cpu_ns: int
    main_wake_ups: int
    other_wake_ups: int


def _read(pid: int) -> _Reading:
    cpu_ns = main = other = 0
    for task in Path(f"/proc/{pid}/task").iterdir():
        # Nanoseconds; the times of ``stat`` come in hundredths of a second.
        cpu_ns += int((task / "schedstat").read_text().split()[0])
        wake_ups = _wake_ups((task / "status").read_text())
        if int(task.name) == pid:
            main = wake_ups
        else:
            other += wake_ups
    return _Reading(time.monotonic(), cpu_ns, main, other)


def _wake_ups(status: str) -> int:
    lines = [line for line in status.splitlines() if line.startswith(_WAKE_UPS)]
    return int(lines[0].split()[1])


def _targets(status: dict[str, Any]) -> int:
    return sum(len(service["targets"]) for service in status["services"])


def measure_idle(
    cluster: Any,
    windows: int = WINDOWS,
    window_s: float = WINDOW_S,
    settle_s: float = SETTLE_S,
) -> Iterator[IdleWindow]:
    """Measure the instances of a running installation, each in each window."""
    time.sleep(settle_s)
    statuses = {one.plan.name: one.status() for one in cluster.instances.values()}
    for _ in range(windows):
        before = {n: _read(i.process.pid) for n, i in cluster.instances.items()}
        time.sleep(window_s)
        for name, instance in cluster.instances.items():
            start, end = before[name], _read(instance.process.pid)
            elapsed_s = end.at_s - start.at_s
            cpu_ns = end.cpu_ns - start.cpu_ns
            main = end.main_wake_ups - start.main_wake_ups
            other = end.other_wake_ups - start.other_wake_ups
            yield IdleWindow(
                instance=name,
                targets=_targets(statuses[name]),
                cpu_percent=100 * cpu_ns / _NS_PER_S / elapsed_s,
                main_wake_ups_per_s=main / elapsed_s,
                other_wake_ups_per_s=other / elapsed_s,
                load_average=os.getloadavg()[0],
            )


def run(
    shape: str = "harada", windows: int = WINDOWS, window_s: float = WINDOW_S
) -> None:
    """Print one JSON line for each instance and window.

    Parameters
    ----------
    shape : str
        Name of the installation's shape.
    windows : int
        Windows to measure.
    window_s : float
        Length of each, in seconds.
    """
    from standins.shapes import SHAPES

    with running_cluster(SHAPES[shape]) as cluster:
        for window in measure_idle(cluster, windows, window_s):
            values = vars(window).items()
            rounded = {k: round(v, 2) if type(v) is float else v for k, v in values}
            print(json.dumps(rounded), flush=True)


if __name__ == "__main__":
    fire.Fire(run)

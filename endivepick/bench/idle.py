"""Processor time and wake-ups of idle instances.

``python -m endivepick.bench.idle`` runs an installation of real processes without
callers and prints one JSON line per instance and window.
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
"""Time for instances to agree on owners and for targets to become stably healthy."""
WINDOW_S = 10.0
WINDOWS = 3
_NS_PER_S = 1e9
_WAKE_UPS_FIELD = "voluntary_ctxt_switches:"


@dataclass(frozen=True)
class IdleWindow:
    """Measurement of one instance in one window.

    Attributes
    ----------
    instance : str
        Name of the instance.
    targets : int
        Number of targets that the instance probes.
    cpu_percent : float
        Processor time, as a percentage of one core.
    main_wake_ups_per_s, other_wake_ups_per_s : float
        Voluntary context switches per second of the main thread and of all other
        threads.
    load_average : float
        One-minute load average of the machine at the end of the window.
    """

    instance: str
    targets: int
    cpu_percent: float
    main_wake_ups_per_s: float
    other_wake_ups_per_s: float
    load_average: float


@dataclass(frozen=True)
class _ProcessCounters:
    """Cumulative counters of one process."""

    at_s: float
    cpu_ns: int
    main_wake_ups: int
    other_wake_ups: int


def _read_counters(pid: int) -> _ProcessCounters:
    cpu_ns = main = other = 0
    for task in Path(f"/proc/{pid}/task").iterdir():
        # In nanoseconds, whereas the resolution of ``stat`` is 10 ms.
        cpu_ns += int((task / "schedstat").read_text().split()[0])
        wake_ups = _parse_wake_ups((task / "status").read_text())
        if int(task.name) == pid:
            main = wake_ups
        else:
            other += wake_ups
    return _ProcessCounters(time.monotonic(), cpu_ns, main, other)


def _parse_wake_ups(status: str) -> int:
    lines = [line for line in status.splitlines() if line.startswith(_WAKE_UPS_FIELD)]
    return int(lines[0].split()[1])


def _count_targets(status: dict[str, Any]) -> int:
    return sum(len(service["targets"]) for service in status["services"])


def measure_idle(
    cluster: Any,
    windows: int = WINDOWS,
    window_s: float = WINDOW_S,
    settle_s: float = SETTLE_S,
) -> Iterator[IdleWindow]:
    """Measure each instance of a running installation in each window."""
    time.sleep(settle_s)
    statuses = {one.plan.name: one.status() for one in cluster.instances.values()}
    for _ in range(windows):
        before = {
            n: _read_counters(i.process.pid) for n, i in cluster.instances.items()
        }
        time.sleep(window_s)
        for name, instance in cluster.instances.items():
            start, end = before[name], _read_counters(instance.process.pid)
            elapsed_s = end.at_s - start.at_s
            cpu_ns = end.cpu_ns - start.cpu_ns
            main = end.main_wake_ups - start.main_wake_ups
            other = end.other_wake_ups - start.other_wake_ups
            yield IdleWindow(
                instance=name,
                targets=_count_targets(statuses[name]),
                cpu_percent=100 * cpu_ns / _NS_PER_S / elapsed_s,
                main_wake_ups_per_s=main / elapsed_s,
                other_wake_ups_per_s=other / elapsed_s,
                load_average=os.getloadavg()[0],
            )


def run(
    shape: str = "harada", windows: int = WINDOWS, window_s: float = WINDOW_S
) -> None:
    """Print one JSON line per instance and window.

    Parameters
    ----------
    shape : str
        Name of the shape of the installation.
    windows : int
        Number of windows.
    window_s : float
        Length of each window, in seconds.
    """
    from standins.shapes import SHAPES

    with running_cluster(SHAPES[shape]) as cluster:
        for window in measure_idle(cluster, windows, window_s):
            values = vars(window).items()
            rounded = {k: round(v, 2) if type(v) is float else v for k, v in values}
            print(json.dumps(rounded), flush=True)


if __name__ == "__main__":
    fire.Fire(run)

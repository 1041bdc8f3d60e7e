"""Measures how long accepted changes take until they are in force everywhere.

``python -m standins.in_force --shape=harada --seed=1`` starts all processes of a
shape, changes records without a fault and under several, and prints one JSON line
for each case.  The times come from the logs of platform and instances.  The exit
status is 1 if an instance showed a version below one that it had shown before.
"""

import json
import os
import random
import sys
import time
from collections.abc import Iterable, Sequence
from typing import Any

import fire

from endivepick.bench.measures import LatencyHistogram
from standins._inforcecases import CASES, PAUSE_S, Case, Change, Run
from standins.cases import choose_cases, choose_shape
from standins.cluster import Cluster, ClusterSettings, cluster
from standins.jsonlines import read_lines
from standins.process import exit_on_signal
from standins.versions import wait_peers_ready, watch_versions

__all__ = ["InForceTimes", "main", "measure_case"]


class InForceTimes:
    """When versions were accepted and put in force, from the logs.

    Parameters
    ----------
    platform : iterable of dict
        Events of the platform.
    instances : iterable of dict
        Events of all instances.
    """

    def __init__(
        self, platform: Iterable[dict[str, Any]], instances: Iterable[dict[str, Any]]
    ) -> None:
        self._accepted = {
            line["version"]: line["at_s"]
            for line in platform
            if line["event"] == "write"
        }
        self._applied: dict[tuple[str, str], list[tuple[float, int]]] = {}
        for line in instances:
            if line["event"] == "record_in_force":
                key = (line["process"], line["record"])
                applied = (line["at_s"], line["version"])
                self._applied.setdefault(key, []).append(applied)

    def took_s(self, change: Change) -> float:
        """Return how long a change took until the last instance had it."""
        since_s = change.since_s or self._accepted[change.version]
        last_s = max(self._first_s(name, change) for name in change.names)
        return max(0.0, last_s - since_s)

    def _first_s(self, name: str, change: Change) -> float:
        applied = self._applied[name, change.record]
        return min(at_s for at_s, version in applied if version >= change.version)


def measure_case(
    running: Cluster, case: Case, seed: int, changes: int = 0
) -> dict[str, Any]:
    """Make the changes of one case.

    Parameters
    ----------
    running : Cluster
        The installation.
    case : Case
        The fault.
    seed : int
        Seed of what is drawn.
    changes : int
        How many changes; 0 for as many as the case says.

    Returns
    -------
    dict
        Times in seconds, and versions that went back.
    """
    run = Run(running, random.Random(f"{seed}:{case.name}"))
    wait_peers_ready(running)
    with watch_versions(running, over_restarts=True) as watch, case.around(run):
        for _ in range(changes or case.changes):
            if case.settled:
                wait_peers_ready(running)
            time.sleep(run.draw_s((0.0, PAUSE_S)))
            case.once(run)
    return {**_figures(run), "reverted": watch.reverted}


def _figures(run: Run) -> dict[str, Any]:
    times = InForceTimes(_logged(run, "platform"), _logged(run, "instances"))
    histogram = LatencyHistogram()
    for change in run.changes:
        histogram.add(times.took_s(change))
    return {
        "changes": len(run.changes),
        "median_s": round(histogram.percentile_s(50.0), 3),
        "p99_s": round(histogram.percentile_s(99.0), 3),
        "max_s": round(histogram.percentile_s(100.0), 3),
    }


def _logged(run: Run, part: str) -> Iterable[dict[str, Any]]:
    for path in run.running.launcher.logs(part):
        yield from read_lines(path)


def main(
    shape: str = "harada",
    seed: int = 1,
    cases: str | Sequence[str] = "",
    changes: int = 0,
) -> None:
    """Measure and print one line for each case.

    Parameters
    ----------
    shape : str
        ``harada``, ``leave-desk`` or ``small``.
    seed : int
        Seed of what is drawn.
    cases : str
        Names of cases, separated by commas; empty for all.
    changes : int
        Changes of each case; 0 for as many as the case says.
    """
    reverted = False
    for case in choose_cases(cases, CASES):
        settings = ClusterSettings(choose_shape(shape), faults=True, seed=seed)
        with exit_on_signal(), cluster(settings) as running:
            figures = measure_case(running, case, seed, changes)
        reverted = reverted or bool(figures["reverted"])
        load = round(os.getloadavg()[0], 1)
        about = {"case": case.name, "shape": shape, "seed": seed}
        print(json.dumps({**about, **figures, "load_average": load}), flush=True)
    sys.exit(reverted)


if __name__ == "__main__":
    fire.Fire(main)

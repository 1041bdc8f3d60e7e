"""Slopes of real instances against the number of instances, idle and under load."""

import statistics
import time
import urllib.request
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from endivepick.bench._instances import SETTLE_S, flat_shape, running_cluster
from endivepick.bench._processes import cpu_s, rss_bytes
from endivepick.bench._slopes import Measured

__all__ = ["measure_clusters"]

CLUSTER_SIZES = (3, 6, 12, 24)
WINDOW_S = 3.0
WINDOWS = 2
ZONES = 3
SERVICES = 2
LOAD_FLOWS = 8
"""Flows of each service, held by one caller process."""


@dataclass(frozen=True)
class _Reading:
    """Totals over all instances at one moment."""

    at_s: float
    cpu_s: float
    peer_messages: float
    peer_bytes: float
    platform_calls: float


def _read(cluster: Any) -> _Reading:
    metrics = [_metrics(one.http_address) for one in cluster.instances.values()]
    total = cluster.platform.stats()["total"]
    return _Reading(
        time.monotonic(),
        sum(cpu_s(one.process.pid) for one in cluster.instances.values()),
        sum(one["endivepick_peer_messages_sent"] for one in metrics),
        sum(one["endivepick_peer_bytes_sent"] for one in metrics),
        total["reads"] + total["writes"],
    )


def _metrics(address: str) -> dict[str, float]:
    with urllib.request.urlopen(f"http://{address}/metrics") as answer:
        lines = answer.read().decode().splitlines()
    pairs = [line.rpartition(" ") for line in lines if not line.startswith("#")]
    return {name: float(value) for name, _, value in pairs if name}


def _window(cluster: Any, prefix: str) -> dict[str, float]:
    """Return what one instance costs each second, as a mean over all."""
    before = _read(cluster)
    time.sleep(WINDOW_S)
    after = _read(cluster)
    elapsed_s = after.at_s - before.at_s
    each = len(cluster.instances) * elapsed_s
    return {
        f"{prefix}_cpu_percent": 100 * (after.cpu_s - before.cpu_s) / each,
        f"{prefix}_peer_messages_per_s": (after.peer_messages - before.peer_messages)
        / each,
        f"{prefix}_peer_bytes_per_s": (after.peer_bytes - before.peer_bytes) / each,
        f"{prefix}_platform_calls_per_s": (after.platform_calls - before.platform_calls)
        / elapsed_s,
    }


def _start_load(cluster: Any) -> None:
    workloads = [
        {"service": service.name, "flows": LOAD_FLOWS, "work_ms": 5, "think_ms": 50}
        for service in cluster.shape.services
    ]
    settings = {
        "name": "caller",
        "fabric_address": cluster.fabric_address,
        "workloads": workloads,
        "run_s": 20 * WINDOW_S,
    }
    path = cluster.launcher.write_settings("caller", settings)
    arguments = [f"--settings={path}"]
    cluster.launcher.spawn("caller", "standins.load", arguments).wait_ready()


def _cluster_runs(instances: int) -> list[dict[str, float]]:
    """Start an installation and return the figures of each window."""
    with running_cluster(flat_shape(instances, SERVICES, ZONES)) as cluster:
        time.sleep(SETTLE_S)
        idle = [_window(cluster, "idle") for _ in range(WINDOWS)]
        memory = [rss_bytes(one.process.pid) for one in cluster.instances.values()]
        _start_load(cluster)
        time.sleep(1.0)
        loaded = [_window(cluster, "loaded") for _ in range(WINDOWS)]
    held = {"memory_bytes": statistics.mean(memory)}
    return [{**held, **quiet, **busy} for quiet, busy in zip(idle, loaded, strict=True)]


def measure_clusters(sizes: Sequence[int] = CLUSTER_SIZES) -> dict[str, Measured]:
    """Measure installations of several sizes; the spread is that of the windows.

    Figures are means over all instances but for the platform's calls, which are
    those of the whole installation.  Bytes are encoded messages that were sent.
    """
    units = {"memory_bytes": "B"}
    for prefix in ("idle", "loaded"):
        units[f"{prefix}_cpu_percent"] = "%"
        units[f"{prefix}_peer_messages_per_s"] = "1/s"
        units[f"{prefix}_peer_bytes_per_s"] = "B/s"
        units[f"{prefix}_platform_calls_per_s"] = "1/s"
    runs = [_cluster_runs(size) for size in sizes]
    return {
        name: Measured(
            name,
            unit,
            "instance",
            tuple(sizes),
            tuple(
                tuple(windows[number][name] for windows in runs)
                for number in range(WINDOWS)
            ),
        )
        for name, unit in units.items()
    }

"""Costs of real instances by number of instances, idle and under load."""

import statistics
import time
import urllib.request
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from endivepick.bench._instances import SETTLE_S, make_uniform_shape, running_cluster
from endivepick.bench._processes import read_cpu_s, read_rss_bytes
from endivepick.bench._slopes import Measurement

__all__ = ["measure_clusters"]

CLUSTER_SIZES = (3, 6, 12, 24)
WINDOW_S = 3.0
WINDOWS = 2
ZONES = 3
SERVICES = 2
LOAD_FLOWS = 8
"""Flows per service, opened by one caller process."""


@dataclass(frozen=True)
class _ClusterCounters:
    """Cumulative counters of all instances."""

    at_s: float
    cpu_s: float
    peer_messages: float
    peer_bytes: float
    platform_calls: float


def _read_counters(cluster: Any) -> _ClusterCounters:
    metrics = [_read_metrics(one.http_address) for one in cluster.instances.values()]
    total = cluster.platform.stats()["total"]
    return _ClusterCounters(
        time.monotonic(),
        sum(read_cpu_s(one.process.pid) for one in cluster.instances.values()),
        sum(one["endivepick_peer_messages_sent"] for one in metrics),
        sum(one["endivepick_peer_bytes_sent"] for one in metrics),
        total["reads"] + total["writes"],
    )


def _read_metrics(address: str) -> dict[str, float]:
    with urllib.request.urlopen(f"http://{address}/metrics") as answer:
        lines = answer.read().decode().splitlines()
    pairs = [line.rpartition(" ") for line in lines if not line.startswith("#")]
    return {name: float(value) for name, _, value in pairs if name}


def _measure_window(cluster: Any, prefix: str) -> dict[str, float]:
    """Return the mean costs per instance and second over one window."""
    before = _read_counters(cluster)
    time.sleep(WINDOW_S)
    after = _read_counters(cluster)
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


def _measure_cluster(instances: int) -> list[dict[str, float]]:
    """Start an installation and return the values of each window."""
    with running_cluster(make_uniform_shape(instances, SERVICES, ZONES)) as cluster:
        time.sleep(SETTLE_S)
        idle = [_measure_window(cluster, "idle") for _ in range(WINDOWS)]
        memory = [read_rss_bytes(one.process.pid) for one in cluster.instances.values()]
        _start_load(cluster)
        time.sleep(1.0)
        loaded = [_measure_window(cluster, "loaded") for _ in range(WINDOWS)]
    held = {"memory_bytes": statistics.mean(memory)}
    return [{**held, **quiet, **busy} for quiet, busy in zip(idle, loaded, strict=True)]


def measure_clusters(sizes: Sequence[int] = CLUSTER_SIZES) -> dict[str, Measurement]:
    """Measure installations of several sizes; each window is one repetition.

    Values are means over all instances, except platform calls, which are counted over
    the whole installation. Bytes are those of encoded messages sent.
    """
    units = {"memory_bytes": "B"}
    for prefix in ("idle", "loaded"):
        units[f"{prefix}_cpu_percent"] = "%"
        units[f"{prefix}_peer_messages_per_s"] = "1/s"
        units[f"{prefix}_peer_bytes_per_s"] = "B/s"
        units[f"{prefix}_platform_calls_per_s"] = "1/s"
    runs = [_measure_cluster(size) for size in sizes]
    return {
        name: Measurement(
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

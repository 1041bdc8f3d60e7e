"""Counters and histograms of a forwarder, rendered by aioprometheus.

Counting uses a dictionary. The library is imported at the first request for the page,
in a thread that does not delay packets.
"""

from bisect import bisect_left
from collections import Counter
from collections.abc import Callable, Sequence

from msgspec import Struct

__all__ = ["ForwarderMetrics", "MetricsSnapshot", "render_page"]

_BUCKETS_S = (0.0001, 0.0005, 0.001, 0.005, 0.01, 0.05, 0.1, 0.5, 1.0)
_HELP = {
    "packets_forwarded": "Packets sent to targets, by service.",
    "packets_dropped": "Packets that went nowhere, by reason.",
    "flows_placed": "Opening packets sent to targets, by reason of the choice.",
    "flows_reset": "Flows reset at their callers, by reason.",
    "openings_rejected": "Openings rejected during an overload, by priority.",
    "overload_changes": "Changes of the overload states of services, by new state.",
    "evacuation_changes": "Evacuations of zones that came into force or ended.",
    "target_changes": "Changes of what is believed of targets, by new belief.",
    "probes": "Probes of targets, by outcome.",
    "probe_causes": "Probes of targets, by cause.",
    "items_unreadable": "Objects of the store that could not be read, by kind.",
    "store_calls": "Calls of the platform's object API, by answer.",
    "tasks_failed": "Tasks that met a fault and began again, by name.",
    "log_lines_dropped": "Log lines left out.",
}


class MetricsSnapshot(Struct, frozen=True):
    """Values of the metrics at a point in time.

    Attributes
    ----------
    counts : Counter
        Counts by name and kind.
    batches : list of int
        Number of batches by duration bucket; the last bucket has no upper limit.
    batches_s : float
        Sum of the durations, in seconds.
    """

    counts: Counter[tuple[str, str]]
    batches: list[int]
    batches_s: float


class ForwarderMetrics:
    """Metrics of a forwarder.

    The events of packets are appended to lists and counted at the next tick, all at
    once, which leaves more CPU time for packets.

    Attributes
    ----------
    record_forwarded : callable
        Records the service of a packet that was sent to a target.
    record_batch : callable
        Records the duration of a batch of packets, in seconds.

    Examples
    --------
    >>> metrics = ForwarderMetrics()
    >>> metrics.count("probes", "alive")
    >>> page = render_page(metrics.snapshot(), {})
    >>> b'endivepick_forwarder_probes_total{kind="alive"} 1' in page
    True
    """

    def __init__(self) -> None:
        self.counts: Counter[tuple[str, str]] = Counter()
        self._new_services: list[str] = []
        self._new_batches_s: list[float] = []
        self.record_forwarded: Callable[[str], None] = self._new_services.append
        self.record_batch: Callable[[float], None] = self._new_batches_s.append
        self._batches = [0] * (len(_BUCKETS_S) + 1)
        self._batches_s = 0.0

    def count(self, name: str, kind: str, number: int = 1) -> None:
        """Increase a counter."""
        self.counts[name, kind] += number

    def aggregate(self) -> None:
        """Add the events in the lists to the counters and the histogram."""
        for service, number in Counter(self._new_services).items():
            self.counts["packets_forwarded", service] += number
        for duration_s in self._new_batches_s:
            self._batches[bisect_left(_BUCKETS_S, duration_s)] += 1
        self._batches_s += sum(self._new_batches_s)
        self._new_services.clear()
        self._new_batches_s.clear()

    def snapshot(self) -> MetricsSnapshot:
        """Return the current values, for use in another thread."""
        self.aggregate()
        counts = Counter(self.counts)
        return MetricsSnapshot(counts, list(self._batches), self._batches_s)


def render_page(snapshot: MetricsSnapshot, gauges: dict[str, float]) -> bytes:
    """Return all metrics in the text format of Prometheus.

    Parameters
    ----------
    snapshot : MetricsSnapshot
        Counters and the histogram.
    gauges : dict of str to float
        Current values, by name with unit.
    """
    from aioprometheus import Counter as PrometheusCounter
    from aioprometheus import Gauge, Registry, render

    registry = Registry()
    counters = {
        name: PrometheusCounter(
            f"endivepick_forwarder_{name}_total", text, registry=registry
        )
        for name, text in _HELP.items()
    }
    for (name, kind), number in snapshot.counts.items():
        counters[name].set({"kind": kind}, number)
    for name, value in gauges.items():
        gauge = Gauge(f"endivepick_forwarder_{name}", name, registry=registry)
        gauge.set({}, value)
    body, _ = render(registry, [])
    return body + _histogram(snapshot)


def _histogram(snapshot: MetricsSnapshot) -> bytes:
    name = "endivepick_forwarder_batch_seconds"
    lines = [
        f"# HELP {name} Time that a batch of packets took.",
        f"# TYPE {name} histogram",
    ]
    total = 0
    limits: Sequence[str] = [str(limit) for limit in _BUCKETS_S] + ["+Inf"]
    for limit, number in zip(limits, snapshot.batches, strict=True):
        total += number
        lines.append(f'{name}_bucket{{le="{limit}"}} {total}')
    lines += [f"{name}_sum {snapshot.batches_s}", f"{name}_count {total}", ""]
    return "\n".join(lines).encode()

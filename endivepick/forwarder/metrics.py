"""Counters and histograms of a forwarder, rendered by aioprometheus.

Counting is a dictionary's work; the library is loaded when the first reader asks, in
a thread beside the packets.
"""

from bisect import bisect_left
from collections import Counter, defaultdict
from collections.abc import Sequence

__all__ = ["ForwarderMetrics"]

_BUCKETS_S = (0.0001, 0.0005, 0.001, 0.005, 0.01, 0.05, 0.1, 0.5, 1.0)
_HELP = {
    "packets_forwarded": "Packets sent to targets, by service.",
    "packets_dropped": "Packets that went nowhere, by reason.",
    "flows_placed": "Opening packets sent to targets, by reason of the choice.",
    "flows_reset": "Flows reset at their callers, by reason.",
    "target_changes": "Changes of what is believed of targets, by new belief.",
    "probes": "Probes of targets, by outcome.",
    "store_calls": "Calls of the platform's object API, by answer.",
    "tasks_failed": "Tasks that met a fault and began again, by name.",
    "log_lines_dropped": "Log lines left out.",
}


class ForwarderMetrics:
    """What a forwarder counts.

    Examples
    --------
    >>> metrics = ForwarderMetrics()
    >>> metrics.count("probes", "alive")
    >>> b'endivepick_forwarder_probes_total{kind="alive"} 1' in metrics.render({})
    True
    """

    def __init__(self) -> None:
        self.counts: Counter[tuple[str, str]] = Counter()
        self.forwarded: defaultdict[str, int] = defaultdict(int)
        """Packets sent to targets, by service; apart, as each packet counts here."""
        self._batch_buckets = [0] * (len(_BUCKETS_S) + 1)
        self._batch_sum_s = 0.0

    def count(self, name: str, kind: str, number: int = 1) -> None:
        """Add to a counter."""
        self.counts[name, kind] += number

    def batch(self, duration_s: float) -> None:
        """Note how long a batch of packets took."""
        self._batch_buckets[bisect_left(_BUCKETS_S, duration_s)] += 1
        self._batch_sum_s += duration_s

    def render(self, gauges: dict[str, float]) -> bytes:
        """Return all metrics in the text format of Prometheus.

        Parameters
        ----------
        gauges : dict of str to float
            Present values, by name with unit.
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
        for (name, kind), number in list(self.counts.items()):
            counters[name].set({"kind": kind}, number)
        for service, number in list(self.forwarded.items()):
            counters["packets_forwarded"].set({"kind": service}, number)
        for name, value in gauges.items():
            gauge = Gauge(f"endivepick_forwarder_{name}", name, registry=registry)
            gauge.set({}, value)
        body, _ = render(registry, [])
        return body + self._histogram()

    def _histogram(self) -> bytes:
        name = "endivepick_forwarder_batch_seconds"
        lines = [
            f"# HELP {name} Time that a batch of packets took.",
            f"# TYPE {name} histogram",
        ]
        total = 0
        limits: Sequence[str] = [str(limit) for limit in _BUCKETS_S] + ["+Inf"]
        for limit, number in zip(limits, self._batch_buckets, strict=True):
            total += number
            lines.append(f'{name}_bucket{{le="{limit}"}} {total}')
        lines += [f"{name}_sum {self._batch_sum_s}", f"{name}_count {total}", ""]
        return "\n".join(lines).encode()

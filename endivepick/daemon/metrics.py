"""Metrics of one instance in a registry of aioprometheus."""

from collections import Counter as Counts
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from endivepick.daemon.peers import PeerTraffic
from endivepick.membership.view import PeerState

__all__ = ["COUNTERS", "DaemonMetrics", "RoleGauges"]

_TIME_TO_ANSWER_BUCKETS_S = (
    *(0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5),
    *(1.0, 2.5, 5.0, 10.0, 30.0, float("inf")),
)
_NO_LABELS: dict[str, str] = {}
_DEFAULT_COUNTER = ("reason", "")
COUNTERS = {
    "refused": ("reason", "Requests answered as not run, by reason."),
    "outcome_unknown": (
        "reason",
        "Requests whose outcome at the target is unknown, by reason.",
    ),
    "packets_dropped": ("reason", "Datagrams dropped, by reason."),
    "packets_relayed": ("reason", "Datagrams handed to the owner of their flow."),
    "owner_unreachable": ("reason", "Datagrams handed to a suspected owner."),
    "flows_opened": ("service", "Flows opened, by service."),
    "opens_refused": ("reason", "Flows not opened, by reason."),
    "flows_reissued": (
        "reason",
        "Packets answered with a new binding, by reason: none (owner lost), forgotten.",
    ),
    "flows_handed_over": ("service", "Flows moved to a successor, by service."),
    "attempts_retried": (
        "reason",
        "Requests sent to a target again, by how the last attempt ended.",
    ),
    "key_checks": ("result", "Checks whether a pending key may sign, by result."),
    "platform_calls": ("result", "Calls of the platform's object API, by result."),
}
"""Label name and help text of each counter, by the name in the ``Count`` action."""


@dataclass(frozen=True)
class RoleGauges:
    """Current gauge values of an instance, for each of its roles.

    Attributes
    ----------
    services_owned : int
        Services whose owner this instance is.
    flows_held : int
        Flows whose replay window this instance holds.
    flows_relayed : int
        Flows with relayed packets since the gauges were last set.
    requests_in_progress : int
        Requests sent to targets and not answered.
    requests_waiting : int
        Requests queued in the services that this instance owns.
    peers : mapping of PeerState to int
        Number of peers in each state.
    records_revision : int
        Store revision up to which this instance has every change.
    record_versions : mapping of str to int
        Version in force of each record with a dispatcher on this instance.
    """

    services_owned: int = 0
    flows_held: int = 0
    flows_relayed: int = 0
    requests_in_progress: int = 0
    requests_waiting: int = 0
    peers: Mapping[PeerState, int] = field(default_factory=dict)
    records_revision: int = 0
    record_versions: Mapping[str, int] = field(default_factory=dict)


class DaemonMetrics:
    """Counters, gauges and histograms of one instance.

    Examples
    --------
    >>> metrics = DaemonMetrics()
    >>> metrics.count("refused", "queue_full")
    >>> body, headers = metrics.render([])
    >>> b'endivepick_refused_total{reason="queue_full"} 1' in body
    True
    """

    def __init__(self) -> None:
        self._registry = Registry()
        self._counters = {
            name: self._counter(name, help_text)
            for name, (_, help_text) in COUNTERS.items()
        }
        time_to_answer = Histogram(
            "endivepick_time_to_answer_seconds",
            "Time from the whole request at the owner to its answer, by service.",
            registry=self._registry,
            buckets=_TIME_TO_ANSWER_BUCKETS_S,
        )
        self._histograms = {"time_to_answer_s": time_to_answer}
        self._role_gauges = {
            name: self._gauge(name, help_text)
            for name, help_text in (
                ("services_owned", "Services whose owner this instance is."),
                ("flows_held", "Flows whose replay window this instance holds."),
                ("flows_relayed", "Flows relayed since the gauges were last set."),
                ("requests_in_progress", "Requests at targets."),
                ("requests_waiting", "Requests in queues."),
                ("records_revision", "Revision of the configuration held."),
            )
        }
        self._traffic_gauges = {
            name: self._gauge(f"peer_{name}", help_text)
            for name, help_text in (
                ("messages_sent", "Messages sent to peers since the start."),
                ("messages_received", "Messages of peers since the start."),
                ("bytes_sent", "Encoded bytes sent to peers, before encryption."),
                (
                    "bytes_received",
                    "Encoded bytes received from peers, after decryption.",
                ),
            )
        }
        self._dropped_gauge = self._gauge(
            "peer_messages_dropped", "Messages of peers not read, by reason."
        )
        self._peers_gauge = self._gauge("peers", "Peers, by state.")
        self._record_version_gauge = self._gauge(
            "record_version", "Version in force of records with a dispatcher here."
        )
        # Counts are buffered, because counting is per packet and rendering is rare.
        self._pending_counts: Counts[tuple[str, str]] = Counts()
        self._collect_gauges: Callable[[], None] = lambda: None

    def _counter(self, name: str, help_text: str) -> Counter:
        return Counter(f"endivepick_{name}_total", help_text, registry=self._registry)

    def _gauge(self, name: str, help_text: str) -> Gauge:
        return Gauge(f"endivepick_{name}", help_text, registry=self._registry)

    def set_collector(self, collect: Callable[[], None]) -> None:
        """Set the callable that updates the gauges before each rendering."""
        self._collect_gauges = collect

    def observe(self, name: str, label: str, value: float) -> None:
        """Add a value to a histogram.

        Parameters
        ----------
        name : str
            Name of the quantity, as in the ``Observe`` action of the decision core.
        label : str
            Name of the service.
        value : float
            Value in the unit given by the suffix of the name.
        """
        self._histograms[name].observe({"service": label}, value)

    def count(self, name: str, label: str = "", amount: int = 1) -> None:
        """Increment a counter.

        Parameters
        ----------
        name : str
            Name of the counter, as in the ``Count`` action of the decision core.
        label : str
            Reason or service; empty if the counter has none.
        amount : int
            Increment.
        """
        self._pending_counts[name, label] += amount

    def _flush_counts(self) -> None:
        """Add the counts since the last rendering to the registry."""
        for (name, label), amount in self._pending_counts.items():
            if name not in self._counters:
                self._counters[name] = self._counter(name, name.replace("_", " "))
            key = COUNTERS.get(name, _DEFAULT_COUNTER)[0]
            self._counters[name].add({key: label} if label else _NO_LABELS, amount)
        self._pending_counts.clear()

    def set_role_gauges(self, gauges: RoleGauges) -> None:
        """Replace the values of all role gauges."""
        for name, gauge in self._role_gauges.items():
            gauge.set(_NO_LABELS, getattr(gauges, name))
        for state in PeerState:
            self._peers_gauge.set({"state": state.value}, gauges.peers.get(state, 0))
        self._record_version_gauge.values.clear()
        for record, version in gauges.record_versions.items():
            self._record_version_gauge.set({"record": record}, version)

    def set_peer_traffic(self, traffic: PeerTraffic) -> None:
        """Set the gauges of peer traffic."""
        for name, gauge in self._traffic_gauges.items():
            gauge.set(_NO_LABELS, getattr(traffic, name))
        for reason, count in traffic.dropped.items():
            self._dropped_gauge.set({"reason": reason}, count)

    def render(self, accepts: Sequence[str]) -> tuple[bytes, dict[str, str]]:
        """Render all metrics.

        Parameters
        ----------
        accepts : sequence of str
            ``Accept`` headers of the HTTP request.

        Returns
        -------
        tuple of (bytes, dict)
            Body and headers of the HTTP response.
        """
        self._flush_counts()
        self._collect_gauges()
        return render(self._registry, accepts)

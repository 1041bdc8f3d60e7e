"""Metrics of one instance in aioprometheus's registry."""

from collections import Counter as Counts
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from endivepick.daemon.peers import PeerTraffic
from endivepick.membership.view import PeerState

__all__ = ["COUNTERS", "DaemonMetrics", "RoleGauges"]

_ANSWER_BUCKETS_S = (
    *(0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5),
    *(1.0, 2.5, 5.0, 10.0, 30.0, float("inf")),
)
_NO_LABELS: dict[str, str] = {}
_PLAIN = ("reason", "")
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
        "Packets answered with a new binding: owner lost (no reason), or forgotten.",
    ),
    "flows_handed_over": ("service", "Flows moved to a successor, by service."),
    "attempts_retried": (
        "reason",
        "Requests sent to a target again, by how the last attempt ended.",
    ),
    "key_checks": ("result", "Looks whether a pending key may sign, by result."),
    "platform_calls": ("result", "Calls of the platform's object API, by result."),
}
"""Label and meaning of each counter, by the name of the core's ``Count`` action."""


@dataclass(frozen=True)
class RoleGauges:
    """What an instance holds at present, for each of its roles.

    Attributes
    ----------
    services_owned : int
        Services whose owner this instance is.
    flows_held : int
        Flows whose replay window this instance holds.
    flows_relayed : int
        Flows that it relayed packets of since the gauges were last set.
    requests_in_progress : int
        Requests sent to targets and not answered.
    requests_waiting : int
        Requests in the queues of the services that it owns.
    peers : mapping of PeerState to int
        Number of peers in each state.
    records_revision : int
        Revision of the store up to which this instance lacks no change.
    record_versions : mapping of str to int
        Version in force for each record with a dispatcher here.
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
    """Counters, gauges and the histogram of one instance.

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
            name: self._counter(name, text) for name, (_, text) in COUNTERS.items()
        }
        time_to_answer = Histogram(
            "endivepick_time_to_answer_seconds",
            "Time from the whole request at the owner to its answer, by service.",
            registry=self._registry,
            buckets=_ANSWER_BUCKETS_S,
        )
        self._distributions = {"time_to_answer_s": time_to_answer}
        self._held = {
            name: self._gauge(name, text)
            for name, text in (
                ("services_owned", "Services whose owner this instance is."),
                ("flows_held", "Flows whose replay window this instance holds."),
                ("flows_relayed", "Flows relayed since the gauges were last set."),
                ("requests_in_progress", "Requests at targets."),
                ("requests_waiting", "Requests in queues."),
                ("records_revision", "Revision of the configuration held."),
            )
        }
        self._traffic = {
            name: self._gauge(f"peer_{name}", text)
            for name, text in (
                ("messages_sent", "Messages sent to peers since the start."),
                ("messages_received", "Messages of peers since the start."),
                ("bytes_sent", "Their encoded bytes, without encryption."),
                ("bytes_received", "Their encoded bytes, without encryption."),
            )
        }
        self._dropped = self._gauge(
            "peer_messages_dropped", "Messages of peers not read, by reason."
        )
        self._peers = self._gauge("peers", "Peers, by state.")
        self._record_version = self._gauge(
            "record_version", "Version in force of records with a dispatcher here."
        )
        # Counting happens for each packet, reading now and then.
        self._counted: Counts[tuple[str, str]] = Counts()
        self._collect: Callable[[], None] = lambda: None

    def _counter(self, name: str, text: str) -> Counter:
        return Counter(f"endivepick_{name}_total", text, registry=self._registry)

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(f"endivepick_{name}", text, registry=self._registry)

    def collect_with(self, collect: Callable[[], None]) -> None:
        """Have gauges set by a callable when they are read, not before."""
        self._collect = collect

    def observe(self, name: str, label: str, value: float) -> None:
        """Add a value to a distribution.

        Parameters
        ----------
        name : str
            What was measured, as in the decision core's ``Observe`` action.
        label : str
            Service.
        value : float
            In the unit that the name ends in.
        """
        self._distributions[name].observe({"service": label}, value)

    def count(self, name: str, label: str = "", amount: int = 1) -> None:
        """Count events.

        Parameters
        ----------
        name : str
            What happened, as in the decision core's ``Count`` action.
        label : str
            Reason or service; empty if the counter has none.
        amount : int
            How many.
        """
        self._counted[name, label] += amount

    def _flush_counts(self) -> None:
        """Hand what was counted since the last reading to the registry."""
        for (name, label), amount in self._counted.items():
            if name not in self._counters:
                self._counters[name] = self._counter(name, name.replace("_", " "))
            key = COUNTERS.get(name, _PLAIN)[0]
            self._counters[name].add({key: label} if label else _NO_LABELS, amount)
        self._counted.clear()

    def set_role_gauges(self, gauges: RoleGauges) -> None:
        """Replace all gauges."""
        for name, gauge in self._held.items():
            gauge.set(_NO_LABELS, getattr(gauges, name))
        for state in PeerState:
            self._peers.set({"state": state.value}, gauges.peers.get(state, 0))
        self._record_version.values.clear()
        for record, version in gauges.record_versions.items():
            self._record_version.set({"record": record}, version)

    def set_traffic(self, traffic: PeerTraffic) -> None:
        """Show what went to and came from peers."""
        for name, gauge in self._traffic.items():
            gauge.set(_NO_LABELS, getattr(traffic, name))
        for reason, count in traffic.dropped.items():
            self._dropped.set({"reason": reason}, count)

    def render(self, accepts: Sequence[str]) -> tuple[bytes, dict[str, str]]:
        """Render all metrics.

        Parameters
        ----------
        accepts : sequence of str
            ``Accept`` headers of the reader.

        Returns
        -------
        tuple of (bytes, dict)
            Body and headers of the HTTP answer.
        """
        self._flush_counts()
        self._collect()
        return render(self._registry, accepts)

"""Metrics of one instance in aioprometheus's registry."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from endivepick.membership.view import PeerState

__all__ = ["DaemonMetrics", "RoleGauges"]

_ANSWER_BUCKETS_S = (
    *(0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5),
    *(1.0, 2.5, 5.0, 10.0, 30.0, float("inf")),
)
_NO_LABELS: dict[str, str] = {}


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
        Flows that it relayed packets of lately.
    requests_in_progress : int
        Requests sent to targets and not answered.
    requests_waiting : int
        Requests in the queues of the services that it owns.
    peers : mapping of PeerState to int
        Number of peers in each state.
    record_versions : mapping of str to int
        Version in force for each record.
    """

    services_owned: int = 0
    flows_held: int = 0
    flows_relayed: int = 0
    requests_in_progress: int = 0
    requests_waiting: int = 0
    peers: Mapping[PeerState, int] = field(default_factory=dict)
    record_versions: Mapping[str, int] = field(default_factory=dict)


class DaemonMetrics:
    """Counters, gauges and the histogram of one instance.

    Examples
    --------
    >>> metrics = DaemonMetrics()
    >>> metrics.request_refused("queue_full")
    >>> body, headers = metrics.render([])
    >>> b'endivepick_requests_refused_total{reason="queue_full"} 1' in body
    True
    """

    def __init__(self) -> None:
        self._registry = Registry()
        self._refused = self._counter(
            "requests_refused_total", "Requests answered as not run, by reason."
        )
        self._unknown = self._counter(
            "requests_outcome_unknown_total",
            "Requests whose outcome at the target is unknown, by reason.",
        )
        self._dropped = self._counter(
            "datagrams_dropped_total", "Datagrams dropped, by reason."
        )
        self._relayed = self._counter(
            "datagrams_relayed_total", "Datagrams handed to another instance."
        )
        self._opened = self._counter("flows_opened_total", "Flows opened.")
        self._open_refused = self._counter(
            "opens_refused_total", "Flows not opened, by reason."
        )
        self._reissued = self._counter(
            "flows_reissued_total", "Flows issued again after the loss of an owner."
        )
        self._handed_over = self._counter(
            "flows_handed_over_total", "Flows handed over to a successor."
        )
        self._retried = self._counter(
            "requests_retried_total", "Requests sent to a second target, by reason."
        )
        self._platform_calls = self._counter(
            "platform_calls_total", "Calls of the platform's object API, by result."
        )
        self._time_to_answer = Histogram(
            "endivepick_time_to_answer_seconds",
            "Time from the whole request at the owner to its answer, by service.",
            registry=self._registry,
            buckets=_ANSWER_BUCKETS_S,
        )
        self._held = {
            name: self._gauge(name, text)
            for name, text in (
                ("services_owned", "Services whose owner this instance is."),
                ("flows_held", "Flows whose replay window this instance holds."),
                ("flows_relayed", "Flows relayed lately."),
                ("requests_in_progress", "Requests at targets."),
                ("requests_waiting", "Requests in queues."),
            )
        }
        self._peers = self._gauge("peers", "Peers, by state.")
        self._record_version = self._gauge(
            "record_version", "Version in force, by record."
        )

    def _counter(self, name: str, text: str) -> Counter:
        return Counter(f"endivepick_{name}", text, registry=self._registry)

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(f"endivepick_{name}", text, registry=self._registry)

    def request_answered(self, service: str, duration_s: float) -> None:
        """Count an answer and the time that it took, in seconds."""
        self._time_to_answer.observe({"service": service}, float(duration_s))

    def request_refused(self, reason: str) -> None:
        """Count a request answered as not run."""
        self._refused.inc({"reason": reason})

    def request_outcome_unknown(self, reason: str) -> None:
        """Count a request whose outcome is unknown."""
        self._unknown.inc({"reason": reason})

    def request_retried(self, reason: str) -> None:
        """Count a request that was sent to a second target."""
        self._retried.inc({"reason": reason})

    def datagram_dropped(self, reason: str) -> None:
        """Count a datagram that was not understood or not wanted."""
        self._dropped.inc({"reason": reason})

    def datagram_relayed(self) -> None:
        """Count a datagram handed to another instance."""
        self._relayed.inc(_NO_LABELS)

    def flow_opened(self) -> None:
        """Count a new flow."""
        self._opened.inc(_NO_LABELS)

    def open_refused(self, reason: str) -> None:
        """Count a flow that was not opened."""
        self._open_refused.inc({"reason": reason})

    def flow_reissued(self) -> None:
        """Count a flow whose owner was lost."""
        self._reissued.inc(_NO_LABELS)

    def flow_handed_over(self) -> None:
        """Count a flow that moved to a successor as planned."""
        self._handed_over.inc(_NO_LABELS)

    def platform_called(self, result: str) -> None:
        """Count a call of the platform, ``ok`` or the kind of failure."""
        self._platform_calls.inc({"result": result})

    def set_roles(self, gauges: RoleGauges) -> None:
        """Replace all gauges."""
        for name, gauge in self._held.items():
            gauge.set(_NO_LABELS, getattr(gauges, name))
        for state in PeerState:
            self._peers.set({"state": state.value}, gauges.peers.get(state, 0))
        self._record_version.values.clear()
        for record, version in gauges.record_versions.items():
            self._record_version.set({"record": record}, version)

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
        return render(self._registry, accepts)

"""Counts of request outcomes, derived from the packets that pass this instance."""

from collections.abc import Callable

from endivepick.forwarding.answer_deadlines import AnswerDeadlines
from endivepick.forwarding.bad_requests import BadRequests
from endivepick.forwarding.belief import TargetBelief
from endivepick.forwarding.flows import FlowTable, ObservedFlow
from endivepick.forwarding.pauses import PauseDetector
from endivepick.forwarding.request_baseline import RequestBaseline
from endivepick.forwarding.service_baselines import ServiceBaselines, UsualCounts
from endivepick.forwarding.service_counts import decay
from endivepick.forwarding.zone_report import ZoneReport

__all__ = ["RequestCounter"]


class RequestCounter:
    """Counts requests of each target as good, unanswered, short or late.

    Unanswered requests are counted in `RequestCounts.failed`, and short ones in
    `RequestCounts.poor`.

    Parameters
    ----------
    flows : FlowTable
        Flows of the requests.
    zone : ZoneReport
        Baselines of the zone, used until this instance has learnt its own.
    is_outlier : callable
        Whether a target does worse than the others of its service at a time, in
        seconds.
    """

    def __init__(
        self,
        flows: FlowTable,
        zone: ZoneReport,
        is_outlier: Callable[[TargetBelief, float], bool],
    ) -> None:
        self._flows = flows
        self._zone = zone
        self._is_outlier = is_outlier
        self._baselines = ServiceBaselines()
        self._deadlines = AnswerDeadlines()
        self._pauses = PauseDetector()
        self.bad_requests = BadRequests()
        """Callers and routes of the bad requests at each suspect."""
        self.suspects: dict[str, TargetBelief] = {}
        """Targets with bad requests here or in the zone, by name."""

    def record_request(self, flow: ObservedFlow, now_s: float) -> None:
        """Record the start of a request on a flow."""
        flow.overdue = False
        if self._pauses.is_backlog(now_s):
            return
        baseline = self._find_baseline(flow)
        if baseline is not None:
            self._deadlines.add_deadline(
                flow.key, now_s, now_s + baseline.overdue_after_s()
            )

    def answered(
        self, flow: ObservedFlow, waited_s: float, size_bytes: int, now_s: float
    ) -> None:
        """Record the start of an answer.

        If a flow has had only short answers since its first request, only the first one
        counts: its caller may request little data, and all its requests go to one
        target.

        Parameters
        ----------
        flow : ObservedFlow
            The flow.
        waited_s : float
            Time since its request, in seconds.
        size_bytes : int
            Bytes of the answer that the caller has acknowledged.
        now_s : float
            Present time, in seconds.
        """
        if self._pauses.is_backlog(now_s):
            return
        baseline = self._find_baseline(flow)
        short = baseline is not None and baseline.is_short(size_bytes)
        was_overdue, flow.overdue = flow.overdue, False
        counted_before = flow.answered and not flow.served
        flow.answered = True
        flow.served = flow.served or not short
        counts = decay(flow.belief.requests, now_s)
        if was_overdue:
            counts.failed = max(0.0, counts.failed - 1.0)
        if not (short and counted_before):
            self._count_answer(flow, was_overdue, short, now_s)
        if not was_overdue or not self._is_outlier(flow.belief, now_s):
            service = flow.belief.target.service
            self._baselines.add(service, flow.kind, waited_s, size_bytes)

    def tick(self, now_s: float) -> list[ObservedFlow]:
        """Record overdue requests and return their flows."""
        if self._pauses.tick(now_s):
            self._forget_requests()
        overdue = self._deadlines.pop_overdue(self._flows, now_s)
        for flow in overdue:
            self.record_overdue(flow, now_s)
        return overdue

    def record_overdue(self, flow: ObservedFlow, now_s: float) -> None:
        """Count the request in progress of a flow as unanswered, until it is."""
        flow.overdue = True
        self._flows.mark_stalled(flow)
        counts = decay(flow.belief.requests, now_s)
        self.suspects[flow.belief.name] = flow.belief
        self.bad_requests.add_overdue(flow)
        counts.failed += 1.0
        counts.last_failed_s = now_s

    def export_baselines(self) -> list[UsualCounts]:
        """Return the baselines of recent requests for the zone's report."""
        return self._baselines.to_counts()

    def forget(self, name: str) -> None:
        """Remove a target from the suspects."""
        self.suspects.pop(name, None)
        self.bad_requests.forget(name)

    def _count_answer(
        self, flow: ObservedFlow, was_overdue: bool, short: bool, now_s: float
    ) -> None:
        counts = flow.belief.requests
        if short:
            counts.poor += 1.0
            counts.last_poor_s = now_s
        elif was_overdue:
            counts.late += 1.0
        else:
            counts.good += 1.0
        if short or was_overdue:
            self.suspects[flow.belief.name] = flow.belief
            self.bad_requests.add(flow)

    def _find_baseline(self, flow: ObservedFlow) -> RequestBaseline | None:
        """Return the baseline of this instance, or else that of the zone."""
        service = flow.belief.target.service
        own = self._baselines.get(service, flow.kind)
        return own or self._zone.get_baseline(service, flow.kind)

    def _forget_requests(self) -> None:
        """Clear bad requests and deadlines.

        Other instances may have forwarded the answers.
        """
        self._deadlines.clear()
        self._flows.forget_requests()
        for belief in self.suspects.values():
            counts = belief.requests
            counts.failed = counts.poor = counts.late = 0.0

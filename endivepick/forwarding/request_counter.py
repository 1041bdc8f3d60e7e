"""Counts of request outcomes, derived from the packets that pass this instance."""

from collections.abc import Callable

from msgspec import Struct

from endivepick.forwarding.answer_deadlines import AnswerDeadlines
from endivepick.forwarding.bad_requests import BadRequests
from endivepick.forwarding.belief import TargetBelief
from endivepick.forwarding.flows import FlowTable, ObservedFlow
from endivepick.forwarding.pauses import PauseDetector
from endivepick.forwarding.request_baseline import OVERDUE_FACTOR, RequestBaseline
from endivepick.forwarding.route_answers import RouteAnswers
from endivepick.forwarding.service_baselines import ServiceBaselines, UsualCounts
from endivepick.forwarding.service_counts import decay
from endivepick.forwarding.zone_report import ZoneReport

__all__ = ["RequestCounter"]


class _Answer(Struct, frozen=True):
    """Answer to a request, compared with the baseline of its service.

    Attributes
    ----------
    waited_s : float
        Time until it began, in seconds.
    size_bytes : int
        Size of its first part.
    is_short : bool
        It is far shorter than usual.
    is_in_time : bool
        It began within the baseline, or there is none yet.
    was_overdue : bool
        Its request was overdue.
    """

    waited_s: float
    size_bytes: int
    is_short: bool
    is_in_time: bool
    was_overdue: bool


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
        self._route_answers = RouteAnswers()
        self.bad_requests = BadRequests()
        """Callers and routes of the bad requests at each suspect."""
        self.suspects: dict[str, TargetBelief] = {}
        """Targets with bad requests here or in the zone, by name."""

    def record_request(self, flow: ObservedFlow, now_s: float) -> None:
        """Record the start of a request on a flow."""
        flow.overdue = flow.counted_overdue = False
        if self._pauses.is_backlog(now_s):
            return
        baseline = self._find_baseline(flow)
        if baseline is not None:
            usual_s = OVERDUE_FACTOR * flow.history.longest_s
            due_s = now_s + max(baseline.overdue_after_s(), usual_s)
            self._deadlines.add_deadline(flow.key, now_s, due_s)

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
        answer = _Answer(
            waited_s,
            size_bytes,
            is_short=baseline is not None and baseline.is_short(size_bytes),
            is_in_time=baseline is None or waited_s <= baseline.overdue_after_s(),
            was_overdue=flow.overdue,
        )
        self._count_answer(flow, answer, now_s)
        self._learn_answer(flow, answer, now_s)
        flow.overdue = flow.counted_overdue = False
        flow.served = flow.served or not answer.is_short
        is_within_baseline = baseline is not None and answer.is_in_time
        flow.history.add_answer(waited_s, is_within_baseline)

    def tick(self, now_s: float) -> list[ObservedFlow]:
        """Record overdue requests and return their flows."""
        if self._pauses.tick(now_s):
            self._forget_requests()
        overdue = self._deadlines.pop_overdue(self._flows, now_s)
        for flow in overdue:
            if self._is_evidence(flow, now_s):
                self.record_overdue(flow, now_s)
            else:
                self._mark_overdue(flow)
        return overdue

    def record_overdue(self, flow: ObservedFlow, now_s: float) -> None:
        """Count the request in progress of a flow as unanswered, until it is."""
        self._mark_overdue(flow)
        flow.counted_overdue = True
        counts = decay(flow.belief.requests, now_s)
        self._add_suspect(flow)
        self.bad_requests.add_overdue(flow, now_s)
        counts.failed += 1.0
        counts.last_failed_s = now_s

    def export_baselines(self) -> list[UsualCounts]:
        """Return the baselines of recent requests for the zone's report."""
        return self._baselines.to_counts()

    def forget_all(self) -> None:
        """Forget all requests in progress, and remove all suspects."""
        self._forget_requests()
        for name in list(self.suspects):
            self.forget(name)

    def forget(self, name: str) -> None:
        """Remove a target from the suspects."""
        self.suspects.pop(name, None)
        self.bad_requests.forget(name)

    def _count_answer(self, flow: ObservedFlow, answer: _Answer, now_s: float) -> None:
        """Count an answer as good, short or late, or not at all.

        An answer that is late without being evidence against its target is not counted.
        """
        counts = decay(flow.belief.requests, now_s)
        if flow.counted_overdue:
            counts.failed = max(0.0, counts.failed - 1.0)
        if answer.is_short:
            had_only_short_ones = flow.history.answered and not flow.served
            if not had_only_short_ones:
                counts.poor += 1.0
                counts.last_poor_s = now_s
                self._add_suspect(flow)
        elif flow.counted_overdue:
            counts.late += 1.0
            self._add_suspect(flow)
        elif answer.is_in_time:
            counts.good += 1.0
            self._route_answers.record(flow, now_s)

    def _learn_answer(self, flow: ObservedFlow, answer: _Answer, now_s: float) -> None:
        """Add an answer to the baseline of its service if it is usual."""
        if answer.is_in_time or self._is_usual_from_now_on(flow, answer, now_s):
            service = flow.belief.target.service
            self._baselines.add(service, flow.kind, answer.waited_s, answer.size_bytes)

    def _is_usual_from_now_on(
        self, flow: ObservedFlow, answer: _Answer, now_s: float
    ) -> bool:
        """Whether an answer after the baseline extends it."""
        if not flow.history.is_informative:
            return False
        return not (answer.was_overdue and self._is_outlier(flow.belief, now_s))

    def _mark_overdue(self, flow: ObservedFlow) -> None:
        flow.overdue = True
        self._flows.mark_stalled(flow)

    def _is_evidence(self, flow: ObservedFlow, now_s: float) -> bool:
        """Whether an overdue request of a flow is evidence against its target."""
        return flow.history.is_informative and (
            self._route_answers.is_answered_elsewhere(flow, now_s)
        )

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

    def _add_suspect(self, flow: ObservedFlow) -> None:
        self.suspects[flow.belief.name] = flow.belief
        self.bad_requests.add(flow)

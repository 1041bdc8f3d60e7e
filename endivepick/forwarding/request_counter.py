"""What becomes of requests, counted from the packets that pass this instance."""

from collections.abc import Callable

from endivepick.forwarding.answer_deadlines import AwaitedAnswers
from endivepick.forwarding.belief import TargetBelief
from endivepick.forwarding.fault_confirmation import SURE_CALLERS
from endivepick.forwarding.flows import FlowTable, ObservedFlow
from endivepick.forwarding.pauses import PauseWatch
from endivepick.forwarding.request_baseline import UsualRequests
from endivepick.forwarding.service_baselines import ServiceUsual, UsualCounts
from endivepick.forwarding.service_counts import faded
from endivepick.forwarding.zone_report import ZoneReport

__all__ = ["RequestCounter"]


class RequestCounter:
    """Counts requests of each target as good, unanswered, short or late.

    Parameters
    ----------
    flows : FlowTable
        Flows on which they come.
    zone : ZoneReport
        What is usual in the zone, where this instance does not know it yet.
    stands_out : callable
        Tells whether a target does worse than the others of its service at a time, in
        seconds.
    """

    def __init__(
        self,
        flows: FlowTable,
        zone: ZoneReport,
        stands_out: Callable[[TargetBelief, float], bool],
    ) -> None:
        self._flows = flows
        self._zone = zone
        self._stands_out = stands_out
        self._usual = ServiceUsual()
        self._awaited = AwaitedAnswers()
        self._pauses = PauseWatch()
        self._callers: dict[str, set[int]] = {}
        self.doubted: dict[str, TargetBelief] = {}
        """Targets that something speaks against, by name."""

    def record_request(self, flow: ObservedFlow, now_s: float) -> None:
        """Take in that a request has begun on a flow."""
        flow.overdue = False
        if self._pauses.backlog(now_s):
            return
        usual = self._usual_of(flow)
        if usual is not None:
            self._awaited.expect(flow.key, now_s, now_s + usual.overdue_s())

    def answered(
        self, flow: ObservedFlow, waited_s: float, size_bytes: int, now_s: float
    ) -> None:
        """Take in that an answer has begun.

        Of a flow that is answered shortly from its first request on, only the first
        answer counts: its caller may ask for little, and all its requests go to one
        target.

        Parameters
        ----------
        flow : ObservedFlow
            The flow.
        waited_s : float
            Time since its request, in seconds.
        size_bytes : int
            What the caller has of the answer.
        now_s : float
            Present time, in seconds.
        """
        if self._pauses.backlog(now_s):
            return
        usual = self._usual_of(flow)
        short = usual is not None and usual.is_short(size_bytes)
        late, flow.overdue = flow.overdue, False
        told_before = flow.answered and not flow.served
        flow.answered = True
        flow.served = flow.served or not short
        counts = faded(flow.belief.requests, now_s)
        if late:
            counts.failed = max(0.0, counts.failed - 1.0)
        if not (short and told_before):
            self._count_answer(flow, late, short, now_s)
        if not late or not self._stands_out(flow.belief, now_s):
            service = flow.belief.target.service
            self._usual.add(service, flow.kind, waited_s, size_bytes)

    def tick(self, now_s: float) -> list[ObservedFlow]:
        """Let time pass; returns flows whose requests have become overdue."""
        if self._pauses.tick(now_s):
            self._forget_requests()
        overdue = self._awaited.take_overdue(self._flows, now_s)
        for flow in overdue:
            flow.overdue = True
            counts = faded(flow.belief.requests, now_s)
            self._doubt(flow)
            counts.failed += 1.0
            counts.failed_s = now_s
        return overdue

    def tell_usual(self) -> list[UsualCounts]:
        """Return what was usual of late, for the instances of the zone."""
        return self._usual.tell()

    def callers_of(self, name: str) -> int:
        """Return how many callers' requests went badly at a target, up to a limit."""
        return len(self._callers.get(name, ()))

    def forget_callers(self, name: str) -> None:
        """Forget whose requests went badly at a target."""
        self._callers.pop(name, None)

    def forget(self, name: str) -> None:
        """Forget that something spoke against a target."""
        self.doubted.pop(name, None)
        self.forget_callers(name)

    def _count_answer(
        self, flow: ObservedFlow, late: bool, short: bool, now_s: float
    ) -> None:
        counts = flow.belief.requests
        if short:
            counts.poor += 1.0
            counts.poor_s = now_s
        elif late:
            counts.late += 1.0
        else:
            counts.good += 1.0
        if short or late:
            self._doubt(flow)

    def _usual_of(self, flow: ObservedFlow) -> UsualRequests | None:
        """Return what is usual here, or else in the zone."""
        service = flow.belief.target.service
        own = self._usual.get(service, flow.kind)
        return own or self._zone.usual(service, flow.kind)

    def _forget_requests(self) -> None:
        """Forget what went badly and what is awaited; others may have the answers."""
        self._awaited.clear()
        self._flows.forget_requests()
        for belief in self.doubted.values():
            counts = belief.requests
            counts.failed = counts.poor = counts.late = 0.0

    def _doubt(self, flow: ObservedFlow) -> None:
        name = flow.belief.name
        self.doubted[name] = flow.belief
        callers = self._callers.setdefault(name, set())
        if len(callers) < SURE_CALLERS:
            callers.add(flow.key.caller_host)

"""Scheduling of the requests of one service."""

from collections.abc import Hashable, Sequence

from endivepick.core.dispatch.admission import (
    AdmissionResult,
    Admit,
    Reject,
    Replace,
    admit,
    predict_wait_s,
    queue_limit,
)
from endivepick.core.dispatch.attempt import start_attempt
from endivepick.core.dispatch.backlog import Backlog
from endivepick.core.dispatch.messages import (
    Decision,
    FailReason,
    FinishKind,
    Queued,
    RefusalReason,
    Repin,
)
from endivepick.core.dispatch.refusal import fail_request, refuse_request
from endivepick.core.dispatch.retries import (
    Done,
    OutcomeUnknown,
    Refused,
    Retry,
    classify_attempt,
)
from endivepick.core.dispatch.retry_budget import RetryBudget
from endivepick.core.dispatch.selection import TargetSelector, can_run
from endivepick.core.dispatch.service_time import ServiceTimeEstimate
from endivepick.core.dispatch.settings import DispatchSettings
from endivepick.core.dispatch.target import TargetState
from endivepick.core.dispatch.target_set import TargetSet
from endivepick.core.dispatch.waiting import PendingRequest
from endivepick.core.dispatch.waiting_allowance import WaitingAllowance
from endivepick.records.model import Affinity, ServiceRecord

__all__ = ["Scheduler"]

# Step of an additive recurrence modulo 1, which spreads its values evenly.
_GOLDEN_RATIO_CONJUGATE = 0.6180339887498949
_UNPLACED_RETRY_S = 1.0
_INSTANCE_FULL_WAIT_S = 1.0


class Scheduler:
    """Starts, queues, refuses and retries requests.

    Parameters
    ----------
    settings : DispatchSettings
        Settings of the dispatcher.
    record : ServiceRecord
        Current version of the service record; updated by assignment.
    own_zone : str
        Availability zone of the owner.
    allowance : WaitingAllowance
        Limit on waiting requests, shared with other services.
    now_s : float
        Current time, in seconds.
    """

    def __init__(
        self,
        settings: DispatchSettings,
        record: ServiceRecord,
        own_zone: str,
        allowance: WaitingAllowance,
        now_s: float,
    ) -> None:
        self._settings = settings
        self._pseudo_random = 0.5
        self.record = record
        self.budget = RetryBudget(settings, now_s)
        self.estimate = ServiceTimeEstimate(settings)
        self.targets = TargetSet(settings, record, self.estimate, now_s)
        self.backlog = Backlog(record.name, self.targets, allowance)
        self._selector = TargetSelector(settings, self.targets, own_zone)
        self.running: dict[Hashable, PendingRequest] = {}

    def set_pseudo_random(self, random_number: float) -> None:
        """Set the random number, from 0 to 1, for ties and retry jitter."""
        self._pseudo_random = random_number

    def select_flow_target(
        self, tie_breaker: float, now_s: float
    ) -> TargetState | None:
        """Return the best target for a new flow; ``None`` if none is serving."""
        return self._selector.select_for_flow(self.record, tie_breaker, now_s)

    def reschedule(self, now_s: float) -> list[Decision]:
        """Update target states and reschedule waiting requests."""
        self.targets.advance(now_s)
        if not len(self.backlog):
            self.targets.remove_gone()
            return []
        decisions: list[Decision] = [
            self.refuse(request, RefusalReason.DEADLINE_PASSED, 0.0)
            for request in self.backlog.pop_expired(now_s)
        ]
        for target in self.targets:
            decisions += self._reschedule_queue(target, now_s)
        self.targets.remove_gone()
        return decisions

    def reschedule_target(self, target: TargetState, now_s: float) -> list[Decision]:
        """Update one target after the end of an attempt and start waiting requests."""
        self.targets.eject_if_failing(target, now_s)
        decisions = self._reschedule_queue(target, now_s)
        if target.state == "gone":
            self.targets.remove_gone()
        return decisions

    def place(
        self, request: PendingRequest, now_s: float, requeued: bool = False
    ) -> list[Decision]:
        """Start, queue or refuse a request.

        Parameters
        ----------
        request : PendingRequest
            Request that is neither running nor waiting.
        now_s : float
            Current time, in seconds.
        requeued : bool
            Whether it has waited or run before; ``Queued`` is then not returned.
        """
        if now_s >= request.intent.deadline_at_s:
            return [self.refuse(request, RefusalReason.DEADLINE_PASSED, 0.0)]
        pinned = self._selector.find_pinned_target(request, self.record, now_s)
        candidates = self.targets.remaining() if pinned is None else [pinned]
        if not candidates:
            return [self.refuse(request, RefusalReason.NO_TARGET, _UNPLACED_RETRY_S)]
        if request.intent.stream:
            return self._place_stream(request, pinned, candidates, now_s, requeued)
        target = self._selector.select_target(
            request, candidates, self.record, self._next_pseudo_random(), now_s
        )
        if target is not None:
            return self._start(request, target, now_s)
        return self._enqueue(request, pinned, candidates, now_s, requeued)

    def after_attempt(
        self, request: PendingRequest, kind: FinishKind, now_s: float
    ) -> list[Decision]:
        """Retry a request or return its final decision, if it needs one."""
        match classify_attempt(request, kind):
            case Done():
                return []
            case Retry(reason=reason):
                return self._retry(request, reason, now_s)
            case Refused(reason=reason):
                return [self.refuse(request, reason, 0.0)]
            case OutcomeUnknown(reason=fail_reason):
                return [self._fail(request, fail_reason)]

    def refuse(
        self, request: PendingRequest, reason: RefusalReason, wait_s: float
    ) -> Decision:
        """Return a refusal, or a failure if an attempt of the request may have run."""
        return refuse_request(
            self._settings, request, reason, wait_s, self._next_pseudo_random()
        )

    def _retry(
        self, request: PendingRequest, reason: RefusalReason, now_s: float
    ) -> list[Decision]:
        if request.attempt < self._settings.attempts and self.budget.take(now_s):
            return self.place(request, now_s, requeued=True)
        return [self.refuse(request, reason, self.targets.min_blocked_s(now_s))]

    def _fail(self, request: PendingRequest, reason: FailReason) -> Decision:
        return fail_request(
            self._settings, request, reason, 0.0, self._next_pseudo_random()
        )

    def _keeps_pinned_requests(self, target: TargetState) -> bool:
        return target.keeps_flows and self.record.affinity is Affinity.FLOW

    def _place_stream(
        self,
        request: PendingRequest,
        pinned: TargetState | None,
        candidates: Sequence[TargetState],
        now_s: float,
        requeued: bool,
    ) -> list[Decision]:
        serving = [target for target in candidates if target.serving]
        if not serving:
            if any(target.keeps_flows for target in candidates):
                # A new owner has not received the first probe results yet.
                return self._enqueue(request, pinned, candidates, now_s, requeued)
            return [self.refuse(request, RefusalReason.NO_TARGET, _UNPLACED_RETRY_S)]
        target = self._selector.select_for_stream(serving)
        if target is None:
            reason = RefusalReason.CONNECTIONS_FULL
            return [self.refuse(request, reason, _UNPLACED_RETRY_S)]
        return self._start(request, target, now_s)

    def _enqueue(
        self,
        request: PendingRequest,
        pinned: TargetState | None,
        candidates: Sequence[TargetState],
        now_s: float,
        requeued: bool,
    ) -> list[Decision]:
        usable = [target for target in candidates if target.keeps_flows] or candidates
        queues = [self.backlog.unpinned, *(target.queue for target in usable)]
        wait_s = predict_wait_s(request, usable, queues, self.estimate, now_s)
        result = admit(
            self._settings,
            request,
            self.backlog.queue_for(pinned),
            queue_limit(usable, self.record.waiting_per_slot, now_s),
            wait_s,
            self.estimate.mean_s(request.intent.cost_class),
            now_s,
        )
        return self._after_admission(request, pinned, result, requeued)

    def _after_admission(
        self,
        request: PendingRequest,
        pinned: TargetState | None,
        result: AdmissionResult,
        requeued: bool,
    ) -> list[Decision]:
        decisions: list[Decision] = []
        match result:
            case Reject(reason=reason, wait_s=wait_s):
                return [self.refuse(request, reason, wait_s)]
            case Replace(other=other, wait_s=wait_s):
                self.backlog.remove(other)
                reason = RefusalReason.QUEUE_FULL
                decisions.append(self.refuse(other, reason, wait_s))
            case Admit():
                pass
        if not self.backlog.push(request, pinned):
            reason = RefusalReason.INSTANCE_FULL
            return [*decisions, self.refuse(request, reason, _INSTANCE_FULL_WAIT_S)]
        if not requeued:
            decisions.append(Queued(request.intent.request_id))
        return decisions

    def _reschedule_queue(self, target: TargetState, now_s: float) -> list[Decision]:
        decisions: list[Decision] = []
        if len(target.queue) and not self._keeps_pinned_requests(target):
            for request in self.backlog.pop_pinned(target):
                decisions += self.place(request, now_s, requeued=True)
        if target.serving:
            for request in self.backlog.pop_streams(target):
                decisions += self.place(request, now_s, requeued=True)
        return decisions + self._start_waiting(target, now_s)

    def _start_waiting(self, target: TargetState, now_s: float) -> list[Decision]:
        """Start waiting requests on a target while it has free slots."""
        decisions: list[Decision] = []
        reduced = self._selector.has_reduced_slots(target)
        while len(self.backlog) and target.can_start(now_s):
            shared = not reduced or target.can_start(now_s, reduced)
            request = self.backlog.pop_next(
                target, shared, lambda waiting: can_run(waiting, target, now_s)
            )
            if request is None:
                break
            if self._would_miss_deadline(request, now_s):
                decisions.append(
                    self.refuse(request, RefusalReason.DEADLINE_PASSED, 0.0)
                )
            else:
                decisions += self._start(request, target, now_s)
        return decisions

    def _would_miss_deadline(self, request: PendingRequest, now_s: float) -> bool:
        """Return whether a waiting request is expected to miss its deadline."""
        service_s = self.estimate.mean_s(request.intent.cost_class)
        return now_s + service_s > request.intent.deadline_at_s

    def _start(
        self, request: PendingRequest, target: TargetState, now_s: float
    ) -> list[Decision]:
        start = start_attempt(request, target, now_s)
        self.running[start.request_id] = request
        return [*self._repin(request, target, now_s), start]

    def _repin(
        self, request: PendingRequest, target: TargetState, now_s: float
    ) -> list[Decision]:
        old_name = request.intent.pinned_target
        if self.record.affinity is Affinity.REQUEST or old_name == target.name:
            return []
        self.targets.move_flow(old_name, target, request.intent.activity, now_s)
        return [Repin(request.intent.request_id, old_name, target.name)]

    def _next_pseudo_random(self) -> float:
        self._pseudo_random = (self._pseudo_random + _GOLDEN_RATIO_CONJUGATE) % 1.0
        return self._pseudo_random

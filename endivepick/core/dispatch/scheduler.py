"""Start, queue, refuse and retry the requests of one service."""

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
from endivepick.core.dispatch.attempt import begin_attempt
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
    Refused,
    Retry,
    Unknown,
    judge_attempt,
)
from endivepick.core.dispatch.retry_budget import RetryBudget
from endivepick.core.dispatch.selection import TargetSelector, suits
from endivepick.core.dispatch.service_time import ServiceTimeEstimate
from endivepick.core.dispatch.settings import DispatchSettings
from endivepick.core.dispatch.target import TargetState
from endivepick.core.dispatch.target_set import TargetSet
from endivepick.core.dispatch.waiting import PendingRequest
from endivepick.core.dispatch.waiting_allowance import WaitingAllowance
from endivepick.records.model import Affinity, ServiceRecord

__all__ = ["Scheduler"]

_GOLDEN_RATIO = 0.6180339887498949
_NO_TARGET_WAIT_S = 1.0
_FULL_WAIT_S = 1.0


class Scheduler:
    """Moves requests between the queues, the targets and their final answers.

    Parameters
    ----------
    settings : DispatchSettings
        Settings of the dispatcher.
    record : ServiceRecord
        Record in force; replaced by assignment.
    own_zone : str
        Availability zone of the owner.
    allowance : WaitingAllowance
        Places for waiting requests, shared with other services.
    now_s : float
        Present time, in seconds.
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
        self._tie = 0.5
        self.record = record
        self.budget = RetryBudget(settings, now_s)
        self.estimate = ServiceTimeEstimate(settings)
        self.targets = TargetSet(settings, record, self.estimate, now_s)
        self.backlog = Backlog(record.name, self.targets, allowance)
        self._selector = TargetSelector(settings, self.targets, own_zone)
        self.running: dict[Hashable, PendingRequest] = {}

    def take_random(self, random_number: float) -> None:
        """Use a fresh random number, from 0 to 1, to decide between equals."""
        self._tie = random_number

    def flow_target(self, tie: float, now_s: float) -> TargetState | None:
        """Return the best target for a new flow; ``None`` if none serves."""
        return self._selector.for_flow(self.record, tie, now_s)

    def settle(self, now_s: float) -> list[Decision]:
        """Bring targets and queues in line with what has changed."""
        self.targets.advance(now_s)
        if not len(self.backlog):
            self.targets.forget_gone()
            return []
        decisions: list[Decision] = [
            self.refuse(request, RefusalReason.DEADLINE_PASSED, 0.0)
            for request in self.backlog.take_expired(now_s)
        ]
        for target in self.targets:
            decisions += self._settle_queue(target, now_s)
        self.targets.forget_gone()
        return decisions

    def settle_target(self, target: TargetState, now_s: float) -> list[Decision]:
        """Use what has changed at one target, an attempt there having ended."""
        self.targets.check(target, now_s)
        decisions = self._settle_queue(target, now_s)
        if target.state == "gone":
            self.targets.forget_gone()
        return decisions

    def place(
        self, request: PendingRequest, now_s: float, queued: bool = False
    ) -> list[Decision]:
        """Start a request now, or let it wait, or refuse it.

        Parameters
        ----------
        request : PendingRequest
            A request that neither runs nor waits.
        now_s : float
            Present time, in seconds.
        queued : bool
            It has waited or run before, so ``Queued`` is no news.
        """
        if now_s >= request.intent.deadline_at_s:
            return [self.refuse(request, RefusalReason.DEADLINE_PASSED, 0.0)]
        pinned = self._selector.pinned(request, self.record, now_s)
        candidates = self.targets.staying() if pinned is None else [pinned]
        if not candidates:
            return [self.refuse(request, RefusalReason.NO_TARGET, _NO_TARGET_WAIT_S)]
        if request.intent.stream:
            return self._place_stream(request, pinned, candidates, now_s, queued)
        target = self._selector.free(
            request, candidates, self.record, self._next_tie(), now_s
        )
        if target is not None:
            return self._start(request, target, now_s)
        return self._enqueue(request, pinned, candidates, now_s, queued)

    def after_attempt(
        self, request: PendingRequest, kind: FinishKind, now_s: float
    ) -> list[Decision]:
        """Retry a request or give its final answer, if it still needs one."""
        match judge_attempt(request, kind):
            case Done():
                return []
            case Retry(reason=reason):
                return self._retry(request, reason, now_s)
            case Refused(reason=reason):
                return [self.refuse(request, reason, 0.0)]
            case Unknown(reason=fail_reason):
                return [self._fail(request, fail_reason)]

    def refuse(
        self, request: PendingRequest, reason: RefusalReason, wait_s: float
    ) -> Decision:
        """Say that a request did not run, unless one of its attempts may have."""
        return refuse_request(self._settings, request, reason, wait_s, self._next_tie())

    def _retry(
        self, request: PendingRequest, reason: RefusalReason, now_s: float
    ) -> list[Decision]:
        if request.attempt < self._settings.attempts and self.budget.take(now_s):
            return self.place(request, now_s, queued=True)
        return [self.refuse(request, reason, self.targets.blocked_s(now_s))]

    def _fail(self, request: PendingRequest, reason: FailReason) -> Decision:
        return fail_request(self._settings, request, reason, 0.0, self._next_tie())

    def _keeps_queue(self, target: TargetState) -> bool:
        return target.keeps_flows and self.record.affinity is Affinity.FLOW

    def _place_stream(
        self,
        request: PendingRequest,
        pinned: TargetState | None,
        candidates: Sequence[TargetState],
        now_s: float,
        queued: bool,
    ) -> list[Decision]:
        serving = [target for target in candidates if target.serving]
        if not serving:
            if any(target.keeps_flows for target in candidates):
                # A new owner waits for the first probes.
                return self._enqueue(request, pinned, candidates, now_s, queued)
            return [self.refuse(request, RefusalReason.NO_TARGET, _NO_TARGET_WAIT_S)]
        target = self._selector.for_stream(serving)
        if target is None:
            reason = RefusalReason.CONNECTIONS_FULL
            return [self.refuse(request, reason, _NO_TARGET_WAIT_S)]
        return self._start(request, target, now_s)

    def _enqueue(
        self,
        request: PendingRequest,
        pinned: TargetState | None,
        candidates: Sequence[TargetState],
        now_s: float,
        queued: bool,
    ) -> list[Decision]:
        usable = [target for target in candidates if target.keeps_flows] or candidates
        queues = [self.backlog.unpinned, *(target.queue for target in usable)]
        wait_s = predict_wait_s(request, usable, queues, self.estimate, now_s)
        result = admit(
            self._settings,
            request,
            self.backlog.queue_of(pinned),
            queue_limit(usable, self.record.waiting_per_slot, now_s),
            wait_s,
            self.estimate.mean_s(request.intent.cost_class),
            now_s,
        )
        return self._after_admission(request, pinned, result, queued)

    def _after_admission(
        self,
        request: PendingRequest,
        pinned: TargetState | None,
        result: AdmissionResult,
        queued: bool,
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
            return [*decisions, self.refuse(request, reason, _FULL_WAIT_S)]
        if not queued:
            decisions.append(Queued(request.intent.request_id))
        return decisions

    def _settle_queue(self, target: TargetState, now_s: float) -> list[Decision]:
        decisions: list[Decision] = []
        if len(target.queue) and not self._keeps_queue(target):
            for request in self.backlog.take_pinned(target):
                decisions += self.place(request, now_s, queued=True)
        if target.serving:
            for request in self.backlog.take_streams(target):
                decisions += self.place(request, now_s, queued=True)
        return decisions + self._fill(target, now_s)

    def _fill(self, target: TargetState, now_s: float) -> list[Decision]:
        """Start waiting requests on a target while it has free slots."""
        decisions: list[Decision] = []
        reduced = self._selector.is_reduced(target)
        while len(self.backlog) and target.can_start(now_s):
            shared = not reduced or target.can_start(now_s, reduced)
            request = self.backlog.take_next(
                target, shared, lambda waiting: suits(waiting, target, now_s)
            )
            if request is None:
                break
            if self._too_late(request, now_s):
                decisions.append(
                    self.refuse(request, RefusalReason.DEADLINE_PASSED, 0.0)
                )
            else:
                decisions += self._start(request, target, now_s)
        return decisions

    def _too_late(self, request: PendingRequest, now_s: float) -> bool:
        """Tell whether a request that waited would usually be answered too late."""
        service_s = self.estimate.mean_s(request.intent.cost_class)
        return now_s + service_s > request.intent.deadline_at_s

    def _start(
        self, request: PendingRequest, target: TargetState, now_s: float
    ) -> list[Decision]:
        start = begin_attempt(request, target, now_s)
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

    def _next_tie(self) -> float:
        self._tie = (self._tie + _GOLDEN_RATIO) % 1.0
        return self._tie

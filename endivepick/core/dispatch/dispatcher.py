"""The owner's decisions for one service: place, queue, admit, refuse, retry."""

from collections.abc import Hashable, Mapping
from itertools import count

from endivepick.core.dispatch.admission import predict_wait_s, queue_limit
from endivepick.core.dispatch.messages import (
    CancelRunning,
    CostClass,
    Decision,
    Fail,
    FailReason,
    FinishKind,
    ProbeOutcome,
    Queued,
    RefusalReason,
    Refuse,
    Repin,
    RequestIntent,
    Start,
)
from endivepick.core.dispatch.placement import (
    SpillCounter,
    choose_flow_target,
    choose_target,
)
from endivepick.core.dispatch.retry_budget import RetryBudget
from endivepick.core.dispatch.service_time import ServiceTimeEstimate
from endivepick.core.dispatch.settings import DispatchSettings
from endivepick.core.dispatch.snapshot import DispatchSnapshot, snapshot_target
from endivepick.core.dispatch.target import TargetState
from endivepick.core.dispatch.waiting import PendingRequest, WaitingQueue, order_key
from endivepick.records.model import Affinity, ServiceRecord

__all__ = ["ServiceDispatcher"]

_GOLDEN_RATIO = 0.6180339887498949


class ServiceDispatcher:
    """Decides for the requests of one service at its owner.

    It has no sockets, no clock and no randomness: each method takes the present
    time and returns the decisions that the caller carries out.

    Parameters
    ----------
    settings : DispatchSettings
        Settings of the dispatcher.
    record : ServiceRecord
        Record in force.
    own_zone : str
        Availability zone of the owner.
    now_s : float
        Present time, in seconds.
    """

    def __init__(
        self,
        settings: DispatchSettings,
        record: ServiceRecord,
        own_zone: str,
        now_s: float,
    ) -> None:
        self._settings = settings
        self._record = record
        self._spill = SpillCounter(own_zone)
        self._budget = RetryBudget(settings, now_s)
        self._estimate = ServiceTimeEstimate(settings)
        self._targets: dict[str, TargetState] = {}
        self._running: dict[Hashable, PendingRequest] = {}
        self._waiting: dict[Hashable, PendingRequest] = {}
        self._queue = WaitingQueue()
        self._numbers = count()
        self._tie = 0.5
        self._take_targets(record, new=False, now_s=now_s)

    @property
    def record(self) -> ServiceRecord:
        """Record in force."""
        return self._record

    def update_record(self, record: ServiceRecord, now_s: float) -> list[Decision]:
        """Take a newer record into force; leaving targets get no new work."""
        if record.version < self._record.version:
            return []
        self._record = record
        self._take_targets(record, new=True, now_s=now_s)
        return self._settle(now_s)

    def place_flow(self, now_s: float, random_number: float) -> str:
        """Return the target of a new flow; empty if any target may serve it.

        Parameters
        ----------
        now_s : float
            Present time, in seconds.
        random_number : float
            Number from 0 to 1 that decides between equal targets.
        """
        self._tie = random_number
        if self._record.affinity is Affinity.REQUEST:
            return ""
        targets = [t for t in self._targets.values() if t.serving]
        rested = [t for t in targets if now_s >= t.backoff_until_s]
        if not targets:
            return ""
        target = choose_flow_target(rested or targets, random_number, now_s)
        target.flows += 1
        return target.name

    def adopt_flow(self, target: str) -> None:
        """Count a flow that another owner handed over with its target."""
        if target in self._targets:
            self._targets[target].flows += 1

    def close_flow(self, target: str) -> None:
        """Count a flow out that was closed or handed over."""
        if target in self._targets:
            self._targets[target].flows = max(0, self._targets[target].flows - 1)

    def submit(
        self, intent: RequestIntent, now_s: float, random_number: float
    ) -> list[Decision]:
        """Start, queue or refuse a request."""
        self._tie = random_number
        order = order_key(self._settings, intent, now_s, next(self._numbers))
        request = PendingRequest(intent, order)
        self._budget.count_request()
        self._advance(now_s)
        return self._place(request, now_s)

    def finished(
        self,
        request_id: Hashable,
        now_s: float,
        kind: FinishKind,
        duration_s: float,
        retry_after_s: float = 0.0,
    ) -> list[Decision]:
        """Take in the end of an attempt and use the slot that it leaves.

        Parameters
        ----------
        request_id : Hashable
            The request.
        now_s : float
            Present time, in seconds.
        kind : FinishKind
            How the attempt ended.
        duration_s : float
            Time since its start, in seconds.
        retry_after_s : float
            Back-off that a shedding target asked for, in seconds; 0 if none.
        """
        request = self._running.pop(request_id, None)
        if request is None:
            return []
        target = self._targets[request.target]
        target.running.pop(request_id, None)
        target.streams.pop(request_id, None)
        target.on_finished(kind, retry_after_s, now_s)
        if kind in (FinishKind.OK, FinishKind.LATE) and not request.intent.stream:
            self._estimate.add(request.intent.cost_class, duration_s)
        return self._after_attempt(request, kind, now_s) + self._settle(now_s)

    def cancel(self, request_id: Hashable, now_s: float) -> list[Decision]:
        """Give up a request: drop it from the queue or cancel it at its target."""
        request = self._running.get(request_id)
        if request is not None:
            address = self._targets[request.target].record.address
            return [CancelRunning(request_id, request.target, address)]
        request = self._waiting.get(request_id)
        if request is None:
            return []
        self._leave_queue(request)
        return [self._refusal(request, RefusalReason.CANCELLED, 0.0)]

    def tick(self, now_s: float) -> list[Decision]:
        """Follow the passing of time: expiries, back-offs, ejections."""
        return self._settle(now_s)

    def on_probe(
        self, target: str, now_s: float, outcome: ProbeOutcome
    ) -> list[Decision]:
        """Take in the outcome of a probe of a target."""
        state = self._targets.get(target)
        if state is None:
            return []
        state.on_probe(outcome, now_s)
        return self._settle(now_s)

    def on_draining_note(
        self, target: str, incarnation: int, now_s: float
    ) -> list[Decision]:
        """Take in a peer's word that this incarnation of a target drains."""
        state = self._targets.get(target)
        if state is None:
            return []
        state.note_draining(incarnation, now_s)
        return self._settle(now_s)

    def on_peer_in_flight(
        self, instance: str, counts: Mapping[str, int], now_s: float
    ) -> list[Decision]:
        """Take in how many requests another owner has at each target."""
        for name, target in self._targets.items():
            target.load.on_peer(instance, counts.get(name, 0), now_s)
        return self._settle(now_s)

    def remove_peer(self, instance: str, now_s: float) -> list[Decision]:
        """Forget the counts of another owner."""
        for target in self._targets.values():
            target.load.remove_peer(instance)
        return self._settle(now_s)

    def in_flight(self, target: str) -> int:
        """Return how many requests of this owner hold a slot of a target."""
        state = self._targets.get(target)
        return len(state.running) if state is not None else 0

    def snapshot(self) -> DispatchSnapshot:
        """Return the present state for status, metrics and peers."""
        return DispatchSnapshot(
            service=self._record.name,
            record_version=self._record.version,
            waiting=len(self._waiting),
            waiting_unpinned=len(self._queue),
            retry_tokens=self._budget.tokens,
            short_service_time_s=self._estimate.mean_s(CostClass.SHORT),
            long_service_time_s=self._estimate.mean_s(CostClass.LONG),
            targets=tuple(
                snapshot_target(self._targets[name]) for name in sorted(self._targets)
            ),
        )

    # Targets

    def _take_targets(self, record: ServiceRecord, new: bool, now_s: float) -> None:
        named = {target.name: target for target in record.targets}
        for name, target_record in named.items():
            if name not in self._targets:
                self._targets[name] = TargetState(
                    self._settings, target_record, record.name, new
                )
            self._targets[name].update_record(target_record, now_s)
        for name in self._targets.keys() - named.keys():
            self._targets[name].remove(now_s)

    def _settle(self, now_s: float) -> list[Decision]:
        """Bring targets and queues in line with what has changed."""
        decisions: list[Decision] = []
        self._advance(now_s)
        decisions += self._expire(now_s)
        for target in list(self._targets.values()):
            if len(target.queue) and not self._keeps_queue(target):
                decisions += self._move_queue(target, now_s)
            decisions += self._fill(target, now_s)
        self._forget_gone()
        return decisions

    def _advance(self, now_s: float) -> None:
        for target in self._targets.values():
            target.advance(now_s)
            self._eject_if_failing(target, now_s)

    def _eject_if_failing(self, target: TargetState, now_s: float) -> None:
        if not target.serving or not target.failing(self._stall_after_s(target), now_s):
            return
        staying = [t for t in self._targets.values() if not t.leaving]
        out = sum(t.state in ("ejected", "trial") for t in staying if t is not target)
        if out + 1 <= self._settings.ejected_share_limit * len(staying):
            target.eject(now_s)

    def _stall_after_s(self, target: TargetState) -> float:
        classes = {request.intent.cost_class for request in target.running.values()}
        usual_s = max((self._estimate.mean_s(c) for c in classes), default=0.0)
        return max(self._settings.stall_min_s, self._settings.stall_factor * usual_s)

    def _keeps_queue(self, target: TargetState) -> bool:
        return target.keeps_flows and self._record.affinity is Affinity.FLOW

    def _move_queue(self, target: TargetState, now_s: float) -> list[Decision]:
        decisions: list[Decision] = []
        for request in target.queue:
            self._leave_queue(request)
            decisions += self._place(request, now_s, queued=True)
        return decisions

    def _forget_gone(self) -> None:
        for name, target in list(self._targets.items()):
            if target.state == "gone" and not target.running and not target.streams:
                del self._targets[name]

    def _ignore_health(self) -> bool:
        """Tell whether so many health endpoints fail that none is believed."""
        serving = [t for t in self._targets.values() if t.serving]
        failing = sum(not t.healthy for t in serving)
        return failing > self._settings.ejected_share_limit * len(serving)

    # Requests

    def _place(
        self, request: PendingRequest, now_s: float, queued: bool = False
    ) -> list[Decision]:
        """Start a request now, or let it wait, or refuse it."""
        if now_s >= request.intent.deadline_at_s:
            return [self._refusal(request, RefusalReason.DEADLINE_PASSED, 0.0)]
        pinned = self._pinned_target(request, now_s)
        if pinned is not None:
            candidates = [pinned]
        else:
            candidates = [t for t in self._targets.values() if not t.leaving]
        if not candidates:
            return [self._refusal(request, RefusalReason.NO_TARGET, 1.0)]
        if request.intent.stream:
            return self._place_stream(request, candidates, now_s)
        target = self._free_target(request, candidates, now_s)
        if target is not None:
            return self._start(request, target, now_s)
        return self._enqueue(request, pinned, candidates, now_s, queued)

    def _pinned_target(
        self, request: PendingRequest, now_s: float
    ) -> TargetState | None:
        if self._record.affinity is Affinity.REQUEST or request.unpinned:
            return None
        target = self._targets.get(request.intent.pinned_target)
        if target is None or not target.keeps_flows:
            return None
        backoff_s = target.backoff_until_s - now_s
        if request.intent.movable and backoff_s > self._settings.pin_patience_s:
            return None
        return target

    def _free_target(
        self, request: PendingRequest, candidates: list[TargetState], now_s: float
    ) -> TargetState | None:
        ignore_health = self._ignore_health()
        free = [
            target
            for target in candidates
            if target.free_slots(ignore_health, now_s) > 0
            and target.free_connections() > 0
            and self._suits(request, target, now_s)
        ]
        if not free:
            return None
        allowed = self._spill.allowed(free, self._record.spill_share)
        target = choose_target(allowed, request.tried, self._next_tie(), now_s)
        self._spill.count(free, target)
        return target

    def _suits(
        self, request: PendingRequest, target: TargetState, now_s: float
    ) -> bool:
        return request.intent.idempotent or target.takes_any(now_s)

    def _place_stream(
        self, request: PendingRequest, candidates: list[TargetState], now_s: float
    ) -> list[Decision]:
        able = [t for t in candidates if t.serving and t.free_connections() > 0]
        if not able:
            reason = RefusalReason.CONNECTIONS_FULL
            if not any(t.serving for t in candidates):
                reason = RefusalReason.NO_TARGET
            return [self._refusal(request, reason, 1.0)]
        fewest = min(able, key=lambda t: len(t.streams) / t.record.slots)
        return self._start(request, fewest, now_s)

    def _enqueue(
        self,
        request: PendingRequest,
        pinned: TargetState | None,
        candidates: list[TargetState],
        now_s: float,
        queued: bool,
    ) -> list[Decision]:
        queue = pinned.queue if pinned is not None else self._queue
        usable = [t for t in candidates if t.keeps_flows] or candidates
        queues = [self._queue, *(target.queue for target in usable)]
        wait_s = predict_wait_s(request, usable, queues, self._estimate, now_s)
        service_s = self._estimate.mean_s(request.intent.cost_class)
        if now_s + wait_s + service_s > request.intent.deadline_at_s:
            return [self._refusal(request, RefusalReason.WAIT_TOO_LONG, wait_s)]
        decisions: list[Decision] = []
        if len(queue) >= queue_limit(usable, self._record.waiting_per_slot):
            last = queue.last()
            if last is None or last.order < request.order:
                return [self._refusal(request, RefusalReason.QUEUE_FULL, wait_s)]
            self._leave_queue(last)
            decisions.append(self._refusal(last, RefusalReason.QUEUE_FULL, wait_s))
        request.target = pinned.name if pinned is not None else ""
        queue.push(request)
        self._waiting[request.intent.request_id] = request
        if not queued:
            decisions.append(Queued(request.intent.request_id))
        return decisions

    def _leave_queue(self, request: PendingRequest) -> None:
        request_id = request.intent.request_id
        self._waiting.pop(request_id, None)
        if request.target:
            self._targets[request.target].queue.remove(request_id)
        else:
            self._queue.remove(request_id)

    def _fill(self, target: TargetState, now_s: float) -> list[Decision]:
        """Start waiting requests on a target while it has free slots."""
        decisions: list[Decision] = []
        ignore_health = self._ignore_health()
        while (
            target.free_slots(ignore_health, now_s) > 0
            and target.free_connections() > 0
        ):
            request = self._next_for(target, now_s)
            if request is None:
                break
            self._leave_queue(request)
            decisions += self._start(request, target, now_s)
        return decisions

    def _next_for(self, target: TargetState, now_s: float) -> PendingRequest | None:
        def suits(request: PendingRequest) -> bool:
            return self._suits(request, target, now_s)

        heads = (target.queue.first_where(suits), self._queue.first_where(suits))
        waiting = [head for head in heads if head is not None]
        return min(waiting, key=lambda request: request.order, default=None)

    def _start(
        self, request: PendingRequest, target: TargetState, now_s: float
    ) -> list[Decision]:
        intent = request.intent
        request.target = target.name
        request.attempt += 1
        request.started_at_s = now_s
        request.tried.add(target.name)
        self._running[intent.request_id] = request
        if intent.stream:
            target.streams[intent.request_id] = request
        else:
            target.running[intent.request_id] = request
            target.load.on_own_count(len(target.running))
        start = Start(
            intent.request_id,
            target.name,
            target.incarnation,
            target.record.address,
            intent.deadline_at_s - now_s,
            request.attempt,
        )
        return [*self._repin(request, target), start]

    def _repin(self, request: PendingRequest, target: TargetState) -> list[Decision]:
        old = request.intent.pinned_target
        if self._record.affinity is Affinity.REQUEST or old == target.name:
            return []
        self.close_flow(old)
        target.flows += 1
        return [Repin(request.intent.request_id, old, target.name)]

    def _after_attempt(
        self, request: PendingRequest, kind: FinishKind, now_s: float
    ) -> list[Decision]:
        match kind:
            case FinishKind.OK | FinishKind.CANCELLED:
                return []
            case FinishKind.SHED:
                return self._retry(request, RefusalReason.TARGETS_SHED, now_s)
            case FinishKind.CONNECT_FAILED:
                request.unpinned = request.intent.movable
                return self._retry(request, RefusalReason.TARGETS_UNREACHABLE, now_s)
            case FinishKind.MISDIRECTED:
                return self._retry(request, RefusalReason.NO_TARGET, now_s)
            case FinishKind.EXPIRED:
                return [self._refusal(request, RefusalReason.DEADLINE_PASSED, 0.0)]
            case FinishKind.LATE:
                request.may_have_run = True
                return [self._failure(request, FailReason.LATE)]
            case FinishKind.BROKEN:
                request.may_have_run = True
                if not request.intent.idempotent:
                    return [self._failure(request, FailReason.BROKEN)]
                request.unpinned = request.intent.movable
                return self._retry(request, RefusalReason.TARGETS_UNREACHABLE, now_s)

    def _retry(
        self, request: PendingRequest, reason: RefusalReason, now_s: float
    ) -> list[Decision]:
        if request.attempt >= self._settings.attempts or not self._budget.take(now_s):
            blocked_s = self._blocked_s(now_s)
            return [self._refusal(request, reason, blocked_s)]
        return self._place(request, now_s, queued=True)

    def _blocked_s(self, now_s: float) -> float:
        staying = [t for t in self._targets.values() if not t.leaving]
        ends_s = [t.blocked_until_s() for t in staying]
        return max(0.0, min(ends_s, default=now_s) - now_s)

    def _expire(self, now_s: float) -> list[Decision]:
        decisions: list[Decision] = []
        for request in list(self._waiting.values()):
            if now_s >= request.intent.deadline_at_s:
                self._leave_queue(request)
                decisions.append(
                    self._refusal(request, RefusalReason.DEADLINE_PASSED, 0.0)
                )
        return decisions

    def _refusal(
        self, request: PendingRequest, reason: RefusalReason, wait_s: float
    ) -> Decision:
        """Refuse a request, unless an attempt may have run."""
        if request.may_have_run:
            return self._failure(request, FailReason.RETRY_REFUSED)
        return Refuse(request.intent.request_id, reason, self._come_back_ms(wait_s))

    def _failure(self, request: PendingRequest, reason: FailReason) -> Fail:
        return Fail(request.intent.request_id, reason, self._come_back_ms(0.0))

    def _come_back_ms(self, wait_s: float) -> int:
        """Return a time to come back, spread so that callers do not come at once."""
        spread = 0.75 + 0.5 * self._next_tie()
        return max(self._settings.refused_wait_min_ms, int(1000 * wait_s * spread))

    def _next_tie(self) -> float:
        self._tie = (self._tie + _GOLDEN_RATIO) % 1.0
        return self._tie

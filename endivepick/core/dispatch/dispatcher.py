"""The owner's decisions for one service: place, queue, admit, refuse, retry."""

from collections.abc import Hashable, Mapping
from itertools import count

from endivepick.core.dispatch.flow_activity import FlowActivity
from endivepick.core.dispatch.messages import (
    CancelRunning,
    CostClass,
    Decision,
    FinishKind,
    ProbeOutcome,
    RefusalReason,
    RequestIntent,
)
from endivepick.core.dispatch.scheduler import Scheduler
from endivepick.core.dispatch.settings import DispatchSettings
from endivepick.core.dispatch.snapshot import DispatchSnapshot, snapshot_target
from endivepick.core.dispatch.waiting import PendingRequest, order_key
from endivepick.core.dispatch.waiting_allowance import WaitingAllowance
from endivepick.records.model import Affinity, ServiceRecord

__all__ = ["ServiceDispatcher"]

QUIET_AFTER_S = 3.0
"""Time without any request of a service after which it counts as quiet."""


class ServiceDispatcher:
    """Decides for the requests of one service at its owner.

    It has no sockets, no clock and no randomness: each method takes the present
    time and returns the decisions that the caller carries out, in order.

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
    allowance : WaitingAllowance, optional
        Places for waiting requests, shared with the other services of this
        instance; by default a service has all places for itself.

    Examples
    --------
    >>> from endivepick.core.dispatch import ProbeResult, TargetHealth
    >>> from endivepick.records.model import TargetRecord
    >>> target = TargetRecord("t0", "thamel", "127.0.0.1:8000", 3, 2000)
    >>> record = ServiceRecord("leave", 1, 2, "", Affinity.REQUEST, (target,))
    >>> dispatcher = ServiceDispatcher(DispatchSettings(), record, "thamel", 0.0)
    >>> intent = RequestIntent("first", "", deadline_at_s=5.0, idempotent=False)
    >>> dispatcher.submit(intent, 0.0, 0.5)
    [Queued(request_id='first')]
    >>> ready = ProbeResult(TargetHealth.READY, "leave", incarnation=7)
    >>> [start.target for start in dispatcher.on_probe("t0", 0.1, ready)]
    ['t0']
    """

    def __init__(
        self,
        settings: DispatchSettings,
        record: ServiceRecord,
        own_zone: str,
        now_s: float,
        allowance: WaitingAllowance | None = None,
    ) -> None:
        self._settings = settings
        if allowance is None:
            allowance = WaitingAllowance(settings.waiting_per_instance)
        allowance.join(record.name)
        self._scheduler = Scheduler(settings, record, own_zone, allowance, now_s)
        self._targets = self._scheduler.targets
        self._numbers = count()
        self._used_at_s = now_s

    @property
    def record(self) -> ServiceRecord:
        """Record in force."""
        return self._scheduler.record

    def update_record(self, record: ServiceRecord, now_s: float) -> list[Decision]:
        """Take a newer record into force; leaving targets get no new work.

        A record with a lower version changes nothing.
        """
        if record.version < self.record.version:
            return []
        self._scheduler.record = record
        self._targets.update_record(record, now_s)
        return self._scheduler.settle(now_s)

    def is_quiet(self, now_s: float) -> bool:
        """Tell whether no request is here or is to be expected at once.

        A service is never quiet while a target is other than its record says: its
        next word is awaited.
        """
        if self._scheduler.running or len(self._scheduler.backlog):
            return False
        if now_s < self._used_at_s + QUIET_AFTER_S:
            return False
        return all(target.settled for target in self._targets)

    def place_flow(self, flow: FlowActivity, now_s: float, random_number: float) -> str:
        """Return the target of a new flow; empty if any target may serve it.

        It is also empty while no target is known to serve: the flow's first
        request then finds one.

        Parameters
        ----------
        flow : FlowActivity
            Activity of the flow, which its requests and its end name again.
        now_s : float
            Present time, in seconds.
        random_number : float
            Number from 0 to 1 that decides between equal targets.
        """
        self._used_at_s = now_s
        if self.record.affinity is Affinity.REQUEST:
            return ""
        target = self._scheduler.flow_target(random_number, now_s)
        if target is None:
            return ""
        self._targets.add_flow(target, flow, now_s)
        return target.name

    def adopt_flow(self, target: str, flow: FlowActivity, now_s: float) -> None:
        """Count a flow in that another owner handed over with its target."""
        state = self._targets.get(target)
        if state is not None:
            self._targets.add_flow(state, flow, now_s)

    def close_flow(self, target: str, flow: FlowActivity, now_s: float) -> None:
        """Count a flow out that was closed or handed over."""
        state = self._targets.get(target)
        if state is not None:
            self._targets.remove_flow(state, flow, now_s)

    def submit(
        self, intent: RequestIntent, now_s: float, random_number: float
    ) -> list[Decision]:
        """Start, queue or refuse a request.

        Parameters
        ----------
        intent : RequestIntent
            The request; its id must be new.
        now_s : float
            Present time, in seconds.
        random_number : float
            Number from 0 to 1 that decides between equal targets.
        """
        self._used_at_s = now_s
        order = order_key(self._settings, intent, now_s, next(self._numbers))
        self._scheduler.take_random(random_number)
        self._scheduler.budget.count_request()
        self._targets.advance_if_due(now_s)
        pinned = self._targets.get(intent.pinned_target)
        if pinned is not None:
            pinned.activity.on_request(intent.activity, now_s)
        request = PendingRequest(intent, order, may_have_run=intent.may_have_run)
        return self._scheduler.place(request, now_s)

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
            The request; an unknown one changes nothing.
        now_s : float
            Present time, in seconds.
        kind : FinishKind
            How the attempt ended.
        duration_s : float
            Time since its start, in seconds.
        retry_after_s : float
            Back-off that a shedding target asked for, in seconds; 0 if none.
        """
        request = self._scheduler.running.pop(request_id, None)
        if request is None:
            return []
        self._used_at_s = now_s
        target = self._targets[request.target]
        target.remove_request(request_id)
        slow = self._learn_duration(request.intent, kind, duration_s)
        target.on_finished(kind, slow, retry_after_s, now_s)
        decisions = self._scheduler.after_attempt(request, kind, now_s)
        return decisions + self._scheduler.settle_target(target, now_s)

    def _learn_duration(
        self, intent: RequestIntent, kind: FinishKind, duration_s: float
    ) -> bool:
        """Take in how long a request took, and tell whether it was slow."""
        if intent.stream:
            return False
        estimate = self._scheduler.estimate
        slow = estimate.is_slow(intent.cost_class, duration_s)
        match kind:
            case FinishKind.OK:
                estimate.add(intent.cost_class, duration_s)
            case FinishKind.LATE:
                estimate.add_unfinished(intent.cost_class, duration_s)
        return slow

    def cancel(self, request_id: Hashable, now_s: float) -> list[Decision]:
        """Give up a request: drop it from the queue or cancel it at its target."""
        running = self._scheduler.running.get(request_id)
        if running is not None:
            address = self._targets[running.target].record.address
            return [CancelRunning(request_id, running.target, address)]
        waiting = self._scheduler.backlog.get(request_id)
        if waiting is None:
            return []
        self._scheduler.backlog.remove(waiting)
        return [self._scheduler.refuse(waiting, RefusalReason.CANCELLED, 0.0)]

    def tick(self, now_s: float) -> list[Decision]:
        """Follow the passing of time: expiries, back-offs, ejections, slow start."""
        return self._scheduler.settle(now_s)

    def on_probe(
        self, target: str, now_s: float, outcome: ProbeOutcome
    ) -> list[Decision]:
        """Take in the outcome of a probe of a target."""
        state = self._targets.get(target)
        if state is None:
            return []
        state.on_probe(outcome, now_s)
        return self._scheduler.settle(now_s)

    def on_draining_note(
        self, target: str, incarnation: int, now_s: float
    ) -> list[Decision]:
        """Take in a peer's word that this incarnation of a target drains."""
        state = self._targets.get(target)
        if state is None:
            return []
        state.note_draining(incarnation, now_s)
        return self._scheduler.settle(now_s)

    def on_peer_in_flight(
        self, instance: str, counts: Mapping[str, int], now_s: float
    ) -> list[Decision]:
        """Take in how many requests another owner has at each target."""
        if counts:
            # What a target tells here is passed on to that owner.
            self._used_at_s = now_s
        for target in self._targets:
            target.load.set_peer_count(instance, counts.get(target.name, 0), now_s)
        return self._scheduler.settle(now_s)

    def remove_peer(self, instance: str, now_s: float) -> list[Decision]:
        """Forget the counts of another owner."""
        for target in self._targets:
            target.load.remove_peer(instance)
        return self._scheduler.settle(now_s)

    def in_flight(self, target: str) -> int:
        """Return how many requests of this owner hold a slot of a target."""
        state = self._targets.get(target)
        return len(state.running) if state is not None else 0

    def snapshot(self) -> DispatchSnapshot:
        """Return the present state, for status, metrics and peers."""
        scheduler = self._scheduler
        targets = sorted(self._targets, key=lambda target: target.name)
        return DispatchSnapshot(
            service=self.record.name,
            record_version=self.record.version,
            waiting=len(scheduler.backlog),
            waiting_unpinned=len(scheduler.backlog.unpinned),
            retry_tokens=scheduler.budget.tokens,
            short_service_time_s=scheduler.estimate.mean_s(CostClass.SHORT),
            long_service_time_s=scheduler.estimate.mean_s(CostClass.LONG),
            targets=tuple(snapshot_target(target) for target in targets),
        )

"""Policies with flow owners that run the production dispatcher."""

import dataclasses
from collections.abc import Callable, Hashable
from dataclasses import dataclass, field

from endivepick.bench.independent import DATAGRAM_HEADER_BYTES
from endivepick.bench.policy import Policy, SimulationContext
from endivepick.bench.workload import Flow, Request
from endivepick.core.dispatch import (
    CostClass,
    Decision,
    DispatchSettings,
    Fail,
    FinishKind,
    ProbeFailed,
    RefusalReason,
    Refuse,
    RequestIntent,
    ServiceDispatcher,
    Start,
)
from endivepick.core.packet_codec import encode_struct
from endivepick.records.model import Affinity, ServiceRecord

__all__ = ["Owner", "OwnerOwnZonePolicy", "OwnerPerZonePolicy", "OwnerPolicy"]

_PROBE_PERIOD_S = 0.5
_PROBE_BYTES = 600
_TICK_PERIOD_S = 0.05
_REPORT_PERIOD_S = 0.1
_RECORD_DELAY_MAX_S = 0.5
_DETECTION_DELAY_S = 1.0
_RESEND_DELAY_S = 0.2


@dataclass(eq=False)
class Owner:
    """Incarnation of an owner of the service, or of some of its targets.

    Attributes
    ----------
    number : int
        Unique number.
    instance, zone
        Instance that runs the owner, and its zone.
    scope : str
        Scope of the flows that it owns: all flows, a zone, a shard or a target.
    dispatcher : ServiceDispatcher
        Production dispatcher.
    alive, stopping : bool
        Whether it runs, and whether it accepts no new flows.
    requests : dict
        Running and waiting requests, by number.
    """

    number: int
    instance: int
    zone: str
    scope: str
    dispatcher: ServiceDispatcher
    alive: bool = True
    stopping: bool = False
    requests: dict[Hashable, Request] = field(default_factory=dict)


class OwnerPolicy(Policy):
    """Policy in which one instance owns the flows of all connected zones."""

    per_zone = False
    spill_share = 1.0

    def __init__(self, context: SimulationContext) -> None:
        super().__init__(context)
        self.settings = DispatchSettings()
        self._record = context.record
        self._owners: list[Owner] = []
        self._owner_by_scope: dict[str, Owner] = {}
        for scope in self._list_scopes():
            self._add_owner(scope)
        loop = context.loop
        loop.call_every(_PROBE_PERIOD_S, self._probe_all)
        loop.call_every(_TICK_PERIOD_S, self._tick_all)
        loop.call_every(_REPORT_PERIOD_S, self._exchange_counts)

    def open_flow(self, flow: Flow) -> None:
        """Place a new flow at the owner of the scope of the receiving instance."""
        owner = self._owner_by_scope[self._get_scope(flow.instance, flow)]
        if not owner.alive:
            self.context.loop.call_later(_RESEND_DELAY_S, lambda: self.open_flow(flow))
            return
        flow.owner = owner.number
        now_s = self.context.loop.now_s
        flow.target = owner.dispatcher.place_flow(
            flow.activity, now_s, self.context.random.random()
        )

    def close_flow(self, flow: Flow) -> None:
        """Close the flow at its owner."""
        if flow.owner >= 0:
            self._owners[flow.owner].dispatcher.close_flow(
                flow.target, flow.activity, self.context.loop.now_s
            )

    def submit(self, request: Request) -> None:
        """Relay a request to the owner of its flow."""
        context = self.context
        if context.loop.now_s >= request.deadline_at_s:
            context.finish(request, "unknown" if request.attempts else "refused")
            return
        reached_zone = context.shape.zone_of_instance(request.instance)
        owner = self._find_owner(request)
        if owner is None or not context.is_connected(reached_zone, owner.zone):
            request.instance = context.random.randrange(context.shape.instances)
            context.loop.call_later(_RESEND_DELAY_S, lambda: self.submit(request))
            return
        self.hops += owner.instance != request.instance
        self.zone_crossings += owner.zone != reached_zone
        delay_s = context.get_delay_s(reached_zone, owner.zone)
        context.loop.call_later(delay_s, lambda: self._receive_request(owner, request))

    def update_record(self, record: ServiceRecord) -> None:
        """Apply a newer record at each owner after a random delay."""
        self._record = record
        for owner in self._list_alive():
            record_delay_s = self.context.random.uniform(0.0, _RECORD_DELAY_MAX_S)
            scope_record = self._get_scope_record(owner.scope)
            self.context.loop.call_later(
                record_delay_s, self._make_record_update(owner, scope_record)
            )

    def count_waiting(self) -> dict[str, float]:
        """Return the number of requests queued at the owners, by target."""
        waiting = dict.fromkeys(self.context.targets, 0.0)
        for owner in self._list_alive():
            snapshot = owner.dispatcher.snapshot()
            shared = snapshot.waiting_unpinned / len(snapshot.targets)
            for target in snapshot.targets:
                waiting[target.name] += target.waiting + shared
        return waiting

    def kill_instance(self) -> None:
        """Kill an owner. Another instance takes over after failure detection."""
        killed = next(iter(self._owner_by_scope.values()))
        killed.alive = False
        for request in list(killed.requests.values()):
            self.context.finish(request, "unknown")
        killed.requests.clear()
        self.context.loop.call_later(
            _DETECTION_DELAY_S, lambda: self._replace_owner(killed)
        )

    def replace_instance(self) -> None:
        """Stop an owner gracefully; its successor takes over the flows at once.

        Running and waiting requests finish at the old owner. The two owners exchange
        their counts meanwhile.
        """
        old = next(iter(self._owner_by_scope.values()))
        old.stopping = True
        self._replace_owner(old)

    def on_zone_cut(self, zone: str) -> None:
        """Add an owner in the partitioned zone after failure detection."""
        if not self.per_zone:
            self.context.loop.call_later(
                _DETECTION_DELAY_S, lambda: self._add_owner(zone)
            )

    def on_zone_healed(self, zone: str) -> None:
        """Hand the flows of the zone back once the end of the partition is detected."""
        if not self.per_zone:
            self.context.loop.call_later(
                _DETECTION_DELAY_S, lambda: self._merge_scope(zone)
            )

    def _list_scopes(self) -> list[str]:
        return list(self.context.shape.zones) if self.per_zone else ["all"]

    def _get_scope(self, instance: int, flow: Flow) -> str:
        zone = self.context.shape.zone_of_instance(instance)
        return zone if zone in self._owner_by_scope else "all"

    def _get_scope_record(self, scope: str) -> ServiceRecord:
        """Return the newest record as seen by the owner of a scope."""
        return dataclasses.replace(self._record, spill_share=self.spill_share)

    def _list_alive(self) -> list[Owner]:
        return [owner for owner in self._owners if owner.alive]

    def _add_owner(self, scope: str) -> None:
        shape = self.context.shape
        number = len(self._owners)
        candidates = self._list_candidates(scope)
        instance = candidates[number % len(candidates)]
        zone = shape.zone_of_instance(instance)
        now_s = self.context.loop.now_s
        record = self._get_scope_record(scope)
        dispatcher = ServiceDispatcher(self.settings, record, zone, now_s)
        owner = Owner(number, instance, zone, scope, dispatcher)
        self._owners.append(owner)
        self._owner_by_scope[scope] = owner
        self._probe(owner)

    def _list_candidates(self, scope: str) -> list[int]:
        """Return the instances that may own a scope.

        The owner of a zone runs in that zone; other scopes have no restriction.
        """
        shape = self.context.shape
        numbers = range(shape.instances)
        if scope not in shape.zones:
            return list(numbers)
        return [n for n in numbers if shape.zone_of_instance(n) == scope]

    def _replace_owner(self, old: Owner) -> None:
        self._add_owner(old.scope)

    def _merge_scope(self, zone: str) -> None:
        owner = self._owner_by_scope.pop(zone)
        owner.stopping = True

    def _find_owner(self, request: Request) -> Owner | None:
        """Return the owner of the flow, or the successor of a lost or stopped one."""
        owner = self._owners[request.flow.owner]
        reached_zone = self.context.shape.zone_of_instance(request.instance)
        cut_off = not self.context.is_connected(reached_zone, owner.zone)
        if owner.alive and not owner.stopping and not cut_off:
            return owner
        successor = self._owner_by_scope.get(
            self._get_scope(request.instance, request.flow)
        )
        if successor is None or not successor.alive:
            return None
        if request.flow.owner != successor.number:
            request.flow.owner = successor.number
            flow = request.flow
            successor.dispatcher.adopt_flow(
                flow.target, flow.activity, self.context.loop.now_s
            )
        return successor

    def _receive_request(self, owner: Owner, request: Request) -> None:
        self.context.schedule_work(
            owner.instance,
            self.context.shape.send_work_s,
            request,
            lambda: self._dispatch_request(owner, request),
        )

    def _dispatch_request(self, owner: Owner, request: Request) -> None:
        if not owner.alive:
            self.submit(request)
            return
        intent = RequestIntent(
            request_id=request.number,
            pinned_target=request.flow.target,
            deadline_at_s=request.deadline_at_s,
            idempotent=request.idempotent,
            established=request.established,
            cost_class=CostClass.LONG if request.long else CostClass.SHORT,
            activity=request.flow.activity,
        )
        owner.requests[request.number] = request
        now_s = self.context.loop.now_s
        self._apply_decisions(
            owner, owner.dispatcher.submit(intent, now_s, self.context.random.random())
        )

    def _apply_decisions(self, owner: Owner, decisions: list[Decision]) -> None:
        for decision in decisions:
            match decision:
                case Start(request_id=request_id):
                    self._send(owner, owner.requests[request_id], decision)
                case Refuse(request_id=request_id, reason=reason):
                    self._on_refused(owner, owner.requests.pop(request_id), reason)
                case Fail(request_id=request_id):
                    self.context.finish(owner.requests.pop(request_id), "unknown")

    def _on_refused(
        self, owner: Owner, request: Request, reason: RefusalReason
    ) -> None:
        self.context.finish(request, "refused")

    def _send(self, owner: Owner, request: Request, start: Start) -> None:
        context = self.context
        target = context.targets[start.target]
        if context.affinity is Affinity.FLOW:
            request.flow.target = start.target
        self.zone_crossings += target.zone != owner.zone
        request.attempts += 1
        attempt = request.attempts
        delay_s = context.get_delay_s(owner.zone, target.zone)
        sent_s = context.loop.now_s

        def answer(kind: FinishKind, retry_after_s: float) -> None:
            context.loop.call_later(
                delay_s,
                lambda: self._on_answer(
                    owner, request, attempt, sent_s, kind, retry_after_s
                ),
            )

        if not context.is_connected(owner.zone, target.zone):
            answer(FinishKind.CONNECT_FAILED, 0.0)
            return
        context.loop.call_later(delay_s, lambda: target.send(request, answer))
        context.loop.call_at(
            request.deadline_at_s,
            lambda: self._on_answer(
                owner, request, attempt, sent_s, FinishKind.LATE, 0.0
            ),
        )

    def _on_answer(
        self,
        owner: Owner,
        request: Request,
        attempt: int,
        sent_s: float,
        kind: FinishKind,
        retry_after_s: float,
    ) -> None:
        is_known = owner.requests.get(request.number) is request
        if not owner.alive or not is_known or attempt != request.attempts:
            return
        if kind is FinishKind.OK:
            del owner.requests[request.number]
            self.context.finish(request, "ok")
        now_s = self.context.loop.now_s
        decisions = owner.dispatcher.finished(
            request.number, now_s, kind, now_s - sent_s, retry_after_s
        )
        self._apply_decisions(owner, decisions)

    def _make_record_update(
        self, owner: Owner, record: ServiceRecord
    ) -> Callable[[], None]:
        def apply() -> None:
            now_s = self.context.loop.now_s
            self._apply_decisions(owner, owner.dispatcher.update_record(record, now_s))

        return apply

    def _probe_all(self) -> None:
        for owner in self._list_alive():
            self._probe(owner)

    def _probe(self, owner: Owner) -> None:
        context = self.context
        for name in [target.name for target in owner.dispatcher.record.targets]:
            target = context.targets[name]
            self.control_bytes += _PROBE_BYTES
            if context.is_connected(owner.zone, target.zone):
                outcome = target.probe(context.record.name)
            else:
                outcome = ProbeFailed()
            decisions = owner.dispatcher.on_probe(name, context.loop.now_s, outcome)
            self._apply_decisions(owner, decisions)

    def _tick_all(self) -> None:
        for owner in self._list_alive():
            self._apply_decisions(owner, owner.dispatcher.tick(self.context.loop.now_s))

    def _exchange_counts(self) -> None:
        """Exchange in-flight counts between owners that send to the same targets."""
        active = [o for o in self._list_alive() if not o.stopping or o.requests]
        for sender in active:
            counts = {n: sender.dispatcher.in_flight(n) for n in self.context.targets}
            size_bytes = len(encode_struct(counts)) + DATAGRAM_HEADER_BYTES
            for receiver in active:
                if receiver is sender:
                    continue
                self.control_bytes += size_bytes
                if self.context.is_connected(sender.zone, receiver.zone):
                    decisions = receiver.dispatcher.on_peer_in_flight(
                        f"owner{sender.number}", counts, self.context.loop.now_s
                    )
                    self._apply_decisions(receiver, decisions)


class OwnerPerZonePolicy(OwnerPolicy):
    """Policy with one owner per zone, which places the flows opened in its zone."""

    per_zone = True


class OwnerOwnZonePolicy(OwnerPerZonePolicy):
    """Policy with one owner per zone, which prefers targets in its own zone.

    It uses other zones only if no slot in its own zone is free.
    """

    spill_share = 0.0

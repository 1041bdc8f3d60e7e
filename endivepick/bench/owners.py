"""The project's policy: owners with the dispatcher of the product."""

import dataclasses
from collections.abc import Callable, Hashable
from dataclasses import dataclass, field

from endivepick.bench.independent import DATAGRAM_HEADER_BYTES
from endivepick.bench.policy import Policy, World
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
_RECORD_LAG_S = 0.5
_DETECTION_S = 1.0
_RESEND_S = 0.2


@dataclass(eq=False)
class Owner:
    """One owner incarnation of the service, or of a part of its targets.

    Attributes
    ----------
    number : int
        Unique number.
    instance, zone
        Where it runs.
    scope : str
        Which flows are its own.
    dispatcher : ServiceDispatcher
        The product's decisions.
    alive, stopping : bool
        Whether it runs, and whether it takes no more flows.
    requests : dict
        Requests that it runs or lets wait, by number.
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
    """One instance owns the service's flows over all connected zones."""

    per_zone = False
    spill_share = 1.0

    def __init__(self, world: World) -> None:
        super().__init__(world)
        self.settings = DispatchSettings()
        self._record = world.record
        self._owners: list[Owner] = []
        self._current: dict[str, Owner] = {}
        for scope in self._scopes():
            self._add_owner(scope)
        loop = world.loop
        loop.call_every(_PROBE_PERIOD_S, self._probe_all)
        loop.call_every(_TICK_PERIOD_S, self._tick_all)
        loop.call_every(_REPORT_PERIOD_S, self._exchange_counts)

    def open_flow(self, flow: Flow) -> None:
        """Let the owner of the reached instance's scope place a new flow."""
        owner = self._current[self._scope_of(flow.instance, flow)]
        if not owner.alive:
            self.world.loop.call_later(_RESEND_S, lambda: self.open_flow(flow))
            return
        flow.owner = owner.number
        now_s = self.world.loop.now_s
        flow.target = owner.dispatcher.place_flow(
            flow.activity, now_s, self.world.random.random()
        )

    def close_flow(self, flow: Flow) -> None:
        """Let the flow's owner learn that its caller closed it."""
        if flow.owner >= 0:
            self._owners[flow.owner].dispatcher.close_flow(
                flow.target, flow.activity, self.world.loop.now_s
            )

    def submit(self, request: Request) -> None:
        """Relay a request to the owner of its flow."""
        world = self.world
        if world.loop.now_s >= request.deadline_at_s:
            world.finish(request, "unknown" if request.attempts else "refused")
            return
        reached = world.shape.zone_of_instance(request.instance)
        owner = self._owner_of(request)
        if owner is None or not world.connected(reached, owner.zone):
            request.instance = world.random.randrange(world.shape.instances)
            world.loop.call_later(_RESEND_S, lambda: self.submit(request))
            return
        self.hops += owner.instance != request.instance
        self.zone_crossings += owner.zone != reached
        delay_s = world.delay_s(reached, owner.zone)
        world.loop.call_later(delay_s, lambda: self._take_in(owner, request))

    def update_record(self, record: ServiceRecord) -> None:
        """Let each owner learn of a newer record at its own time."""
        self._record = record
        for owner in self._living():
            lag_s = self.world.random.uniform(0.0, _RECORD_LAG_S)
            part = self._record_of(owner.scope)
            self.world.loop.call_later(lag_s, self._take_record(owner, part))

    def waiting(self) -> dict[str, float]:
        """Return requests that wait at the owners, by target."""
        waiting = dict.fromkeys(self.world.targets, 0.0)
        for owner in self._living():
            snapshot = owner.dispatcher.snapshot()
            shared = snapshot.waiting_unpinned / len(snapshot.targets)
            for target in snapshot.targets:
                waiting[target.name] += target.waiting + shared
        return waiting

    def kill_instance(self) -> None:
        """Kill an owner; another instance takes over once that is noticed."""
        victim = next(iter(self._current.values()))
        victim.alive = False
        for request in list(victim.requests.values()):
            self.world.finish(request, "unknown")
        victim.requests.clear()
        self.world.loop.call_later(_DETECTION_S, lambda: self._succeed(victim))

    def replace_instance(self) -> None:
        """Stop an owner as planned: its successor takes its flows at once.

        What runs or waits at the old owner ends there; the two tell each other
        their counts.
        """
        old = next(iter(self._current.values()))
        old.stopping = True
        self._succeed(old)

    def cut(self, zone: str) -> None:
        """Give the cut zone an owner of its own, once the cut is noticed."""
        if not self.per_zone:
            self.world.loop.call_later(_DETECTION_S, lambda: self._add_owner(zone))

    def heal(self, zone: str) -> None:
        """Hand the flows of the cut zone back, once the heal is noticed."""
        if not self.per_zone:
            self.world.loop.call_later(_DETECTION_S, lambda: self._rejoin(zone))

    def _scopes(self) -> list[str]:
        return list(self.world.shape.zones) if self.per_zone else ["all"]

    def _scope_of(self, instance: int, flow: Flow) -> str:
        zone = self.world.shape.zone_of_instance(instance)
        return zone if zone in self._current else "all"

    def _record_of(self, scope: str) -> ServiceRecord:
        """Return what the owner of a scope knows of the newest record."""
        return dataclasses.replace(self._record, spill_share=self.spill_share)

    def _living(self) -> list[Owner]:
        return [owner for owner in self._owners if owner.alive]

    def _add_owner(self, scope: str) -> None:
        shape = self.world.shape
        number = len(self._owners)
        fits = self._instances_of(scope)
        instance = fits[number % len(fits)]
        zone = shape.zone_of_instance(instance)
        now_s = self.world.loop.now_s
        record = self._record_of(scope)
        dispatcher = ServiceDispatcher(self.settings, record, zone, now_s)
        owner = Owner(number, instance, zone, scope, dispatcher)
        self._owners.append(owner)
        self._current[scope] = owner
        self._probe(owner)

    def _instances_of(self, scope: str) -> list[int]:
        """Return the instances that may own a scope; all but for a zone."""
        shape = self.world.shape
        numbers = range(shape.instances)
        if scope not in shape.zones:
            return list(numbers)
        return [n for n in numbers if shape.zone_of_instance(n) == scope]

    def _succeed(self, old: Owner) -> None:
        self._add_owner(old.scope)

    def _rejoin(self, zone: str) -> None:
        owner = self._current.pop(zone)
        owner.stopping = True

    def _owner_of(self, request: Request) -> Owner | None:
        """Return the flow's owner; a lost or stopped one has a successor."""
        owner = self._owners[request.flow.owner]
        reached = self.world.shape.zone_of_instance(request.instance)
        cut_off = not self.world.connected(reached, owner.zone)
        if owner.alive and not owner.stopping and not cut_off:
            return owner
        successor = self._current.get(self._scope_of(request.instance, request.flow))
        if successor is None or not successor.alive:
            return None
        if request.flow.owner != successor.number:
            request.flow.owner = successor.number
            flow = request.flow
            successor.dispatcher.adopt_flow(
                flow.target, flow.activity, self.world.loop.now_s
            )
        return successor

    def _take_in(self, owner: Owner, request: Request) -> None:
        self.world.work(
            owner.instance,
            self.world.shape.send_work_s,
            request,
            lambda: self._submit_at(owner, request),
        )

    def _submit_at(self, owner: Owner, request: Request) -> None:
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
        now_s = self.world.loop.now_s
        self._carry_out(
            owner, owner.dispatcher.submit(intent, now_s, self.world.random.random())
        )

    def _carry_out(self, owner: Owner, decisions: list[Decision]) -> None:
        for decision in decisions:
            match decision:
                case Start(request_id=request_id):
                    self._send(owner, owner.requests[request_id], decision)
                case Refuse(request_id=request_id, reason=reason):
                    self._on_refused(owner, owner.requests.pop(request_id), reason)
                case Fail(request_id=request_id):
                    self.world.finish(owner.requests.pop(request_id), "unknown")

    def _on_refused(
        self, owner: Owner, request: Request, reason: RefusalReason
    ) -> None:
        self.world.finish(request, "refused")

    def _send(self, owner: Owner, request: Request, start: Start) -> None:
        world = self.world
        target = world.targets[start.target]
        if world.affinity is Affinity.FLOW:
            request.flow.target = start.target
        self.zone_crossings += target.zone != owner.zone
        request.attempts += 1
        attempt = request.attempts
        delay_s = world.delay_s(owner.zone, target.zone)
        sent_s = world.loop.now_s

        def answer(kind: FinishKind, retry_after_s: float) -> None:
            world.loop.call_later(
                delay_s,
                lambda: self._on_answer(
                    owner, request, attempt, sent_s, kind, retry_after_s
                ),
            )

        if not world.connected(owner.zone, target.zone):
            answer(FinishKind.CONNECT_FAILED, 0.0)
            return
        world.loop.call_later(delay_s, lambda: target.send(request, answer))
        world.loop.call_at(
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
        known = owner.requests.get(request.number) is request
        if not owner.alive or not known or attempt != request.attempts:
            return
        if kind is FinishKind.OK:
            del owner.requests[request.number]
            self.world.finish(request, "ok")
        now_s = self.world.loop.now_s
        decisions = owner.dispatcher.finished(
            request.number, now_s, kind, now_s - sent_s, retry_after_s
        )
        self._carry_out(owner, decisions)

    def _take_record(self, owner: Owner, record: ServiceRecord) -> Callable[[], None]:
        def apply() -> None:
            now_s = self.world.loop.now_s
            self._carry_out(owner, owner.dispatcher.update_record(record, now_s))

        return apply

    def _probe_all(self) -> None:
        for owner in self._living():
            self._probe(owner)

    def _probe(self, owner: Owner) -> None:
        world = self.world
        for name in [target.name for target in owner.dispatcher.record.targets]:
            target = world.targets[name]
            self.control_bytes += _PROBE_BYTES
            if world.connected(owner.zone, target.zone):
                outcome = target.probe(world.record.name)
            else:
                outcome = ProbeFailed()
            decisions = owner.dispatcher.on_probe(name, world.loop.now_s, outcome)
            self._carry_out(owner, decisions)

    def _tick_all(self) -> None:
        for owner in self._living():
            self._carry_out(owner, owner.dispatcher.tick(self.world.loop.now_s))

    def _exchange_counts(self) -> None:
        """Let owners that send to the same targets tell each other their counts."""
        active = [o for o in self._living() if not o.stopping or o.requests]
        for sender in active:
            counts = {n: sender.dispatcher.in_flight(n) for n in self.world.targets}
            size_bytes = len(encode_struct(counts)) + DATAGRAM_HEADER_BYTES
            for receiver in active:
                if receiver is sender:
                    continue
                self.control_bytes += size_bytes
                if self.world.connected(sender.zone, receiver.zone):
                    decisions = receiver.dispatcher.on_peer_in_flight(
                        f"owner{sender.number}", counts, self.world.loop.now_s
                    )
                    self._carry_out(receiver, decisions)


class OwnerPerZonePolicy(OwnerPolicy):
    """Each zone's owner places the flows that were opened there."""

    per_zone = True


class OwnerOwnZonePolicy(OwnerPerZonePolicy):
    """Each zone's owner spills to other zones only without a free slot of its own."""

    spill_share = 0.0

"""Services cut into parts: an owner for some of the targets, or for each of them."""

import dataclasses
from collections import defaultdict

from endivepick.bench.independent import DATAGRAM_HEADER_BYTES
from endivepick.bench.owners import Owner, OwnerPolicy
from endivepick.bench.placer import Placer, TargetReport
from endivepick.bench.policy import World
from endivepick.bench.workload import Flow, Request
from endivepick.core.dispatch import FlowActivity, RefusalReason
from endivepick.core.dispatch.flow_activity import TargetActivity
from endivepick.core.packet_codec import encode_struct
from endivepick.records.model import Affinity, ServiceRecord

__all__ = ["OwnerShardsPolicy", "TargetOwnersPolicy"]

_SHARDS = 2
_REPORT_PERIOD_S = 0.1
_PLACEMENTS = 3


class OwnerShardsPolicy(OwnerPolicy):
    """Two owners, each with every second target and every second flow."""

    def cut(self, zone: str) -> None:
        """Keep the owners: a shard has no owner in a cut zone."""

    def heal(self, zone: str) -> None:
        """Keep the owners."""

    def _scopes(self) -> list[str]:
        return [str(shard) for shard in range(_SHARDS)]

    def _scope_of(self, instance: int, flow: Flow) -> str:
        return str(flow.number % _SHARDS)

    def _record_of(self, scope: str) -> ServiceRecord:
        targets = self._record.targets[int(scope) :: _SHARDS]
        return dataclasses.replace(self._record, targets=targets)

    def _exchange_counts(self) -> None:
        """Exchange nothing: no target has two owners."""


class TargetOwnersPolicy(OwnerPolicy):
    """An owner for each target, in its zone, and a placer above them.

    The placer chooses the target of a new flow, and of each single request, from
    reports of the owners and from what it has placed since.  What an owner
    refuses because its target does not serve goes back to the placer; with
    single requests, whatever an owner refuses does.
    """

    def __init__(self, world: World) -> None:
        self._rates: dict[str, TargetActivity] = {}
        self._flows: defaultdict[int, FlowActivity] = defaultdict(FlowActivity)
        self._tried: dict[int, set[str]] = {}
        super().__init__(world)
        self.placer = Placer(self.settings, world.record, world.loop.now_s)
        self._placer_instance = 0
        self._placer_zone = world.shape.zone_of_instance(0)
        memory_s = self.settings.arrival_memory_s
        self._rates = {name: TargetActivity(memory_s) for name in world.targets}
        world.loop.call_every(_REPORT_PERIOD_S, self._report_all)

    def open_flow(self, flow: Flow) -> None:
        """Let the placer choose the flow's target, and so its owner."""
        if self.world.affinity is Affinity.FLOW:
            self._bind(flow, set())

    def close_flow(self, flow: Flow) -> None:
        """Let the flow's owner learn that its caller closed it."""
        if flow.target:
            self._leave(flow)

    def submit(self, request: Request) -> None:
        """Relay a request to the flow's owner, or to the placer."""
        if self.world.affinity is Affinity.REQUEST:
            self._to_placer(request)
            return
        if not request.flow.target:
            self._bind(request.flow, set())
        if request.attempts == 0 and request.flow.target:
            activity = self._flows[request.flow.number]
            rate = self._rates[request.flow.target]
            rate.on_request(activity, self.world.loop.now_s)
        super().submit(request)

    def update_record(self, record: ServiceRecord) -> None:
        """Let the placer and the owners learn of a newer record."""
        super().update_record(record)
        self.placer.update_record(record, self.world.loop.now_s)

    def cut(self, zone: str) -> None:
        """Keep the owners: nobody places in a zone without the placer."""

    def heal(self, zone: str) -> None:
        """Keep the owners."""

    def _scopes(self) -> list[str]:
        return sorted(self.world.targets)

    def _scope_of(self, instance: int, flow: Flow) -> str:
        return flow.target

    def _record_of(self, scope: str) -> ServiceRecord:
        targets = tuple(t for t in self._record.targets if t.name == scope)
        return dataclasses.replace(self._record, targets=targets)

    def _instances_of(self, scope: str) -> list[int]:
        zone = self.world.targets[scope].zone
        numbers = range(self.world.shape.instances)
        return [n for n in numbers if self.world.shape.zone_of_instance(n) == zone]

    def _exchange_counts(self) -> None:
        """Exchange nothing: no target has two owners."""

    def _bind(self, flow: Flow, tried: set[str]) -> None:
        now_s = self.world.loop.now_s
        if flow.target:
            self._leave(flow)
        flow.target = self.placer.place_flow(tried, self.world.random.random(), now_s)
        if not flow.target:
            return
        owner = self._current[flow.target]
        flow.owner = owner.number
        owner.dispatcher.adopt_flow(flow.target, flow.activity, now_s)
        pace_per_s = self.placer.mean_pace_per_s(now_s)
        self._rates[flow.target].join(self._flows[flow.number], pace_per_s, now_s)

    def _leave(self, flow: Flow) -> None:
        now_s = self.world.loop.now_s
        dispatcher = self._current[flow.target].dispatcher
        self._rates[flow.target].leave(self._flows.pop(flow.number), now_s)
        dispatcher.close_flow(flow.target, flow.activity, now_s)

    def _to_placer(self, request: Request) -> None:
        world = self.world
        reached = world.shape.zone_of_instance(request.instance)
        self.hops += request.instance != self._placer_instance
        delay_s = world.delay_s(reached, self._placer_zone)
        world.loop.call_later(delay_s, lambda: self._work_at_placer(request))

    def _work_at_placer(self, request: Request) -> None:
        self.world.work(
            self._placer_instance,
            self.world.shape.place_work_s,
            request,
            lambda: self._place(request),
        )

    def _place(self, request: Request) -> None:
        world = self.world
        tried = self._tried.setdefault(request.number, set())
        tie = world.random.random()
        name = self.placer.place_request(tried, tie, world.loop.now_s)
        if not name:
            self._end_refused(request)
            return
        tried.add(name)
        owner = self._current[name]
        self.hops += owner.instance != self._placer_instance
        self.zone_crossings += owner.zone != self._placer_zone
        delay_s = world.delay_s(self._placer_zone, owner.zone)
        world.loop.call_later(delay_s, lambda: self._take_in(owner, request))

    def _on_refused(
        self, owner: Owner, request: Request, reason: RefusalReason
    ) -> None:
        now_s = self.world.loop.now_s
        tried = self._tried.setdefault(request.number, set())
        tried.add(owner.scope)
        moves = self.world.affinity is Affinity.REQUEST
        may_move = moves or reason is RefusalReason.NO_TARGET
        late = now_s >= request.deadline_at_s
        if not may_move or late or len(tried) >= _PLACEMENTS:
            self._end_refused(request)
        elif moves:
            self._to_placer(request)
        else:
            self._bind(request.flow, tried)
            super().submit(request)

    def _end_refused(self, request: Request) -> None:
        self._tried.pop(request.number, None)
        self.world.finish(request, "refused")

    def _report_all(self) -> None:
        for owner in self._current.values():
            if owner.alive and self.world.connected(owner.zone, self._placer_zone):
                self._report(owner)

    def _report(self, owner: Owner) -> None:
        now_s = self.world.loop.now_s
        snapshot = owner.dispatcher.snapshot()
        target = snapshot.targets[0]
        delay_s = self.world.delay_s(owner.zone, self._placer_zone)
        report = TargetReport(
            target=target.name,
            sent_s=now_s,
            delay_s=delay_s,
            work=target.in_flight + target.waiting + snapshot.waiting_unpinned,
            rate_per_s=self._rates[target.name].rate_per_s(now_s),
            flows=target.flows,
            serves=target.state in ("ready", "cold", "trial"),
            healthy=target.healthy,
        )
        if owner.instance != self._placer_instance:
            self.control_bytes += len(encode_struct(report)) + DATAGRAM_HEADER_BYTES
        self.world.loop.call_later(delay_s, lambda: self.placer.on_report(report))

"""Policies that split a service over several owners, each with some of its targets."""

import dataclasses
from collections import defaultdict

from endivepick.bench.independent import DATAGRAM_HEADER_BYTES
from endivepick.bench.owners import Owner, OwnerPolicy
from endivepick.bench.placer import Placer, TargetReport
from endivepick.bench.policy import SimulationContext
from endivepick.bench.workload import Flow, Request
from endivepick.core.dispatch import FlowActivity, RefusalReason
from endivepick.core.dispatch.flow_activity import TargetActivity
from endivepick.core.packet_codec import encode_struct
from endivepick.records.model import Affinity, ServiceRecord

__all__ = ["OwnerShardsPolicy", "TargetOwnersPolicy"]

_SHARDS = 2
_REPORT_PERIOD_S = 0.1
_PLACEMENTS_MAX = 3


class OwnerShardsPolicy(OwnerPolicy):
    """Policy with two owners, each with every second target and flow."""

    def on_zone_cut(self, zone: str) -> None:
        """Keep the owners: a partitioned zone gets no owner of a shard."""

    def on_zone_healed(self, zone: str) -> None:
        """Keep the owners."""

    def _list_scopes(self) -> list[str]:
        return [str(shard) for shard in range(_SHARDS)]

    def _get_scope(self, instance: int, flow: Flow) -> str:
        return str(flow.number % _SHARDS)

    def _get_scope_record(self, scope: str) -> ServiceRecord:
        targets = self._record.targets[int(scope) :: _SHARDS]
        return dataclasses.replace(self._record, targets=targets)

    def _exchange_counts(self) -> None:
        """Exchange nothing: no target has two owners."""


class TargetOwnersPolicy(OwnerPolicy):
    """Policy with one owner per target, in the zone of the target, and one placer.

    The placer chooses the target of each new flow, or of each request without flow
    affinity, from the reports of the owners and its placements since. A request
    refused because its target does not serve returns to the placer; without flow
    affinity, every refused request does.
    """

    def __init__(self, context: SimulationContext) -> None:
        self._rates: dict[str, TargetActivity] = {}
        self._flows: defaultdict[int, FlowActivity] = defaultdict(FlowActivity)
        self._tried: dict[int, set[str]] = {}
        super().__init__(context)
        self.placer = Placer(self.settings, context.record, context.loop.now_s)
        self._placer_instance = 0
        self._placer_zone = context.shape.zone_of_instance(0)
        memory_s = self.settings.arrival_memory_s
        self._rates = {name: TargetActivity(memory_s) for name in context.targets}
        context.loop.call_every(_REPORT_PERIOD_S, self._send_reports)

    def open_flow(self, flow: Flow) -> None:
        """Let the placer choose the target of the flow, and thereby its owner."""
        if self.context.affinity is Affinity.FLOW:
            self._assign_flow(flow, set())

    def close_flow(self, flow: Flow) -> None:
        """Release the flow at its owner."""
        if flow.target:
            self._release_flow(flow)

    def submit(self, request: Request) -> None:
        """Relay a request to the owner of its flow, or to the placer."""
        if self.context.affinity is Affinity.REQUEST:
            self._send_to_placer(request)
            return
        if not request.flow.target:
            self._assign_flow(request.flow, set())
        if request.attempts == 0 and request.flow.target:
            activity = self._flows[request.flow.number]
            rate = self._rates[request.flow.target]
            rate.on_request(activity, self.context.loop.now_s)
        super().submit(request)

    def update_record(self, record: ServiceRecord) -> None:
        """Apply a newer record at the placer and the owners."""
        super().update_record(record)
        self.placer.update_record(record, self.context.loop.now_s)

    def on_zone_cut(self, zone: str) -> None:
        """Keep the owners: there is no placer within the partitioned zone."""

    def on_zone_healed(self, zone: str) -> None:
        """Keep the owners."""

    def _list_scopes(self) -> list[str]:
        return sorted(self.context.targets)

    def _get_scope(self, instance: int, flow: Flow) -> str:
        return flow.target

    def _get_scope_record(self, scope: str) -> ServiceRecord:
        targets = tuple(t for t in self._record.targets if t.name == scope)
        return dataclasses.replace(self._record, targets=targets)

    def _list_candidates(self, scope: str) -> list[int]:
        zone = self.context.targets[scope].zone
        numbers = range(self.context.shape.instances)
        return [n for n in numbers if self.context.shape.zone_of_instance(n) == zone]

    def _exchange_counts(self) -> None:
        """Exchange nothing: no target has two owners."""

    def _assign_flow(self, flow: Flow, tried: set[str]) -> None:
        now_s = self.context.loop.now_s
        if flow.target:
            self._release_flow(flow)
        flow.target = self.placer.place_flow(tried, self.context.random.random(), now_s)
        if not flow.target:
            return
        owner = self._owner_by_scope[flow.target]
        flow.owner = owner.number
        owner.dispatcher.adopt_flow(flow.target, flow.activity, now_s)
        pace_per_s = self.placer.mean_pace_per_s(now_s)
        self._rates[flow.target].join(self._flows[flow.number], pace_per_s, now_s)

    def _release_flow(self, flow: Flow) -> None:
        now_s = self.context.loop.now_s
        dispatcher = self._owner_by_scope[flow.target].dispatcher
        self._rates[flow.target].leave(self._flows.pop(flow.number), now_s)
        dispatcher.close_flow(flow.target, flow.activity, now_s)

    def _send_to_placer(self, request: Request) -> None:
        context = self.context
        reached_zone = context.shape.zone_of_instance(request.instance)
        self.hops += request.instance != self._placer_instance
        delay_s = context.get_delay_s(reached_zone, self._placer_zone)
        context.loop.call_later(delay_s, lambda: self._queue_at_placer(request))

    def _queue_at_placer(self, request: Request) -> None:
        self.context.schedule_work(
            self._placer_instance,
            self.context.shape.place_work_s,
            request,
            lambda: self._place_request(request),
        )

    def _place_request(self, request: Request) -> None:
        context = self.context
        tried = self._tried.setdefault(request.number, set())
        tie_break = context.random.random()
        name = self.placer.place_request(tried, tie_break, context.loop.now_s)
        if not name:
            self._refuse_request(request)
            return
        tried.add(name)
        owner = self._owner_by_scope[name]
        self.hops += owner.instance != self._placer_instance
        self.zone_crossings += owner.zone != self._placer_zone
        delay_s = context.get_delay_s(self._placer_zone, owner.zone)
        context.loop.call_later(delay_s, lambda: self._receive_request(owner, request))

    def _on_refused(
        self, owner: Owner, request: Request, reason: RefusalReason
    ) -> None:
        now_s = self.context.loop.now_s
        tried = self._tried.setdefault(request.number, set())
        tried.add(owner.scope)
        is_movable = self.context.affinity is Affinity.REQUEST
        can_move = is_movable or reason is RefusalReason.NO_TARGET
        is_late = now_s >= request.deadline_at_s
        if not can_move or is_late or len(tried) >= _PLACEMENTS_MAX:
            self._refuse_request(request)
        elif is_movable:
            self._send_to_placer(request)
        else:
            self._assign_flow(request.flow, tried)
            super().submit(request)

    def _refuse_request(self, request: Request) -> None:
        self._tried.pop(request.number, None)
        self.context.finish(request, "refused")

    def _send_reports(self) -> None:
        for owner in self._owner_by_scope.values():
            if owner.alive and self.context.is_connected(owner.zone, self._placer_zone):
                self._send_report(owner)

    def _send_report(self, owner: Owner) -> None:
        now_s = self.context.loop.now_s
        snapshot = owner.dispatcher.snapshot()
        target = snapshot.targets[0]
        delay_s = self.context.get_delay_s(owner.zone, self._placer_zone)
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
        self.context.loop.call_later(delay_s, lambda: self.placer.on_report(report))

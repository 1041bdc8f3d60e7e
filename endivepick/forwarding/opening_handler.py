"""Decides what becomes of an opening packet: admission, placement, or a reset."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from endivepick.forwarding.actions import (
    Decision,
    DecisionRecord,
    Effect,
    Forward,
    OpeningRejected,
    Reset,
    ResetReason,
)
from endivepick.forwarding.admission.decisions import Rejected
from endivepick.forwarding.failure_detector import FailureDetector
from endivepick.forwarding.flows import FlowTable
from endivepick.forwarding.model import FlowKey, Packet, Route
from endivepick.forwarding.opening_placement import OpeningPlacer
from endivepick.forwarding.openings import Opening, RecentOpenings
from endivepick.forwarding.placement import Placement
from endivepick.forwarding.placement_filter import PlacementFilter
from endivepick.forwarding.placement_request import PlacementRequest
from endivepick.forwarding.registry import TargetRegistry
from endivepick.forwarding.resets import reset_packet
from endivepick.forwarding.routes import RouteTable, select_service
from endivepick.forwarding.settings import ForwardingSettings

if TYPE_CHECKING:
    from endivepick.forwarding.overload_parts import OverloadParts

__all__ = ["OpeningHandler"]


class OpeningHandler:
    """Decides about opening packets and remembers where they went.

    Parameters
    ----------
    settings : ForwardingSettings
        Mechanisms, zone and weights.
    routes : RouteTable
        Routes of the configuration in force.
    registry : TargetRegistry
        All known targets.
    flows : FlowTable
        Flows of this instance; placed ones are added.
    failure_detector : FailureDetector
        Told of openings that nothing answers.
    placement_filter : PlacementFilter
        Targets that may take new flows.
    overload : OverloadParts
        Parts for overloaded services.
    random_share : callable
        Returns random numbers from 0 to 1.
    """

    def __init__(
        self,
        settings: ForwardingSettings,
        routes: RouteTable,
        registry: TargetRegistry,
        flows: FlowTable,
        failure_detector: FailureDetector,
        placement_filter: PlacementFilter,
        overload: OverloadParts,
        random_share: Callable[[], float],
    ) -> None:
        self._retries_elsewhere = settings.mechanisms.copies_elsewhere
        self._routes = routes
        self._registry = registry
        self._flows = flows
        self._failure_detector = failure_detector
        self._admission = overload.admission
        self._random_share = random_share
        self._openings = RecentOpenings(settings)
        self._placer = OpeningPlacer(
            settings, routes, placement_filter, random_share, overload.placer
        )

    @property
    def instance_bound(self) -> int | None:
        """Upper bound of the number of instances that place flows, None if unknown."""
        return self._placer.cold_targets.instances

    @instance_bound.setter
    def instance_bound(self, instances: int) -> None:
        self._placer.cold_targets.instances = instances

    def on_opening(self, packet: Packet, route: Route | None, now_s: float) -> Decision:
        """Decide what to do with an opening packet.

        Parameters
        ----------
        packet : Packet
            Its header.
        route : Route or None
            Route of its flow, None if there is none.
        now_s : float
            Current time, in seconds.
        """
        if route is None:
            return self._reset(packet, ResetReason.NO_ROUTE, now_s)
        service = select_service(route, packet.flow)
        rejected = self._find_rejection(packet, route, service, now_s)
        if rejected is not None:
            return self._reject(packet.flow, rejected)
        opening = self._openings.get(packet.flow)
        effects = self._suspect_previous_target(opening, packet.flow, now_s)
        request = self._make_request(route, service, opening, now_s)
        placement = self._placer.place(request, now_s)
        if isinstance(placement, ResetReason):
            reset = self._reset(packet, placement, now_s)
            return Decision(reset.verdict, [*effects, *reset.effects])
        self._openings.record(packet.flow, placement.belief.name, now_s)
        self._flows.observe(packet, placement.belief, route.kind, now_s)
        record = self._describe_placement(packet, placement, now_s)
        return Decision(Forward(placement.belief), [*effects, record])

    def tick(self, now_s: float) -> list[Effect]:
        """Report unanswered openings to the failure detector."""
        effects: list[Effect] = []
        for key, opening in self._openings.pop_unanswered(now_s):
            flow = self._flows.get(key)
            if flow is not None and not flow.opened:
                effects += self._failure_detector.on_opening_unanswered(
                    flow.belief, key, opening.last_s, now_s
                )
        return effects

    def expire(self, now_s: float) -> None:
        """Remove openings that their callers have given up."""
        self._openings.expire(now_s)
        self._placer.cold_targets.expire(now_s)

    def _find_rejection(
        self, packet: Packet, route: Route, service: str, now_s: float
    ) -> Rejected | None:
        """Return why an opening is rejected, None if it is admitted."""
        if self._admission is None:
            return None
        flow = packet.flow
        forwarded = self._openings.get(flow) or self._flows.get(flow)
        decision = self._admission.admits(
            packet.acknowledged,
            forwarded is not None,
            route,
            service,
            self._random_share,
            now_s,
        )
        return decision if isinstance(decision, Rejected) else None

    def _reject(self, flow: FlowKey, rejected: Rejected) -> Decision:
        record = OpeningRejected(flow, rejected, self._routes.version)
        return Decision(Reset(flow, 0, ResetReason.OVERLOADED), [record])

    def _reset(self, packet: Packet, reason: ResetReason, now_s: float) -> Decision:
        return reset_packet(packet, reason, "", self._routes, now_s)

    def _make_request(
        self, route: Route, service: str, opening: Opening | None, now_s: float
    ) -> PlacementRequest:
        tried: tuple[str, ...] = ()
        if opening is not None and self._retries_elsewhere:
            tried = opening.targets
        spares_reserved = False
        if self._admission is not None:
            spares_reserved = self._admission.spares_reserved(
                service, route.priority, self._random_share, now_s
            )
        return PlacementRequest(service, route, tried, spares_reserved)

    def _suspect_previous_target(
        self, opening: Opening | None, flow: FlowKey, now_s: float
    ) -> list[Effect]:
        """Suspect the target that left the previous copy of an opening unanswered."""
        if opening is None:
            return []
        belief = self._registry.get(opening.targets[-1])
        if belief is None:
            return []
        return self._failure_detector.suspect(belief, flow, opening.last_s, now_s)

    def _describe_placement(
        self, packet: Packet, placement: Placement, now_s: float
    ) -> DecisionRecord:
        return DecisionRecord(
            "flow_placed",
            packet.flow,
            placement.belief.name,
            placement.reason,
            placement.candidates,
            placement.load,
            packet.acknowledged,
            self._routes.version,
            now_s - placement.belief.state_since_s,
        )

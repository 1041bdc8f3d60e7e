"""Places an opening: selects the targets it may reach and chooses one of them."""

from collections.abc import Callable, Collection, Sequence

from endivepick.forwarding.actions import ResetReason
from endivepick.forwarding.cold_targets import ColdTargetLimiter
from endivepick.forwarding.model import FlowKey, Route, RouteKind
from endivepick.forwarding.placement import Candidates, Placement, choose_target
from endivepick.forwarding.placement_filter import PlacementFilter
from endivepick.forwarding.routes import RouteTable, select_service
from endivepick.forwarding.settings import ForwardingSettings

__all__ = ["OpeningPlacer"]


class OpeningPlacer:
    """Chooses the target of each opening packet.

    Parameters
    ----------
    settings : ForwardingSettings
        Zone and weights.
    routes : RouteTable
        Cold starts of the services.
    placement_filter : PlacementFilter
        Targets that the flows of a route may reach.
    random_share : callable
        Returns random numbers from 0 to 1.
    """

    def __init__(
        self,
        settings: ForwardingSettings,
        routes: RouteTable,
        placement_filter: PlacementFilter,
        random_share: Callable[[], float],
    ) -> None:
        self._settings = settings
        self._routes = routes
        self._filter = placement_filter
        self._random_share = random_share
        self.cold_targets = ColdTargetLimiter(random_share)

    def place(
        self, flow: FlowKey, route: Route, tried: Sequence[str], now_s: float
    ) -> Placement | ResetReason:
        """Choose the target of an opening packet, or tell why there is none.

        Parameters
        ----------
        flow : FlowKey
            The flow that is opened.
        route : Route
            Route of the flow.
        tried : sequence of str
            Targets that got earlier copies of the packet.
        now_s : float
            Current time, in seconds.
        """
        service = select_service(route, flow)
        cold_start = self._routes.get_cold_start(service)
        candidates = self._filter.find_candidates(service, route.regions)
        throttled = self.cold_targets.find_throttled(
            candidates.every, cold_start, now_s
        )
        placement = choose_target(
            self._settings,
            candidates.without(throttled) if throttled else candidates,
            tried,
            self._random_share,
            now_s,
            route.kind is RouteKind.IDEMPOTENT,
        )
        if placement is None:
            return _explain_missing_target(candidates, throttled)
        self.cold_targets.record_opening(placement.belief, cold_start, now_s)
        return placement


def _explain_missing_target(
    candidates: Candidates, throttled: Collection[str]
) -> ResetReason:
    if candidates.all_evacuated:
        return ResetReason.ZONES_EVACUATED
    return ResetReason.TARGETS_COLD if throttled else ResetReason.NO_TARGET

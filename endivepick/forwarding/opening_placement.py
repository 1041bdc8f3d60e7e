"""Places an opening: selects the targets it may reach and chooses one of them."""

from __future__ import annotations

from collections.abc import Callable, Collection
from typing import TYPE_CHECKING

from endivepick.forwarding.actions import ResetReason
from endivepick.forwarding.cold_targets import ColdTargetLimiter
from endivepick.forwarding.model import RouteKind
from endivepick.forwarding.placement import Candidates, Placement, choose_target
from endivepick.forwarding.placement_filter import PlacementFilter
from endivepick.forwarding.placement_request import PlacementRequest
from endivepick.forwarding.routes import RouteTable
from endivepick.forwarding.settings import ForwardingSettings

if TYPE_CHECKING:
    from endivepick.forwarding.load.load_placement import LoadPlacer

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
    by_load : LoadPlacer, optional
        Places openings by shared load; without it, and where the load is unknown, they
        are placed by what this instance sees.
    """

    def __init__(
        self,
        settings: ForwardingSettings,
        routes: RouteTable,
        placement_filter: PlacementFilter,
        random_share: Callable[[], float],
        by_load: LoadPlacer | None = None,
    ) -> None:
        self._settings = settings
        self._routes = routes
        self._filter = placement_filter
        self._random_share = random_share
        self._by_load = by_load
        self.cold_targets = ColdTargetLimiter(random_share)

    def place(self, request: PlacementRequest, now_s: float) -> Placement | ResetReason:
        """Choose the target of an opening packet, or tell why there is none.

        Parameters
        ----------
        request : PlacementRequest
            The opening.
        now_s : float
            Current time, in seconds.
        """
        service, route = request.service, request.route
        cold_start = self._routes.get_cold_start(service)
        candidates = self._filter.find_candidates(service, route.regions)
        throttled = self.cold_targets.find_throttled(
            candidates.every, cold_start, now_s
        )
        allowed = candidates.without(throttled) if throttled else candidates
        placement = None
        if self._by_load is not None:
            placement = self._by_load.choose(request, candidates, allowed, now_s)
        if placement is None:
            placement = choose_target(
                self._settings,
                allowed,
                request.tried,
                self._random_share,
                now_s,
                route.kind is RouteKind.IDEMPOTENT,
            )
        if placement is None:
            return _explain_missing_target(candidates, throttled)
        self.cold_targets.record_opening(placement.belief, cold_start, now_s)
        if self._by_load is not None:
            self._by_load.record_placement(placement.belief, now_s)
        return placement


def _explain_missing_target(
    candidates: Candidates, throttled: Collection[str]
) -> ResetReason:
    if candidates.all_evacuated:
        return ResetReason.ZONES_EVACUATED
    return ResetReason.TARGETS_COLD if throttled else ResetReason.NO_TARGET

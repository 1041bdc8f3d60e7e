"""Places an opening: selects the targets it may reach and chooses one of them."""

from collections.abc import Callable, Collection, Sequence

from endivepick.forwarding.actions import ResetReason
from endivepick.forwarding.cold_targets import ColdTargetLimiter
from endivepick.forwarding.load.balancing import LoadSource, choose_by_load
from endivepick.forwarding.load.reserved import RESERVED_SHARE, exclude_reserved
from endivepick.forwarding.load.zone_choice import ZoneBalancer
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
    load : LoadSource, optional
        Shared load; without it, and where it is unknown, openings are placed by what
        this instance sees.
    """

    def __init__(
        self,
        settings: ForwardingSettings,
        routes: RouteTable,
        placement_filter: PlacementFilter,
        random_share: Callable[[], float],
        load: LoadSource | None = None,
    ) -> None:
        self._settings = settings
        self._routes = routes
        self._filter = placement_filter
        self._random_share = random_share
        self._load = load if settings.shares_load else None
        self._balancers: dict[tuple[str, tuple[str, ...]], ZoneBalancer] = {}
        self.cold_targets = ColdTargetLimiter(random_share)

    def place(
        self,
        flow: FlowKey,
        route: Route,
        tried: Sequence[str],
        now_s: float,
        spares_reserved: bool = False,
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
        spares_reserved : bool
            The flow is less urgent and such openings are limited, so targets reserved
            for urgent flows do not take it.
        """
        service = select_service(route, flow)
        cold_start = self._routes.get_cold_start(service)
        candidates = self._filter.find_candidates(service, route.regions)
        throttled = self.cold_targets.find_throttled(
            candidates.every, cold_start, now_s
        )
        allowed = candidates.without(throttled) if throttled else candidates
        if spares_reserved:
            allowed = exclude_reserved(allowed, RESERVED_SHARE)
        repeatable = route.kind is RouteKind.IDEMPOTENT
        placement = self._choose_by_load(
            service, route, candidates, allowed, tried, now_s
        )
        if placement is None:
            placement = choose_target(
                self._settings, allowed, tried, self._random_share, now_s, repeatable
            )
        if placement is None:
            return _explain_missing_target(candidates, throttled)
        self.cold_targets.record_opening(placement.belief, cold_start, now_s)
        if self._load is not None:
            self._load.record_placement(placement.belief, now_s)
        return placement

    def _choose_by_load(
        self,
        service: str,
        route: Route,
        usable: Candidates,
        allowed: Candidates,
        tried: Sequence[str],
        now_s: float,
    ) -> Placement | None:
        """Choose by shared load among the allowed of the service's usable targets."""
        mechanisms = self._settings.mechanisms
        leaves_busy_zone = mechanisms.own_zone_first and mechanisms.spill_when_busy
        if self._load is None or not leaves_busy_zone:
            return None
        cold_s = self._routes.get_cold_start(service).duration_s
        balancer = self._find_balancer(service, route.regions)
        return choose_by_load(
            self._settings,
            allowed,
            self._load,
            tried,
            self._random_share,
            now_s,
            shares=balancer.find_shares(usable, self._load, now_s, cold_s),
            cold_s=cold_s,
            repeatable=route.kind is RouteKind.IDEMPOTENT,
        )

    def _find_balancer(self, service: str, regions: tuple[str, ...]) -> ZoneBalancer:
        balancer = self._balancers.get((service, regions))
        if balancer is None:
            balancer = ZoneBalancer(self._settings, service)
            self._balancers[service, regions] = balancer
        return balancer


def _explain_missing_target(
    candidates: Candidates, throttled: Collection[str]
) -> ResetReason:
    if candidates.all_evacuated:
        return ResetReason.ZONES_EVACUATED
    return ResetReason.TARGETS_COLD if throttled else ResetReason.NO_TARGET

"""Places the openings of each service by shared load."""

from collections.abc import Callable

from endivepick.forwarding.belief import TargetBelief
from endivepick.forwarding.load.balancing import LoadSource, choose_by_load
from endivepick.forwarding.load.reserved import RESERVED_SHARE, exclude_reserved
from endivepick.forwarding.load.zone_choice import ZoneBalancer
from endivepick.forwarding.model import RouteKind
from endivepick.forwarding.placement import Candidates, Placement
from endivepick.forwarding.placement_request import PlacementRequest
from endivepick.forwarding.routes import RouteTable
from endivepick.forwarding.settings import ForwardingSettings

__all__ = ["LoadPlacer"]


class LoadPlacer:
    """Chooses zones and targets by shared load.

    Parameters
    ----------
    settings : ForwardingSettings
        Zone and weights.
    routes : RouteTable
        Cold starts of the services.
    load : LoadSource
        Shared load.
    random_share : callable
        Returns random numbers from 0 to 1.
    """

    def __init__(
        self,
        settings: ForwardingSettings,
        routes: RouteTable,
        load: LoadSource,
        random_share: Callable[[], float],
    ) -> None:
        self._settings = settings
        self._routes = routes
        self._load = load
        self._random_share = random_share
        self._balancers: dict[tuple[str, tuple[str, ...]], ZoneBalancer] = {}

    def choose(
        self,
        request: PlacementRequest,
        usable: Candidates,
        allowed: Candidates,
        now_s: float,
    ) -> Placement | None:
        """Choose the target of an opening, None if its load is unknown.

        Parameters
        ----------
        request : PlacementRequest
            The opening.
        usable : Candidates
            Targets that may take flows of the route.
        allowed : Candidates
            Those of them that may take this opening now.
        now_s : float
            Current time, in seconds.
        """
        mechanisms = self._settings.mechanisms
        if not (mechanisms.own_zone_first and mechanisms.spill_when_busy):
            return None
        if request.spares_reserved:
            allowed = exclude_reserved(allowed, RESERVED_SHARE)
        cold_s = self._routes.get_cold_start(request.service).duration_s
        balancer = self._find_balancer(request.service, request.route.regions)
        return choose_by_load(
            self._settings,
            allowed,
            self._load,
            request.tried,
            self._random_share,
            now_s,
            shares=balancer.find_shares(usable, self._load, now_s, cold_s),
            cold_s=cold_s,
            repeatable=request.route.kind is RouteKind.IDEMPOTENT,
        )

    def record_placement(self, belief: TargetBelief, now_s: float) -> None:
        """Record that an opening was placed at a target."""
        self._load.record_placement(belief, now_s)

    def _find_balancer(self, service: str, regions: tuple[str, ...]) -> ZoneBalancer:
        balancer = self._balancers.get((service, regions))
        if balancer is None:
            balancer = ZoneBalancer(self._settings, service)
            self._balancers[service, regions] = balancer
        return balancer

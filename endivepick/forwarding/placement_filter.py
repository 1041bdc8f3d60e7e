"""Selects the targets that an opening may reach at all, before one of them is chosen.

Two limits apply to every way of choosing a target: targets of an evacuated zone take no
new flows, and a route may be restricted to regions.  All other preferences (own zone
first, reachability, outlier detection) choose among the targets that are left.
"""

from collections.abc import Mapping

from msgspec import Struct

from endivepick.forwarding.belief import TargetBelief
from endivepick.forwarding.evacuations import EvacuatedZones
from endivepick.forwarding.placement import Candidates
from endivepick.forwarding.registry import TargetRegistry

__all__ = ["PlacementFilter"]


class _Selection(Struct, frozen=True):
    """Candidates that are left, and the state from which they were selected."""

    unfiltered: Candidates
    evacuation_changes: int
    candidates: Candidates


class PlacementFilter:
    """Finds the candidates of a service for a route.

    Parameters
    ----------
    registry : TargetRegistry
        All known targets.
    evacuated : EvacuatedZones
        Zones whose targets take no new flows.
    zone_regions : mapping of str to str
        Region of each availability zone; a zone that is not in it is in no region.
    """

    def __init__(
        self,
        registry: TargetRegistry,
        evacuated: EvacuatedZones,
        zone_regions: Mapping[str, str],
    ) -> None:
        self._registry = registry
        self._evacuated = evacuated
        self._zone_regions = zone_regions
        self._selections: dict[tuple[str, tuple[str, ...]], _Selection] = {}

    def find_candidates(
        self, service: str, regions: tuple[str, ...] = ()
    ) -> Candidates:
        """Return the targets that may take new flows of a route.

        The result is cached until a target of the service, or the set of evacuated
        zones, changes; callers must not modify it.

        Parameters
        ----------
        service : str
            Service of the flow.
        regions : tuple of str
            Regions to which the route is restricted; empty for no restriction.
        """
        unfiltered = self._registry.candidates(service)
        if not regions and not len(self._evacuated):
            return unfiltered
        cached = self._selections.get((service, regions))
        if (
            cached is None
            or cached.unfiltered is not unfiltered
            or cached.evacuation_changes != self._evacuated.changes
        ):
            candidates = self._select(unfiltered, regions)
            cached = _Selection(unfiltered, self._evacuated.changes, candidates)
            self._selections[service, regions] = cached
        return cached.candidates

    def _select(self, unfiltered: Candidates, regions: tuple[str, ...]) -> Candidates:
        in_region = [b for b in unfiltered.every if self._is_in_region(b, regions)]
        usable = [b for b in in_region if b.target.zone not in self._evacuated]
        own_zone = self._registry.zone
        return Candidates.of_zone(
            own_zone,
            usable,
            own_evacuated=own_zone in self._evacuated,
            all_evacuated=bool(in_region) and not usable,
        )

    def _is_in_region(self, belief: TargetBelief, regions: tuple[str, ...]) -> bool:
        return not regions or self._zone_regions.get(belief.target.zone) in regions

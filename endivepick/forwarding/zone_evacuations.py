"""Applies evacuations of zones, and what follows when a zone returns."""

from collections.abc import Iterable

from endivepick.forwarding.evacuations import (
    EvacuatedZone,
    EvacuatedZones,
    EvacuationChange,
)
from endivepick.forwarding.registry import TargetRegistry
from endivepick.forwarding.routes import RouteTable

__all__ = ["ZoneEvacuations"]


class ZoneEvacuations:
    """Keeps the evacuated zones, and regards the targets of returned ones as cold.

    Parameters
    ----------
    registry : TargetRegistry
        All known targets.
    routes : RouteTable
        Cold starts of the services.
    """

    def __init__(self, registry: TargetRegistry, routes: RouteTable) -> None:
        self.zones = EvacuatedZones()
        self._registry = registry
        self._routes = routes

    def apply_list(
        self, zones: Iterable[EvacuatedZone], revision: int, now_s: float
    ) -> list[EvacuationChange]:
        """Apply the complete set of evacuated zones at a revision of the store."""
        return self._on_changes(self.zones.apply_list(zones, revision), now_s)

    def apply_begin(
        self, evacuated: EvacuatedZone, now_s: float
    ) -> list[EvacuationChange]:
        """Apply the evacuation of one zone."""
        return self._on_changes(self.zones.apply_begin(evacuated), now_s)

    def apply_end(
        self, zone: str, revision: int, now_s: float
    ) -> list[EvacuationChange]:
        """Apply the end of a zone's evacuation."""
        return self._on_changes(self.zones.apply_end(zone, revision), now_s)

    def _on_changes(
        self, changes: list[EvacuationChange], now_s: float
    ) -> list[EvacuationChange]:
        for change in changes:
            if not change.in_force:
                self._mark_cold(change.zone, now_s)
        return changes

    def _mark_cold(self, zone: str, now_s: float) -> None:
        for service in self._registry.services:
            duration_s = self._routes.get_cold_start(service).duration_s
            self._registry.mark_zone_cold(zone, service, now_s + duration_s)

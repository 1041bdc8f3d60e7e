"""Evacuated zones with one rule broken, and the checks of their model."""

from collections.abc import Callable, Iterable
from dataclasses import replace

from endivepick.forwarding import EvacuatedZone, EvacuatedZones, EvacuationChange
from endivepick.model.checker import Specification
from endivepick.model.evacuations import EvacuationBounds, evacuations_specification

__all__ = ["EVACUATION_MUTATIONS", "EVACUATION_SCENARIOS"]


class AcceptsOlderLists(EvacuatedZones):
    """A set that accepts a list older than what it knows."""

    def apply_list(
        self, zones: Iterable[EvacuatedZone], revision: int
    ) -> list[EvacuationChange]:
        """Discard what is known of later revisions."""
        self.revision = min(self.revision, revision)
        return super().apply_list(zones, revision)


class KeepsUnlistedZones(EvacuatedZones):
    """A set in which a list ends no evacuation."""

    def apply_list(
        self, zones: Iterable[EvacuatedZone], revision: int
    ) -> list[EvacuationChange]:
        """Add the known zones to the list."""
        return super().apply_list([*zones, *self.list_zones()], revision)


class ForgetsLaterBegins(EvacuatedZones):
    """A set in which a list ends evacuations that began after it."""

    def apply_list(
        self, zones: Iterable[EvacuatedZone], revision: int
    ) -> list[EvacuationChange]:
        """Regard all known evacuations as old."""
        self._revisions = dict.fromkeys(self._revisions, 0)
        return super().apply_list(zones, revision)


class HidesEnds(EvacuatedZones):
    """A set whose ends do not count as changes, so that no poll is answered."""

    def _record_change(
        self, zone: str, in_force: bool, revision: int
    ) -> EvacuationChange:
        before = self.changed_revision
        change = super()._record_change(zone, in_force, revision)
        if not in_force:
            self.changed_revision = before
        return change


class TellsIncompleteSets(EvacuatedZones):
    """A set that passes a stale list on as the complete set."""

    def apply_begin(self, evacuated: EvacuatedZone) -> list[EvacuationChange]:
        """Regard the set as complete up to the entry."""
        changes = super().apply_begin(evacuated)
        self.known = True
        self.advance_revision(evacuated.revision)
        return changes


def _evacuations(bounds: EvacuationBounds) -> Callable[[str], Specification]:
    return lambda name: evacuations_specification(name, bounds)


_DEFAULT_BOUNDS = EvacuationBounds()
EVACUATION_SCENARIOS: dict[str, Callable[[str], Specification]] = {
    "evacuated zones": _evacuations(_DEFAULT_BOUNDS),
    "evacuated zones, one again and again": _evacuations(
        EvacuationBounds(history=("a", "a", "a", "a"))
    ),
}
"""Factories of the specifications to check, by name."""

EVACUATION_MUTATIONS: dict[str, Callable[[str], Specification]] = {
    "an older list is accepted": _evacuations(
        replace(_DEFAULT_BOUNDS, zones=AcceptsOlderLists)
    ),
    "a list ends no evacuation": _evacuations(
        replace(_DEFAULT_BOUNDS, zones=KeepsUnlistedZones)
    ),
    "a list ends later evacuations": _evacuations(
        replace(_DEFAULT_BOUNDS, zones=ForgetsLaterBegins)
    ),
    "the end of an evacuation is no news": _evacuations(
        replace(_DEFAULT_BOUNDS, zones=HidesEnds)
    ),
    "a stale list is passed on as complete": _evacuations(
        replace(_DEFAULT_BOUNDS, zones=TellsIncompleteSets)
    ),
}
"""Factories of the specifications with one broken rule, by name."""

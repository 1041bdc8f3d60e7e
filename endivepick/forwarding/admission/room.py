"""Reads the load of a service in relation to its slots."""

from endivepick.forwarding.admission.overload_state import OverloadReading
from endivepick.forwarding.admission.signals import OverloadSignals
from endivepick.forwarding.placement import Candidates
from endivepick.forwarding.placement_filter import PlacementFilter

__all__ = ["RoomReader", "count_slots"]


class RoomReader:
    """Relates the load of services to the slots that take new flows.

    Parameters
    ----------
    placement_filter : PlacementFilter
        Targets that may take new flows.
    """

    def __init__(self, placement_filter: PlacementFilter) -> None:
        self._filter = placement_filter
        self._counted: dict[str, tuple[Candidates, dict[str, int]]] = {}

    def read(
        self, signals: OverloadSignals, service: str, now_s: float
    ) -> OverloadReading | None:
        """Return the load of a service, None if it is unknown.

        Zones whose load is unknown are left out, with their slots.
        """
        short_share = signals.short_share(service, now_s)
        if short_share is None:
            return None
        busy, slots = 0.0, 0
        for zone, zone_slots in self._get_slots(service).items():
            zone_busy = signals.zone_busy(service, zone, now_s)
            if zone_busy is not None:
                busy += zone_busy
                slots += zone_slots
        return OverloadReading(short_share, busy / slots) if slots else None

    def _get_slots(self, service: str) -> dict[str, int]:
        """Return the slots by zone, counted anew when candidates have changed."""
        candidates = self._filter.find_candidates(service)
        counted = self._counted.get(service)
        if counted is None or counted[0] is not candidates:
            counted = (candidates, count_slots(candidates))
            self._counted[service] = counted
        return counted[1]


def count_slots(candidates: Candidates) -> dict[str, int]:
    """Return the slots of reachable targets by zone, those of ejected ones included."""
    slots: dict[str, int] = {}
    for belief in (*candidates.own, *candidates.others, *candidates.impaired):
        target = belief.target
        slots[target.zone] = slots.get(target.zone, 0) + target.slots
    return slots

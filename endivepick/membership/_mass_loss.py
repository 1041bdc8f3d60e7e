"""Mass loss detection.

A mass loss indicates a network partition or a fault of this instance, rather than
failures of single peers.
"""

from collections import Counter, deque

from endivepick.membership.settings import MembershipSettings


class MassLossDetector:
    """Counts peers, and suspected or recently dead peers, per zone."""

    def __init__(self, settings: MembershipSettings) -> None:
        self._settings = settings
        self._zone_by_name: dict[str, str] = {}
        self._size_by_zone: Counter[str] = Counter()
        self._lost_by_zone: Counter[str] = Counter()
        self._lost_names: set[str] = set()
        self._recent_deaths: deque[tuple[float, str]] = deque()

    def mark_alive(self, name: str, zone: str) -> None:
        """Count a peer as alive."""
        if name in self._lost_names:
            self._lost_names.discard(name)
            self._lost_by_zone[self._zone_by_name[name]] -= 1
        if name not in self._zone_by_name:
            self._zone_by_name[name] = zone
            self._size_by_zone[zone] += 1

    def mark_lost(self, name: str) -> None:
        """Count a peer as lost."""
        if name in self._zone_by_name and name not in self._lost_names:
            self._lost_names.add(name)
            self._lost_by_zone[self._zone_by_name[name]] += 1

    def mark_dead(self, name: str, now_s: float) -> None:
        """Count a dead peer as lost until ``mass_window_s`` has passed."""
        self.mark_lost(name)
        self._recent_deaths.append((now_s, name))

    def remove(self, name: str) -> None:
        """Remove a peer from the counts."""
        zone = self._zone_by_name.pop(name, None)
        if zone is None:
            return
        self._size_by_zone[zone] -= 1
        if name in self._lost_names:
            self._lost_names.discard(name)
            self._lost_by_zone[zone] -= 1

    def tick(self, now_s: float) -> None:
        """Remove peers that died before the start of the window."""
        oldest_s = now_s - self._settings.mass_window_s
        while self._recent_deaths and self._recent_deaths[0][0] < oldest_s:
            _, name = self._recent_deaths.popleft()
            if name in self._lost_names:
                self.remove(name)

    def is_mass_loss(self, zone: str) -> bool:
        """Tell whether most peers, or most peers of a zone, are currently lost."""
        lost_in_zone = self._lost_by_zone[zone]
        if self._exceeds_thresholds(lost_in_zone, self._size_by_zone[zone]):
            return True
        return self._exceeds_thresholds(len(self._lost_names), len(self._zone_by_name))

    def _exceeds_thresholds(self, lost: int, size: int) -> bool:
        if lost < self._settings.mass_count:
            return False
        return lost > self._settings.mass_share * size

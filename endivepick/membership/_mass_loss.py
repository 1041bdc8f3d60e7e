"""Tells a mass loss (a cut, or own trouble) from the loss of single peers."""

from collections import Counter, deque

from endivepick.membership.settings import MembershipSettings


class LossWatch:
    """Counts peers, and the suspected or recently dead among them, by zone."""

    def __init__(self, settings: MembershipSettings) -> None:
        self._settings = settings
        self._zones: dict[str, str] = {}
        self._size: Counter[str] = Counter()
        self._lost: Counter[str] = Counter()
        self._is_lost: set[str] = set()
        self._dead: deque[tuple[float, str]] = deque()

    def add(self, name: str, zone: str) -> None:
        """Count a peer that lives."""
        if name in self._is_lost:
            self._is_lost.discard(name)
            self._lost[self._zones[name]] -= 1
        if name not in self._zones:
            self._zones[name] = zone
            self._size[zone] += 1

    def lose(self, name: str) -> None:
        """Count a peer as lost from now on."""
        if name in self._zones and name not in self._is_lost:
            self._is_lost.add(name)
            self._lost[self._zones[name]] += 1

    def bury(self, name: str, now_s: float) -> None:
        """Count a peer as lost until the window is over."""
        self.lose(name)
        self._dead.append((now_s, name))

    def remove(self, name: str) -> None:
        """Stop to count a peer."""
        zone = self._zones.pop(name, None)
        if zone is None:
            return
        self._size[zone] -= 1
        if name in self._is_lost:
            self._is_lost.discard(name)
            self._lost[zone] -= 1

    def tick(self, now_s: float) -> None:
        """Forget peers that died before the window."""
        oldest_s = now_s - self._settings.mass_window_s
        while self._dead and self._dead[0][0] < oldest_s:
            _, name = self._dead.popleft()
            if name in self._is_lost:
                self.remove(name)

    def is_mass(self, zone: str) -> bool:
        """Tell whether most peers, or most of this zone's, are lost at once."""
        lost_in_zone = self._lost[zone]
        if self._exceeds(lost_in_zone, self._size[zone]):
            return True
        return self._exceeds(len(self._is_lost), len(self._zones))

    def _exceeds(self, lost: int, size: int) -> bool:
        if lost < self._settings.mass_count:
            return False
        return lost > self._settings.mass_share * size

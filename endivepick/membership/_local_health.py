"""Local health score, which scales the probe timeouts of this instance."""

from endivepick.membership.settings import MembershipSettings


class LocalHealth:
    """Score that grows with evidence that this instance itself is impaired."""

    def __init__(self, settings: MembershipSettings) -> None:
        self._max = settings.health_max
        self.score = 0

    @property
    def multiplier(self) -> int:
        """Factor by which probe timeouts are extended."""
        return 1 + self.score

    def worsen(self) -> None:
        """Record evidence of a local fault."""
        self.score = min(self._max, self.score + 1)

    def improve(self) -> None:
        """Record evidence of normal operation."""
        self.score = max(0, self.score - 1)

    def set_worst(self) -> None:
        """Set the worst score, after a pause of this process."""
        self.score = self._max

"""How far this instance trusts its own findings."""

from endivepick.membership.settings import MembershipSettings


class LocalHealth:
    """Score that grows with signs that the trouble is this instance's own."""

    def __init__(self, settings: MembershipSettings) -> None:
        self._max = settings.health_max
        self.score = 0

    @property
    def multiplier(self) -> int:
        """Factor for the time-outs of probes."""
        return 1 + self.score

    def worsen(self) -> None:
        """Count a sign of own trouble."""
        self.score = min(self._max, self.score + 1)

    def improve(self) -> None:
        """Count a sign that all is well."""
        self.score = max(0, self.score - 1)

    def distrust(self) -> None:
        """Start from the worst score, after a pause."""
        self.score = self._max

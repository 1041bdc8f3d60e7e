"""Limits the openings at targets that have just started or returned.

Load pattern: a zone returns after an evacuation, or many targets start at once.  They
have no flows yet, so all instances place their next openings there at the same moment,
although a cold target bears only a given rate of requests.

The operator's configuration gives that rate for a target, summed over all instances.
An instance takes its share of it: the rate divided by an upper bound of the number of
instances, which follows from the number of feeders, since each feeds a limited number
of them.  The first opening of each instance is delayed by a random part of its
interval, so that the instances do not all begin at once.
"""

from collections.abc import Callable, Sequence

from endivepick.forwarding.belief import TargetBelief
from endivepick.forwarding.model import ColdStart

__all__ = ["ColdTargetLimiter"]

RATE_SHARE = 0.5
"""Share of a cold target's rate that all instances use together.  Their openings are
independent, so the count in a given second varies by several times its square root."""

RETENTION_S = 10.0
"""How long a target is kept that may take an opening; with a new random delay after
each check, an instance with few openings would never place one there."""


class ColdTargetLimiter:
    """Decides which cold targets may take an opening of this instance.

    Parameters
    ----------
    random_share : callable
        Returns random numbers from 0 to 1.
    """

    def __init__(self, random_share: Callable[[], float]) -> None:
        self._random_share = random_share
        self._next_opening_s: dict[str, float] = {}
        self.instances: int | None = None
        """Upper bound of the number of instances; None if it is unknown, and then cold
        targets with a given rate take no openings of this instance."""

    def find_throttled(
        self, beliefs: Sequence[TargetBelief], cold_start: ColdStart, now_s: float
    ) -> frozenset[str]:
        """Return the names of cold targets that may not take an opening now.

        Parameters
        ----------
        beliefs : sequence of TargetBelief
            Targets of one service.
        cold_start : ColdStart
            Rate that a cold target of the service bears; 0 if there is no limit.
        now_s : float
            Current time, in seconds.
        """
        if not cold_start.requests_per_s:
            return frozenset()
        return frozenset(
            belief.name
            for belief in beliefs
            if now_s < belief.cold_until_s
            and not self._may_take_opening(belief, cold_start, now_s)
        )

    def record_opening(
        self, belief: TargetBelief, cold_start: ColdStart, now_s: float
    ) -> None:
        """Record an opening at a target; it counts if the target is cold."""
        if not cold_start.requests_per_s or now_s >= belief.cold_until_s:
            return
        interval_s = self._compute_interval_s(cold_start)
        if interval_s is not None:
            self._next_opening_s[belief.name] = now_s + interval_s

    def expire(self, now_s: float) -> None:
        """Remove targets that could have taken an opening for a while."""
        oldest_s = now_s - RETENTION_S
        self._next_opening_s = {
            name: at_s for name, at_s in self._next_opening_s.items() if at_s > oldest_s
        }

    def _may_take_opening(
        self, belief: TargetBelief, cold_start: ColdStart, now_s: float
    ) -> bool:
        interval_s = self._compute_interval_s(cold_start)
        if interval_s is None:
            return False
        next_s = self._next_opening_s.get(belief.name)
        if next_s is None:
            next_s = now_s + interval_s * self._random_share()
            self._next_opening_s[belief.name] = next_s
        return now_s >= next_s

    def _compute_interval_s(self, cold_start: ColdStart) -> float | None:
        """Return the time between two openings of this instance at a cold target."""
        if self.instances is None:
            return None
        return self.instances / (RATE_SHARE * cold_start.requests_per_s)

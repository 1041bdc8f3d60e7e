"""View of an instance on the load that all instances put on targets."""

from collections import Counter, deque
from collections.abc import Iterable

from endivepick.forwarding.belief import TargetBelief
from endivepick.forwarding.load.reports import (
    ServiceLoad,
    TargetLoad,
    ZoneLoad,
    sanitize_zone_load,
)
from endivepick.forwarding.load.zone_sums import TOTALS_VALID_S

__all__ = ["LoadView"]

VIEW_VALID_S = 2.0
"""Age of the feeder's news from which the view is unknown, in seconds; a follower polls
its feeder each 0.7 s and leaves it after 1.2 s without an answer."""
OPEN_FLOW_WEIGHT = 0.05
"""Load of an open flow without a request in progress; it keeps a slot busy for a few
percent of the time."""
MIN_ANSWERS_PER_S = 5.0
"""Answers per second from which the share of short ones is known."""


class LoadView:
    """Load of targets and services as told by the zone's feeder.

    All queries return None if the last news are older than `VIEW_VALID_S`.

    Parameters
    ----------
    zone : str
        Availability zone of this instance.
    """

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._total_ages_s: dict[str, float] = {}
        self._updated_s = float("-inf")
        self._targets: dict[tuple[str, int], TargetLoad] = {}
        self._sums: dict[str, list[tuple[float, ServiceLoad]]] = {}
        self._unlisted_busy = 0.0
        self._placements: deque[tuple[float, tuple[str, int]]] = deque()
        self._placed: Counter[tuple[str, int]] = Counter()

    def update(
        self, load: ZoneLoad, now_s: float, included_s: float | None = None
    ) -> None:
        """Apply a feeder's news about load.

        Parameters
        ----------
        load : ZoneLoad
            The news.
        now_s : float
            Current time, in seconds.
        included_s : float or None
            When this instance made the report that the news include, in seconds; None
            for now.
        """
        valid = sanitize_zone_load(load)
        self._targets = {each.key: each for each in valid.own.targets}
        self._sums = {}
        self._add_sums(valid.own.services, 0.0)
        for totals in valid.others:
            self._add_sums(totals.services, totals.age_s)
        self._total_ages_s = {each.zone: each.age_s for each in valid.others}
        self._unlisted_busy = valid.unlisted_busy
        self._updated_s = now_s
        self._drop_placements(now_s if included_s is None else included_s)

    def record_placement(self, belief: TargetBelief, now_s: float) -> None:
        """Record that an opening was forwarded to a target."""
        self._drop_placements(now_s - VIEW_VALID_S)
        key = _get_key(belief)
        self._placements.append((now_s, key))
        self._placed[key] += 1

    def target_load(self, belief: TargetBelief, now_s: float) -> float | None:
        """Return the load of a target, None if it is not known.

        It counts the requests in progress of all callers of the zone, a small weight
        for each of their open flows, and the openings placed here since.
        """
        if not self._is_valid(now_s):
            return None
        key = _get_key(belief)
        placed = float(self._placed[key])
        known = self._targets.get(key)
        if known is None:
            return self._unlisted_busy + placed
        return known.busy + OPEN_FLOW_WEIGHT * known.open_flows + placed

    def zone_busy(self, service: str, target_zone: str, now_s: float) -> float | None:
        """Return the requests in progress at a service's targets in a zone.

        They are those of the callers of all zones whose totals are known.  None as well
        without the totals of the targets' zone: its callers send most of the requests.
        """
        if not self._is_valid(now_s) or not self._knows_zone(target_zone, now_s):
            return None
        sums = self._list_sums(service, now_s)
        return sum((load.busy for load in sums if load.target_zone == target_zone), 0.0)

    def short_share(self, service: str, now_s: float) -> float | None:
        """Return the share of short answers among those of a service.

        It is None as well if fewer than `MIN_ANSWERS_PER_S` are known.
        """
        if not self._is_valid(now_s):
            return None
        sums = self._list_sums(service, now_s)
        answered_per_s = sum(load.answered_per_s for load in sums)
        if answered_per_s < MIN_ANSWERS_PER_S:
            return None
        return min(1.0, sum(load.short_per_s for load in sums) / answered_per_s)

    def others_age_s(self, now_s: float) -> float | None:
        """Return the age of the oldest known totals of another zone, in seconds.

        It is None if the totals of no other zone are known.
        """
        if not self._is_valid(now_s):
            return None
        passed_s = now_s - self._updated_s
        ages_s = [age_s + passed_s for age_s in self._total_ages_s.values()]
        return max((age_s for age_s in ages_s if age_s <= TOTALS_VALID_S), default=None)

    def _is_valid(self, now_s: float) -> bool:
        return now_s - self._updated_s <= VIEW_VALID_S

    def _knows_zone(self, zone: str, now_s: float) -> bool:
        """Whether the load that the callers of a zone put on targets is known."""
        if zone == self._zone:
            return True
        age_s = self._total_ages_s.get(zone)
        passed_s = now_s - self._updated_s
        return age_s is not None and age_s + passed_s <= TOTALS_VALID_S

    def _add_sums(self, loads: Iterable[ServiceLoad], age_s: float) -> None:
        for load in loads:
            self._sums.setdefault(load.service, []).append((age_s, load))

    def _list_sums(self, service: str, now_s: float) -> list[ServiceLoad]:
        """Return the sums of a service that are not too old, of all callers' zones."""
        oldest_s = TOTALS_VALID_S - (now_s - self._updated_s)
        sums = self._sums.get(service, ())
        return [load for age_s, load in sums if age_s <= oldest_s]

    def _drop_placements(self, until_s: float) -> None:
        while self._placements and self._placements[0][0] <= until_s:
            _, key = self._placements.popleft()
            self._placed[key] -= 1
            if not self._placed[key]:
                del self._placed[key]


def _get_key(belief: TargetBelief) -> tuple[str, int]:
    return belief.name, belief.target.born_ms

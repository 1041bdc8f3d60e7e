"""Compares what became of a target's requests with those of the others."""

from collections.abc import Iterable
from math import log
from typing import Self

from msgspec import Struct

from endivepick.forwarding.fitness_reports import ServiceCounts
from endivepick.forwarding.request_sums import RequestSums

__all__ = ["LEAST_SHARE", "ServiceSample", "TargetSums", "evidence_against"]

LEAST_SHARE = 0.2
"""A target that fails less of its requests is better than a crowd at the others."""
COMPARED_REQUESTS = 5.0
"""Requests of other targets without which nothing can be compared."""
MOST_LEFT_OUT = 0.4
"""Share of the others' requests that may be left out as those of slow targets."""
SERVING_WELL = 0.05
"""Share of overdue requests of those that are left, if the bad ones were left out.
With more, something befalls all, and the worst of them are so by chance."""
CHOSEN_COUNT = 0.5
"""What evidence counts against a rest that was chosen: when something begins to befall
all, those that it has met first stand out from the rest for a moment."""
PRIOR_FAILED, PRIOR_TOTAL = 0.2, 10.0
"""Requests that are added to those of the others: some fail anywhere, so few that were
all good do not mean that none ever fails."""


def evidence_against(
    bad: float, total: float, others_bad: float, others_total: float
) -> float:
    """Return how much speaks against a target, compared with others.

    It is the logarithm of the likelihood ratio between the target's own share of bad
    requests and that of the others (a G-test); 0 if it does no worse.

    Examples
    --------
    >>> round(evidence_against(4, 4, 0, 100), 1)
    25.2
    >>> evidence_against(4, 8, 60, 100)
    0.0
    """
    return _evidence(((bad, others_bad),), total, others_total)


def _evidence(
    kinds: Iterable[tuple[float, float]], total: float, others_total: float
) -> float:
    """Compare several kinds of bad requests at once, each with those of the others.

    Where short answers are usual, a late one still tells as much.

    Parameters
    ----------
    kinds : iterable of tuple of float
        Requests of each kind, those of the target and of the others.
    total, others_total : float
        All requests of the target and of the others.
    """
    against, rest, usual_rest = 0.0, 1.0, 1.0
    for bad, others_bad in kinds:
        usual = (others_bad + PRIOR_FAILED) / (others_total + PRIOR_TOTAL)
        share = bad / total if total else 0.0
        if share > usual:
            against += bad * log(share / usual)
            rest -= share
            usual_rest -= usual
    if usual_rest <= 0.0:
        return 0.0
    if against and rest > 0.0:
        against += rest * total * log(rest / usual_rest)
    return against


class TargetSums(Struct, frozen=True):
    """Requests of one target, or of several.

    Attributes
    ----------
    name : str
        The target; "" of several.
    overdue : float
        Requests that failed or were answered late.
    poor : float
        Those that were answered poorly.
    total : float
        All of them.
    """

    name: str
    overdue: float
    poor: float
    total: float

    @classmethod
    def of(cls, name: str, requests: RequestSums) -> Self:
        """Return the sums of a target, from wherever its requests were counted."""
        return cls(name, requests.overdue, requests.poor, requests.total)

    @property
    def share(self) -> float:
        """Share of the requests that went badly."""
        return (self.overdue + self.poor) / self.total if self.total else 0.0

    @property
    def overdue_share(self) -> float:
        """Share of the requests that were overdue."""
        return self.overdue / self.total if self.total else 0.0


class ServiceSample:
    """Requests of the targets of a service, to compare each with the others.

    The worst of the others are left out if the rest serve in time: where a seventh of
    the targets turn slow together, each would look usual beside the others.

    Parameters
    ----------
    counts : ServiceCounts
        Requests of all targets.
    doubted : iterable of TargetSums
        Targets that something speaks against.

    Examples
    --------
    >>> slow = [TargetSums("i-1", 9, 0, 10), TargetSums("i-2", 8, 0, 10)]
    >>> sample = ServiceSample(ServiceCounts("notes", 100, 18, 18), slow)
    >>> round(sample.against(slow[0])), sample.against(TargetSums("i-3", 1, 0, 10))
    (18, 0.0)
    """

    def __init__(self, counts: ServiceCounts, doubted: Iterable[TargetSums]) -> None:
        self.counts = counts
        worst = [each for each in doubted if each.overdue_share >= LEAST_SHARE]
        self._worst = sorted(worst, key=lambda each: -each.overdue_share)

    def against(self, target: TargetSums, least_share: float = LEAST_SHARE) -> float:
        """Return what speaks against a target; 0 without enough to compare.

        Parameters
        ----------
        target : TargetSums
            The target, which the sample counts as well.
        least_share : float
            Share of bad requests below which nothing speaks against it.
        """
        others = self._others(target)
        if others.total < COMPARED_REQUESTS or target.share < least_share:
            return 0.0
        return max(
            _compared(target, others),
            CHOSEN_COUNT * _compared(target, self._without_worst(target, others)),
        )

    def _others(self, target: TargetSums) -> TargetSums:
        poor = self.counts.bad - self.counts.overdue
        return TargetSums(
            "",
            max(0.0, self.counts.overdue - target.overdue),
            max(0.0, poor - target.poor),
            self.counts.total - target.total,
        )

    def _without_worst(self, target: TargetSums, others: TargetSums) -> TargetSums:
        """Leave out the worst of the others if the rest serve in time."""
        overdue, poor, total = others.overdue, others.poor, others.total
        left_out_most = MOST_LEFT_OUT * total
        for other in self._worst:
            if other.name == target.name:
                continue
            left_out_most -= other.total
            if left_out_most < 0.0:
                break
            total -= other.total
            overdue -= other.overdue
            poor -= other.poor
        rest = TargetSums("", max(0.0, overdue), max(0.0, poor), total)
        return rest if rest.overdue_share <= SERVING_WELL else others


def _compared(target: TargetSums, others: TargetSums) -> float:
    kinds = ((target.overdue, others.overdue), (target.poor, others.poor))
    return _evidence(kinds, target.total, others.total)

"""Compares the request outcomes of a target with those of the other targets."""

from collections.abc import Iterable
from math import log
from typing import Self

from msgspec import Struct

from endivepick.forwarding.fitness_reports import ServiceCounts
from endivepick.forwarding.request_sums import RequestSums

__all__ = ["MIN_BAD_SHARE", "ServiceSample", "TargetSums", "log_likelihood_ratio"]

MIN_BAD_SHARE = 0.2
"""Share of bad requests below which a target is not ejected, since using it is better
than overloading the others."""
MIN_BASELINE_REQUESTS = 5.0
"""Fewest requests of the other targets with which a target is compared."""
MAX_EXCLUDED_SHARE = 0.4
"""Largest share of the others' requests that may be excluded as outliers."""
MAX_HEALTHY_OVERDUE_SHARE = 0.05
"""Largest share of overdue requests in the baseline that remains after exclusion.

With more, the fault is service-wide, and differences between targets are noise."""
MAX_HEALTHY_SHORT_SHARE = 0.05
"""Largest share of short answers in the baseline that remains after exclusion.

With more, most targets shed load: the service is overloaded."""
OVERLOAD_MIN_OVERDUE_SHARE = 0.4
"""Share of overdue requests below which a target of an overloaded service is no
outlier.

A full target still answers what it has begun; queues that empty at different moments
make fewer requests overdue."""
SELECTED_BASELINE_WEIGHT = 0.5
"""Weight of a score against a baseline from which outliers were excluded.

Halved, since at the onset of a service-wide fault the targets affected first look like
outliers."""
PRIOR_FAILED, PRIOR_TOTAL = 0.2, 10.0
"""Pseudo-counts added to the requests of the others.

Some requests fail at any target, so a small sample without failures does not show that
none ever fail."""


def log_likelihood_ratio(
    bad: float, total: float, others_bad: float, others_total: float
) -> float:
    """Return the log-likelihood ratio of a target's bad requests.

    It compares the target's own share of bad requests with that of the others (a
    G-test); 0 if the target does no worse.

    Parameters
    ----------
    bad, total : float
        Bad requests and all requests of the target.
    others_bad, others_total : float
        The same for the other targets.

    Examples
    --------
    >>> round(log_likelihood_ratio(4, 4, 0, 100), 1)
    25.2
    >>> log_likelihood_ratio(4, 8, 60, 100)
    0.0
    """
    return _sum_log_likelihood_ratios(((bad, others_bad),), total, others_total)


def _sum_log_likelihood_ratios(
    kinds: Iterable[tuple[float, float]], total: float, others_total: float
) -> float:
    """Return the log-likelihood ratio over several kinds of bad requests.

    Each kind is compared separately, so that a frequent kind, such as short answers,
    does not hide another, such as late ones.

    Parameters
    ----------
    kinds : iterable of tuple of float
        Requests of each kind at the target and at the others.
    total, others_total : float
        All requests of the target and of the others.
    """
    ratio, rest, expected_rest = 0.0, 1.0, 1.0
    for bad, others_bad in kinds:
        expected = (others_bad + PRIOR_FAILED) / (others_total + PRIOR_TOTAL)
        share = bad / total if total else 0.0
        if share > expected:
            ratio += bad * log(share / expected)
            rest -= share
            expected_rest -= expected
    if expected_rest <= 0.0:
        return 0.0
    if ratio and rest > 0.0:
        ratio += rest * total * log(rest / expected_rest)
    return ratio


class TargetSums(Struct, frozen=True):
    """Summed requests of one target, or of several.

    Attributes
    ----------
    name : str
        Name of the target; "" for several.
    overdue : float
        Requests that failed or were answered late.
    poor : float
        Requests with short answers.
    total : float
        All requests.
    """

    name: str
    overdue: float
    poor: float
    total: float

    @classmethod
    def of(cls, name: str, requests: RequestSums) -> Self:
        """Return the sums of a target from any class of request counts."""
        return cls(name, requests.overdue, requests.poor, requests.total)

    @property
    def share(self) -> float:
        """Share of bad requests."""
        return (self.overdue + self.poor) / self.total if self.total else 0.0

    @property
    def overdue_share(self) -> float:
        """Share of overdue requests."""
        return self.overdue / self.total if self.total else 0.0

    @property
    def short_share(self) -> float:
        """Share of requests with short answers."""
        return self.poor / self.total if self.total else 0.0


class ServiceSample:
    """Requests of the targets of a service, to compare each with the others.

    The worst of the others are excluded if the rest answer in time.  Otherwise, where a
    seventh of the targets become slow together, none would stand out.

    Parameters
    ----------
    counts : ServiceCounts
        Requests of all targets.
    suspects : iterable of TargetSums
        Targets with bad requests.

    Examples
    --------
    >>> slow = [TargetSums("i-1", 9, 0, 10), TargetSums("i-2", 8, 0, 10)]
    >>> sample = ServiceSample(ServiceCounts("notes", 100, 18, 18), slow)
    >>> round(sample.score_target(slow[0]))
    18
    >>> sample.score_target(TargetSums("i-3", 1, 0, 10))
    0.0
    """

    def __init__(self, counts: ServiceCounts, suspects: Iterable[TargetSums]) -> None:
        self.counts = counts
        suspects = list(suspects)
        self.overloaded = _is_overloaded(counts, suspects)
        """Whether most targets shed load, not only a few that fail requests."""
        outliers = [each for each in suspects if each.overdue_share >= MIN_BAD_SHARE]
        self._outliers = sorted(outliers, key=lambda each: -each.overdue_share)

    def score_target(
        self,
        target: TargetSums,
        min_bad_share: float = MIN_BAD_SHARE,
        overloaded: bool = False,
    ) -> float:
        """Return the log-likelihood ratio of a target; 0 with too few requests.

        Parameters
        ----------
        target : TargetSums
            The target, whose requests are part of the sample.
        min_bad_share : float
            Share of bad requests below which the score is 0.
        overloaded : bool
            The service is overloaded, or was shortly before.  Differences in shed or
            late requests then show the lengths of queues and not a fault, so only
            targets that leave most requests overdue can be outliers.
        """
        if overloaded and target.overdue_share < OVERLOAD_MIN_OVERDUE_SHARE:
            return 0.0
        others = self._others(target)
        if others.total < MIN_BASELINE_REQUESTS or target.share < min_bad_share:
            return 0.0
        if overloaded:
            # Shed requests and a favourable selection of the others say nothing then.
            return log_likelihood_ratio(
                target.overdue, target.total, others.overdue, others.total
            )
        return max(
            _compare_sums(target, others),
            SELECTED_BASELINE_WEIGHT
            * _compare_sums(target, self._without_outliers(target, others)),
        )

    def _others(self, target: TargetSums) -> TargetSums:
        poor = self.counts.bad - self.counts.overdue
        return TargetSums(
            "",
            max(0.0, self.counts.overdue - target.overdue),
            max(0.0, poor - target.poor),
            self.counts.total - target.total,
        )

    def _without_outliers(self, target: TargetSums, others: TargetSums) -> TargetSums:
        """Exclude the worst of the others if the rest answer in time."""
        overdue, poor, total = others.overdue, others.poor, others.total
        excludable = MAX_EXCLUDED_SHARE * total
        for other in self._outliers:
            if other.name == target.name:
                continue
            excludable -= other.total
            if excludable < 0.0:
                break
            total -= other.total
            overdue -= other.overdue
            poor -= other.poor
        rest = TargetSums("", max(0.0, overdue), max(0.0, poor), total)
        return rest if rest.overdue_share <= MAX_HEALTHY_OVERDUE_SHARE else others


def _is_overloaded(counts: ServiceCounts, suspects: Iterable[TargetSums]) -> bool:
    """Whether short answers remain frequent without the targets that send most.

    A part of a target's requests may be excluded, since few targets seldom add up to
    `MAX_EXCLUDED_SHARE`.  A report lists the worst targets only; further ones are
    taken to send as many short answers as the best of those.
    """
    short, total = counts.bad - counts.overdue, counts.total
    excludable = MAX_EXCLUDED_SHARE * total
    excluded_share = 0.0
    for suspect in sorted(suspects, key=lambda each: -each.short_share):
        if suspect.short_share <= MAX_HEALTHY_SHORT_SHARE:
            break
        excluded_share = suspect.short_share
        excluded = min(suspect.total, excludable)
        excludable -= excluded
        total -= excluded
        short -= excluded_share * excluded
    if excluded_share > 0.0:
        total -= excludable
        short -= excluded_share * excludable
    if total < MIN_BASELINE_REQUESTS:
        return False
    return short > MAX_HEALTHY_SHORT_SHARE * total


def _compare_sums(target: TargetSums, others: TargetSums) -> float:
    kinds = ((target.overdue, others.overdue), (target.poor, others.poor))
    return _sum_log_likelihood_ratios(kinds, target.total, others.total)

"""Compares what became of a target's requests with those of the others."""

from math import log

from endivepick.forwarding.fitness_reports import ServiceCounts

__all__ = ["LEAST_SHARE", "compared_with_service", "evidence_against"]

LEAST_SHARE = 0.2
"""A target that fails less of its requests is better than a crowd at the others."""
COMPARED_REQUESTS = 5.0
"""Requests of other targets without which nothing can be compared."""
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
    usual = (others_bad + PRIOR_FAILED) / (others_total + PRIOR_TOTAL)
    share = bad / total if total else 0.0
    if share <= usual or usual >= 1.0:
        return 0.0
    against = bad * log(share / usual)
    if share < 1.0:
        against += (total - bad) * log((1.0 - share) / (1.0 - usual))
    return against


def compared_with_service(
    bad: float, total: float, service: ServiceCounts, least_share: float = LEAST_SHARE
) -> float:
    """Return what speaks against a target of a service; 0 without enough to compare.

    Parameters
    ----------
    bad, total : float
        Requests of the target, and those of them that went badly.
    service : ServiceCounts
        All of its service, the target's own among them.
    least_share : float
        Share of bad requests below which nothing speaks against it.
    """
    others_total = service.total - total
    if others_total < COMPARED_REQUESTS or bad < least_share * total:
        return 0.0
    return evidence_against(bad, total, max(0.0, service.bad - bad), others_total)

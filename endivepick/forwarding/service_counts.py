"""What this instance has seen of the requests of each service, fading with time."""

from math import exp

from endivepick.forwarding.belief import RequestCounts
from endivepick.forwarding.comparison import ServiceSample, TargetSums
from endivepick.forwarding.fitness_reports import ServiceCounts
from endivepick.forwarding.registry import TargetRegistry

__all__ = ["ServiceSamples", "faded"]

FADE_S = 2.0
"""Time in which counts fade to a third; long enough for some requests of each target
within a zone, short enough that what one did before it failed soon counts little."""
VALID_S = 0.1
"""How long the requests of a service, once added up, may serve for comparisons."""


def faded(counts: RequestCounts, now_s: float) -> RequestCounts:
    """Let counts fade up to now, in place; return them."""
    passed_s = now_s - counts.at_s
    if passed_s > 0:
        kept = exp(-passed_s / FADE_S)
        counts.good *= kept
        counts.failed *= kept
        counts.poor *= kept
        counts.late *= kept
        counts.at_s = now_s
    return counts


class ServiceSamples:
    """Adds up the requests of each service's targets in the zone, when asked for.

    Parameters
    ----------
    registry : TargetRegistry
        Targets, and the zone.
    """

    def __init__(self, registry: TargetRegistry) -> None:
        self._registry = registry
        self._samples: dict[str, ServiceSample] = {}
        self._taken_s = float("-inf")

    def of(self, service: str, now_s: float) -> ServiceSample:
        """Return the sample of a service, a fraction of a second old at the most."""
        if now_s - self._taken_s >= VALID_S:
            self._samples.clear()
            self._taken_s = now_s
        sample = self._samples.get(service)
        if sample is None:
            sample = self._samples[service] = self._take(service, now_s)
        return sample

    def renew(self) -> None:
        """Take new samples from now on."""
        self._samples.clear()

    def _take(self, service: str, now_s: float) -> ServiceSample:
        candidates = self._registry.candidates(service)
        zone = self._registry.zone
        impaired = [b for b in candidates.impaired if b.target.zone == zone]
        sums = [
            TargetSums.of(belief.name, faded(belief.requests, now_s))
            for belief in (*candidates.own, *impaired)
        ]
        overdue = round(sum(each.overdue for each in sums), 1)
        poor = round(sum(each.poor for each in sums), 1)
        total = max(overdue + poor, round(sum(each.total for each in sums), 1))
        counts = ServiceCounts(service, total, overdue + poor, overdue)
        return ServiceSample(counts, sums)

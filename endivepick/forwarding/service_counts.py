"""Decayed request counts of each service as observed by this instance."""

from math import exp

from endivepick.forwarding.belief import RequestCounts
from endivepick.forwarding.comparison import ServiceSample, TargetSums
from endivepick.forwarding.fitness_reports import ServiceCounts
from endivepick.forwarding.registry import TargetRegistry

__all__ = ["ServiceSamples", "decay"]

DECAY_TIME_S = 2.0
"""Time constant of the decay, in which counts fall to about a third.

Long enough for some requests of each target within a zone, short enough that requests
before a failure soon count little."""
SAMPLE_VALID_S = 0.1
"""How long the summed requests of a service are reused for comparisons."""


def decay(counts: RequestCounts, now_s: float) -> RequestCounts:
    """Apply the exponential decay up to a time, in place, and return the counts."""
    passed_s = now_s - counts.at_s
    if passed_s > 0:
        kept = exp(-passed_s / DECAY_TIME_S)
        counts.good *= kept
        counts.failed *= kept
        counts.poor *= kept
        counts.late *= kept
        counts.at_s = now_s
    return counts


class ServiceSamples:
    """Sums the requests of each service's targets in the zone on demand.

    Parameters
    ----------
    registry : TargetRegistry
        Targets, and the zone of this instance.
    """

    def __init__(self, registry: TargetRegistry) -> None:
        self._registry = registry
        self._samples: dict[str, ServiceSample] = {}
        self._taken_s = float("-inf")

    def get_sample(self, service: str, now_s: float) -> ServiceSample:
        """Return the sample of a service, at most `SAMPLE_VALID_S` old."""
        if now_s - self._taken_s >= SAMPLE_VALID_S:
            self._samples.clear()
            self._taken_s = now_s
        sample = self._samples.get(service)
        if sample is None:
            sample = self._samples[service] = self._sum_requests(service, now_s)
        return sample

    def discard(self) -> None:
        """Discard all samples."""
        self._samples.clear()

    def _sum_requests(self, service: str, now_s: float) -> ServiceSample:
        candidates = self._registry.candidates(service)
        zone = self._registry.zone
        impaired = [b for b in candidates.impaired if b.target.zone == zone]
        sums = [
            TargetSums.of(belief.name, decay(belief.requests, now_s))
            for belief in (*candidates.own, *impaired)
        ]
        overdue = round(sum(each.overdue for each in sums), 1)
        poor = round(sum(each.poor for each in sums), 1)
        total = max(overdue + poor, round(sum(each.total for each in sums), 1))
        counts = ServiceCounts(service, total, overdue + poor, overdue)
        return ServiceSample(counts, sums)

"""The newest report of a zone: what its instances have seen of targets together."""

from endivepick.forwarding.belief import TargetBelief
from endivepick.forwarding.comparison import ServiceSample, TargetSums
from endivepick.forwarding.fault_confirmation import REPORT_VALID_S, ZoneEvidence
from endivepick.forwarding.fitness_reports import (
    FitnessReport,
    TargetCounts,
    usable_report,
)
from endivepick.forwarding.model import RouteKind
from endivepick.forwarding.registry import TargetRegistry
from endivepick.forwarding.request_baseline import UsualRequests
from endivepick.forwarding.service_baselines import ServiceUsual

__all__ = ["ZoneReport"]


class ZoneReport:
    """Keeps the newest report of the zone, as long as it is valid.

    Parameters
    ----------
    registry : TargetRegistry
        Tells which service a target is of.
    """

    def __init__(self, registry: TargetRegistry) -> None:
        self._registry = registry
        self._report = FitnessReport([], [])
        self._taken_s = float("-inf")
        self._usual = ServiceUsual()
        self._samples: dict[str, ServiceSample] = {}

    @property
    def targets(self) -> list[TargetCounts]:
        """Targets that the zone doubts."""
        return self._report.targets

    def take(self, report: FitnessReport, now_s: float) -> None:
        """Take in what the instances have seen together; what none tells is left out.

        What was usual before stays where the zone does not know any more.
        """
        self._report = usable_report(report)
        self._taken_s = now_s
        self._usual.replace(self._report.usual)
        self._samples = self._sample_services()

    def usual(self, service: str, kind: RouteKind) -> UsualRequests | None:
        """Return what is usual in the zone, None if it is not known."""
        return self._usual.get(service, kind)

    def of(self, belief: TargetBelief, now_s: float) -> TargetCounts | None:
        """Return what was reported of a target's incarnation, while it is valid."""
        if now_s - self._taken_s > REPORT_VALID_S:
            return None
        for told in self._report.targets:
            if told.name == belief.name and told.born_ms == belief.target.born_ms:
                return told
        return None

    def against(
        self, belief: TargetBelief, told: TargetCounts, least_share: float
    ) -> float:
        """Return what speaks against a target; see `ServiceSample`."""
        sample = self._samples.get(belief.target.service)
        if sample is None:
            return 0.0
        return sample.against(TargetSums.of(told.name, told), least_share)

    def evidence(
        self, belief: TargetBelief, callers: int, now_s: float
    ) -> ZoneEvidence:
        """Return what others have seen of a target.

        Parameters
        ----------
        belief : TargetBelief
            The target.
        callers : int
            Callers of this instance whose requests went badly there.
        now_s : float
            Present time, in seconds.
        """
        return ZoneEvidence(
            self.of(belief, now_s),
            told_before_s=self.told_before_s(now_s),
            heard_instances=self._report.instances,
            callers=callers,
        )

    def told_before_s(self, now_s: float) -> float:
        """Return how old the newest report is, in seconds."""
        return now_s - self._taken_s

    def _sample_services(self) -> dict[str, ServiceSample]:
        doubted: dict[str, list[TargetSums]] = {}
        for told in self._report.targets:
            belief = self._registry.get(told.name)
            if belief is not None:
                sums = TargetSums.of(told.name, told)
                doubted.setdefault(belief.target.service, []).append(sums)
        return {
            counts.service: ServiceSample(counts, doubted.get(counts.service, ()))
            for counts in self._report.services
        }

"""Newest merged report of a zone's instances on its targets."""

from endivepick.forwarding.belief import TargetBelief
from endivepick.forwarding.comparison import ServiceSample, TargetSums
from endivepick.forwarding.fault_confirmation import REPORT_VALID_S, ZoneEvidence
from endivepick.forwarding.fitness_reports import (
    FitnessReport,
    TargetCounts,
    sanitize_report,
)
from endivepick.forwarding.model import RouteKind
from endivepick.forwarding.registry import TargetRegistry
from endivepick.forwarding.request_baseline import RequestBaseline
from endivepick.forwarding.service_baselines import ServiceBaselines

__all__ = ["ZoneReport"]


MIN_MOVING_SHARE = 0.5
"""Share of a zone's instances that stop or have just started from which no flows are
reset for what requests show; with more, the fabric uses all instances of the zone."""


class ZoneReport:
    """Keeps the newest report of the zone, as long as it is valid.

    Parameters
    ----------
    registry : TargetRegistry
        Registry to look up the service of a target.
    """

    def __init__(self, registry: TargetRegistry) -> None:
        self._registry = registry
        self._report = FitnessReport([], [])
        self._taken_s = float("-inf")
        self._baselines = ServiceBaselines()
        self._samples: dict[str, ServiceSample] = {}

    @property
    def targets(self) -> list[TargetCounts]:
        """Targets that the zone suspects."""
        return self._report.targets

    def update(self, report: FitnessReport, now_s: float) -> None:
        """Replace the report; content that no instance can send is left out.

        Baselines that the new report lacks are kept.
        """
        self._report = sanitize_report(report)
        self._taken_s = now_s
        self._baselines.replace(self._report.usual)
        self._samples = self._sample_services()

    def get_baseline(self, service: str, kind: RouteKind) -> RequestBaseline | None:
        """Return the baseline of the zone, None if it is not known."""
        return self._baselines.get(service, kind)

    def get_counts(self, belief: TargetBelief, now_s: float) -> TargetCounts | None:
        """Return the counts of a target's incarnation while the report is valid."""
        if self.report_age_s(now_s) > REPORT_VALID_S:
            return None
        for reported in self._report.targets:
            if (
                reported.name == belief.name
                and reported.born_ms == belief.target.born_ms
            ):
                return reported
        return None

    def get_sample(self, service: str, now_s: float) -> ServiceSample | None:
        """Return the requests of a service in the zone while the report is valid."""
        if self.report_age_s(now_s) > REPORT_VALID_S:
            return None
        return self._samples.get(service)

    def are_flows_moving(self, now_s: float) -> bool:
        """Whether so many instances stop or start that most flows may move.

        Requests in progress then look unanswered at the instances that their flows
        leave, of the target with most of them first.
        """
        if self.report_age_s(now_s) > REPORT_VALID_S:
            return False
        return self._report.moving >= MIN_MOVING_SHARE * self._report.instances

    def evidence(
        self, belief: TargetBelief, callers: int, overloaded: bool, now_s: float
    ) -> ZoneEvidence:
        """Return the observations of a target beyond this instance's own counts.

        Parameters
        ----------
        belief : TargetBelief
            The target.
        callers : int
            Callers of this instance with bad requests there.
        overloaded : bool
            Its service is overloaded, or was shortly before.
        now_s : float
            Present time, in seconds.
        """
        return ZoneEvidence(
            self.get_counts(belief, now_s),
            report_age_s=self.report_age_s(now_s),
            reporting_instances=self._report.instances,
            callers=callers,
            overloaded=overloaded,
        )

    def report_age_s(self, now_s: float) -> float:
        """Return the age of the newest report, in seconds."""
        return now_s - self._taken_s

    def _sample_services(self) -> dict[str, ServiceSample]:
        suspects: dict[str, list[TargetSums]] = {}
        for reported in self._report.targets:
            belief = self._registry.get(reported.name)
            if belief is not None:
                sums = TargetSums.of(reported.name, reported)
                suspects.setdefault(belief.target.service, []).append(sums)
        return {
            counts.service: ServiceSample(counts, suspects.get(counts.service, ()))
            for counts in self._report.services
        }

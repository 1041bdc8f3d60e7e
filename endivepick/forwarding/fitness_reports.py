"""What instances of a zone tell each other of failing requests, and how it adds up."""

from collections.abc import Iterable

from msgspec import Struct, field

from endivepick.forwarding.request_sums import RequestSums
from endivepick.forwarding.service_baselines import (
    MOST_USUAL,
    UsualCounts,
    merge_baselines,
)

__all__ = [
    "LEAST_TOLD",
    "MAX_REPORTED_TARGETS",
    "RESET_FAILED",
    "FitnessReport",
    "ServiceCounts",
    "SilentTarget",
    "TargetCounts",
    "merge_reports",
    "usable_report",
]

MAX_REPORTED_TARGETS = 16
"""Targets that a report names."""
MOST_OF_ONE = 20.0
"""Requests of a target that one instance's word counts for at the most."""
MOST_COUNTED = 1e9
"""More requests than a zone sees in the time in which counts fade."""
LEAST_TOLD = 0.5
"""Bad requests of a target, faded, from which on it is told of."""
RESET_FAILED = 3.0
"""Requests that fail at a condemned target before its flows are reset."""
FAILED_OF_ONE = 1.5
"""Those of them that one instance's word counts for at the most.  With more, a single
failure elsewhere would confirm what an instance with a fault of its own says."""


class TargetCounts(RequestSums, Struct, frozen=True, array_like=True):
    """What became of a target's requests, as instances tell each other.

    Attributes
    ----------
    name : str
        The target.
    born_ms : int
        Its incarnation.
    good, failed, poor, late : float
        As in `RequestSums`.
    instances : int
        Instances that saw requests fail.
    reporting : int
        Instances that said anything of it.
    fresh : int
        Instances that saw requests fail within `FRESH_S`.
    sure : float
        Failed requests, of each instance `FAILED_OF_ONE` at the most.
    sure_overdue : float
        As ``sure``, of requests that failed or were late.
    """

    name: str
    born_ms: int
    good: float
    failed: float
    poor: float
    instances: int = 1
    reporting: int = 1
    fresh: int = 0
    sure: float = 0.0
    late: float = 0.0
    sure_overdue: float = 0.0


class ServiceCounts(Struct, frozen=True, array_like=True):
    """Requests of a service within the zone.

    Attributes
    ----------
    service : str
        The service.
    total, bad : float
        All of them, and those that went badly.
    overdue : float
        Bad ones that failed or were late.
    """

    service: str
    total: float
    bad: float
    overdue: float = 0.0

    @property
    def possible(self) -> bool:
        """Whether an instance or a feeder of this build tells this."""
        return 0.0 <= self.overdue <= self.bad <= self.total <= MOST_COUNTED

    def added(self, other: "ServiceCounts") -> "ServiceCounts":
        """Return the sum of what two instances have seen."""
        return ServiceCounts(
            self.service,
            self.total + other.total,
            self.bad + other.bad,
            self.overdue + other.overdue,
        )


class SilentTarget(Struct, frozen=True, array_like=True):
    """A target of the zone that answers no probe.

    Attributes
    ----------
    name : str
        The target.
    born_ms : int
        Its incarnation.
    """

    name: str
    born_ms: int


class FitnessReport(Struct, frozen=True):
    """What an instance, or all of a zone, have seen of late.

    Attributes
    ----------
    targets : list of TargetCounts
        Targets against which something speaks.
    services : list of ServiceCounts
        Their services.
    instances : int
        Instances that it adds up.
    usual : list of UsualCounts
        What was usual for requests of late, whether or not a target is doubted.
    silent : list of SilentTarget
        Targets of the zone that have just fallen silent.
    """

    targets: list[TargetCounts]
    services: list[ServiceCounts]
    instances: int = 1
    usual: list[UsualCounts] = field(default_factory=list)
    silent: list[SilentTarget] = field(default_factory=list)

    @property
    def empty(self) -> bool:
        """Whether it tells nothing."""
        return not (self.targets or self.usual or self.silent)

    @property
    def is_urgent(self) -> bool:
        """Whether it tells of a target that others should know of soon."""
        return bool(self.targets or self.silent)


def merge_reports(
    reports: Iterable[FitnessReport], usual: list[UsualCounts] | None = None
) -> FitnessReport:
    """Add up what several instances have seen; each one's word is bounded.

    Parameters
    ----------
    reports : iterable of FitnessReport
        What each has seen.
    usual : list of UsualCounts or None
        What they tell of usual requests, if that was added up just before: it takes
        most of the time and changes slowly.
    """
    told_by_all = list(reports)
    targets: dict[tuple[str, int], TargetCounts] = {}
    services: dict[str, ServiceCounts] = {}
    silent: dict[SilentTarget, None] = {}
    for report in told_by_all:
        silent |= dict.fromkeys(report.silent[:MAX_REPORTED_TARGETS])
        for told in _usable_targets(report):
            key = (told.name, told.born_ms)
            known = targets.get(key)
            bounded = _bounded(told)
            targets[key] = bounded if known is None else _added(known, bounded)
        for service in _usable_services(report):
            counts = services.get(service.service)
            services[service.service] = (
                service if counts is None else counts.added(service)
            )
    if usual is None:
        usual = merge_baselines(each for report in told_by_all for each in report.usual)
    # One that all asked about and nobody doubts would be asked about for ever.
    doubted = [told for told in targets.values() if told.bad >= LEAST_TOLD]
    worst = sorted(doubted, key=lambda told: -told.bad)
    return FitnessReport(
        worst[:MAX_REPORTED_TARGETS],
        list(services.values()),
        len(told_by_all),
        usual,
        list(silent)[:MAX_REPORTED_TARGETS],
    )


def usable_report(report: FitnessReport) -> FitnessReport:
    """Leave out what no instance of this build would tell."""
    usual = [counts for counts in report.usual if counts.possible]
    return FitnessReport(
        _usable_targets(report),
        _usable_services(report),
        max(1, report.instances),
        usual[:MOST_USUAL],
        report.silent[:MAX_REPORTED_TARGETS],
    )


def _usable_targets(report: FitnessReport) -> list[TargetCounts]:
    return [told for told in report.targets if _is_possible(told)][
        :MAX_REPORTED_TARGETS
    ]


def _usable_services(report: FitnessReport) -> list[ServiceCounts]:
    return [counts for counts in report.services if counts.possible]


def _is_possible(told: TargetCounts) -> bool:
    counts = (
        *(told.good, told.failed, told.poor),
        *(told.instances, told.reporting, told.fresh, told.sure),
        *(told.late, told.sure_overdue),
    )
    return all(0 <= count <= MOST_COUNTED for count in counts)


def _bounded(told: TargetCounts) -> TargetCounts:
    share = min(1.0, MOST_OF_ONE / told.total) if told.total > 0 else 0.0
    return TargetCounts(
        told.name,
        told.born_ms,
        told.good * share,
        told.failed * share,
        told.poor * share,
        instances=min(told.instances, 1),
        reporting=1,
        fresh=min(told.fresh, 1),
        sure=min(told.failed, FAILED_OF_ONE),
        late=told.late * share,
        sure_overdue=min(told.overdue, FAILED_OF_ONE),
    )


def _added(first: TargetCounts, second: TargetCounts) -> TargetCounts:
    return TargetCounts(
        first.name,
        first.born_ms,
        first.good + second.good,
        first.failed + second.failed,
        first.poor + second.poor,
        instances=first.instances + second.instances,
        reporting=first.reporting + second.reporting,
        fresh=first.fresh + second.fresh,
        sure=first.sure + second.sure,
        late=first.late + second.late,
        sure_overdue=first.sure_overdue + second.sure_overdue,
    )

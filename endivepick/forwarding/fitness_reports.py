"""Reports on request outcomes that instances of a zone exchange, and their merge."""

from collections.abc import Iterable

from msgspec import Struct, field

from endivepick.forwarding.request_sums import RequestSums
from endivepick.forwarding.service_baselines import (
    MAX_REPORTED_KINDS,
    UsualCounts,
    merge_baselines,
)
from endivepick.forwarding.target_checks import MAX_BORN_MS

__all__ = [
    "MAX_COUNT",
    "MIN_REPORTED_BAD",
    "MIN_RESET_FAILURES",
    "MIN_RESET_FLOWS",
    "MAX_REPORTED_TARGETS",
    "FitnessReport",
    "ServiceCounts",
    "SilentTarget",
    "TargetCounts",
    "describe_counts",
    "merge_reports",
    "sanitize_report",
]

MAX_REPORTED_TARGETS = 16
"""Largest number of targets in a report."""
MAX_REQUESTS_PER_INSTANCE = 20.0
"""Largest number of requests of a target that one instance's report contributes."""
MAX_COUNT = 1e9
"""Largest valid count; a zone sees fewer requests during the decay time."""
MIN_REPORTED_BAD = 0.5
"""Decayed count of bad requests from which a target is reported."""
MIN_RESET_FAILURES = 3.0
"""Failed requests at an ejected target, or overdue ones if it is slow, from which its
flows are reset."""
MAX_FAILURES_PER_INSTANCE = 1.5
"""Largest number of failed or overdue requests that one instance adds towards
`MIN_RESET_FAILURES`.

With more, a single failure at another instance would confirm the report of an instance
with a local fault."""


MIN_RESET_FLOWS = 3
"""Flows with failed or overdue requests at an ejected target from which its flows are
reset; one or two callers may just ask for more work than before."""
MAX_FLOWS_PER_INSTANCE = 2
"""Largest number of flows that one instance adds towards `MIN_RESET_FLOWS`."""


class TargetCounts(RequestSums, Struct, frozen=True, array_like=True):
    """Outcomes of a target's requests, as exchanged between instances.

    Attributes
    ----------
    name : str
        Name of the target.
    born_ms : int
        Start of its incarnation, in Unix milliseconds.
    good, failed, poor, late : float
        As in `RequestSums`.
    instances : int
        Instances that observed bad requests.
    reporting : int
        Instances that reported on the target.
    fresh : int
        Instances that observed bad requests within `RECENT_BAD_S`.
    capped_failed : float
        Failed requests, with at most `MAX_FAILURES_PER_INSTANCE` per instance.
    capped_overdue : float
        The same for requests that failed or were late.
    overdue_flows : int
        Flows with recent requests that failed or were late, at most
        `MAX_FLOWS_PER_INSTANCE` per instance.
    """

    name: str
    born_ms: int
    good: float
    failed: float
    poor: float
    instances: int = 1
    reporting: int = 1
    fresh: int = 0
    capped_failed: float = 0.0
    late: float = 0.0
    capped_overdue: float = 0.0
    overdue_flows: int = 0


class ServiceCounts(Struct, frozen=True, array_like=True):
    """Requests of a service within the zone.

    Attributes
    ----------
    service : str
        Name of the service.
    total, bad : float
        All requests, and the bad ones.
    overdue : float
        Bad requests that failed or were late.
    """

    service: str
    total: float
    bad: float
    overdue: float = 0.0

    @property
    def is_valid(self) -> bool:
        """Whether an instance or a feeder of this build can send these counts."""
        return 0.0 <= self.overdue <= self.bad <= self.total <= MAX_COUNT

    def added(self, other: "ServiceCounts") -> "ServiceCounts":
        """Return the sum of the counts of two instances."""
        return ServiceCounts(
            self.service,
            self.total + other.total,
            self.bad + other.bad,
            self.overdue + other.overdue,
        )


class SilentTarget(Struct, frozen=True, array_like=True):
    """Target of the zone that answers no probe.

    Attributes
    ----------
    name : str
        Name of the target.
    born_ms : int
        Start of its incarnation, in Unix milliseconds.
    """

    name: str
    born_ms: int

    @property
    def is_valid(self) -> bool:
        """Whether an instance or a feeder of this build can send this."""
        return 0 <= self.born_ms <= MAX_BORN_MS


class FitnessReport(Struct, frozen=True):
    """Recent observations of an instance, or of all instances of a zone.

    Attributes
    ----------
    targets : list of TargetCounts
        Suspect targets.
    services : list of ServiceCounts
        Services of the suspect targets.
    instances : int
        Instances that the report sums.
    usual : list of UsualCounts
        Baselines of recent requests, whether or not a target is suspect.
    silent : list of SilentTarget
        Targets of the zone that were recently found silent.
    moving : int
        Instances that stop or have just started, so that the fabric moves flows.
    """

    targets: list[TargetCounts]
    services: list[ServiceCounts]
    instances: int = 1
    usual: list[UsualCounts] = field(default_factory=list)
    silent: list[SilentTarget] = field(default_factory=list)
    moving: int = 0

    @property
    def empty(self) -> bool:
        """Whether the report has no content."""
        return not (self.targets or self.usual or self.silent or self.moving)

    @property
    def is_urgent(self) -> bool:
        """Whether it names a target that other instances should learn of soon."""
        return bool(self.targets or self.silent)


def merge_reports(
    reports: Iterable[FitnessReport], usual: list[UsualCounts] | None = None
) -> FitnessReport:
    """Merge the reports of several instances; the weight of each one is bounded.

    Parameters
    ----------
    reports : iterable of FitnessReport
        One report per instance.
    usual : list of UsualCounts or None
        Merged baselines if they were computed recently: merging them takes most of the
        time, and they change slowly.
    """
    all_reports = list(reports)
    targets: dict[tuple[str, int], TargetCounts] = {}
    services: dict[str, ServiceCounts] = {}
    silent: dict[SilentTarget, None] = {}
    for report in all_reports:
        silent |= dict.fromkeys(_valid_silent(report))
        for reported in _valid_targets(report):
            key = (reported.name, reported.born_ms)
            known = targets.get(key)
            bounded = _cap_counts(reported)
            targets[key] = bounded if known is None else _sum_counts(known, bounded)
        for service in _valid_services(report):
            counts = services.get(service.service)
            services[service.service] = (
                service if counts is None else counts.added(service)
            )
    if usual is None:
        usual = merge_baselines(each for report in all_reports for each in report.usual)
    # Instances also report on targets of the last merged report.  A target without bad
    # requests is dropped; otherwise it would be reported forever.
    suspects = [
        reported for reported in targets.values() if reported.bad >= MIN_REPORTED_BAD
    ]
    worst = sorted(suspects, key=lambda reported: -reported.bad)
    return FitnessReport(
        worst[:MAX_REPORTED_TARGETS],
        list(services.values()),
        len(all_reports),
        usual,
        list(silent)[:MAX_REPORTED_TARGETS],
        sum(report.moving > 0 for report in all_reports),
    )


def describe_counts(here: RequestSums, reported: TargetCounts | None) -> str:
    """Return the counts of a target's requests as text for the log."""
    text = (
        f"{here.failed:.1f} failed, {here.poor:.1f} poor and {here.late:.1f} "
        f"late of {here.total:.1f} here"
    )
    if reported is not None:
        text += (
            f", {reported.failed:.1f}, {reported.poor:.1f} and {reported.late:.1f} of "
            f"{reported.total:.1f} at {reported.instances} instances"
        )
    return text


def sanitize_report(report: FitnessReport) -> FitnessReport:
    """Return a report without content that no instance of this build can send."""
    usual = [counts for counts in report.usual if counts.is_valid]
    return FitnessReport(
        _valid_targets(report),
        _valid_services(report),
        int(max(1, min(report.instances, MAX_COUNT))),
        usual[:MAX_REPORTED_KINDS],
        _valid_silent(report),
        int(max(0, min(report.moving, MAX_COUNT))),
    )


def _valid_targets(report: FitnessReport) -> list[TargetCounts]:
    return [reported for reported in report.targets if _has_valid_counts(reported)][
        :MAX_REPORTED_TARGETS
    ]


def _valid_services(report: FitnessReport) -> list[ServiceCounts]:
    return [counts for counts in report.services if counts.is_valid]


def _valid_silent(report: FitnessReport) -> list[SilentTarget]:
    valid = [target for target in report.silent if target.is_valid]
    return valid[:MAX_REPORTED_TARGETS]


def _has_valid_counts(reported: TargetCounts) -> bool:
    counts = (
        *(reported.good, reported.failed, reported.poor),
        *(
            reported.instances,
            reported.reporting,
            reported.fresh,
            reported.capped_failed,
        ),
        *(reported.late, reported.capped_overdue, reported.overdue_flows),
    )
    return 0 <= reported.born_ms <= MAX_BORN_MS and all(
        0 <= count <= MAX_COUNT for count in counts
    )


def _cap_counts(reported: TargetCounts) -> TargetCounts:
    share = (
        min(1.0, MAX_REQUESTS_PER_INSTANCE / reported.total)
        if reported.total > 0
        else 0.0
    )
    return TargetCounts(
        reported.name,
        reported.born_ms,
        reported.good * share,
        reported.failed * share,
        reported.poor * share,
        instances=min(reported.instances, 1),
        reporting=1,
        fresh=min(reported.fresh, 1),
        capped_failed=min(reported.failed, MAX_FAILURES_PER_INSTANCE),
        late=reported.late * share,
        capped_overdue=min(reported.overdue, MAX_FAILURES_PER_INSTANCE),
        overdue_flows=min(reported.overdue_flows, MAX_FLOWS_PER_INSTANCE),
    )


def _sum_counts(first: TargetCounts, second: TargetCounts) -> TargetCounts:
    return TargetCounts(
        first.name,
        first.born_ms,
        first.good + second.good,
        first.failed + second.failed,
        first.poor + second.poor,
        instances=first.instances + second.instances,
        reporting=first.reporting + second.reporting,
        fresh=first.fresh + second.fresh,
        capped_failed=first.capped_failed + second.capped_failed,
        late=first.late + second.late,
        capped_overdue=first.capped_overdue + second.capped_overdue,
        overdue_flows=first.overdue_flows + second.overdue_flows,
    )

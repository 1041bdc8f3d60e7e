"""Load reports that instances and feeders exchange."""

from collections.abc import Iterable, Sequence

from msgspec import Struct, field

__all__ = [
    "MAX_REPORT_TARGETS",
    "MAX_SERVICE_SUMS",
    "MAX_ZONE_TARGETS",
    "LoadReport",
    "ReportedLoad",
    "ServiceLoad",
    "TargetLoad",
    "ZoneLoad",
    "ZoneTotals",
    "list_busiest",
    "sanitize_load",
    "sanitize_totals",
    "sanitize_zone_load",
]

MAX_REPORT_TARGETS = 64
"""Maximum number of targets in the report of one instance."""
MAX_ZONE_TARGETS = 48
"""Maximum number of targets in the sums of a zone, which a feeder sends to each of its
followers; more targets share the load, so that each of them matters less."""
MAX_SERVICE_SUMS = 128
"""Maximum number of pairs of a service and a zone in a report."""
MAX_OTHER_ZONES = 16
"""Maximum number of other zones in the news of a feeder."""
MAX_VALUE = 1e6
"""Largest valid number of flows, requests, answers per second, or instances."""
MAX_BORN_MS = 2**53
"""Largest valid start time; JSON numbers are exact up to it."""


class TargetLoad(Struct, frozen=True, array_like=True):
    """Load that callers of one instance, or of one zone, put on a target.

    Attributes
    ----------
    name : str
        Name of the target.
    born_ms : int
        Start of its incarnation, in Unix milliseconds.
    busy : float
        Mean number of requests in progress, over about a second.
    open_flows : int
        Open flows.
    """

    name: str
    born_ms: int
    busy: float
    open_flows: int

    @property
    def key(self) -> tuple[str, int]:
        """Name and start time, which identify the incarnation."""
        return self.name, self.born_ms

    @property
    def is_valid(self) -> bool:
        """Whether an instance of this build can send this load."""
        return 0 <= self.born_ms <= MAX_BORN_MS and _are_valid(
            self.busy, self.open_flows
        )


class ServiceLoad(Struct, frozen=True, array_like=True):
    """Load that callers put on a service's targets in one zone.

    Attributes
    ----------
    service : str
        Name of the service.
    target_zone : str
        Availability zone of the targets.
    busy : float
        Mean number of requests in progress, over about a second.
    answered_per_s : float
        Answers per second, short ones included.
    short_per_s : float
        Short answers per second; a target that sheds load sends these.
    """

    service: str
    target_zone: str
    busy: float
    answered_per_s: float
    short_per_s: float

    @property
    def key(self) -> tuple[str, str]:
        """Service and zone of the targets."""
        return self.service, self.target_zone

    @property
    def is_valid(self) -> bool:
        """Whether an instance of this build can send these sums."""
        return _are_valid(self.busy, self.answered_per_s, self.short_per_s)


class LoadReport(Struct, frozen=True):
    """Load that the callers of one instance, or of several, put on targets.

    Attributes
    ----------
    targets : list of TargetLoad
        Targets with load, those with most requests in progress first.
    services : list of ServiceLoad
        Sums by service and zone of the targets.
    instances : int
        Number of instances that the report sums.
    """

    targets: list[TargetLoad] = field(default_factory=list)
    services: list[ServiceLoad] = field(default_factory=list)
    instances: int = 1


class ZoneTotals(Struct, frozen=True):
    """Load that the callers of one zone put on targets of all zones.

    Attributes
    ----------
    zone : str
        Availability zone of the callers' instances.
    age_s : float
        Age of the totals when they were sent, in seconds.
    services : list of ServiceLoad
        Sums by service and zone of the targets.
    """

    zone: str
    age_s: float
    services: list[ServiceLoad]


class ZoneLoad(Struct, frozen=True):
    """What a feeder tells its followers about load.

    Attributes
    ----------
    own : LoadReport
        Load that the callers of the feeder's zone put on targets.
    others : list of ZoneTotals
        Totals of the other zones that are not too old.
    unlisted_busy : float
        Upper bound of the requests in progress at a target that `own` does not list.
    """

    own: LoadReport
    others: list[ZoneTotals] = field(default_factory=list)
    unlisted_busy: float = 0.0

    def shortened(self, max_targets: int) -> "ZoneLoad":
        """Return the news with the busiest targets only."""
        targets = self.own.targets
        if len(targets) <= max_targets:
            return self
        shown = LoadReport(targets[:max_targets], self.own.services, self.own.instances)
        return ZoneLoad(shown, self.others, targets[max_targets].busy)


class ReportedLoad(Struct, frozen=True):
    """Report of one instance, as a feeder sends it to the other feeders of its zone.

    Attributes
    ----------
    reporter : str
        Address at which peers reach the instance.
    number : int
        Number of the report; a newer report of the instance has a higher number.
    age_s : float
        Time since the feeder received it, in seconds.
    report : LoadReport
        The report.
    """

    reporter: str
    number: int
    age_s: float
    report: LoadReport


def list_busiest(targets: Iterable[TargetLoad], count: int) -> list[TargetLoad]:
    """Return the targets with most requests in progress, then most open flows."""
    return sorted(targets, key=lambda load: (-load.busy, -load.open_flows))[:count]


def sanitize_load(
    report: LoadReport, max_targets: int = MAX_REPORT_TARGETS
) -> LoadReport:
    """Return a report without content that no instance of this build can send."""
    return LoadReport(
        [load for load in report.targets if load.is_valid][:max_targets],
        _list_valid_sums(report.services),
        int(max(1, min(report.instances, MAX_VALUE))),
    )


def sanitize_totals(totals: ZoneTotals) -> ZoneTotals | None:
    """Return totals without invalid sums; None if their age is invalid."""
    if not _are_valid(totals.age_s):
        return None
    return ZoneTotals(totals.zone, totals.age_s, _list_valid_sums(totals.services))


def sanitize_zone_load(load: ZoneLoad) -> ZoneLoad:
    """Return a feeder's news about load without invalid content."""
    others = [sanitize_totals(totals) for totals in load.others[:MAX_OTHER_ZONES]]
    return ZoneLoad(
        sanitize_load(load.own, MAX_ZONE_TARGETS),
        [totals for totals in others if totals is not None],
        load.unlisted_busy if _are_valid(load.unlisted_busy) else 0.0,
    )


def _list_valid_sums(sums: Sequence[ServiceLoad]) -> list[ServiceLoad]:
    return [load for load in sums if load.is_valid][:MAX_SERVICE_SUMS]


def _are_valid(*values: float) -> bool:
    """Whether values are finite, not negative and possible."""
    return all(0.0 <= value <= MAX_VALUE for value in values)

"""Load reports that instances and feeders exchange."""

from msgspec import Struct, field

__all__ = ["LoadReport", "ServiceLoad", "TargetLoad", "ZoneLoad", "ZoneTotals"]


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


class LoadReport(Struct, frozen=True):
    """Load that the callers of one instance, or of several, put on targets.

    Attributes
    ----------
    targets : list of TargetLoad
        Targets with load.
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
    """

    own: LoadReport
    others: list[ZoneTotals] = field(default_factory=list)

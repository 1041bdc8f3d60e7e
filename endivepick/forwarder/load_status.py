"""Status of shared load and of admission by priority, as the page ``/load`` shows it.

All fields have defaults or are part of the first version of the page, so that builds
can read each other's pages.
"""

from collections.abc import Callable, Iterable

from msgspec import Struct

__all__ = [
    "NORMAL_STATE",
    "LoadStatus",
    "LoadStatusProvider",
    "PriorityStatus",
    "ServiceLoadStatus",
    "TargetLoadStatus",
    "ZoneLoadStatus",
    "sort_by_fullness",
]

NORMAL_STATE = "normal"
"""State of a service that is not overloaded; no opening is rejected in it."""


class TargetLoadStatus(Struct, frozen=True, kw_only=True):
    """Load that callers put on one target.

    Attributes
    ----------
    name, service, zone : str
        The target, its service and its availability zone.
    slots : int
        Number of requests that it processes concurrently.
    load : float or None
        Load that callers of this instance's zone put on it, in requests in progress;
        open flows without one count as a small part of a request.  None if it is
        unknown.
    open_flows : int
        Open flows of callers of this instance.
    """

    name: str
    service: str
    zone: str
    slots: int
    load: float | None = None
    open_flows: int = 0

    @property
    def load_per_slot(self) -> float | None:
        """Load per slot, in requests in progress; None if it is unknown."""
        return _divide_by_slots(self.load, self.slots)


class ZoneLoadStatus(Struct, frozen=True, kw_only=True):
    """Load that callers put on the targets of a service in one zone.

    Attributes
    ----------
    service, zone : str
        The service and the availability zone of its targets.
    slots : int
        Sum of the slots of those targets that take new flows.
    busy : float or None
        Mean number of requests in progress there, from callers of all zones whose
        totals are known; None if it is unknown.
    """

    service: str
    zone: str
    slots: int
    busy: float | None = None

    @property
    def busy_per_slot(self) -> float | None:
        """Requests in progress per slot; None if they are unknown."""
        return _divide_by_slots(self.busy, self.slots)


class PriorityStatus(Struct, frozen=True, kw_only=True):
    """Admission of the openings of one priority.

    Attributes
    ----------
    priority : int
        Priority of the routes; 0 is the highest.
    admitted_share : float
        Share of the openings that is admitted, from 0 to 1.
    rejected_openings : int
        Openings rejected since the start of this instance.
    """

    priority: int
    admitted_share: float = 1.0
    rejected_openings: int = 0


class ServiceLoadStatus(Struct, frozen=True, kw_only=True):
    """Load of a service and admission of its openings.

    Attributes
    ----------
    service : str
        Name of the service.
    state : str
        ``"normal"``, ``"overloaded"`` or ``"recovering"``.
    state_for_s : float or None
        How long it has been in this state, in seconds.
    slots : int
        Sum of the slots of those of its targets that take new flows.
    busy : float or None
        Mean number of requests in progress, from callers of all zones whose totals are
        known; None if it is unknown.
    short_share : float or None
        Share of its answers that are short, from 0 to 1; a target that sheds load
        sends these.  None if there are too few answers.
    priorities : tuple of PriorityStatus
        Admission by priority; empty if no opening is rejected by priority.
    """

    service: str
    state: str = NORMAL_STATE
    state_for_s: float | None = None
    slots: int = 0
    busy: float | None = None
    short_share: float | None = None
    priorities: tuple[PriorityStatus, ...] = ()

    @property
    def busy_per_slot(self) -> float | None:
        """Requests in progress per slot; None if they are unknown."""
        return _divide_by_slots(self.busy, self.slots)


class LoadStatus(Struct, frozen=True, kw_only=True):
    """What an instance knows of shared load, and what it admits.

    Attributes
    ----------
    enabled : bool
        This instance shares the load of targets.
    limits_overload : bool
        This instance rejects openings of low priority while a service is overloaded.
    age_s : float or None
        Age of the oldest totals of another zone that are in use, in seconds; None if
        those of no other zone are known.
    services : tuple of ServiceLoadStatus
        All services with targets.
    zones : tuple of ZoneLoadStatus
        Each service in each zone.
    targets : tuple of TargetLoadStatus
        Targets that take new flows.

    Examples
    --------
    >>> LoadStatus().enabled
    False
    """

    enabled: bool = False
    limits_overload: bool = False
    age_s: float | None = None
    services: tuple[ServiceLoadStatus, ...] = ()
    zones: tuple[ZoneLoadStatus, ...] = ()
    targets: tuple[TargetLoadStatus, ...] = ()

    @property
    def limited_services(self) -> int:
        """Number of services that are overloaded or recovering."""
        return sum(each.state != NORMAL_STATE for each in self.services)


LoadStatusProvider = Callable[[], LoadStatus]
"""Returns the current status."""


def sort_by_fullness(targets: Iterable[TargetLoadStatus]) -> list[TargetLoadStatus]:
    """Sort targets by load per slot, the fullest first.

    Targets of unknown load are last.

    Examples
    --------
    >>> common = {"service": "notes", "zone": "a", "slots": 2}
    >>> idle = TargetLoadStatus(name="i-1", load=0.0, **common)
    >>> full = TargetLoadStatus(name="i-2", load=2.0, **common)
    >>> unknown = TargetLoadStatus(name="i-3", **common)
    >>> [each.name for each in sort_by_fullness([unknown, idle, full])]
    ['i-2', 'i-1', 'i-3']
    """
    return sorted(targets, key=_order_by_fullness)


def _order_by_fullness(target: TargetLoadStatus) -> tuple[float, str]:
    per_slot = target.load_per_slot
    return (1.0 if per_slot is None else -per_slot, target.name)


def _divide_by_slots(busy: float | None, slots: int) -> float | None:
    return busy / slots if busy is not None and slots else None

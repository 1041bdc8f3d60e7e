"""Builds the status of shared load from what an instance knows."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from functools import partial
from typing import TYPE_CHECKING, Protocol

from msgspec import Struct

from endivepick.forwarder.load_status import (
    NORMAL_STATE,
    LoadStatus,
    PriorityStatus,
    ServiceLoadStatus,
    TargetLoadStatus,
    ZoneLoadStatus,
)
from endivepick.forwarder.logs import truncate_number
from endivepick.forwarding.belief import TargetBelief

if TYPE_CHECKING:
    from endivepick.forwarding import ForwardingCore
    from endivepick.forwarding.admission.admission import OpeningAdmission

__all__ = [
    "AdmissionSource",
    "AdmissionStatus",
    "LoadSource",
    "build_load_status",
    "read_load_status",
]


class LoadSource(Protocol):
    """Shared load as known to an instance; None where it is unknown."""

    def target_load(self, belief: TargetBelief, now_s: float) -> float | None:
        """Return the load of a target, in requests in progress."""

    def zone_busy(self, service: str, target_zone: str, now_s: float) -> float | None:
        """Return the requests in progress at a service's targets in a zone."""

    def short_share(self, service: str, now_s: float) -> float | None:
        """Return the share of short answers of a service."""

    def others_age_s(self, now_s: float) -> float | None:
        """Return the age of the oldest known totals of another zone, in seconds."""


class AdmissionStatus(Struct, frozen=True, kw_only=True):
    """Admission of the openings of one service.

    Attributes
    ----------
    state : str
        ``"normal"``, ``"overloaded"`` or ``"recovering"``.
    state_for_s : float or None
        How long it has been in this state, in seconds.
    priorities : tuple of PriorityStatus
        Admission by priority.
    """

    state: str = NORMAL_STATE
    state_for_s: float | None = None
    priorities: tuple[PriorityStatus, ...] = ()


AdmissionSource = Callable[[str], AdmissionStatus]
"""Returns the admission of a service."""


def read_load_status(core: ForwardingCore, now_s: float) -> LoadStatus:
    """Return what a core knows of shared load and of admission."""
    if core.load is None:
        return LoadStatus()
    admission = core.admission
    source: AdmissionSource | None = None
    if admission is not None:
        source = partial(_read_admission, admission, now_s)
    return build_load_status(core.registry, core.load.view, source, now_s)


def _read_admission(
    admission: OpeningAdmission, now_s: float, service: str
) -> AdmissionStatus:
    state = admission.get_service(service)
    if state is None:
        return AdmissionStatus()
    since_s = state.tracker.since_s
    return AdmissionStatus(
        state=state.tracker.state.value,
        state_for_s=None if since_s is None else now_s - since_s,
        priorities=tuple(
            PriorityStatus(
                priority=priority,
                admitted_share=share,
                rejected_openings=state.rejected[priority],
            )
            for priority, share in state.limits.shares.items()
        ),
    )


def build_load_status(
    beliefs: Iterable[TargetBelief],
    load: LoadSource,
    admission: AdmissionSource | None,
    now_s: float,
) -> LoadStatus:
    """Return the status of shared load and of admission.

    Parameters
    ----------
    beliefs : iterable of TargetBelief
        Known targets; those that take no new flows are left out.
    load : LoadSource
        Shared load.
    admission : callable or None
        Returns the admission of a service; None if no opening is rejected by priority.
    now_s : float
        Current time, in seconds.
    """
    usable = [belief for belief in beliefs if belief.takes_flows]
    zones = _build_zones(usable, load, now_s)
    return LoadStatus(
        enabled=True,
        limits_overload=admission is not None,
        age_s=_truncate_known(load.others_age_s(now_s)),
        services=_build_services(zones, load, admission, now_s),
        zones=zones,
        targets=tuple(_build_target(belief, load, now_s) for belief in usable),
    )


def _build_target(
    belief: TargetBelief, load: LoadSource, now_s: float
) -> TargetLoadStatus:
    return TargetLoadStatus(
        name=belief.name,
        service=belief.target.service,
        zone=belief.target.zone,
        slots=belief.target.slots,
        load=_truncate_known(load.target_load(belief, now_s)),
        open_flows=belief.flows,
    )


def _build_zones(
    beliefs: Sequence[TargetBelief], load: LoadSource, now_s: float
) -> tuple[ZoneLoadStatus, ...]:
    slots: defaultdict[tuple[str, str], int] = defaultdict(int)
    for belief in beliefs:
        slots[belief.target.service, belief.target.zone] += belief.target.slots
    return tuple(
        ZoneLoadStatus(
            service=service,
            zone=zone,
            slots=slots[service, zone],
            busy=_truncate_known(load.zone_busy(service, zone, now_s)),
        )
        for service, zone in sorted(slots)
    )


def _build_services(
    zones: Sequence[ZoneLoadStatus],
    load: LoadSource,
    admission: AdmissionSource | None,
    now_s: float,
) -> tuple[ServiceLoadStatus, ...]:
    by_service: defaultdict[str, list[ZoneLoadStatus]] = defaultdict(list)
    for zone in zones:
        by_service[zone.service].append(zone)
    return tuple(
        _build_service(service, of_service, load, admission, now_s)
        for service, of_service in by_service.items()
    )


def _build_service(
    service: str,
    zones: Sequence[ZoneLoadStatus],
    load: LoadSource,
    admission: AdmissionSource | None,
    now_s: float,
) -> ServiceLoadStatus:
    admitted = AdmissionStatus() if admission is None else admission(service)
    return ServiceLoadStatus(
        service=service,
        state=admitted.state,
        state_for_s=_truncate_known(admitted.state_for_s),
        slots=sum(zone.slots for zone in zones),
        busy=_sum_known([zone.busy for zone in zones]),
        short_share=_truncate_known(load.short_share(service, now_s)),
        priorities=admitted.priorities,
    )


def _sum_known(numbers: Sequence[float | None]) -> float | None:
    """Return the sum; None if one of the numbers is unknown."""
    known = [number for number in numbers if number is not None]
    return sum(known) if len(known) == len(numbers) else None


def _truncate_known(number: float | None) -> float | None:
    return None if number is None else truncate_number(number)

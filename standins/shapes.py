"""Shapes of installations: zones, instances, services and targets.

Addresses are assigned on the loopback network: instance ``i`` of zone ``k``
is ``127.k.0.i``, target ``j`` of zone ``k`` is ``127.k.1.j``, all other
stand-ins are ``127.0.0.1``.  Installations that run in parallel use further
blocks of addresses; see `standins.addressblock`.
"""

from collections import Counter
from dataclasses import dataclass, replace
from typing import TypeVar

from standins.addressblock import host_in_block

__all__ = [
    "HARADA",
    "LEAVE_DESK",
    "SHAPES",
    "SMALL",
    "InstancePlan",
    "ServicePlan",
    "Shape",
    "TargetPlan",
]


@dataclass(frozen=True)
class InstancePlan:
    """Name, zone and address of an instance."""

    name: str
    zone: str
    host: str


@dataclass(frozen=True)
class TargetPlan:
    """Name, zone, address and capacity of a backend server."""

    service: str
    name: str
    zone: str
    host: str
    slots: int
    connections: int = 2000


@dataclass(frozen=True)
class ServicePlan:
    """Service with its backend servers; ``affinity`` as in its record."""

    name: str
    affinity: str
    targets: tuple[TargetPlan, ...]


@dataclass(frozen=True)
class Shape:
    """Shape of an installation.

    Attributes
    ----------
    name : str
        Name on the command line.
    zones : tuple of str
        Availability zones; the first has number 1 in addresses.
    instances : tuple of InstancePlan
        Instances.
    services : tuple of ServicePlan
        Services.
    zone_delay_ms : float
        One-way delay between zones.
    caller_delay_ms : float
        One-way delay between callers and instances.
    """

    name: str
    zones: tuple[str, ...]
    instances: tuple[InstancePlan, ...]
    services: tuple[ServicePlan, ...]
    zone_delay_ms: float
    caller_delay_ms: float

    def in_block(self, block: int) -> "Shape":
        """Return the shape with its addresses moved to another block."""
        return replace(
            self,
            instances=tuple(_move_to_block(plan, block) for plan in self.instances),
            services=tuple(
                replace(
                    s, targets=tuple(_move_to_block(plan, block) for plan in s.targets)
                )
                for s in self.services
            ),
        )

    def service(self, name: str) -> ServicePlan:
        """Return the service of this name."""
        return next(plan for plan in self.services if plan.name == name)


_Plan = TypeVar("_Plan", InstancePlan, TargetPlan)


def _move_to_block(plan: _Plan, block: int) -> _Plan:
    return replace(plan, host=host_in_block(plan.host, block))


@dataclass(frozen=True)
class _ServiceSize:
    name: str
    affinity: str
    targets: int
    slots: int


def _plan_instances(zones: tuple[str, ...], count: int) -> tuple[InstancePlan, ...]:
    plans = []
    for number in range(count):
        zone_index = number % len(zones)
        zone = zones[zone_index]
        in_zone = number // len(zones) + 1
        host = f"127.{zone_index + 1}.0.{in_zone}"
        plans.append(InstancePlan(f"{zone}-{in_zone}", zone, host))
    return tuple(plans)


def _plan_services(
    zones: tuple[str, ...], sizes: tuple[_ServiceSize, ...]
) -> tuple[ServicePlan, ...]:
    in_zone: Counter[str] = Counter()
    services = []
    for size in sizes:
        targets = []
        for number in range(size.targets):
            zone_index = number % len(zones)
            zone = zones[zone_index]
            in_zone[zone] += 1
            host = f"127.{zone_index + 1}.1.{in_zone[zone]}"
            name = f"{size.name}-{number + 1}"
            targets.append(TargetPlan(size.name, name, zone, host, size.slots))
        services.append(ServicePlan(size.name, size.affinity, tuple(targets)))
    return tuple(services)


HARADA_ZONES = ("fukuoka", "kumamoto", "kagoshima")
HARADA = Shape(
    name="harada",
    zones=HARADA_ZONES,
    instances=_plan_instances(HARADA_ZONES, 8),
    services=_plan_services(
        HARADA_ZONES,
        (
            _ServiceSize("advisor-sessions", "flow", targets=7, slots=2),
            _ServiceSize("illustration-packs", "request", targets=3, slots=2),
        ),
    ),
    zone_delay_ms=0.5,
    caller_delay_ms=3.0,
)

LEAVE_DESK_ZONES = ("thamel", "baneshwor", "lalitpur", "bhaktapur")
LEAVE_DESK = Shape(
    name="leave-desk",
    zones=LEAVE_DESK_ZONES,
    instances=_plan_instances(LEAVE_DESK_ZONES, 9),
    services=_plan_services(
        LEAVE_DESK_ZONES,
        (
            _ServiceSize("leave-requests", "request", targets=7, slots=3),
            _ServiceSize("roster-export", "request", targets=4, slots=3),
        ),
    ),
    zone_delay_ms=1.5,
    caller_delay_ms=1.0,
)

SMALL_ZONES = ("north", "south")
SMALL = Shape(
    name="small",
    zones=SMALL_ZONES,
    instances=_plan_instances(SMALL_ZONES, 3),
    services=_plan_services(
        SMALL_ZONES,
        (
            _ServiceSize("sessions", "flow", targets=2, slots=2),
            _ServiceSize("exports", "request", targets=2, slots=2),
        ),
    ),
    zone_delay_ms=0.0,
    caller_delay_ms=0.0,
)

SHAPES = {shape.name: shape for shape in (HARADA, LEAVE_DESK, SMALL)}

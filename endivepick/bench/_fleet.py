"""Sizes of an installation and quantities derived from them."""

from dataclasses import dataclass
from math import exp

__all__ = ["LIMITS", "PLANNED_FLEET", "Fleet", "Limits"]

DAY_S = 86_400.0


@dataclass(frozen=True)
class Fleet:
    """Size of an installation.

    Attributes
    ----------
    instances, records, targets : int
        Total number of instances, services and backend servers.
    regions, zones : int
        Number of regions and of availability zones. Zones are assigned to the
        regions in turn.
    flows : float
        Number of open flows.
    opens_per_s : float
        New flows per second.
    changes_per_day, failures_per_day, restarts_per_day : float
        Changes of records, failures of instances and replaced instances per day.
    """

    instances: int
    records: int
    targets: int
    regions: int
    zones: int
    flows: float
    opens_per_s: float
    changes_per_day: float
    failures_per_day: float
    restarts_per_day: float

    def zone_of(self, number: int) -> str:
        """Return the zone of an instance."""
        return f"zone-{number % self.zones}"

    def zones_of_region(self, region: int) -> list[str]:
        """Return the zones of a region."""
        return [f"zone-{z}" for z in range(self.zones) if z % self.regions == region]

    @property
    def targets_per_record(self) -> int:
        """Mean number of targets per service, rounded."""
        return max(1, round(self.targets / self.records))

    @property
    def instances_per_zone(self) -> float:
        """Mean number of instances per zone."""
        return self.instances / self.zones

    @property
    def records_per_instance(self) -> float:
        """Mean number of services that an instance owns."""
        return self.records / self.instances

    @property
    def max_records_per_instance(self) -> int:
        """Highest number of owned services expected at one instance of the fleet.

        Rendezvous hashing assigns services independently, so that the number per
        instance follows a Poisson distribution.
        """
        mean = self.records_per_instance
        owned, share, rest = 0, exp(-mean), 1.0
        while rest * self.instances >= 1.0:
            rest -= share
            owned += 1
            share *= mean / owned
        return owned - 1

    @property
    def changes_per_s(self) -> float:
        """Changes of records per second."""
        return self.changes_per_day / DAY_S

    def scaled(self, instances: int) -> "Fleet":
        """Return a fleet of another size in the same proportions."""
        share = instances / self.instances
        return Fleet(
            instances,
            max(1, round(self.records * share)),
            max(1, round(self.targets * share)),
            self.regions,
            self.zones,
            self.flows * share,
            self.opens_per_s * share,
            self.changes_per_day * share,
            self.failures_per_day * share,
            self.restarts_per_day * share,
        )


@dataclass(frozen=True)
class Limits:
    """Resource limits of control work at a node and at the platform.

    Attributes
    ----------
    core_share : float
        Fraction of one core.
    memory_bytes : float
        Memory, in bytes.
    bytes_per_s : float
        Bytes sent and received per second.
    reads_per_s, writes_per_s : float
        Calls per second that the platform accepts; the requirement for writes is
        "several hundred".
    object_bytes : float
        Size of the largest object, in bytes.
    spread_s : float
        Time until a change has taken effect at all instances, in seconds.
    """

    core_share: float = 0.017
    memory_bytes: float = 256e6
    bytes_per_s: float = 9_000.0
    reads_per_s: float = 2_000.0
    writes_per_s: float = 300.0
    object_bytes: float = 1e6
    propagation_s: float = 14.0


PLANNED_FLEET = Fleet(
    instances=8_000,
    records=6_300,
    targets=44_000,
    regions=6,
    zones=14,
    flows=200e6,
    opens_per_s=700e3,
    changes_per_day=17_000,
    failures_per_day=180,
    restarts_per_day=2_600,
)
LIMITS = Limits()

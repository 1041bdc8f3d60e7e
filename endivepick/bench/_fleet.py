"""Sizes of an installation, and what follows from them by arithmetic alone."""

from dataclasses import dataclass
from math import exp

__all__ = ["LIMITS", "PLANNED_FLEET", "Fleet", "Limits"]

DAY_S = 86_400.0


@dataclass(frozen=True)
class Fleet:
    """An installation.

    Attributes
    ----------
    instances, records, targets : int
        Instances, services and backend servers in all.
    regions, zones : int
        Regions and availability zones; zones are dealt to the regions in turn.
    flows : float
        Open flows.
    opens_per_s : float
        New flows a second.
    changes_per_day, failures_per_day, restarts_per_day : float
        Changes of records, instances that fail and that are replaced.
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
        """Targets of one service, rounded."""
        return max(1, round(self.targets / self.records))

    @property
    def instances_per_zone(self) -> float:
        """Instances of one zone."""
        return self.instances / self.zones

    @property
    def records_per_instance(self) -> float:
        """Services that an instance owns on average."""
        return self.records / self.instances

    @property
    def most_records(self) -> int:
        """Services that the busiest instance owns: expected once in the fleet.

        Rendezvous hashing deals services out as independent draws (Poisson).
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
        """Changes of records each second."""
        return self.changes_per_day / DAY_S

    def scaled(self, instances: int) -> "Fleet":
        """Return a smaller fleet with as many services for each instance."""
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
    """What a node may spend on control, and what the platform takes.

    Attributes
    ----------
    core_share : float
        Share of one core.
    memory_bytes : float
        Memory.
    bytes_per_s : float
        Sent and received bytes a second.
    reads_per_s, writes_per_s : float
        Calls that the platform takes; ``writes_per_s`` is "several hundred".
    object_bytes : float
        Largest object.
    spread_s : float
        Time until a change is in force everywhere, in seconds.
    """

    core_share: float = 0.017
    memory_bytes: float = 256e6
    bytes_per_s: float = 9_000.0
    reads_per_s: float = 2_000.0
    writes_per_s: float = 300.0
    object_bytes: float = 1e6
    spread_s: float = 14.0


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

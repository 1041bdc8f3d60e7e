"""Settings of record dissemination and of the zone status."""

from dataclasses import dataclass

__all__ = ["DisseminationSettings", "StatusSettings"]


@dataclass(frozen=True)
class DisseminationSettings:
    """Settings of the dissemination of records among instances.

    Attributes
    ----------
    watchers : int
        Number of instances per zone that watch the platform.
    fan_out : int
        Maximum subscribers of an instance while all feeders are alive.
    digest_interval_s : float
        Mean interval between digests to the same peer, in seconds.
    starting_interval_s : float
        Interval between digests of an instance that is not ready, in seconds.
    report_delay_s : float
        Maximum delay from a change to its report, in seconds.
    silence_intervals : float
        Digest intervals without a message after which a feeder is excluded and a
        subscription expires.
    zones_per_digest : int
        Number of other zones with which a watcher exchanges digests per interval.
    ask_peers : int
        Number of peers that a starting instance asks at once.
    ask_patience_s : float
        Time for which a starting instance waits for replies, in seconds.
    delta_bytes : int
        Maximum size of a delta, in bytes; a larger object is sent on its own.
    refused_records : int
        Maximum number of refused records in a report.
    """

    watchers: int = 2
    fan_out: int = 4
    digest_interval_s: float = 1.4
    starting_interval_s: float = 0.5
    report_delay_s: float = 0.2
    silence_intervals: float = 2.5
    zones_per_digest: int = 3
    ask_peers: int = 8
    ask_patience_s: float = 1.5
    delta_bytes: int = 16 * 1024
    refused_records: int = 8


@dataclass(frozen=True)
class StatusSettings:
    """Settings of the status of a zone.

    Attributes
    ----------
    write_interval_s : float
        Minimum interval between two writes, in seconds.
    part_expiry_s : float
        Age at which the part of an instance expires, in seconds.
    write_bytes_per_s : float
        Maximum mean write rate of one writer, in bytes per second.
    group_instances : int
        Number of instances in a zone above which their rows are split into several
        objects, and maximum mean number of instances per object.
    """

    write_interval_s: float = 1.0
    part_expiry_s: float = 10.0
    write_bytes_per_s: float = 1000.0
    group_instances: int = 32

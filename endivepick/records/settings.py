"""Settings of the spreading of records."""

from dataclasses import dataclass

__all__ = ["DisseminationSettings", "StatusSettings"]


@dataclass(frozen=True)
class DisseminationSettings:
    """How records spread among instances.

    Attributes
    ----------
    watchers : int
        Instances of each zone that watch the platform.
    fan_out : int
        Instances that one instance feeds at most if all feeders live.
    digest_interval_s : float
        Time between two digests to the same peer, in seconds.
    starting_interval_s : float
        The same for an instance that is not ready, in seconds.
    report_delay_s : float
        Longest time from a change to the report of it, in seconds.
    silence_intervals : float
        Digest intervals without a word after which a peer is passed over.
    zones_per_digest : int
        Other zones that a watcher exchanges digests with in one interval.
    ask_peers : int
        Peers of its zone that a starting instance asks at once.
    ask_patience_s : float
        How long a starting instance waits for an answer, in seconds.
    delta_bytes : int
        Size of a delta, in bytes; a larger object travels alone.
    refused_records : int
        Refused records listed in a report.
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
    """How often the status of a zone is written.

    Attributes
    ----------
    write_interval_s : float
        Shortest time between two writes, in seconds.
    part_expiry_s : float
        Age at which an instance's part is dropped, in seconds.
    write_bytes_per_s : float
        Bytes that one writer writes in a second, on average at most.
    group_instances : int
        Instances of a zone above which their rows are dealt to several objects,
        and instances of one of those objects on average.
    """

    write_interval_s: float = 1.0
    part_expiry_s: float = 10.0
    write_bytes_per_s: float = 1000.0
    group_instances: int = 32

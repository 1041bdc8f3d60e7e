"""Settings of the client of the object API."""

from dataclasses import dataclass, field

from endivepick.backoff import BackoffSettings

__all__ = ["PlatformSettings"]


@dataclass(frozen=True)
class PlatformSettings:
    """How to reach the object API.

    Attributes
    ----------
    address : str
        ``host:port`` of the object API.
    source_host : str
        IPv4 address that calls come from; empty lets the system choose.
    connect_timeout_s : float
        Longest time to connect, in seconds.
    call_timeout_s : float
        Longest time of one call, in seconds; a watch gets its wait on top.
    watch_wait_s : float
        How long the platform holds a watch while nothing changes, in seconds.
    write_attempts : int
        How often a write whose answer was lost is checked or sent again.
    connections : int
        Connections kept open.
    backoff : BackoffSettings
        Waits between attempts.
    """

    address: str
    source_host: str = ""
    connect_timeout_s: float = 1.0
    call_timeout_s: float = 5.0
    watch_wait_s: float = 30.0
    write_attempts: int = 4
    connections: int = 4
    backoff: BackoffSettings = field(default_factory=BackoffSettings)

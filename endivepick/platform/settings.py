"""Settings of the object API client."""

from dataclasses import dataclass, field

from endivepick.backoff import BackoffSettings

__all__ = ["PlatformSettings"]


@dataclass(frozen=True)
class PlatformSettings:
    """Address, timeouts and retries of the object API client.

    Attributes
    ----------
    address : str
        ``host:port`` of the object API.
    source_host : str
        Source IPv4 address of calls; empty lets the system choose.
    connect_timeout_s : float
        Timeout of establishing a connection, in seconds.
    call_timeout_s : float
        Timeout of one call, in seconds; for a watch its wait is added.
    watch_wait_s : float
        How long the platform delays its answer to a watch while nothing changes, in
        seconds.
    write_attempts : int
        Maximum number of attempts of a write whose answers are lost.
    connections : int
        Number of connections kept open.
    backoff : BackoffSettings
        Delays between attempts.
    """

    address: str
    source_host: str = ""
    connect_timeout_s: float = 1.0
    call_timeout_s: float = 5.0
    watch_wait_s: float = 30.0
    write_attempts: int = 4
    connections: int = 4
    backoff: BackoffSettings = field(default_factory=BackoffSettings)

"""Settings of one instance as plain frozen data classes.

The defaults stand here and only here; ``endivepick.settings.schema`` adds the
ranges and descriptions that are checked when a file is read.
"""

from dataclasses import dataclass, field
from typing import Literal

__all__ = [
    "DaemonSettings",
    "DispatchSettings",
    "FabricSettings",
    "FlowSettings",
    "InstanceSettings",
    "ListenSettings",
    "LogLevel",
    "LogSettings",
    "MembershipSettings",
    "PlatformSettings",
    "SecretsSettings",
    "StopSettings",
    "TargetSettings",
]

LogLevel = Literal["debug", "info", "warning", "error"]
"""Severity of a log event, least severe first."""


@dataclass(frozen=True)
class InstanceSettings:
    """Name and availability zone of this instance."""

    name: str
    zone: str


@dataclass(frozen=True)
class ListenSettings:
    """Addresses that this instance binds, as ``host:port``; port 0 lets it pick."""

    data_address: str
    peer_address: str
    http_address: str = "127.0.0.1:0"


@dataclass(frozen=True)
class PlatformSettings:
    """How to call the platform's object API."""

    address: str
    timeout_s: float = 2.0
    watch_wait_s: float = 10.0
    list_every_s: float = 1.0


@dataclass(frozen=True)
class FabricSettings:
    """How datagrams leave towards callers.

    Attributes
    ----------
    return_address : str
        ``host:port`` that takes datagrams for callers; empty to answer the sender
        of the datagram.
    """

    return_address: str = ""


@dataclass(frozen=True)
class LogSettings:
    """Where log lines go and how many of them."""

    path: str = ""
    level: LogLevel = "info"


@dataclass(frozen=True)
class SecretsSettings:
    """Secrets shared by all instances of one installation."""

    peer_secret_hex: str = field(repr=False)

    @property
    def peer_secret(self) -> bytes:
        """Key that authenticates peer messages."""
        return bytes.fromhex(self.peer_secret_hex)


@dataclass(frozen=True)
class MembershipSettings:
    """When a peer counts as suspect and as dead, in seconds without an answer."""

    probe_period_s: float = 0.25
    suspect_after_s: float = 1.0
    dead_after_s: float = 3.0


@dataclass(frozen=True)
class FlowSettings:
    """Lifetimes and limits of flows."""

    token_lifetime_s: float = 3600.0
    renew_share: float = 0.5
    idle_timeout_s: float = 7200.0
    unacknowledged_bytes_max: int = 16 * 1024 * 1024
    window_size: int = 1024


@dataclass(frozen=True)
class TargetSettings:
    """How targets are probed and connected to."""

    probe_every_s: float = 0.5
    connect_timeout_s: float = 1.0
    probe_timeout_s: float = 1.0


@dataclass(frozen=True)
class DispatchSettings:
    """Choice of targets: retries, cold targets and ejection."""

    retry_budget_share: float = 0.1
    slow_start_s: float = 10.0
    ejection_failures: int = 5
    ejection_s: float = 10.0
    ejected_share_max: float = 0.5


@dataclass(frozen=True)
class StopSettings:
    """Bounds of a planned stop."""

    drain_timeout_s: float = 30.0
    hand_over_timeout_s: float = 5.0


@dataclass(frozen=True)
class DaemonSettings:
    """All settings of one instance, passed whole to constructors.

    Examples
    --------
    >>> from endivepick.settings import parse_settings
    >>> text = '''{
    ...     // Comments are allowed.
    ...     instance: {name: "entry-1", zone: "fukuoka"},
    ...     listen: {data_address: "127.0.0.1:0", peer_address: "127.0.0.1:0"},
    ...     platform: {address: "127.0.0.1:8080"},
    ...     secrets: {peer_secret_hex: "000102030405060708090a0b0c0d0e0f"},
    ... }'''
    >>> settings = parse_settings(text).unwrap()
    >>> settings.membership.probe_period_s
    0.25
    """

    instance: InstanceSettings
    listen: ListenSettings
    platform: PlatformSettings
    secrets: SecretsSettings
    fabric: FabricSettings = FabricSettings()
    log: LogSettings = LogSettings()
    membership: MembershipSettings = MembershipSettings()
    flow: FlowSettings = FlowSettings()
    targets: TargetSettings = TargetSettings()
    dispatch: DispatchSettings = DispatchSettings()
    stop: StopSettings = StopSettings()

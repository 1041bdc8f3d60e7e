"""Settings of one instance as frozen data classes.

The defaults are defined here or in the settings module of the package that a group
belongs to, and nowhere else.  ``endivepick.settings.schema`` adds the ranges and
descriptions for the validation of a file.
"""

from dataclasses import dataclass, field
from typing import Literal

from endivepick.core.dispatch.settings import DispatchSettings
from endivepick.core.key_rotator import KeySettings
from endivepick.core.settings import FlowSettings
from endivepick.membership.settings import MembershipSettings
from endivepick.platform.settings import PlatformSettings
from endivepick.records.settings import DisseminationSettings, StatusSettings

__all__ = [
    "DaemonSettings",
    "DispatchSettings",
    "DisseminationSettings",
    "FabricSettings",
    "FlowSettings",
    "InstanceSettings",
    "KeySettings",
    "ListenSettings",
    "LogLevel",
    "LogSettings",
    "MembershipSettings",
    "PlatformAccessSettings",
    "SecretsSettings",
    "StatusSettings",
    "TargetSettings",
]

LogLevel = Literal["debug", "info", "warning", "error"]
"""Severity of a log event, in ascending order."""


@dataclass(frozen=True)
class InstanceSettings:
    """Name and availability zone of this instance."""

    name: str
    zone: str


@dataclass(frozen=True)
class ListenSettings:
    """Addresses that this instance binds, as ``host:port``.

    With port 0 the system chooses a free port.  ``advertised_peer_address`` is not
    bound: other instances connect to it.
    """

    data_address: str
    peer_address: str
    http_address: str = "127.0.0.1:0"
    advertised_peer_address: str = ""


@dataclass(frozen=True)
class PlatformAccessSettings(PlatformSettings):
    """Client settings of the platform's object API, and the list interval."""

    list_every_s: float = 1.0


@dataclass(frozen=True)
class FabricSettings:
    """Return path of datagrams to callers.

    Attributes
    ----------
    return_address : str
        ``host:port`` that receives datagrams for callers; if empty, answers go to the
        sender of the datagram.
    """

    return_address: str = ""


@dataclass(frozen=True)
class LogSettings:
    """Path and minimum level of the log."""

    path: str = ""
    level: LogLevel = "info"


@dataclass(frozen=True)
class SecretsSettings:
    """Secrets that all instances of an installation share."""

    peer_secret_hex: str = field(repr=False)

    @property
    def peer_secret(self) -> bytes:
        """Key that authenticates peer messages."""
        return bytes.fromhex(self.peer_secret_hex)


@dataclass(frozen=True)
class TargetSettings:
    """Probe intervals and timeouts of targets."""

    probe_every_s: float = 1.0
    quiet_probe_every_s: float = 2.0
    connect_timeout_s: float = 1.0
    probe_timeout_s: float = 1.0


@dataclass(frozen=True)
class DaemonSettings:
    """All settings of one instance, passed as a whole to constructors.

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
    platform: PlatformAccessSettings
    secrets: SecretsSettings
    fabric: FabricSettings = FabricSettings()
    log: LogSettings = LogSettings()
    membership: MembershipSettings = MembershipSettings()
    records: DisseminationSettings = DisseminationSettings()
    status: StatusSettings = StatusSettings()
    keys: KeySettings = KeySettings()
    flow: FlowSettings = FlowSettings()
    targets: TargetSettings = TargetSettings()
    dispatch: DispatchSettings = field(
        default_factory=lambda: DispatchSettings.model_validate({})
    )

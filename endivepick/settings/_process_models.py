"""Groups about one process: who it is, what it binds, what it talks to."""

from pydantic import Field

from endivepick.settings import model
from endivepick.settings._base import (
    Group,
    ListenAddress,
    OptionalAddress,
    OptionalHost,
    RemoteAddress,
)

__all__ = [
    "FabricModel",
    "InstanceModel",
    "ListenModel",
    "LogModel",
    "PlatformModel",
    "SecretsModel",
    "TargetModel",
]

_NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"
_SECRET_PATTERN = r"^([0-9a-fA-F]{2}){16,64}$"


class InstanceModel(Group):
    """Who this instance is."""

    name: str = Field(
        pattern=_NAME_PATTERN,
        description="Name of this instance, unique in the installation.",
    )
    zone: str = Field(
        pattern=_NAME_PATTERN, description="Availability zone that it stands in."
    )


class ListenModel(Group):
    """Addresses that this instance binds; port 0 lets the system choose."""

    data_address: ListenAddress = Field(
        description="UDP address for datagrams from the fabric."
    )
    peer_address: ListenAddress = Field(
        description="TCP address for messages from other instances."
    )
    http_address: ListenAddress = Field(
        default=model.ListenSettings.http_address,
        description="TCP address of /metrics, /healthz, /readyz and /status.",
    )
    advertised_peer_address: OptionalAddress = Field(
        default=model.ListenSettings.advertised_peer_address,
        description="TCP address that other instances connect to, if an address "
        "translation stands before peer_address; empty: peer_address itself.",
    )


class PlatformModel(Group):
    """The platform's object API."""

    address: RemoteAddress = Field(description="TCP address of the object API.")
    source_host: OptionalHost = Field(
        default=model.PlatformAccessSettings.source_host,
        description="IPv4 number that calls come from; empty: the system chooses.",
    )
    connect_timeout_s: float = Field(
        default=model.PlatformAccessSettings.connect_timeout_s,
        ge=0.05,
        le=60,
        description="Longest wait for a connection.",
    )
    call_timeout_s: float = Field(
        default=model.PlatformAccessSettings.call_timeout_s,
        ge=0.05,
        le=60,
        description="Longest wait for the answer to a call other than a watch.",
    )
    watch_wait_s: float = Field(
        default=model.PlatformAccessSettings.watch_wait_s,
        ge=0.1,
        le=300,
        description="How long one watch call waits for a change.",
    )
    write_attempts: int = Field(
        default=model.PlatformAccessSettings.write_attempts,
        ge=1,
        le=20,
        description="How often a write whose answer was lost is followed up.",
    )
    connections: int = Field(
        default=model.PlatformAccessSettings.connections,
        ge=1,
        le=64,
        description="Connections kept open.",
    )
    list_every_s: float = Field(
        default=model.PlatformAccessSettings.list_every_s,
        ge=0.1,
        le=300,
        description="Period of reading the list of instances.",
    )


class FabricModel(Group):
    """The way back to callers."""

    return_address: OptionalAddress = Field(
        default=model.FabricSettings.return_address,
        description="UDP address that takes datagrams for callers; empty: the sender "
        "of the datagram that is answered.",
    )


class LogModel(Group):
    """Log lines."""

    path: str = Field(
        default=model.LogSettings.path,
        description="File that log lines are appended to; empty: standard error.",
    )
    level: model.LogLevel = Field(
        default=model.LogSettings.level,
        description="Least severe events that are written; debug includes one line "
        "or more per request, which the time line needs.",
    )


class SecretsModel(Group):
    """Secrets shared by all instances."""

    peer_secret_hex: str = Field(
        pattern=_SECRET_PATTERN,
        description="Key that authenticates messages between instances, 32 to 128 "
        "hexadecimal digits; make one with: openssl rand -hex 32",
    )


class TargetModel(Group):
    """Connections to targets."""

    probe_every_s: float = Field(
        default=model.TargetSettings.probe_every_s,
        ge=0.05,
        le=60,
        description="Period of reading a target's health and load.",
    )
    quiet_probe_every_s: float = Field(
        default=model.TargetSettings.quiet_probe_every_s,
        ge=0.05,
        le=60,
        description="The same period while an instance has had no request of the "
        "service for a few seconds and all its targets are ready; probe_every_s if "
        "that is longer.",
    )
    connect_timeout_s: float = Field(
        default=model.TargetSettings.connect_timeout_s,
        ge=0.05,
        le=60,
        description="Longest wait for a connection to a target.",
    )
    probe_timeout_s: float = Field(
        default=model.TargetSettings.probe_timeout_s,
        ge=0.05,
        le=60,
        description="Longest wait for the answer to a probe.",
    )

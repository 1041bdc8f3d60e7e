"""Border models: what a settings file may contain, with ranges and meaning."""

from typing import Annotated

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

from endivepick.settings import model
from endivepick.settings.address import parse_address

__all__ = ["SettingsModel"]

_NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"
_SECRET_PATTERN = r"^([0-9a-fA-F]{2}){16,64}$"
_DAY_S = 86400.0


def _check_listen_address(text: str) -> str:
    parse_address(text)
    return text


def _check_remote_address(text: str) -> str:
    _, port = parse_address(text)
    if port == 0:
        raise ValueError("use a port from 1 to 65535")
    return text


def _check_optional_address(text: str) -> str:
    return _check_remote_address(text) if text else text


_ListenAddress = Annotated[str, AfterValidator(_check_listen_address)]
_RemoteAddress = Annotated[str, AfterValidator(_check_remote_address)]
_OptionalAddress = Annotated[str, AfterValidator(_check_optional_address)]


class _Group(BaseModel):
    """Refuses unknown keys, converted types, infinities and NaN."""

    model_config = ConfigDict(extra="forbid", strict=True, allow_inf_nan=False)


class InstanceModel(_Group):
    """Who this instance is."""

    name: str = Field(
        pattern=_NAME_PATTERN,
        description="Name of this instance, unique in the installation.",
    )
    zone: str = Field(
        pattern=_NAME_PATTERN, description="Availability zone that it stands in."
    )


class ListenModel(_Group):
    """Addresses that this instance binds; port 0 lets the system choose."""

    data_address: _ListenAddress = Field(
        description="UDP address for datagrams from the fabric."
    )
    peer_address: _ListenAddress = Field(
        description="TCP address for messages from other instances."
    )
    http_address: _ListenAddress = Field(
        default=model.ListenSettings.http_address,
        description="TCP address of /metrics, /healthz, /readyz and /status.",
    )


class PlatformModel(_Group):
    """The platform's object API."""

    address: _RemoteAddress = Field(description="TCP address of the object API.")
    timeout_s: float = Field(
        default=model.PlatformSettings.timeout_s,
        ge=0.05,
        le=60,
        description="Longest wait for the answer to a call other than a watch.",
    )
    watch_wait_s: float = Field(
        default=model.PlatformSettings.watch_wait_s,
        ge=0.1,
        le=300,
        description="How long one watch call waits for a change.",
    )
    list_every_s: float = Field(
        default=model.PlatformSettings.list_every_s,
        ge=0.1,
        le=300,
        description="Period of reading the list of instances.",
    )


class FabricModel(_Group):
    """The way back to callers."""

    return_address: _OptionalAddress = Field(
        default=model.FabricSettings.return_address,
        description="UDP address that takes datagrams for callers; empty: the sender "
        "of the datagram that is answered.",
    )


class LogModel(_Group):
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


class SecretsModel(_Group):
    """Secrets shared by all instances."""

    peer_secret_hex: str = Field(
        pattern=_SECRET_PATTERN,
        description="Key that authenticates messages between instances, 32 to 128 "
        "hexadecimal digits; make one with: openssl rand -hex 32",
    )


class MembershipModel(_Group):
    """Detection of failed peers."""

    probe_period_s: float = Field(
        default=model.MembershipSettings.probe_period_s,
        ge=0.02,
        le=10,
        description="Period of probing peers.",
    )
    suspect_after_s: float = Field(
        default=model.MembershipSettings.suspect_after_s,
        ge=0.05,
        le=60,
        description="Time without an answer after which a peer is suspect.",
    )
    dead_after_s: float = Field(
        default=model.MembershipSettings.dead_after_s,
        ge=0.1,
        le=600,
        description="Time without an answer after which a peer is dead and others "
        "take over its roles.",
    )


class FlowModel(_Group):
    """Flows and their tokens."""

    token_lifetime_s: float = Field(
        default=model.FlowSettings.token_lifetime_s,
        ge=10,
        le=30 * _DAY_S,
        description="How long a token is valid after its issue.",
    )
    renew_share: float = Field(
        default=model.FlowSettings.renew_share,
        ge=0.05,
        le=0.9,
        description="Share of the lifetime after which callers ask for a new token.",
    )
    idle_timeout_s: float = Field(
        default=model.FlowSettings.idle_timeout_s,
        ge=10,
        le=60 * _DAY_S,
        description="Time without packets after which a flow is forgotten.",
    )
    unacknowledged_bytes_max: int = Field(
        default=model.FlowSettings.unacknowledged_bytes_max,
        ge=64 * 1024,
        le=1024 * 1024 * 1024,
        description="Most answer bytes kept for one flow until the caller "
        "acknowledges them.",
    )
    window_size: int = Field(
        default=model.FlowSettings.window_size,
        ge=16,
        le=65536,
        description="Request numbers that the replay window of a flow remembers.",
    )


class TargetModel(_Group):
    """Connections to targets."""

    probe_every_s: float = Field(
        default=model.TargetSettings.probe_every_s,
        ge=0.05,
        le=60,
        description="Period of reading a target's health and load.",
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


class DispatchModel(_Group):
    """Choice of targets."""

    retry_budget_share: float = Field(
        default=model.DispatchSettings.retry_budget_share,
        ge=0,
        le=1,
        description="Most retries, as a share of recent requests.",
    )
    slow_start_s: float = Field(
        default=model.DispatchSettings.slow_start_s,
        ge=0,
        le=3600,
        description="Time in which a new target's load rises to its full share.",
    )
    ejection_failures: int = Field(
        default=model.DispatchSettings.ejection_failures,
        ge=1,
        le=1000,
        description="Failures in a row after which a target is ejected.",
    )
    ejection_s: float = Field(
        default=model.DispatchSettings.ejection_s,
        ge=0.1,
        le=3600,
        description="How long an ejected target gets no requests.",
    )
    ejected_share_max: float = Field(
        default=model.DispatchSettings.ejected_share_max,
        ge=0,
        le=0.9,
        description="Largest share of a service's targets that may be ejected.",
    )


class StopModel(_Group):
    """Planned stop."""

    drain_timeout_s: float = Field(
        default=model.StopSettings.drain_timeout_s,
        ge=0.1,
        le=3600,
        description="Longest duration of a planned stop, hand-over included.",
    )
    hand_over_timeout_s: float = Field(
        default=model.StopSettings.hand_over_timeout_s,
        ge=0.1,
        le=600,
        description="Longest wait for a successor to confirm one hand-over.",
    )


class SettingsModel(_Group):
    """A settings file."""

    instance: InstanceModel
    listen: ListenModel
    platform: PlatformModel
    secrets: SecretsModel
    fabric: FabricModel = FabricModel()
    log: LogModel = LogModel()
    membership: MembershipModel = MembershipModel()
    flow: FlowModel = FlowModel()
    targets: TargetModel = TargetModel()
    dispatch: DispatchModel = DispatchModel()
    stop: StopModel = StopModel()

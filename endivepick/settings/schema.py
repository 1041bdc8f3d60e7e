"""Border models: what a settings file may contain, with ranges and meaning."""

from typing import Annotated

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, Strict

from endivepick.settings import model
from endivepick.settings.address import parse_address

__all__ = ["SettingsModel"]

_NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"
_SECRET_PATTERN = r"^([0-9a-fA-F]{2}){16,64}$"
_DAY_S = 86400.0
_MIB = 1 << 20


def _check_listen_address(text: str) -> str:
    parse_address(text)
    return text


def _check_remote_address(text: str) -> str:
    _, port = parse_address(text)
    if port == 0:
        raise ValueError("use a port from 1 to 65535")
    return text


def _check_optional_host(text: str) -> str:
    if text:
        parse_address(f"{text}:0")
    return text


def _check_optional_address(text: str) -> str:
    return _check_remote_address(text) if text else text


_ListenAddress = Annotated[str, AfterValidator(_check_listen_address)]
_RemoteAddress = Annotated[str, AfterValidator(_check_remote_address)]
_RemoteAddresses = Annotated[tuple[_RemoteAddress, ...], Strict(False)]
"""Tuple made from the list of a file."""
_OptionalHost = Annotated[str, AfterValidator(_check_optional_host)]
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
    advertised_peer_address: _OptionalAddress = Field(
        default=model.ListenSettings.advertised_peer_address,
        description="TCP address that other instances connect to, if an address "
        "translation stands before peer_address; empty: peer_address itself.",
    )


class PlatformModel(_Group):
    """The platform's object API."""

    address: _RemoteAddress = Field(description="TCP address of the object API.")
    source_host: _OptionalHost = Field(
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
        description="Period of probing one peer.",
    )
    probe_timeout_s: float = Field(
        default=model.MembershipSettings.probe_timeout_s,
        ge=0.01,
        le=10,
        description="Time after which other peers are asked to probe as well.",
    )
    probe_deadline_s: float = Field(
        default=model.MembershipSettings.probe_deadline_s,
        ge=0.02,
        le=10,
        description="Time after which a probe has failed.",
    )
    suspect_min_s: float = Field(
        default=model.MembershipSettings.suspect_min_s,
        ge=0.05,
        le=60,
        description="Shortest time from suspicion to death, when enough peers "
        "confirm it.",
    )
    suspect_max_s: float = Field(
        default=model.MembershipSettings.suspect_max_s,
        ge=0.05,
        le=600,
        description="Time from suspicion to death when nobody confirms it.",
    )
    suspect_confirmations: int = Field(
        default=model.MembershipSettings.suspect_confirmations,
        ge=0,
        le=20,
        description="Independent suspicions after which suspect_min_s holds.",
    )
    mass_share: float = Field(
        default=model.MembershipSettings.mass_share,
        ge=0.05,
        le=1,
        description="Share of the peers, or of a zone's, whose loss at once "
        "counts as a mass loss.",
    )
    mass_dead_after_s: float = Field(
        default=model.MembershipSettings.mass_dead_after_s,
        ge=0.1,
        le=600,
        description="Time from suspicion to death in a mass loss, such as a cut zone.",
    )
    pause_s: float = Field(
        default=model.MembershipSettings.pause_s,
        ge=0.1,
        le=60,
        description="A longer gap between two events means that this instance was "
        "paused.",
    )
    sync_period_s: float = Field(
        default=model.MembershipSettings.sync_period_s,
        ge=0.5,
        le=600,
        description="Period of comparing the view with a random peer.",
    )
    seed_addresses: _RemoteAddresses = Field(
        default=model.MembershipSettings.seed_addresses,
        max_length=64,
        description="Peer addresses of other instances; asked by an instance that "
        "starts while the platform's list of instances cannot be had.",
    )


class RecordsModel(_Group):
    """Spreading of records from the platform to all instances."""

    watchers: int = Field(
        default=model.DisseminationSettings.watchers,
        ge=1,
        le=16,
        description="Instances of each zone that watch the platform.",
    )
    fan_out: int = Field(
        default=model.DisseminationSettings.fan_out,
        ge=1,
        le=64,
        description="Instances that one instance feeds on average.",
    )
    digest_interval_s: float = Field(
        default=model.DisseminationSettings.digest_interval_s,
        ge=0.05,
        le=60,
        description="Period of comparing records with the same peer.",
    )
    report_delay_s: float = Field(
        default=model.DisseminationSettings.report_delay_s,
        ge=0.01,
        le=10,
        description="Longest time from a change to the report that it is in force.",
    )
    silence_intervals: float = Field(
        default=model.DisseminationSettings.silence_intervals,
        ge=1,
        le=100,
        description="Digest periods without a word after which a peer is passed over.",
    )
    ask_patience_s: float = Field(
        default=model.DisseminationSettings.ask_patience_s,
        ge=0.1,
        le=60,
        description="How long a starting instance waits for its peers' records.",
    )


class StatusModel(_Group):
    """Status of the zones, as `endivepick status` shows it."""

    write_interval_s: float = Field(
        default=model.StatusSettings.write_interval_s,
        ge=0.1,
        le=300,
        description="Shortest time between two writes of a zone's status.",
    )
    part_expiry_s: float = Field(
        default=model.StatusSettings.part_expiry_s,
        ge=0.5,
        le=600,
        description="Age at which what an instance told about itself is dropped; "
        "it tells three times as often.",
    )
    write_bytes_per_s: float = Field(
        default=model.StatusSettings.write_bytes_per_s,
        ge=100,
        le=1_000_000,
        description="Bytes a second that one instance writes into the status, on "
        "average at most: a large object is written less often.",
    )
    group_instances: int = Field(
        default=model.StatusSettings.group_instances,
        ge=1,
        le=500,
        description="Instances of a zone above which their rows are dealt to "
        "several objects of about this many; equal at all instances.",
    )


class KeyModel(_Group):
    """Rotation of the keys for flow tokens."""

    check_every_s: float = Field(
        default=model.KeySettings.check_every_s,
        ge=0.1,
        le=300,
        description="Period of looking which instances hold a pending key.",
    )
    pending_min_s: float = Field(
        default=model.KeySettings.pending_min_s,
        ge=0,
        le=_DAY_S,
        description="Shortest age of a pending key that becomes the current one; as "
        "long as the platform's list of instances may lag.",
    )
    cut_off_allowance_s: float = Field(
        default=model.KeySettings.cut_off_allowance_s,
        ge=0,
        le=365 * _DAY_S,
        description="How long an instance that missed a rotation may go on signing "
        "with the earlier key; keys are kept that much longer than their tokens live.",
    )


class FlowModel(_Group):
    """Flows, their tokens and requests, and the planned stop."""

    token_lifetime_s: float = Field(
        default=model.FlowSettings.token_lifetime_s,
        ge=10,
        le=30 * _DAY_S,
        description="How long a token is valid after its issue; longer lets "
        "callers stay away longer, and an instance remembers its "
        "open flows for as long.",
    )
    renew_share: float = Field(
        default=model.FlowSettings.renew_share,
        ge=0.05,
        le=0.9,
        description="Share of the lifetime after which callers ask for a new token.",
    )
    window_size: int = Field(
        default=model.FlowSettings.window_size,
        ge=16,
        le=65536,
        description="Request numbers that the replay window of a flow remembers.",
    )
    outstanding_requests_max: int = Field(
        default=model.FlowSettings.outstanding_requests_max,
        ge=1,
        le=65536,
        description="Requests of one flow that are not done.",
    )
    request_bytes_max: int = Field(
        default=model.FlowSettings.request_bytes_max,
        ge=1024,
        le=64 * _MIB,
        description="Largest request.",
    )
    answer_bytes_max: int = Field(
        default=model.FlowSettings.answer_bytes_max,
        ge=1024,
        le=1024 * _MIB,
        description="Largest answer.",
    )
    stream_buffer_bytes: int = Field(
        default=model.FlowSettings.stream_buffer_bytes,
        ge=1024,
        le=64 * _MIB,
        description="Bytes of an event stream that wait for a slow caller before "
        "the stream is cut off, to be resumed later.",
    )
    unacknowledged_s: float = Field(
        default=model.FlowSettings.unacknowledged_s,
        ge=1,
        le=3600,
        description="How long a finished answer waits for its caller, and a "
        "closed flow is remembered.",
    )
    caller_silence_s: float = Field(
        default=model.FlowSettings.caller_silence_s,
        ge=1,
        le=3600,
        description="Silence of a caller after which its request is cancelled at "
        "the target.",
    )
    drain_timeout_s: float = Field(
        default=model.FlowSettings.drain_timeout_s,
        ge=0.1,
        le=3600,
        description="Longest duration of a planned stop.",
    )
    sweep_every_s: float = Field(
        default=model.FlowSettings.sweep_every_s,
        ge=0.01,
        le=60,
        description="Time between two searches for requests that nobody awaits.",
    )
    hand_over_retry_s: float = Field(
        default=model.FlowSettings.hand_over_retry_s,
        ge=0.01,
        le=10,
        description="Time between two sendings of one hand-over.",
    )
    hand_over_bytes: int = Field(
        default=model.FlowSettings.hand_over_bytes,
        ge=1024,
        le=16 * _MIB,
        description="Size of one hand-over message, but for a single larger flow.",
    )


class TargetModel(_Group):
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


class DispatchModel(_Group, model.DispatchSettings):
    """Choice of targets: queues, retries, cold targets and ejection."""


class SettingsModel(_Group):
    """A settings file."""

    instance: InstanceModel
    listen: ListenModel
    platform: PlatformModel
    secrets: SecretsModel
    fabric: FabricModel = FabricModel()
    log: LogModel = LogModel()
    membership: MembershipModel = MembershipModel()
    records: RecordsModel = RecordsModel()
    status: StatusModel = StatusModel()
    keys: KeyModel = KeyModel()
    flow: FlowModel = FlowModel()
    targets: TargetModel = TargetModel()
    dispatch: DispatchModel = Field(
        default_factory=lambda: DispatchModel.model_validate({})
    )

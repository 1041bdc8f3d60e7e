"""Groups about flows and their requests."""

from pydantic import Field

from endivepick.settings import model
from endivepick.settings._base import Group

__all__ = ["DispatchModel", "FlowModel"]

_DAY_S = 86400.0
_MIB = 1 << 20


class FlowModel(Group):
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


class DispatchModel(Group, model.DispatchSettings):
    """Choice of targets: queues, retries, cold targets and ejection."""

"""Settings of the decision core's flow handling."""

from dataclasses import dataclass

from endivepick.core.messages import ANSWER_BYTES_MAX, REQUEST_BYTES_MAX

__all__ = ["FlowSettings"]


@dataclass(frozen=True)
class FlowSettings:
    """How flows and their requests are kept.

    Attributes
    ----------
    token_lifetime_s : float
        Age at which a flow token expires, in seconds.
    renew_share : float
        Share of the lifetime after which the caller asks for a new token.
    window_size : int
        Request numbers above the floor that a replay window tracks.
    outstanding_requests_max : int
        Requests of one flow that are not done.
    request_bytes_max : int
        Largest request, in bytes.
    answer_bytes_max : int
        Largest answer, in bytes.
    stream_buffer_bytes : int
        Bytes of a stream that wait for the caller before the stream is cut off
        and resumed later.
    unacknowledged_s : float
        How long a finished answer waits for its caller, in seconds.
    caller_silence_s : float
        Silence after which a request is cancelled at its target, in seconds.
    sweep_every_s : float
        Time between two searches for requests that nobody awaits, in seconds.
    hand_over_retry_s : float
        Time between two sendings of one hand-over, in seconds.
    hand_over_bytes : int
        Size of one hand-over message, in bytes, but for a single larger flow.
    drain_timeout_s : float
        Bound on a planned stop, in seconds.
    """

    token_lifetime_s: float = 86400.0
    renew_share: float = 0.25
    window_size: int = 1024
    outstanding_requests_max: int = 128
    request_bytes_max: int = REQUEST_BYTES_MAX
    answer_bytes_max: int = ANSWER_BYTES_MAX
    stream_buffer_bytes: int = 1 << 20
    unacknowledged_s: float = 60.0
    caller_silence_s: float = 15.0
    sweep_every_s: float = 0.5
    hand_over_retry_s: float = 0.2
    hand_over_bytes: int = 256 << 10
    drain_timeout_s: float = 40.0

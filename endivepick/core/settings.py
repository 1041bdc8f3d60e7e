"""Settings of flow handling in the decision core."""

from dataclasses import dataclass

from endivepick.core.messages import ANSWER_BYTES_MAX, REQUEST_BYTES_MAX

__all__ = ["FlowSettings"]


@dataclass(frozen=True)
class FlowSettings:
    """Lifetime, limits and timeouts of flows and their requests.

    Attributes
    ----------
    token_lifetime_s : float
        Age at which a flow token expires, in seconds.
    renew_share : float
        Fraction of the lifetime after which the caller requests a new token.
    window_size : int
        Number of request numbers above its floor that a replay window tracks.
    outstanding_requests_max : int
        Maximum number of unfinished requests of one flow.
    request_bytes_max : int
        Maximum size of a request, in bytes.
    answer_bytes_max : int
        Maximum size of an answer, in bytes.
    stream_buffer_bytes : int
        Maximum unacknowledged bytes of a stream.  Beyond that, the connection to
        the target is closed and the stream is resumed later.
    unacknowledged_s : float
        How long a complete answer is kept for its caller, in seconds.
    caller_silence_s : float
        Time without a packet from the caller after which its request is
        cancelled at the target, in seconds.
    sweep_every_s : float
        Interval between scans for requests without an active caller, in
        seconds.
    hand_over_retry_s : float
        Retransmission interval of a hand-over, in seconds.
    hand_over_bytes : int
        Size of the collected flows from which a hand-over message is sent, in
        bytes; its last flow may exceed it.  A message of more than twice this size
        is sent in pieces of this size.
    drain_timeout_s : float
        Maximum duration of a planned stop, in seconds.
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

"""Settings of a caller."""

from pydantic import BaseModel, ConfigDict, Field, field_validator

from endivepick.core.messages import ANSWER_BYTES_MAX, REQUEST_BYTES_MAX

__all__ = ["CallerSettings"]


class CallerSettings(BaseModel):
    """Validated settings of a caller.

    Attributes
    ----------
    fabric_address : str
        ``host:port`` of the fabric's UDP endpoint.
    resend_min_s : float
        Minimum retransmission timeout, in seconds.
    resend_initial_s : float
        Retransmission timeout until a round trip is measured, in seconds.
    resend_max_s : float
        Maximum retransmission timeout, in seconds.
    poll_min_s, poll_max_s : float
        Shortest and longest interval at which a caller polls for an answer, in
        seconds. The interval grows from the first to the second.
    answer_window_parts : int
        Initial answer window: parts that the owner may send ahead.
    answer_window_max_parts : int
        Maximum answer window, in parts.
    requests_per_flow : int
        Maximum number of concurrent requests of one flow; further requests wait.
    max_request_bytes : int
        Maximum size of an encoded request, in bytes.
    max_answer_bytes : int
        Maximum size of an answer body, in bytes.
    stream_buffer_events : int
        Maximum number of unread events that a stream buffers.

    Examples
    --------
    >>> CallerSettings(fabric_address="127.0.0.1:7000").requests_per_flow
    64
    """

    model_config = ConfigDict(frozen=True, extra="forbid")

    fabric_address: str
    resend_min_s: float = Field(default=0.03, ge=0.001, le=10)
    resend_initial_s: float = Field(default=0.1, ge=0.001, le=10)
    resend_max_s: float = Field(default=1.0, ge=0.01, le=60)
    poll_min_s: float = Field(default=0.2, ge=0.01, le=60)
    poll_max_s: float = Field(default=1.0, ge=0.01, le=60)
    answer_window_parts: int = Field(default=64, ge=8, le=512)
    answer_window_max_parts: int = Field(default=256, ge=8, le=512)
    requests_per_flow: int = Field(default=64, ge=1, le=64)
    max_request_bytes: int = Field(default=REQUEST_BYTES_MAX, ge=1024, le=64 << 20)
    max_answer_bytes: int = Field(default=ANSWER_BYTES_MAX, ge=1024, le=1 << 30)
    stream_buffer_events: int = Field(default=10_000, ge=1, le=1_000_000)

    @field_validator("fabric_address")
    @classmethod
    def _check_address(cls, value: str) -> str:
        host, _, port = value.rpartition(":")
        if not host or not port.isdigit() or not 0 < int(port) < 65536:
            raise ValueError("fabric_address must have the form host:port")
        return value

    @property
    def fabric(self) -> tuple[str, int]:
        """Host and port of the fabric."""
        host, _, port = self.fabric_address.rpartition(":")
        return host, int(port)

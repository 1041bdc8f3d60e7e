"""Settings of a caller."""

from pydantic import BaseModel, ConfigDict, Field, field_validator

from endivepick.core.messages import ANSWER_BYTES_MAX, REQUEST_BYTES_MAX

__all__ = ["CallerSettings"]


class CallerSettings(BaseModel):
    """Settings of a caller, validated.

    Attributes
    ----------
    fabric_address : str
        ``host:port`` of the fabric, over UDP.
    resend_min_s : float
        Shortest time after which a datagram is sent again.
    resend_initial_s : float
        The same before a round trip was measured.
    resend_max_s : float
        Longest such time.
    poll_min_s, poll_max_s : float
        How often a caller that waits for an answer asks for it; the pace slows
        down from the first to the second.
    answer_window_parts : int
        Parts of an answer that the owner may send ahead, at the start.
    answer_window_max_parts : int
        The same at most.
    requests_per_flow : int
        Requests of one flow that are under way at once; more wait.
    max_request_bytes : int
        Longest request, encoded.
    max_answer_bytes : int
        Longest answer that is collected.
    stream_buffer_events : int
        Events that a stream holds for a reader that is slow.

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
            raise ValueError("give the fabric's address as host:port")
        return value

    @property
    def fabric(self) -> tuple[str, int]:
        """Host and port of the fabric."""
        host, _, port = self.fabric_address.rpartition(":")
        return host, int(port)

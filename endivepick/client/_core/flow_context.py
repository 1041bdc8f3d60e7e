"""State shared by a flow and its requests, and packets sent without a reply."""

from dataclasses import dataclass

from endivepick.client._core.actions import Outbox, WriteLog
from endivepick.client._core.timing import NEVER_S, RoundTrip, Timers
from endivepick.client.settings import CallerSettings
from endivepick.core.messages import CallerPacket

__all__ = ["FlowContext", "RepeatedPacket"]

REPEAT_AFTER_S = (0.05, 0.2)


@dataclass(slots=True)
class FlowContext:
    """State shared by a flow and its requests.

    Attributes
    ----------
    settings : CallerSettings
        Settings of the caller.
    outbox : Outbox
        Outbox that receives the actions.
    timers : Timers
        Timers of the caller.
    round_trip : RoundTrip
        Round trip estimate of the flow.
    flow_id : int
        Identifier of the flow.
    token : bytes
        Current token of the flow.
    binding : int
        Binding of the current token.
    """

    settings: CallerSettings
    outbox: Outbox
    timers: Timers
    round_trip: RoundTrip
    flow_id: int
    token: bytes
    binding: int

    def log(self, name: str, message: str, seq: int = 0) -> None:
        """Log an event of the flow or of one of its requests."""
        entry = WriteLog(name, message, self.flow_id, self.binding, seq)
        self.outbox.emit(entry)


class RepeatedPacket:
    """Sends an unacknowledged packet three times.

    It is sent at once, and again after 0.05 s and 0.2 s, to make up for the loss
    of a datagram.

    Parameters
    ----------
    packet : CallerPacket
        Packet to send; it must be idempotent for the receiver.
    outbox : Outbox
        Outbox that receives the packet.
    now_s : float
        Current time, in seconds.
    """

    def __init__(self, packet: CallerPacket, outbox: Outbox, now_s: float) -> None:
        self._packet = packet
        self._outbox = outbox
        self._resend_times_s = [now_s + after_s for after_s in REPEAT_AFTER_S]
        self.due_at_s = self._resend_times_s.pop(0)
        self.queued_at_s = NEVER_S
        outbox.send(packet)

    def on_due(self, now_s: float) -> None:
        """Send the packet again."""
        self._outbox.send(self._packet)
        self.due_at_s = self._resend_times_s.pop(0) if self._resend_times_s else NEVER_S

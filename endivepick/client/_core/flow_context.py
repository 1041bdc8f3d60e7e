"""What the requests of one flow share."""

from dataclasses import dataclass

from endivepick.client._core.actions import Outbox, WriteLog
from endivepick.client._core.timing import NEVER_S, RoundTrip, Timers
from endivepick.client.settings import CallerSettings
from endivepick.core.messages import CallerPacket

__all__ = ["FlowContext", "Repeat"]

REPEAT_AFTER_S = (0.05, 0.2)


@dataclass(slots=True)
class FlowContext:
    """Shared by a flow and its requests.

    Attributes
    ----------
    settings : CallerSettings
        Settings of the caller.
    outbox : Outbox
        Where actions go.
    timers : Timers
        Timers of the caller.
    round_trip : RoundTrip
        Estimate for this flow.
    flow_id : int
        The flow.
    token : bytes
        Present token.
    binding : int
        Its binding.
    """

    settings: CallerSettings
    outbox: Outbox
    timers: Timers
    round_trip: RoundTrip
    flow_id: int
    token: bytes
    binding: int

    def log(self, name: str, message: str, seq: int = 0) -> None:
        """Write an event of the flow, or of one of its requests."""
        entry = WriteLog(name, message, self.flow_id, self.binding, seq)
        self.outbox.emit(entry)


class Repeat:
    """Sends a packet that nobody confirms once, and twice again.

    Parameters
    ----------
    packet : CallerPacket
        The packet; receiving it more than once does no harm.
    outbox : Outbox
        Where it goes.
    now_s : float
        Time, in seconds.
    """

    def __init__(self, packet: CallerPacket, outbox: Outbox, now_s: float) -> None:
        self._packet = packet
        self._outbox = outbox
        self._left_s = [now_s + after_s for after_s in REPEAT_AFTER_S]
        self.due_at_s = self._left_s.pop(0)
        self.listed_at_s = NEVER_S
        outbox.send(packet)

    def on_due(self, now_s: float) -> None:
        """Send the packet again."""
        self._outbox.send(self._packet)
        self.due_at_s = self._left_s.pop(0) if self._left_s else NEVER_S

"""Opening of a flow, retransmitted until an instance answers."""

from endivepick.client._core.actions import OpenFailed, Outbox
from endivepick.client._core.timing import NEVER_S, Backoff
from endivepick.client.errors import OpenTimedOut
from endivepick.core.messages import Open

__all__ = ["Opening"]

OPEN_RESEND_S = 0.05
OPEN_RESEND_MAX_S = 1.0


class Opening:
    """Sends ``Open`` with one id until it is answered or the deadline passes.

    Parameters
    ----------
    packet : Open
        Packet to send.
    deadline_at_s : float
        Deadline of the opening, in seconds.
    outbox : Outbox
        Outbox that receives the packets.
    now_s : float
        Current time, in seconds.

    Attributes
    ----------
    open_id : int
        Id of the packet.
    ended : bool
        Whether the opening was answered, abandoned or timed out.
    """

    def __init__(
        self, packet: Open, deadline_at_s: float, outbox: Outbox, now_s: float
    ) -> None:
        self.ended = False
        self.open_id = packet.open_id
        self.due_at_s = now_s
        self.queued_at_s = NEVER_S
        self._packet = packet
        self._deadline_at_s = deadline_at_s
        self._outbox = outbox
        self._backoff = Backoff(packet.open_id, OPEN_RESEND_MAX_S)

    def on_due(self, now_s: float) -> None:
        """Send or retransmit the packet, or fail at the deadline."""
        if now_s >= self._deadline_at_s:
            error = OpenTimedOut(self._packet.service)
            self._outbox.emit(OpenFailed(self._packet.open_id, error))
            self.end()
            return
        self._outbox.send(self._packet)
        next_at_s = now_s + self._backoff.next_s(OPEN_RESEND_S)
        self.due_at_s = min(next_at_s, self._deadline_at_s)

    def end(self) -> None:
        """Stop the retransmission."""
        self.ended = True
        self.due_at_s = NEVER_S

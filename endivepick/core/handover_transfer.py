"""Unanswered transfer of flows to a successor."""

from collections.abc import Iterable
from dataclasses import dataclass

from endivepick.core.actions import Action, SendToPeer
from endivepick.core.flow_table import Identity
from endivepick.core.handover_pieces import PieceSender
from endivepick.core.peer_messages import HandOver, HandOverMessage

__all__ = ["RETRY_INTERVAL_MAX_S", "Transfer"]

RETRY_INTERVAL_MAX_S = 1.6
"""Longest retransmission interval of a transfer, in seconds."""


@dataclass(slots=True)
class Transfer:
    """Flows sent to one successor that has not answered yet.

    Attributes
    ----------
    successor : Identity
        The only incarnation that may accept the flows.
    message : HandOver
        Message with the flows.
    retry_at_s : float
        Time of the next retransmission, in seconds.
    interval_s : float
        Current retransmission interval, in seconds.
    pieces : PieceSender or None
        Pieces of the message, or None if it is sent whole.
    """

    successor: Identity
    message: HandOver
    retry_at_s: float
    interval_s: float
    pieces: PieceSender | None = None

    def schedule_retry(self, now_s: float) -> None:
        """Schedule the next retransmission with exponential backoff."""
        self.interval_s = min(2 * self.interval_s, RETRY_INTERVAL_MAX_S)
        self.retry_at_s = now_s + self.interval_s

    def unanswered_messages(self) -> Iterable[HandOverMessage]:
        """Return the messages to retransmit."""
        return [self.message] if self.pieces is None else self.pieces.unacknowledged()

    def send(self, messages: Iterable[HandOverMessage]) -> list[Action]:
        """Return the actions that send messages to the successor."""
        return [SendToPeer(self.successor.name, message) for message in messages]

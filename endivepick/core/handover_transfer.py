"""One hand-over message on its way."""

from collections.abc import Iterable
from dataclasses import dataclass

from endivepick.core.actions import Action, SendToPeer
from endivepick.core.flow_table import Identity
from endivepick.core.handover_pieces import PieceSender
from endivepick.core.peer_messages import HandOver, HandOverMessage

__all__ = ["RETRY_MAX_S", "Transfer"]

RETRY_MAX_S = 1.6
"""Longest time between two sendings of one transfer, in seconds."""


@dataclass(slots=True)
class Transfer:
    """Flows under way to one successor.

    Attributes
    ----------
    successor : Identity
        The one incarnation that may take them.
    message : HandOver
        The flows.
    due_at_s : float
        When to send again what has no answer, in seconds.
    interval_s : float
        Time between the last two sendings, in seconds.
    pieces : PieceSender or None
        Pieces of the message if it is large.
    """

    successor: Identity
    message: HandOver
    due_at_s: float
    interval_s: float
    pieces: PieceSender | None = None

    def postpone(self, now_s: float) -> None:
        """Set the time of the next repetition; each takes longer than the last."""
        self.interval_s = min(2 * self.interval_s, RETRY_MAX_S)
        self.due_at_s = now_s + self.interval_s

    def unanswered(self) -> Iterable[HandOverMessage]:
        """Return what to send again."""
        return [self.message] if self.pieces is None else self.pieces.again()

    def send(self, messages: Iterable[HandOverMessage]) -> list[Action]:
        """Send messages to the successor."""
        return [SendToPeer(self.successor.name, message) for message in messages]

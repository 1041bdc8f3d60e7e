"""Most recent probe answer per peer, kept for retransmission."""

from dataclasses import dataclass

_MAX_PEERS = 256
"""Peers whose last answer is stored; the oldest one is evicted."""


@dataclass(frozen=True, slots=True)
class _Answer:
    sequence: int
    sent_s: float


class RecentAnswers:
    """Stores the sequence number of the last probe answered, per peer.

    The connection to a newly discovered peer may not be established when the first
    answer is sent.  Without a retransmission the peer would suspect this instance.

    Parameters
    ----------
    retention_s : float
        Longest time for which a probe awaits its answer, in seconds.
    """

    def __init__(self, retention_s: float) -> None:
        self._retention_s = retention_s
        # Ordered by send time, the latest answer last.
        self._answers: dict[str, _Answer] = {}
        self._unsent: dict[str, _Answer] = {}

    def record_sent(self, name: str, sequence: int, now_s: float) -> None:
        """Record the answer to a probe of a peer."""
        self._answers.pop(name, None)
        self._answers[name] = _Answer(sequence, now_s)
        if len(self._answers) > _MAX_PEERS:
            del self._answers[next(iter(self._answers))]

    def mark_unsent(self, name: str) -> None:
        """Mark the last answer to a peer as not sent."""
        answer = self._answers.get(name)
        if answer is not None:
            self._unsent[name] = answer

    def take_unsent(self, now_s: float) -> dict[str, int]:
        """Remove unsent answers; return still awaited sequence numbers by peer."""
        unsent, self._unsent = self._unsent, {}
        oldest_s = now_s - self._retention_s
        return {
            name: answer.sequence
            for name, answer in unsent.items()
            if answer.sent_s >= oldest_s
        }

"""The last answers to probes, in case they have to be sent again."""

from dataclasses import dataclass

_COUNT_MAX = 256
"""Peers whose last answer is remembered."""


@dataclass(frozen=True, slots=True)
class _Answer:
    sequence: int
    sent_s: float


class RecentAnswers:
    """Remembers the last answer to each peer.

    The connection to a peer that was just found may not be up when the first answer
    is sent.  The peer would suspect this instance, whose answer it lost.

    Parameters
    ----------
    kept_s : float
        Time for which a probe may still wait for its answer, in seconds.
    """

    def __init__(self, kept_s: float) -> None:
        self._kept_s = kept_s
        # The one sent last stands last.
        self._answers: dict[str, _Answer] = {}
        self._lost: dict[str, _Answer] = {}

    def note_sent(self, name: str, sequence: int, now_s: float) -> None:
        """Remember the answer to a probe of a peer."""
        self._answers.pop(name, None)
        self._answers[name] = _Answer(sequence, now_s)
        if len(self._answers) > _COUNT_MAX:
            del self._answers[next(iter(self._answers))]

    def note_lost(self, name: str) -> None:
        """Take it that the last answer to a peer was not sent."""
        answer = self._answers.get(name)
        if answer is not None:
            self._lost[name] = answer

    def take_lost(self, now_s: float) -> dict[str, int]:
        """Return sequence numbers that are still awaited, by peer, once."""
        lost, self._lost = self._lost, {}
        oldest_s = now_s - self._kept_s
        return {
            name: answer.sequence
            for name, answer in lost.items()
            if answer.sent_s >= oldest_s
        }

"""Detection of pauses of this process, after which its observations are invalid.

Scenario: an instance is suspended for seconds while the fabric routes its flows to
other instances.  When it resumes, it reads packets that waited in its socket.  Callers
have retransmitted them through other instances since, where the answers were
acknowledged.  Counted as unanswered, these requests would eject a target that serves
all of them.
"""

__all__ = ["BACKLOG_S", "PAUSE_S", "PauseDetector"]

PAUSE_S = 1.0
"""Gap between two ticks that shows a pause of this process."""
BACKLOG_S = 0.5
"""How long after a pause packets may be read that waited in the socket."""


class PauseDetector:
    """Detects pauses by the time between ticks.

    Examples
    --------
    >>> pauses = PauseDetector()
    >>> pauses.tick(1.0), pauses.tick(4.0)
    (False, True)
    >>> pauses.is_backlog(4.1), pauses.is_backlog(6.0 - PAUSE_S)
    (True, False)
    """

    def __init__(self) -> None:
        self._ticked_s = float("inf")
        self._resumed_s = float("-inf")

    def tick(self, now_s: float) -> bool:
        """Record a tick and return whether this process was paused before it.

        Parameters
        ----------
        now_s : float
            Present time, in seconds.
        """
        was_paused = self._is_late(now_s)
        if was_paused:
            self._resumed_s = now_s
        self._ticked_s = now_s
        return was_paused

    def is_backlog(self, now_s: float) -> bool:
        """Whether packets read now may have waited during a pause.

        Parameters
        ----------
        now_s : float
            Present time, in seconds.
        """
        return self._is_late(now_s) or now_s - self._resumed_s <= BACKLOG_S

    def _is_late(self, now_s: float) -> bool:
        return now_s - self._ticked_s > PAUSE_S

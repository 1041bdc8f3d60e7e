"""Whether this instance has stood still, so that what it sees says nothing of targets.

Load pattern: an instance is suspended for seconds while the fabric hands its flows to
others.  When it goes on, packets are read that waited in its socket and that callers
have repeated elsewhere since; their answers are acknowledged there.  Counted as
unanswered, they would condemn a target that serves all of them.
"""

__all__ = ["BACKLOG_S", "PAUSE_S", "PauseWatch"]

PAUSE_S = 1.0
"""A tick that comes so much later than the one before shows that this process stood
still."""
BACKLOG_S = 0.5
"""How long after a pause packets may come that have waited."""


class PauseWatch:
    """Finds pauses by the time between ticks.

    Examples
    --------
    >>> watch = PauseWatch()
    >>> watch.tick(1.0), watch.tick(4.0)
    (False, True)
    >>> watch.backlog(4.1), watch.backlog(6.0 - PAUSE_S)
    (True, False)
    """

    def __init__(self) -> None:
        self._ticked_s = float("inf")
        self._resumed_s = float("-inf")

    def tick(self, now_s: float) -> bool:
        """Take in that time passed; returns whether this process stood still.

        Parameters
        ----------
        now_s : float
            Present time, in seconds.
        """
        stood_still = self._is_late(now_s)
        if stood_still:
            self._resumed_s = now_s
        self._ticked_s = now_s
        return stood_still

    def backlog(self, now_s: float) -> bool:
        """Whether packets that are read now may have waited in a pause.

        Parameters
        ----------
        now_s : float
            Present time, in seconds.
        """
        return self._is_late(now_s) or now_s - self._resumed_s <= BACKLOG_S

    def _is_late(self, now_s: float) -> bool:
        return now_s - self._ticked_s > PAUSE_S

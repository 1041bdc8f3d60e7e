"""Hybrid logical clock: stamps that respect causes and stay near wall time.

A stamp is a 64-bit integer: milliseconds since 1970 in the upper 48 bits, a
counter in the lower 16.  If one event can have caused another, and the message
between them carried the stamp, the later event has the larger stamp, however
far the wall clocks of the two processes differ.
"""

__all__ = ["HybridClock", "stamp_to_s"]

_COUNTER_BITS = 16
_MS_PER_S = 1000
_AHEAD_MAX_S = 86400.0


def _stamp_at(now_s: float) -> int:
    return int(now_s * _MS_PER_S) << _COUNTER_BITS


def stamp_to_s(stamp: int) -> float:
    """Give the time part of a stamp in seconds since 1970."""
    return (stamp >> _COUNTER_BITS) / _MS_PER_S


class HybridClock:
    """Clock of one process; wall time is passed in.

    Attributes
    ----------
    last : int
        Largest stamp given or seen.

    Examples
    --------
    >>> sender, receiver = HybridClock(), HybridClock()
    >>> sent = sender.tick(now_s=2000.0)
    >>> received = receiver.observe(sent, now_s=1000.0)
    >>> received > sent
    True
    """

    def __init__(self) -> None:
        self.last = 0

    def tick(self, now_s: float) -> int:
        """Stamp a local event or a message to be sent.

        Parameters
        ----------
        now_s : float
            Wall time in seconds since 1970; may go back.

        Returns
        -------
        int
            Stamp larger than all before.
        """
        self.last = max(self.last + 1, _stamp_at(now_s))
        return self.last

    def observe(self, remote: int, now_s: float) -> int:
        """Take in the stamp of a received message.

        Parameters
        ----------
        remote : int
            Stamp of the message.  One that is more than a day ahead of the wall
            time is left out, so that one broken clock cannot move all others.
        now_s : float
            Wall time in seconds since 1970.

        Returns
        -------
        int
            Stamp of the receipt.
        """
        if remote <= _stamp_at(now_s + _AHEAD_MAX_S):
            self.last = max(self.last, remote)
        return self.tick(now_s)

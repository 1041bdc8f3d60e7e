"""Hybrid logical clock: timestamps in causal order that stay close to wall time.

A timestamp is a 64-bit integer: milliseconds since 1970 in the upper 48 bits, a counter
in the lower 16.  If one event happened before another, and the message between them
carried the timestamp, the later event has the larger timestamp, regardless of the
difference between the wall clocks.
"""

__all__ = ["HybridClock", "stamp_to_s"]

_COUNTER_BITS = 16
_MS_PER_S = 1000
_MAX_FORWARD_SKEW_S = 86400.0


def _compute_stamp(now_s: float) -> int:
    return int(now_s * _MS_PER_S) << _COUNTER_BITS


def stamp_to_s(stamp: int) -> float:
    """Return the time part of a timestamp in seconds since 1970."""
    return (stamp >> _COUNTER_BITS) / _MS_PER_S


class HybridClock:
    """Hybrid logical clock of one process; the caller passes the wall time.

    Attributes
    ----------
    last : int
        Largest timestamp issued or observed.

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
        """Issue a timestamp for a local event or a message to be sent.

        Parameters
        ----------
        now_s : float
            Wall time in seconds since 1970; may step back.

        Returns
        -------
        int
            Timestamp larger than all previous ones.
        """
        self.last = max(self.last + 1, _compute_stamp(now_s))
        return self.last

    def observe(self, remote_stamp: int, now_s: float) -> int:
        """Update the clock with the timestamp of a received message.

        Parameters
        ----------
        remote : int
            Timestamp of the message.  One that is more than a day ahead of the wall
            time is ignored, so that one broken clock cannot advance all others.
        now_s : float
            Wall time in seconds since 1970.

        Returns
        -------
        int
            Timestamp of the receipt.
        """
        if remote_stamp <= _compute_stamp(now_s + _MAX_FORWARD_SKEW_S):
            self.last = max(self.last, remote_stamp)
        return self.tick(now_s)

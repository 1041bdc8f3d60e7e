"""Estimate of how fast the flows of one target send requests."""

import math

__all__ = ["ArrivalRate"]


class ArrivalRate:
    """Rate of arrivals, where older ones weigh less.

    Parameters
    ----------
    memory_s : float
        Age at which an arrival has lost about two thirds of its weight, in
        seconds.

    Examples
    --------
    >>> rate = ArrivalRate(memory_s=10.0)
    >>> rate.add(1.0, now_s=0.0)
    >>> round(rate.per_s(now_s=10.0), 2)
    0.37
    """

    def __init__(self, memory_s: float) -> None:
        self._memory_s = memory_s
        self._rate_per_s = 0.0
        self._updated_s = 0.0

    def per_s(self, now_s: float) -> float:
        """Return the expected rate, in requests per second."""
        elapsed_s = max(0.0, now_s - self._updated_s)
        return self._rate_per_s * math.exp(-elapsed_s / self._memory_s)

    def on_request(self, now_s: float) -> None:
        """Take in an arrival."""
        self.add(1.0 / self._memory_s, now_s)

    def add(self, change_per_s: float, now_s: float) -> None:
        """Add what a new flow is expected to send; negative for one that ends."""
        self._rate_per_s = max(0.0, self.per_s(now_s) + change_per_s)
        self._updated_s = now_s

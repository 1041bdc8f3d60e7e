"""Rate limiting and counting of calls to the platform."""

import collections
from typing import Any

__all__ = ["CallCounter", "RateLimit"]

_RATE_WINDOW_S = 10


class RateLimit:
    """Token bucket whose burst size is one second of its rate.

    The bucket is full at the start and after each change of the rate.
    """

    def __init__(self) -> None:
        self._rate_per_s = -1.0
        self._tokens = 0.0
        self._refilled_at_s = 0.0

    def take(self, rate_per_s: float, now_s: float) -> bool:
        """Take one token; returns False if the bucket is empty."""
        if rate_per_s != self._rate_per_s:
            self._rate_per_s = rate_per_s
            self._tokens = rate_per_s
        else:
            refill = (now_s - self._refilled_at_s) * rate_per_s
            self._tokens = min(self._tokens + refill, max(1.0, rate_per_s))
        self._refilled_at_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class CallCounter:
    """Counts the calls of one source in total and per second."""

    def __init__(self) -> None:
        self.totals: collections.Counter[str] = collections.Counter()
        self.peak_per_s = 0
        self._seconds: collections.deque[list[int]] = collections.deque(
            maxlen=_RATE_WINDOW_S + 1
        )

    def add(self, call_class: str, now_s: float) -> None:
        """Count one call of class `call_class`."""
        self.totals[call_class] += 1
        second = int(now_s)
        if not self._seconds or self._seconds[-1][0] != second:
            self._seconds.append([second, 0])
        self._seconds[-1][1] += 1
        self.peak_per_s = max(self.peak_per_s, self._seconds[-1][1])

    def to_json(self, now_s: float) -> dict[str, Any]:
        """Return totals, the peak rate and the mean rate of the last 10 seconds."""
        since = int(now_s) - _RATE_WINDOW_S
        recent = sum(n for s, n in self._seconds if since <= s < int(now_s))
        return {
            "reads": self.totals["reads"],
            "writes": self.totals["writes"],
            "limited": self.totals["limited"],
            "peak_calls_per_s": self.peak_per_s,
            "calls_per_s": recent / _RATE_WINDOW_S,
        }

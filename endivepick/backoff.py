"""Backoff with jitter, which keeps clients from retrying at the same time."""

from msgspec import Struct

__all__ = ["Backoff", "BackoffSettings"]


class BackoffSettings(Struct, frozen=True):
    """Bounds of the delay between two attempts.

    Attributes
    ----------
    base_s : float
        Shortest delay, in seconds.
    cap_s : float
        Longest delay, in seconds.
    growth : float
        Largest ratio of a delay to the previous delay.
    """

    base_s: float = 0.2
    cap_s: float = 10.0
    growth: float = 3.0


class Backoff(Struct, frozen=True):
    """Delay after consecutive failures, with decorrelated jitter.

    Each delay is drawn uniformly between ``base_s`` and ``growth`` times the previous
    delay, limited to ``cap_s``.  A delay requested by the server is a lower bound; the
    jitter is added to it.

    Attributes
    ----------
    settings : BackoffSettings
        Bounds of the delay.
    wait_s : float
        Current delay in seconds; 0 before the first failure.

    Examples
    --------
    >>> first = Backoff(BackoffSettings(base_s=1.0)).failed(0.5)
    >>> first.wait_s, first.failed(1.0).wait_s
    (2.0, 6.0)
    """

    settings: BackoffSettings
    wait_s: float = 0.0

    def failed(self, random_share: float, retry_after_s: float = 0.0) -> "Backoff":
        """Return the backoff state after one more failure.

        Parameters
        ----------
        random_share : float
            Random number from 0 to 1 that determines the jitter.
        retry_after_s : float, default=0.0
            Delay requested by the server, in seconds.
        """
        bounds = self.settings
        last_s = max(self.wait_s, bounds.base_s)
        highest_s = min(bounds.cap_s, last_s * bounds.growth)
        spread_s = random_share * (highest_s - bounds.base_s)
        wait_s = max(bounds.base_s, retry_after_s) + spread_s
        return Backoff(bounds, wait_s)

    def succeeded(self) -> "Backoff":
        """Return the backoff state after a success."""
        return Backoff(self.settings)

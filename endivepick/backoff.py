"""Back-off with spread, so that callers do not return together."""

from msgspec import Struct

__all__ = ["Backoff", "BackoffSettings"]


class BackoffSettings(Struct, frozen=True):
    """Bounds of the wait between two attempts.

    Attributes
    ----------
    base_s : float
        Shortest wait, in seconds.
    cap_s : float
        Longest wait, in seconds.
    growth : float
        Largest ratio of one wait to the one before.
    """

    base_s: float = 0.2
    cap_s: float = 10.0
    growth: float = 3.0


class Backoff(Struct, frozen=True):
    """Wait after a number of failures in a row (decorrelated jitter).

    Each wait is drawn between ``base_s`` and ``growth`` times the last one.  A
    wait that the platform asked for is a lower bound and gets the spread on top.

    Attributes
    ----------
    settings : BackoffSettings
        Bounds.
    wait_s : float
        The present wait, 0 before the first failure.

    Examples
    --------
    >>> first = Backoff(BackoffSettings(base_s=1.0)).failed(0.5)
    >>> first.wait_s, first.failed(1.0).wait_s
    (2.0, 6.0)
    """

    settings: BackoffSettings
    wait_s: float = 0.0

    def failed(self, random_share: float, retry_after_s: float = 0.0) -> "Backoff":
        """Return the back-off after one more failure.

        Parameters
        ----------
        random_share : float
            Random number from 0 to 1.
        retry_after_s : float, default=0.0
            Wait that the platform asked for, in seconds.
        """
        bounds = self.settings
        last_s = max(self.wait_s, bounds.base_s)
        highest_s = min(bounds.cap_s, last_s * bounds.growth)
        spread_s = random_share * (highest_s - bounds.base_s)
        wait_s = max(bounds.base_s, retry_after_s) + spread_s
        return Backoff(bounds, wait_s)

    def succeeded(self) -> "Backoff":
        """Return the back-off after a success."""
        return Backoff(self.settings)

"""Retry budget of a service."""

from endivepick.core.dispatch.settings import DispatchSettings

__all__ = ["RetryBudget"]


class RetryBudget:
    """Token bucket that limits retries to a share of requests plus a constant rate.

    Parameters
    ----------
    settings : DispatchSettings
        Share of requests, constant rate and burst size.
    now_s : float
        Current time, in seconds.

    Examples
    --------
    >>> budget = RetryBudget(DispatchSettings(retry_burst=1), now_s=0.0)
    >>> budget.take(0.0), budget.take(0.0)
    (True, False)
    """

    def __init__(self, settings: DispatchSettings, now_s: float) -> None:
        self._settings = settings
        self._tokens = settings.retry_burst
        self._refilled_at_s = now_s

    @property
    def tokens(self) -> float:
        """Number of retries that are available now."""
        return self._tokens

    def count_request(self) -> None:
        """Add the tokens for the first attempt of a request."""
        self._add(self._settings.retry_share)

    def take(self, now_s: float) -> bool:
        """Consume one retry token; return false if there is none."""
        elapsed_s = max(0.0, now_s - self._refilled_at_s)
        self._refilled_at_s = now_s
        self._add(elapsed_s * self._settings.retry_constant_per_s)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _add(self, tokens: float) -> None:
        self._tokens = min(self._settings.retry_burst, self._tokens + tokens)

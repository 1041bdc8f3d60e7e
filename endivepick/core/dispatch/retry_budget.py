"""One allowance for all further attempts of a service's requests."""

from endivepick.core.dispatch.settings import DispatchSettings

__all__ = ["RetryBudget"]


class RetryBudget:
    """Allows retries as a share of recent requests plus a small constant.

    Parameters
    ----------
    settings : DispatchSettings
        Share, constant and burst.
    now_s : float
        Present time, in seconds.

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
        """Retries that are allowed at once."""
        return self._tokens

    def count_request(self) -> None:
        """Add the share that a first attempt earns."""
        self._add(self._settings.retry_share)

    def take(self, now_s: float) -> bool:
        """Use up one retry; false if there is none."""
        elapsed_s = max(0.0, now_s - self._refilled_at_s)
        self._refilled_at_s = now_s
        self._add(elapsed_s * self._settings.retry_constant_per_s)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _add(self, tokens: float) -> None:
        self._tokens = min(self._settings.retry_burst, self._tokens + tokens)

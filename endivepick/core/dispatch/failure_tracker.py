"""Failure tracking of one target: backoff and ejection time."""

from collections.abc import Collection

from endivepick.core.dispatch.settings import DispatchSettings
from endivepick.core.dispatch.waiting import PendingRequest

__all__ = ["FailureTracker"]

_MAX_DOUBLINGS = 30


class FailureTracker:
    """Counts consecutive failures and derives backoff and ejection times.

    Parameters
    ----------
    settings : DispatchSettings
        Backoff and ejection times and their limits.

    Attributes
    ----------
    backoff_until_s : float
        End of the backoff, before which no request starts, in seconds.
    ejected_until_s : float
        End of the last ejection, in seconds.
    """

    def __init__(self, settings: DispatchSettings) -> None:
        self._settings = settings
        self._failures = 0
        self._ejections = 0
        self._last_success_s = float("-inf")
        self._unreachable = False
        self._probe_failed = False
        self.backoff_until_s = 0.0
        self.ejected_until_s = 0.0

    def on_success(self, now_s: float, reset_ejections: bool) -> None:
        """Record a complete answer; optionally reset the number of ejections."""
        self._last_success_s = now_s
        self._failures = 0
        self._unreachable = False
        if reset_ejections:
            self._ejections = 0

    def on_shed(self, retry_after_s: float, now_s: float) -> None:
        """Record a shed request, which is not a failure; 0 means no requested time."""
        wait_s = retry_after_s if retry_after_s > 0 else self._settings.shed_backoff_s
        self._back_off(min(wait_s, self._settings.shed_backoff_limit_s), now_s)

    def on_connect_failed(self, now_s: float) -> None:
        """Record a failed connection; the backoff doubles with each one."""
        backoff_s = self._settings.connect_backoff_s * _backoff_factor(self._failures)
        self._failures += 1
        self._unreachable = True
        self._back_off(min(backoff_s, self._settings.connect_backoff_limit_s), now_s)

    def on_probe(self, answered: bool, now_s: float) -> None:
        """Record a probe; end backoff and ejection if the link has recovered.

        Only a probe that succeeds after a failed one counts, since a health
        endpoint that always answers is no evidence about requests.
        """
        if answered and self._probe_failed and self._unreachable:
            self.backoff_until_s = min(self.backoff_until_s, now_s)
            self.ejected_until_s = min(self.ejected_until_s, now_s)
        self._probe_failed = not answered

    def on_request_failed(self) -> None:
        """Record a broken connection or a late answer."""
        self._failures += 1

    def reached_limit(self, limit: int) -> bool:
        """Return whether at least ``limit`` consecutive attempts failed."""
        return self._failures >= limit

    def is_stalled(
        self, running: Collection[PendingRequest], stall_after_s: float, now_s: float
    ) -> bool:
        """Return whether no request was completed for too long.

        Parameters
        ----------
        running : collection of PendingRequest
            Requests that hold all slots; the newest one must exceed the time too.
        stall_after_s : float
            Longest permitted time without a completion, in seconds.
        now_s : float
            Current time, in seconds.
        """
        newest_s = max((request.started_at_s for request in running), default=now_s)
        return now_s - max(newest_s, self._last_success_s) > stall_after_s

    def start_ejection(self, now_s: float) -> None:
        """Start an ejection; its duration doubles with each one."""
        length_s = self._settings.ejection_s * _backoff_factor(self._ejections)
        self.ejected_until_s = now_s + min(length_s, self._settings.ejection_limit_s)
        self._ejections += 1
        self._failures = 0

    def _back_off(self, length_s: float, now_s: float) -> None:
        self.backoff_until_s = max(self.backoff_until_s, now_s + length_s)


def _backoff_factor(doublings: int) -> float:
    return 2.0 ** min(doublings, _MAX_DOUBLINGS)

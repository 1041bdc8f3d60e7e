"""Failures of one target: back-off, and how long an ejection lasts."""

from collections.abc import Collection

from endivepick.core.dispatch.settings import DispatchSettings
from endivepick.core.dispatch.waiting import PendingRequest

__all__ = ["FailureRecord"]

_DOUBLINGS_LIMIT = 30


class FailureRecord:
    """Counts failures in a row and the times that follow from them.

    Parameters
    ----------
    settings : DispatchSettings
        Limits and times.

    Attributes
    ----------
    backoff_until_s : float
        No request starts before, in seconds.
    ejected_until_s : float
        End of the last ejection, in seconds.
    """

    def __init__(self, settings: DispatchSettings) -> None:
        self._settings = settings
        self._failures = 0
        self._ejections = 0
        self._succeeded_at_s = float("-inf")
        self._unreachable = False
        self._probe_failed = False
        self.backoff_until_s = 0.0
        self.ejected_until_s = 0.0

    def on_success(self, now_s: float, forgive: bool) -> None:
        """Note a whole answer; forget earlier ejections if told to."""
        self._succeeded_at_s = now_s
        self._failures = 0
        self._unreachable = False
        if forgive:
            self._ejections = 0

    def on_shed(self, retry_after_s: float, now_s: float) -> None:
        """Note a shed answer, which is no failure; 0 names no time."""
        wait_s = retry_after_s if retry_after_s > 0 else self._settings.shed_backoff_s
        self._back_off(min(wait_s, self._settings.shed_backoff_limit_s), now_s)

    def on_connect_failed(self, now_s: float) -> None:
        """Note a failed connection; the back-off doubles with each."""
        doubled = self._settings.connect_backoff_s * _doubled(self._failures)
        self._failures += 1
        self._unreachable = True
        self._back_off(min(doubled, self._settings.connect_backoff_limit_s), now_s)

    def on_probe(self, answered: bool, now_s: float) -> None:
        """Note a probe; one that succeeds again ends the times of a lost link.

        Only a change from failing to answering counts, since a health endpoint
        that always answers says nothing about requests.
        """
        if answered and self._probe_failed and self._unreachable:
            self.backoff_until_s = min(self.backoff_until_s, now_s)
            self.ejected_until_s = min(self.ejected_until_s, now_s)
        self._probe_failed = not answered

    def on_no_answer(self) -> None:
        """Note a broken or late answer."""
        self._failures += 1

    def too_many(self, limit: int) -> bool:
        """Tell whether so many attempts failed in a row."""
        return self._failures >= limit

    def stalled(
        self, running: Collection[PendingRequest], stall_after_s: float, now_s: float
    ) -> bool:
        """Tell whether nothing was completed for too long.

        Parameters
        ----------
        running : collection of PendingRequest
            Requests that hold all slots; even the newest has to be old.
        stall_after_s : float
            Time without a completion that is too long, in seconds.
        now_s : float
            Present time, in seconds.
        """
        newest_s = max((request.started_at_s for request in running), default=now_s)
        return now_s - max(newest_s, self._succeeded_at_s) > stall_after_s

    def start_ejection(self, now_s: float) -> None:
        """Begin an ejection; its time doubles with each."""
        length_s = self._settings.ejection_s * _doubled(self._ejections)
        self.ejected_until_s = now_s + min(length_s, self._settings.ejection_limit_s)
        self._ejections += 1
        self._failures = 0

    def _back_off(self, length_s: float, now_s: float) -> None:
        self.backoff_until_s = max(self.backoff_until_s, now_s + length_s)


def _doubled(times: int) -> float:
    return 2.0 ** min(times, _DOUBLINGS_LIMIT)

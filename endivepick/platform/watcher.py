"""Task that lists and watches the platform's objects."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from returns.result import Failure, Success

from endivepick.backoff import Backoff
from endivepick.errors import EndivepickError, WatchExpiredError
from endivepick.platform.answers import ObjectList, WatchResult
from endivepick.platform.client import PlatformClient
from endivepick.platform.settings import PlatformSettings
from endivepick.records.cache import CACHED_KINDS

__all__ = ["WatchFailed", "Watcher", "WatcherEvent"]


@dataclass(frozen=True)
class WatchFailed:
    """A list or watch call failed; the watcher retries after a delay.

    Attributes
    ----------
    error : EndivepickError
        Error of the failed call.
    """

    error: EndivepickError


WatcherEvent = ObjectList | WatchResult | WatchFailed


class Watcher:
    """Delivers lists and changes of the platform's objects.

    Run it in a separate gevent task, and kill the task to stop it.

    Parameters
    ----------
    settings : PlatformSettings
        Settings of the backoff.
    client : PlatformClient
        Client of the object API.
    deliver : callable
        Receives each ``ObjectList``, ``WatchResult`` and ``WatchFailed``.
    pause : callable
        Waits a number of seconds, for example ``gevent.sleep``.
    random_share : callable
        Returns random numbers from 0 to 1.
    """

    def __init__(
        self,
        settings: PlatformSettings,
        client: PlatformClient,
        deliver: Callable[[WatcherEvent], Any],
        sleep: Callable[[float], object],
        random_share: Callable[[], float],
    ) -> None:
        self._client = client
        self._deliver = deliver
        self._sleep = sleep
        self._random_share = random_share
        self._backoff = Backoff(settings.backoff)

    def run(self, after: int) -> None:
        """Watch changes after a revision until killed; list first if it is 0."""
        revision: int | None = after or None
        while True:
            revision = self._list() if revision is None else self._watch(revision)

    def _list(self) -> int | None:
        """List all kinds and return the lowest revision, where the watch starts."""
        revisions = []
        for kind in CACHED_KINDS:
            match self._client.list(kind):
                case Success(listed):
                    revisions.append(listed.revision)
                    self._deliver(listed)
                case Failure(error):
                    self._report_failure(error)
                    return None
        return min(revisions)

    def _watch(self, after: int) -> int | None:
        match self._client.watch(CACHED_KINDS, after):
            case Success(result):
                self._backoff = self._backoff.succeeded()
                self._deliver(result)
                # An answer from a lagging replica must not move the revision back.
                return max(after, result.revision)
            case Failure(WatchExpiredError() as error):
                # Without a delay, a list older than the history causes a busy loop.
                self._report_failure(error)
                return None
            case Failure(error):
                self._report_failure(error)
        return after

    def _report_failure(self, error: EndivepickError) -> None:
        self._deliver(WatchFailed(error))
        retry_after_s = getattr(error, "retry_after_s", None) or 0.0
        self._backoff = self._backoff.failed(self._random_share(), retry_after_s)
        self._sleep(self._backoff.wait_s)

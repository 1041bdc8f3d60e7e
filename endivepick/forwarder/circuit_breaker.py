"""Circuit breaker of the store: one feed of an instance retries, the others wait.

Load pattern: the store refuses or does not answer the calls of all instances for
seconds. If each feed retried by itself, an instance would make twice the calls during
an outage; they are paid for and, once the store is back, count against its rate limit.
An answer to one feed shows the state of the store to the others.
"""

from collections.abc import Hashable, Iterator
from contextlib import contextmanager

from gevent.event import Event

__all__ = ["CircuitBreaker"]


class CircuitBreaker:
    """Selects the feed that retries while the store does not answer.

    Parameters
    ----------
    enabled : bool, default=True
        If false, each feed retries by itself.

    Examples
    --------
    >>> breaker = CircuitBreaker()
    >>> breaker.record_failure("registry"), breaker.record_failure("configuration")
    (True, False)
    >>> breaker.record_success()
    >>> breaker.record_failure("configuration")
    True
    >>> with breaker.caller() as feed:
    ...     breaker.record_success()
    ...     breaker.record_failure(feed)
    True
    >>> breaker.record_failure("registry")
    True
    """

    def __init__(self, enabled: bool = True) -> None:
        self._enabled = enabled
        self._trying: Hashable | None = None
        self._changed = Event()

    @contextmanager
    def caller(self) -> Iterator[Hashable]:
        """Identify a feed's task for as long as it makes calls.

        The task removes itself when it ends. Otherwise a call that fails between the
        request to stop a task and its end would select that task, and no feed would
        retry.
        """
        feed = object()
        try:
            yield feed
        finally:
            self.remove_caller(feed)

    def record_failure(self, feed: Hashable) -> bool:
        """Record a failed call; return whether this feed is to retry."""
        if not self._enabled:
            return True
        if self._trying is None:
            self._trying = feed
        return self._trying == feed

    def record_success(self) -> None:
        """Record an answer of the store: all feeds may call."""
        self._release()

    def remove_caller(self, feed: Hashable) -> None:
        """Remove a feed that makes no further calls, so that another can retry."""
        if self._trying == feed:
            self._release()

    def wait(self) -> None:
        """Wait until the store has answered or no feed retries."""
        self._changed.wait()

    def _release(self) -> None:
        self._trying = None
        waiting, self._changed = self._changed, Event()
        waiting.set()

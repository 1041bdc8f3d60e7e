"""Circuit breaker of the store: one feed of an instance retries, the others wait.

Scenario: the store refuses or does not answer the calls of all instances for
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
    >>> with breaker.register() as feed:
    ...     breaker.record_success()
    ...     breaker.record_failure(feed)
    True
    >>> breaker.record_failure("registry")
    True
    """

    def __init__(self, enabled: bool = True) -> None:
        self._enabled = enabled
        self._retrying_feed: Hashable | None = None
        self._changed = Event()

    @contextmanager
    def register(self) -> Iterator[Hashable]:
        """Register a feed's task while the context is open, and yield its identity.

        A call may still fail between the request to stop a task and its end. A stopped
        task must not remain the retrying feed, or no other feed would retry.
        """
        feed = object()
        try:
            yield feed
        finally:
            self.unregister(feed)

    def record_failure(self, feed: Hashable) -> bool:
        """Record a failed call; return whether this feed is to retry."""
        if not self._enabled:
            return True
        if self._retrying_feed is None:
            self._retrying_feed = feed
        return self._retrying_feed == feed

    def record_success(self) -> None:
        """Record an answer of the store: all feeds may call."""
        self._release()

    def unregister(self, feed: Hashable) -> None:
        """Unregister a feed that makes no further calls, so that another can retry."""
        if self._retrying_feed == feed:
            self._release()

    def wait(self) -> None:
        """Wait until the store has answered or no feed retries."""
        self._changed.wait()

    def _release(self) -> None:
        self._retrying_feed = None
        waiting, self._changed = self._changed, Event()
        waiting.set()

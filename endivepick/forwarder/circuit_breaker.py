"""Circuit breaker of the store: one feed of an instance retries, the others wait.

Scenario: the store refuses or does not answer the calls of all instances for
seconds. If each feed retried by itself, an instance would make twice the calls during
an outage; they are paid for and, once the store is back, count against its rate limit.
An answer to one feed shows the state of the store to the others.  This includes feeds
whose watch is still pending: a store that was away may never answer it, so they renew
it as soon as another feed gets an answer.
"""

from collections.abc import Callable, Hashable, Iterator
from contextlib import contextmanager

from gevent.event import Event

__all__ = ["CircuitBreaker"]


def _do_nothing() -> None:
    """Renew nothing: the feed has no watch."""


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
        self._renewals: dict[Hashable, Callable[[], None]] = {}

    @contextmanager
    def register(self, renew: Callable[[], None] = _do_nothing) -> Iterator[Hashable]:
        """Register a feed's task while the context is open, and yield its identity.

        A call may still fail between the request to stop a task and its end. A stopped
        task must not remain the retrying feed, or no other feed would retry.

        Parameters
        ----------
        renew : callable
            Renews a pending watch of the feed; called when the store answers another
            feed after a failure.
        """
        feed = object()
        self._renewals[feed] = renew
        try:
            yield feed
        finally:
            del self._renewals[feed]
            self.unregister(feed)

    def record_failure(self, feed: Hashable, required: bool = True) -> bool:
        """Record a failed call; return whether this feed is to retry.

        Parameters
        ----------
        feed : hashable
            Identity of the feed.
        required : bool, default=True
            Other feeds may wait for this one.  They never wait for a feed of a kind
            that the store may refuse while it serves the others.
        """
        if not self._enabled:
            return True
        if self._retrying_feed is None and required:
            self._retrying_feed = feed
        return self._retrying_feed in (feed, None)

    def record_success(self, feed: Hashable = None) -> None:
        """Record an answer of the store: all feeds may call.

        Parameters
        ----------
        feed : hashable, default=None
            Identity of the feed that got the answer.
        """
        was_lost = self._retrying_feed is not None
        self._release()
        if was_lost:
            for other, renew in list(self._renewals.items()):
                if other is not feed:
                    renew()

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

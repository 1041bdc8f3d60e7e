"""Circuit breaker of the store: one of an instance's feeds tries, the others wait.

Load pattern: the store refuses or does not answer all instances for seconds.  Each feed
that called again by itself would double the calls of an outage, which are paid for and,
once the store is back, meet its limit of calls a second; an answer to one feed says as
much to the others.
"""

from collections.abc import Hashable, Iterator
from contextlib import contextmanager

from gevent.event import Event

__all__ = ["CircuitBreaker"]


class CircuitBreaker:
    """Says which feed tries while the store does not answer.

    Parameters
    ----------
    enabled : bool, default=True
        False: each feed tries for itself.

    Examples
    --------
    >>> breaker = CircuitBreaker()
    >>> breaker.failed("registry"), breaker.failed("configuration")
    (True, False)
    >>> breaker.answered()
    >>> breaker.failed("configuration")
    True
    >>> with breaker.caller() as feed:
    ...     breaker.answered()
    ...     breaker.failed(feed)
    True
    >>> breaker.failed("registry")
    True
    """

    def __init__(self, enabled: bool = True) -> None:
        self._enabled = enabled
        self._trying: Hashable | None = None
        self._changed = Event()

    @contextmanager
    def caller(self) -> Iterator[Hashable]:
        """Name a feed's task for as long as it makes calls.

        The task itself leaves: a call that fails between the request to stop a task and
        its end would otherwise make it the one that tries, with nobody left to try.
        """
        feed = object()
        try:
            yield feed
        finally:
            self.stopped(feed)

    def failed(self, feed: Hashable) -> bool:
        """Take in that a call failed; returns whether this feed is to try again."""
        if not self._enabled:
            return True
        if self._trying is None:
            self._trying = feed
        return self._trying == feed

    def answered(self) -> None:
        """Take in that the store answered: all may call."""
        self._let_go()

    def stopped(self, feed: Hashable) -> None:
        """Take in that a feed makes no further call: another has to try for it."""
        if self._trying == feed:
            self._let_go()

    def wait(self) -> None:
        """Wait until the store has answered, or nobody tries."""
        self._changed.wait()

    def _let_go(self) -> None:
        self._trying = None
        waiting, self._changed = self._changed, Event()
        waiting.set()

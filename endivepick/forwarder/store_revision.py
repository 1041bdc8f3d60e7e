"""Newest revision that the store has shown to the feeds of an instance.

Scenario: a feed sends a long watch while the store is silent for a moment.  The store
loses the watch, its connection stays open, and nothing shows the loss until the watch
times out.  Changes of this kind are missed meanwhile.

All kinds of objects share one counter of revisions, so an answer about one kind shows
that something has changed since the last answer about another.
"""

from collections.abc import Callable

__all__ = ["StoreRevision"]


class StoreRevision:
    """Newest revision, and the feeds that are told when it advances.

    Examples
    --------
    >>> revision = StoreRevision()
    >>> revision.subscribe(lambda: print("advanced"))
    >>> revision.advance(7), revision.advance(7)
    advanced
    (None, None)
    >>> revision.newest
    7
    """

    def __init__(self) -> None:
        self.newest = 0
        """Newest revision; 0 if none is known."""
        self._subscribers: list[Callable[[], None]] = []

    def subscribe(self, on_advance: Callable[[], None]) -> None:
        """Call a function whenever the newest revision advances."""
        self._subscribers.append(on_advance)

    def advance(self, revision: int) -> None:
        """Record a revision that an answer of the store shows."""
        if revision <= self.newest:
            return
        self.newest = revision
        for on_advance in self._subscribers:
            on_advance()

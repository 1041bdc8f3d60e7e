"""Bounded epidemic spread of updates that ride on other messages."""

from collections.abc import Hashable, Iterator
from math import ceil, log2
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)


class SpreadQueue(Generic[Key]):
    """Keys of updates and how often each one still has to be sent.

    Parameters
    ----------
    factor : int
        Each update is sent ``factor * log2(peers)`` times.
    """

    def __init__(self, factor: int) -> None:
        self._factor = factor
        self._left: dict[Key, int] = {}

    def __len__(self) -> int:
        return len(self._left)

    def put(self, key: Key, peer_count: int) -> None:
        """Start to spread an update, or start it anew."""
        self._left[key] = self._factor * ceil(log2(peer_count + 2))

    def discard(self, key: Key) -> None:
        """Stop to spread an update."""
        self._left.pop(key, None)

    def take(self, count: int) -> list[Key]:
        """Return up to ``count`` keys for one message, each in its turn."""
        keys = list(self._first(count))
        for key in keys:
            left = self._left.pop(key) - 1
            if left > 0:
                self._left[key] = left
        return keys

    def _first(self, count: int) -> Iterator[Key]:
        for number, key in enumerate(self._left):
            if number == count:
                return
            yield key

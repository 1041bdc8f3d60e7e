"""Bounded epidemic spread of updates that ride on other messages."""

from collections.abc import Hashable, Iterator
from itertools import islice
from math import ceil, log2
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)


class SpreadQueue(Generic[Key]):
    """Keys of updates and how often each one still has to be sent.

    What was sent least often goes first, so that news do not wait for older ones.

    Parameters
    ----------
    factor : int
        Each update is sent ``factor * log2(peers)`` times.
    """

    def __init__(self, factor: int) -> None:
        self._factor = factor
        self._left: dict[Key, int] = {}
        # Keys by how often they still have to be sent.
        self._levels: dict[int, dict[Key, None]] = {}

    def __len__(self) -> int:
        return len(self._left)

    def __contains__(self, key: Key) -> bool:
        return key in self._left

    def put(self, key: Key, peer_count: int) -> None:
        """Start to spread an update, or start it anew."""
        self._set(key, self._factor * ceil(log2(peer_count + 2)))

    def discard(self, key: Key) -> None:
        """Stop to spread an update."""
        left = self._left.pop(key, 0)
        if left:
            level = self._levels[left]
            del level[key]
            if not level:
                del self._levels[left]

    def _set(self, key: Key, left: int) -> None:
        self.discard(key)
        if left > 0:
            self._left[key] = left
            self._levels.setdefault(left, {})[key] = None

    def take(self, count: int) -> list[Key]:
        """Return up to ``count`` keys for one message, the newest first."""
        if not self._left:
            return []
        keys = list(islice(self._newest_first(), count))
        for key in keys:
            self._set(key, self._left[key] - 1)
        return keys

    def _newest_first(self) -> Iterator[Key]:
        for left in sorted(self._levels, reverse=True):
            yield from self._levels[left]

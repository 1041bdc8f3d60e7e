"""Gossip: bounded dissemination of updates piggybacked on other messages."""

from collections.abc import Hashable, Iterator
from itertools import islice
from math import ceil, log2
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)


class GossipQueue(Generic[Key]):
    """Queue of update keys with the number of remaining transmissions.

    Keys with the most remaining transmissions are sent first, so that new updates
    are not delayed by older ones.

    Parameters
    ----------
    factor : int
        Each update is sent ``factor * ceil(log2(peers + 2))`` times.
    """

    def __init__(self, factor: int) -> None:
        self._factor = factor
        self._remaining: dict[Key, int] = {}
        # Keys by number of remaining transmissions.
        self._keys_by_remaining: dict[int, dict[Key, None]] = {}

    def __len__(self) -> int:
        return len(self._remaining)

    def __contains__(self, key: Key) -> bool:
        return key in self._remaining

    def put(self, key: Key, peer_count: int) -> None:
        """Add an update, or reset its remaining transmissions."""
        self._set_remaining(key, self._factor * ceil(log2(peer_count + 2)))

    def discard(self, key: Key) -> None:
        """Remove an update."""
        remaining = self._remaining.pop(key, 0)
        if remaining:
            keys_at_level = self._keys_by_remaining[remaining]
            del keys_at_level[key]
            if not keys_at_level:
                del self._keys_by_remaining[remaining]

    def _set_remaining(self, key: Key, remaining: int) -> None:
        self.discard(key)
        if remaining > 0:
            self._remaining[key] = remaining
            self._keys_by_remaining.setdefault(remaining, {})[key] = None

    def take(self, count: int) -> list[Key]:
        """Return up to ``count`` keys for one message, the least sent first."""
        if not self._remaining:
            return []
        keys = list(islice(self._iterate_least_sent_first(), count))
        for key in keys:
            self._set_remaining(key, self._remaining[key] - 1)
        return keys

    def _iterate_least_sent_first(self) -> Iterator[Key]:
        for remaining in sorted(self._keys_by_remaining, reverse=True):
            yield from self._keys_by_remaining[remaining]

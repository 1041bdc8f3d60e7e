"""Rendezvous (highest random weight) hashing.

Every instance that sees the same names computes the same order, and a name that
comes or goes moves only the keys that it wins or loses.

Examples
--------
>>> from endivepick.core.rendezvous import owner, top
>>> names = ["entry-1", "entry-2", "entry-3"]
>>> owner("notes", names) == top("notes", names, 1)[0]
True
>>> winner = owner("notes", names)
>>> others = [name for name in names if name != winner]
>>> top("notes", names, 2)[1] == owner("notes", others)
True
"""

import heapq
from collections.abc import Iterable
from functools import lru_cache

from xxhash import xxh3_64_intdigest

__all__ = ["find_heavier", "owner", "rank", "top"]

_CACHED_NAMES = 16_384


@lru_cache(maxsize=_CACHED_NAMES)
def _name_seed(name: str) -> int:
    """Return the hash of a name, which serves as its seed."""
    return xxh3_64_intdigest(name.encode())


def _weight(key: bytes, name: str) -> tuple[int, str]:
    return xxh3_64_intdigest(key, _name_seed(name)), name


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Order names by their weight for a key, heaviest first.

    Parameters
    ----------
    key : str
        What is placed, for example the name of a service.
    names : iterable of str
        Candidates; duplicates count once.

    Returns
    -------
    list of str
        All names; the first is the owner, the second takes over from it.

    Examples
    --------
    >>> sorted(rank("notes", ["a", "b", "a"]))
    ['a', 'b']
    """
    encoded = key.encode()
    return sorted(set(names), key=lambda name: _weight(encoded, name), reverse=True)


def owner(key: str, names: Iterable[str]) -> str | None:
    """Return the name with the highest weight, or None if there is no name.

    Examples
    --------
    >>> owner("notes", ["a"])
    'a'
    >>> owner("notes", []) is None
    True
    """
    encoded = key.encode()
    return max(names, key=lambda name: _weight(encoded, name), default=None)


def find_heavier(key: str, name: str, rivals: Iterable[str]) -> str | None:
    """Return the first rival that is heavier than a name, or None.

    With rivals in any order that does not depend on the key, a logarithmic number
    of them is looked at on average.

    Examples
    --------
    >>> find_heavier("notes", "a", ["a"]) is None
    True
    """
    encoded = key.encode()
    weight = _weight(encoded, name)
    return next((rival for rival in rivals if _weight(encoded, rival) > weight), None)


def top(key: str, names: Iterable[str], count: int) -> list[str]:
    """Return the first ``count`` names of the ranking.

    Parameters
    ----------
    key : str
        What is placed.
    names : iterable of str
        Candidates; duplicates count once.
    count : int
        How many names to return at most.

    Returns
    -------
    list of str
        Heaviest first; shorter if there are fewer names.

    Examples
    --------
    >>> len(top("notes", ["a", "b", "c"], 2))
    2
    """
    encoded = key.encode()
    return heapq.nlargest(count, set(names), key=lambda name: _weight(encoded, name))

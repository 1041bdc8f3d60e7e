"""Rendezvous (highest random weight) hashing.

Instances with the same set of names compute the same order.  Adding or removing a name
moves only the keys that this name gains or loses.

Examples
--------
>>> from endivepick.core.rendezvous import owner, top
>>> names = ["entry-1", "entry-2", "entry-3"]
>>> owner("notes", names) == top("notes", names, 1)[0]
True
>>> first = owner("notes", names)
>>> others = [name for name in names if name != first]
>>> top("notes", names, 2)[1] == owner("notes", others)
True
"""

import heapq
from collections.abc import Iterable
from functools import lru_cache

from xxhash import xxh3_64_intdigest

__all__ = ["find_heavier", "owner", "rank", "top"]

_CACHED_SEEDS_MAX = 16_384


@lru_cache(maxsize=_CACHED_SEEDS_MAX)
def _name_seed(name: str) -> int:
    """Return the hash of a name, which is the seed of its weights."""
    return xxh3_64_intdigest(name.encode())


def _weight(key: bytes, name: str) -> tuple[int, str]:
    return xxh3_64_intdigest(key, _name_seed(name)), name


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Sort names by decreasing weight for a key.

    Parameters
    ----------
    key : str
        Key to place, for example the name of a service.
    names : iterable of str
        Candidates; duplicates count once.

    Returns
    -------
    list of str
        All names; the first is the owner, the second becomes owner if it is removed.

    Examples
    --------
    >>> sorted(rank("notes", ["a", "b", "a"]))
    ['a', 'b']
    """
    encoded = key.encode()
    return sorted(set(names), key=lambda name: _weight(encoded, name), reverse=True)


def owner(key: str, names: Iterable[str]) -> str | None:
    """Return the name with the highest weight, or None without names.

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
    """Return the first rival with a higher weight than a name, or None.

    If the order of the rivals does not depend on the key, the average number of
    comparisons is logarithmic.

    Examples
    --------
    >>> find_heavier("notes", "a", ["a"]) is None
    True
    """
    encoded = key.encode()
    weight = _weight(encoded, name)
    return next((rival for rival in rivals if _weight(encoded, rival) > weight), None)


def top(key: str, names: Iterable[str], count: int) -> list[str]:
    """Return the ``count`` names with the highest weights.

    Parameters
    ----------
    key : str
        Key to place.
    names : iterable of str
        Candidates; duplicates count once.
    count : int
        Maximum number of names to return.

    Returns
    -------
    list of str
        Names by decreasing weight; fewer than ``count`` if there are fewer names.

    Examples
    --------
    >>> len(top("notes", ["a", "b", "c"], 2))
    2
    """
    encoded = key.encode()
    return heapq.nlargest(count, set(names), key=lambda name: _weight(encoded, name))

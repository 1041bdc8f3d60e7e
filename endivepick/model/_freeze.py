"""Hashable snapshots of mutable objects, used to recognise equal states."""

from collections import deque
from collections.abc import Hashable, Mapping
from enum import Enum
from itertools import count
from typing import Any

import msgspec

__all__ = ["freeze"]

_PLAIN = (type(None), bool, int, float, str, bytes, Enum, type)


def freeze(value: Any, skip: tuple[type, ...] = ()) -> Hashable:
    """Return a hashable snapshot that compares equal for equal content.

    The order of dictionaries is part of the snapshot, because the insertion order
    can decide what the code does next.

    Parameters
    ----------
    value : object
        Acyclic object graph.
    skip : tuple of type
        Stateless types; their instances are omitted.

    Examples
    --------
    >>> freeze([1, {2: {3}}]) == freeze([1, {2: {3}}])
    True
    >>> freeze([1]) == freeze([2])
    False
    """
    if isinstance(value, _PLAIN):
        return value
    if isinstance(value, skip) or callable(value):
        return None
    if isinstance(value, Mapping):
        pairs = ((freeze(key, skip), freeze(one, skip)) for key, one in value.items())
        return (dict, *pairs)
    if isinstance(value, (set, frozenset)):
        return frozenset(freeze(one, skip) for one in value)
    if isinstance(value, (list, tuple, deque)):
        return (type(value), *(freeze(one, skip) for one in value))
    if isinstance(value, count):
        return repr(value)
    return (type(value), *(freeze(one, skip) for one in _fields(value)))


def _fields(value: Any) -> list[Any]:
    if isinstance(value, msgspec.Struct):
        return [getattr(value, name) for name in value.__struct_fields__]
    if not hasattr(value, "__dict__") and not _slots(type(value)):
        raise TypeError(f"`freeze` does not support type {type(value).__name__}.")
    names = [*getattr(value, "__dict__", ()), *_slots(type(value))]
    return [getattr(value, name) for name in names]


def _slots(kind: type) -> list[str]:
    slots: list[str] = []
    for base in kind.__mro__:
        slots += base.__dict__.get("__slots__", ())
    return slots

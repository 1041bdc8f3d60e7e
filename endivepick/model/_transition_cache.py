"""Cache of the states of production objects and of their transitions.

Objects of the daemons' code are mutable and cannot be compared.  The cache numbers
each of their states, lets a copy handle each event and stores the outcome.
"""

from collections.abc import Callable, Hashable
from copy import deepcopy
from typing import Any, Generic, TypeVar

__all__ = ["TransitionCache"]

T = TypeVar("T")
R = TypeVar("R")


class TransitionCache(Generic[T]):
    """Numbered states of objects of one type, with their transitions.

    Parameters
    ----------
    freeze : callable
        Returns a hashable snapshot of everything that the later behaviour of an
        object depends on.

    Examples
    --------
    >>> cache = TransitionCache(tuple)
    >>> empty = cache.number_of([])
    >>> after, _ = cache.apply_event(empty, "append", lambda items: items.append(1))
    >>> cache[empty], cache[after]
    ([], [1])
    """

    def __init__(self, freeze: Callable[[T], Hashable]) -> None:
        self._freeze = freeze
        self._numbers: dict[Hashable, int] = {}
        self._objects: list[T] = []
        self._outcomes: dict[Hashable, tuple[int, Any]] = {}

    def __getitem__(self, number: int) -> T:
        """Return the object in a state; the caller must not modify it."""
        return self._objects[number]

    def number_of(self, one: T) -> int:
        """Return the number of an object's state and keep the object."""
        frozen = self._freeze(one)
        number = self._numbers.get(frozen)
        if number is None:
            number = len(self._objects)
            self._numbers[frozen] = number
            self._objects.append(one)
        return number

    def apply_event(
        self, number: int, event: Hashable, act: Callable[[T], R]
    ) -> tuple[int, R]:
        """Return the state after an event and the return value of ``act``.

        ``act`` may modify its argument.  Its result must depend only on its argument
        and on the event.
        """
        outcome = self._outcomes.get((number, event))
        if outcome is None:
            copy = deepcopy(self._objects[number])
            result = act(copy)
            outcome = (self.number_of(copy), result)
            self._outcomes[number, event] = outcome
        return outcome

"""States that real objects were found in, and what events make of them.

An object of the daemons' code can be changed but not compared.  Here each of its
states gets a number; an event is handled by a copy, and the outcome is remembered.
"""

from collections.abc import Callable, Hashable
from copy import deepcopy
from typing import Any, Generic, TypeVar

__all__ = ["Memory"]

T = TypeVar("T")
R = TypeVar("R")


class Memory(Generic[T]):
    """States of objects of one kind, by number.

    Parameters
    ----------
    freeze : callable
        Returns a hashable picture of everything that an object's later behaviour
        depends on.

    Examples
    --------
    >>> memory = Memory(tuple)
    >>> empty = memory.number_of([])
    >>> after, popped = memory.after(empty, "append", lambda items: items.append(1))
    >>> memory[empty], memory[after]
    ([], [1])
    """

    def __init__(self, freeze: Callable[[T], Hashable]) -> None:
        self._freeze = freeze
        self._numbers: dict[Hashable, int] = {}
        self._objects: list[T] = []
        self._outcomes: dict[Hashable, tuple[int, Any]] = {}

    def __getitem__(self, number: int) -> T:
        """Return the object in a state; it must not be changed."""
        return self._objects[number]

    def number_of(self, one: T) -> int:
        """Return the number of an object's state; the object is kept."""
        frozen = self._freeze(one)
        number = self._numbers.get(frozen)
        if number is None:
            number = len(self._objects)
            self._numbers[frozen] = number
            self._objects.append(one)
        return number

    def after(
        self, number: int, event: Hashable, act: Callable[[T], R]
    ) -> tuple[int, R]:
        """Return the state after an event, and what ``act`` returned.

        ``act`` may change its argument; it has to depend on nothing but that and
        the event.
        """
        outcome = self._outcomes.get((number, event))
        if outcome is None:
            copy = deepcopy(self._objects[number])
            result = act(copy)
            outcome = (self.number_of(copy), result)
            self._outcomes[number, event] = outcome
        return outcome

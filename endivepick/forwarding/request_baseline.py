"""What is usual for requests of a service, learnt from those that were answered.

Distributions forget as new values come, and take a few hundred bytes.
"""

from collections.abc import Iterable
from math import log2

from msgspec import Struct

__all__ = ["Bucket", "UsualRequests", "UsualValues"]

_STEPS_PER_DOUBLING = 2
_SMALLEST_S = 0.001
_SMALLEST_BYTES = 1.0
_BUCKETS = 64
"""Enough for a factor of 2**32 between the smallest and the largest value."""
ENOUGH_ANSWERS = 30
"""Answers after which it is known what is usual."""
OVERDUE_FACTOR = 2.0
"""A request is overdue after so many times the longest usual time."""
USUAL_SHARE = 0.99
"""Share of the answers that begin within the longest usual time."""
SHORT_FACTOR = 3.0
"""An answer that begins with so many times less than is usual is an error."""
REMEMBERED = 512
"""Values that count; older ones are halved away as new ones come, so that a change of
load is usual after as many requests, however fast they are."""

_MOST_TOLD = 2**24
"""More values than all instances of a zone remember together."""


class Bucket(Struct, frozen=True, array_like=True):
    """Values of a histogram that are about alike, as instances tell each other.

    Attributes
    ----------
    index : int
        Which of the buckets.
    values : int
        How many values are in it.
    """

    index: int
    values: int

    @property
    def possible(self) -> bool:
        """Whether an instance or a feeder of this build tells such a bucket."""
        return 0 <= self.index < _BUCKETS and 0 < self.values <= _MOST_TOLD

    def bounded(self) -> "Bucket":
        """Return this with no more values than one instance remembers."""
        return Bucket(self.index, min(self.values, REMEMBERED))


class UsualValues:
    """Counts positive values in buckets of half an octave.

    Parameters
    ----------
    smallest : float
        Values up to this one are not told apart.

    Examples
    --------
    >>> usual = UsualValues(smallest=0.001)
    >>> for value in (0.01, 0.011, 0.012, 0.5):
    ...     usual.add(value)
    >>> round(usual.quantile(0.5), 3), usual.count
    (0.011, 4)
    """

    def __init__(self, smallest: float) -> None:
        self._smallest = smallest
        self._buckets = [0] * _BUCKETS
        self.count = 0
        """Values that count now."""

    def add(self, value: float) -> None:
        """Take in a value."""
        ratio = value / self._smallest
        index = 0 if ratio <= 1.0 else int(log2(ratio) * _STEPS_PER_DOUBLING) + 1
        self._buckets[min(index, _BUCKETS - 1)] += 1
        self.count += 1
        if self.count >= REMEMBERED:
            self._buckets = [number // 2 for number in self._buckets]
            self.count = sum(self._buckets)

    def buckets(self) -> list[Bucket]:
        """Return the buckets that hold values."""
        numbers = enumerate(self._buckets)
        return [Bucket(index, number) for index, number in numbers if number]

    def add_buckets(self, buckets: Iterable[Bucket]) -> None:
        """Take in what another instance has counted."""
        for bucket in buckets:
            self._buckets[bucket.index] += bucket.values
            self.count += bucket.values

    def quantile(self, share: float) -> float:
        """Return an upper bound of the value that a share does not exceed."""
        wanted = share * self.count
        passed = 0
        for index, number in enumerate(self._buckets):
            passed += number
            if passed >= wanted:
                return self._upper(index)
        return self._upper(_BUCKETS - 1)

    def _upper(self, index: int) -> float:
        return float(self._smallest * 2 ** (index / _STEPS_PER_DOUBLING))


class UsualRequests:
    """What is usual for requests of a kind at a service."""

    def __init__(self) -> None:
        self.waits_s = UsualValues(_SMALLEST_S)
        self.first_bytes = UsualValues(_SMALLEST_BYTES)

    @property
    def known(self) -> bool:
        """Whether enough answers were seen."""
        return self.waits_s.count >= ENOUGH_ANSWERS

    def overdue_s(self) -> float:
        """Return the time without an answer after which a request is overdue."""
        return OVERDUE_FACTOR * self.waits_s.quantile(USUAL_SHARE)

    def is_short(self, size_bytes: int) -> bool:
        """Whether an answer that begins with so much is an error."""
        return size_bytes * SHORT_FACTOR < self.first_bytes.quantile(0.5)

"""Baseline of the requests of a service, learnt from those that were answered.

The histograms discard old values as new ones are added, and take a few hundred bytes
each.
"""

from collections.abc import Iterable
from math import log2

from msgspec import Struct

__all__ = ["Bucket", "DecayingHistogram", "RequestBaseline"]

_STEPS_PER_DOUBLING = 2
_SMALLEST_S = 0.001
_SMALLEST_BYTES = 1.0
_BUCKETS = 64
"""Enough for a factor of 2**32 between the smallest and the largest value."""
MIN_BASELINE_ANSWERS = 30
"""Answers after which a baseline is known."""
OVERDUE_FACTOR = 2.0
"""A request is overdue after this multiple of the `BASELINE_QUANTILE` of the wait."""
BASELINE_QUANTILE = 0.99
"""Quantile of the waits that counts as the longest usual wait."""
SHORT_FACTOR = 3.0
"""An answer whose first part is smaller than the median by more than this factor counts
as an error."""
HISTOGRAM_CAPACITY = 512
"""Number of values at which all counts of a histogram are halved.

The baseline thus follows a change of load after about as many requests, whatever their
rate."""

_MAX_BUCKET_VALUES = 2**24
"""Largest valid count of a bucket; all instances of a zone hold fewer values."""


class Bucket(Struct, frozen=True, array_like=True):
    """Bucket of a histogram, as exchanged between instances.

    Attributes
    ----------
    index : int
        Index of the bucket.
    values : int
        Number of values in the bucket.
    """

    index: int
    values: int

    @property
    def is_valid(self) -> bool:
        """Whether an instance or a feeder of this build can send such a bucket."""
        return 0 <= self.index < _BUCKETS and 0 < self.values <= _MAX_BUCKET_VALUES

    def bounded(self) -> "Bucket":
        """Return the bucket limited to the histogram capacity of one instance."""
        return Bucket(self.index, min(self.values, HISTOGRAM_CAPACITY))


class DecayingHistogram:
    """Histogram of positive values with decay, in buckets of half an octave.

    Parameters
    ----------
    smallest : float
        Upper bound of the first bucket.

    Examples
    --------
    >>> waits_s = DecayingHistogram(smallest=0.001)
    >>> for value in (0.01, 0.011, 0.012, 0.5):
    ...     waits_s.add(value)
    >>> round(waits_s.quantile(0.5), 3), waits_s.count
    (0.011, 4)
    """

    def __init__(self, smallest: float) -> None:
        self._smallest = smallest
        self._buckets = [0] * _BUCKETS
        self.count = 0
        """Number of values in the histogram."""

    def add(self, value: float) -> None:
        """Add a value."""
        ratio = value / self._smallest
        index = 0 if ratio <= 1.0 else int(log2(ratio) * _STEPS_PER_DOUBLING) + 1
        self._buckets[min(index, _BUCKETS - 1)] += 1
        self.count += 1
        if self.count >= HISTOGRAM_CAPACITY:
            self._buckets = [number // 2 for number in self._buckets]
            self.count = sum(self._buckets)

    def buckets(self) -> list[Bucket]:
        """Return the non-empty buckets."""
        numbers = enumerate(self._buckets)
        return [Bucket(index, number) for index, number in numbers if number]

    def add_buckets(self, buckets: Iterable[Bucket]) -> None:
        """Add the buckets of another instance."""
        for bucket in buckets:
            self._buckets[bucket.index] += bucket.values
            self.count += bucket.values

    def quantile(self, share: float) -> float:
        """Return an upper bound of a quantile."""
        rank = share * self.count
        cumulative = 0
        for index, number in enumerate(self._buckets):
            cumulative += number
            if cumulative >= rank:
                return self._upper(index)
        return self._upper(_BUCKETS - 1)

    def _upper(self, index: int) -> float:
        return float(self._smallest * 2 ** (index / _STEPS_PER_DOUBLING))


class RequestBaseline:
    """Baseline of the requests of one kind at a service."""

    def __init__(self) -> None:
        self.waits_s = DecayingHistogram(_SMALLEST_S)
        self.first_bytes = DecayingHistogram(_SMALLEST_BYTES)

    @property
    def is_known(self) -> bool:
        """Whether enough answers were observed."""
        return self.waits_s.count >= MIN_BASELINE_ANSWERS

    def overdue_after_s(self) -> float:
        """Return the time without an answer after which a request is overdue."""
        return OVERDUE_FACTOR * self.waits_s.quantile(BASELINE_QUANTILE)

    def is_short(self, size_bytes: int) -> bool:
        """Whether a first part of this size indicates an error."""
        return size_bytes * SHORT_FACTOR < self.first_bytes.quantile(0.5)

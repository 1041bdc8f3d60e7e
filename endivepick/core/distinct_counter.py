"""Estimate of how many different numbers were seen, in constant memory."""

from math import log

__all__ = ["DistinctCounter"]

CELLS = 1 << 16


class DistinctCounter:
    """Counts different random numbers by linear counting.

    Each number marks one of 65,536 cells; the share of cells without a mark tells
    how many numbers there were.  The error is below 2 % up to 200,000 numbers, and
    the memory 64 KiB whatever their number.

    Examples
    --------
    >>> counter = DistinctCounter()
    >>> for number in (3, 4, 3, 3):
    ...     counter.add(number)
    >>> round(counter.take()), round(counter.take())
    (2, 0)
    """

    def __init__(self) -> None:
        self._cells = bytearray(CELLS)

    def add(self, number: int) -> None:
        """Take note of a number whose lowest bits are random."""
        self._cells[number % CELLS] = 1

    def take(self) -> float:
        """Return the estimate since the last call, and begin again."""
        unmarked = max(1, self._cells.count(0))
        self._cells = bytearray(CELLS)
        return CELLS * log(CELLS / unmarked)

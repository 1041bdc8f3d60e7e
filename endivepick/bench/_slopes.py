"""Slopes: what one more flow, target, record or peer costs, with the spread."""

import gc
import os
import statistics
import tracemalloc
from collections.abc import Callable, Iterator, Mapping, Sequence
from contextlib import contextmanager
from dataclasses import dataclass

__all__ = ["Measured", "TracedBytes", "format_slopes", "measure", "traced"]

REPEATS = 3


@dataclass(frozen=True)
class Measured:
    """A quantity measured at several sizes, each several times.

    Attributes
    ----------
    name : str
        What was measured.
    unit : str
        Unit of the values.
    per : str
        What the sizes count.
    sizes : tuple of int
        Sizes, ascending.
    runs : tuple of tuple of float
        For each repetition, the value at each size.

    Examples
    --------
    >>> flows = Measured("held", "B", "flow", (1, 3), ((10.0, 30.0), (12.0, 34.0)))
    >>> flows.slope, flows.slopes, flows.fixed
    (10.5, [10.0, 11.0], 0.5)
    >>> flows.at(100)
    1050.5
    """

    name: str
    unit: str
    per: str
    sizes: tuple[int, ...]
    runs: tuple[tuple[float, ...], ...]

    @property
    def slopes(self) -> list[float]:
        """Slope of each repetition, ascending."""
        return sorted(_fit(self.sizes, run)[0] for run in self.runs)

    @property
    def slope(self) -> float:
        """Median of the slopes."""
        return statistics.median(self.slopes)

    @property
    def fixed(self) -> float:
        """Median of the values that the fits give for size 0."""
        return statistics.median(_fit(self.sizes, run)[1] for run in self.runs)

    def at(self, size: float) -> float:
        """Return the value at a size by the median fit, never below 0."""
        return max(0.0, self.fixed + self.slope * size)

    def median(self, size: int) -> float:
        """Return the median of what was measured at a size."""
        index = self.sizes.index(size)
        return statistics.median(run[index] for run in self.runs)

    @property
    def last(self) -> float:
        """Median of what was measured at the largest size."""
        return self.median(self.sizes[-1])


def _fit(sizes: Sequence[int], values: Sequence[float]) -> tuple[float, float]:
    """Return slope and intercept by least squares."""
    line = statistics.linear_regression(sizes, values)
    return line.slope, line.intercept


def measure(
    per: str,
    sizes: Sequence[int],
    units: Mapping[str, str],
    once: Callable[[int], Mapping[str, float]],
    repeats: int = REPEATS,
) -> dict[str, Measured]:
    """Measure at all sizes, again and again.

    Parameters
    ----------
    per : str
        What the sizes count.
    sizes : sequence of int
        Sizes, ascending.
    units : mapping of str to str
        Unit of each quantity that ``once`` returns.
    once : callable
        Takes a size and returns the value of each quantity.
    repeats : int
        Repetitions; in each all sizes are measured once.

    Returns
    -------
    dict of str to Measured
        By the name of the quantity.
    """
    results = [[once(size) for size in sizes] for _ in range(repeats)]
    return {
        name: Measured(
            name,
            unit,
            per,
            tuple(sizes),
            tuple(tuple(values[name] for values in run) for run in results),
        )
        for name, unit in units.items()
    }


@dataclass
class TracedBytes:
    """Memory that was allocated in a block and is still held, in bytes."""

    held: int = 0


@contextmanager
def traced() -> Iterator[TracedBytes]:
    """Count the memory that a block leaves allocated."""
    result = TracedBytes()
    gc.collect()
    tracemalloc.start()
    try:
        yield result
        gc.collect()
        result.held, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()


def format_slopes(measured: Sequence[Measured]) -> str:
    """Return a table: values at each size, slope with its spread, fixed part."""
    lines = [
        f"{'measure':34} {'unit':>6}  {'at sizes (median)':62} slope (spread), fixed"
    ]
    for one in measured:
        sizes = " ".join(f"{size}:{_short(one.median(size))}" for size in one.sizes)
        low, high = one.slopes[0], one.slopes[-1]
        slope = f"{_short(one.slope)}/{one.per} ({_short(low)} to {_short(high)})"
        lines.append(
            f"{one.name:34} {one.unit:>6}  {sizes:62} {slope}, {_short(one.fixed)}"
        )
    lines.append(f"load average {os.getloadavg()[0]:.1f}, {os.cpu_count()} cores")
    return "\n".join(lines)


def _short(value: float) -> str:
    return f"{value:,.0f}" if abs(value) >= 1000 else f"{value:.3g}"

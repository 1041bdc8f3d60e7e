"""Linear fits of costs against sizes: marginal cost, spread and fixed cost."""

import gc
import os
import statistics
import tracemalloc
from collections.abc import Callable, Iterator, Mapping, Sequence
from contextlib import contextmanager
from dataclasses import dataclass

__all__ = ["Measurement", "RetainedMemory", "format_slopes", "measure", "trace_memory"]

REPEATS = 3


@dataclass(frozen=True)
class Measurement:
    """Quantity measured repeatedly at several sizes.

    Attributes
    ----------
    name : str
        Name of the quantity.
    unit : str
        Unit of the values.
    per : str
        Item that the sizes count.
    sizes : tuple of int
        Sizes, ascending.
    runs : tuple of tuple of float
        Values at each size, for each repetition.

    Examples
    --------
    >>> flows = Measurement("held", "B", "flow", (1, 3), ((10.0, 30.0), (12.0, 34.0)))
    >>> flows.slope, flows.slopes, flows.at_zero
    (10.5, [10.0, 11.0], 0.5)
    >>> flows.predict(100)
    1050.5
    """

    name: str
    unit: str
    per: str
    sizes: tuple[int, ...]
    runs: tuple[tuple[float, ...], ...]

    @property
    def slopes(self) -> list[float]:
        """Slopes of the repetitions, ascending."""
        return sorted(_fit_line(self.sizes, run)[0] for run in self.runs)

    @property
    def slope(self) -> float:
        """Median of the slopes."""
        return statistics.median(self.slopes)

    @property
    def at_zero(self) -> float:
        """Median of the intercepts."""
        return statistics.median(_fit_line(self.sizes, run)[1] for run in self.runs)

    def predict(self, size: float) -> float:
        """Return the value at a size from the median fit, at least 0."""
        return max(0.0, self.at_zero + self.slope * size)

    def median(self, size: int) -> float:
        """Return the median of the values measured at a size."""
        index = self.sizes.index(size)
        return statistics.median(run[index] for run in self.runs)

    @property
    def last(self) -> float:
        """Median of the values measured at the largest size."""
        return self.median(self.sizes[-1])


def _fit_line(sizes: Sequence[int], values: Sequence[float]) -> tuple[float, float]:
    """Return slope and intercept by least squares."""
    line = statistics.linear_regression(sizes, values)
    return line.slope, line.intercept


def measure(
    per: str,
    sizes: Sequence[int],
    units: Mapping[str, str],
    once: Callable[[int], Mapping[str, float]],
    repeats: int = REPEATS,
) -> dict[str, Measurement]:
    """Measure quantities at all sizes repeatedly.

    Parameters
    ----------
    per : str
        Item that the sizes count.
    sizes : sequence of int
        Sizes, ascending.
    units : mapping of str to str
        Unit of each quantity that ``once`` returns.
    once : callable
        Takes a size and returns the value of each quantity.
    repeats : int
        Number of repetitions, each of which measures every size once.

    Returns
    -------
    dict of str to Measurement
        Measurements by name of the quantity.
    """
    results = [[once(size) for size in sizes] for _ in range(repeats)]
    return {
        name: Measurement(
            name,
            unit,
            per,
            tuple(sizes),
            tuple(tuple(values[name] for values in run) for run in results),
        )
        for name, unit in units.items()
    }


@dataclass
class RetainedMemory:
    """Memory allocated in a block and not released, in bytes."""

    retained_bytes: int = 0


@contextmanager
def trace_memory() -> Iterator[RetainedMemory]:
    """Measure the memory that a block allocates and does not release."""
    result = RetainedMemory()
    gc.collect()
    tracemalloc.start()
    try:
        yield result
        gc.collect()
        result.retained_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()


def format_slopes(measured: Sequence[Measurement]) -> str:
    """Return a table with values at each size, slope, spread and intercept."""
    lines = [
        f"{'measure':34} {'unit':>6}  {'at sizes (median)':62} slope (spread), fixed"
    ]
    for one in measured:
        sizes = " ".join(f"{size}:{_format(one.median(size))}" for size in one.sizes)
        low, high = one.slopes[0], one.slopes[-1]
        slope = f"{_format(one.slope)}/{one.per} ({_format(low)} to {_format(high)})"
        lines.append(
            f"{one.name:34} {one.unit:>6}  {sizes:62} {slope}, {_format(one.at_zero)}"
        )
    lines.append(f"load average {os.getloadavg()[0]:.1f}, {os.cpu_count()} cores")
    return "\n".join(lines)


def _format(value: float) -> str:
    return f"{value:,.0f}" if abs(value) >= 1000 else f"{value:.3g}"

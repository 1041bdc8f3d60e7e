"""Metrics of a run: load imbalance and durations."""

from collections.abc import Sequence
from statistics import median

from hdrh.histogram import HdrHistogram

__all__ = ["ImbalanceMeter", "LatencyHistogram"]

_LOWEST_US = 1
_HIGHEST_US = 3_600_000_000
_DIGITS = 3


class ImbalanceMeter:
    """Ratio of the highest to the mean target load, in windows of one second.

    The load of a target is its number of running and waiting requests per slot.

    Parameters
    ----------
    targets : int
        Number of targets.
    """

    def __init__(self, targets: int) -> None:
        self._targets = targets
        self._sums: dict[int, list[float]] = {}

    def sample(self, loads: Sequence[float], now_s: float) -> None:
        """Record the load of each target at a time, in seconds."""
        sums = self._sums.setdefault(int(now_s), [0.0] * self._targets)
        for index, load in enumerate(loads):
            sums[index] += load

    def windows(self) -> dict[int, float]:
        """Return the imbalance of each window with a positive load."""
        return {
            second: max(sums) * self._targets / sum(sums)
            for second, sums in self._sums.items()
            if sum(sums) > 0.0
        }

    def median_and_peak(self, start_s: float, end_s: float) -> tuple[float, float]:
        """Return the median and maximum imbalance within an interval, in seconds."""
        values = [
            value
            for second, value in self.windows().items()
            if start_s <= second < end_s
        ]
        return (median(values), max(values)) if values else (0.0, 0.0)


class LatencyHistogram:
    """HDR histogram of durations."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)

    def add(self, duration_s: float) -> None:
        """Record a duration, in seconds."""
        self._histogram.record_value(max(_LOWEST_US, round(duration_s * 1e6)))

    def percentile_s(self, percentile: float) -> float:
        """Return a percentile, in seconds."""
        return self._histogram.get_value_at_percentile(percentile) / 1e6

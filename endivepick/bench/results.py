"""Results of runs: running many at once, files of JSON lines, spreads."""

from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from statistics import median

import msgspec

from endivepick.bench.experiment import Experiment, RunResult, run_experiment

__all__ = ["Spread", "read_results", "run_all", "spread_of", "write_results"]


@dataclass(frozen=True)
class Spread:
    """Smallest, median and largest value over the seeds."""

    lowest: float
    median: float
    highest: float

    @classmethod
    def of(cls, values: Sequence[float]) -> "Spread":
        """Return the spread of values; at least one is needed."""
        return cls(min(values), median(values), max(values))

    def __str__(self) -> str:
        numbers = (self.median, self.lowest, self.highest)
        middle, lowest, highest = (_short(number) for number in numbers)
        return middle if lowest == highest else f"{middle} [{lowest} {highest}]"


def _short(number: float) -> str:
    return f"{number:.0f}" if number >= 100 else f"{number:.3g}"


def spread_of(
    results: Sequence[RunResult], measure: Callable[[RunResult], float]
) -> Spread:
    """Return the spread of a measure over runs; at least one run is needed."""
    return Spread.of([measure(result) for result in results])


def run_all(experiments: Sequence[Experiment], processes: int) -> list[RunResult]:
    """Run experiments in several processes and return results in their order.

    Parameters
    ----------
    experiments : sequence of Experiment
        What to run.
    processes : int
        Worker processes.
    """
    with ProcessPoolExecutor(processes) as pool:
        return list(pool.map(run_experiment, experiments))


def write_results(path: Path, results: Iterable[RunResult]) -> None:
    """Write one JSON line for each run, with its settings and seed."""
    lines = (msgspec.json.encode(result) for result in results)
    path.write_bytes(b"".join(line + b"\n" for line in lines))


def read_results(path: Path) -> list[RunResult]:
    """Read a file that `write_results` wrote.

    Raises
    ------
    msgspec.DecodeError
        If a line is no result of this version.
    """
    lines = path.read_bytes().splitlines()
    return [msgspec.json.decode(line, type=RunResult) for line in lines]

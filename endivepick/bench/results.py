"""Parallel runs, result files as JSON lines, and spreads over seeds."""

from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from statistics import median

import msgspec

from endivepick.bench.experiment import Experiment, RunResult, run_experiment

__all__ = ["Spread", "read_results", "run_all", "compute_spread", "write_results"]


@dataclass(frozen=True)
class Spread:
    """Minimum, median and maximum over the seeds."""

    lowest: float
    median: float
    highest: float

    @classmethod
    def of(cls, values: Sequence[float]) -> "Spread":
        """Return the spread of at least one value."""
        return cls(min(values), median(values), max(values))

    def __str__(self) -> str:
        numbers = (self.median, self.lowest, self.highest)
        middle, lowest, highest = (_format_number(number) for number in numbers)
        return middle if lowest == highest else f"{middle} [{lowest} {highest}]"


def _format_number(number: float) -> str:
    return f"{number:.0f}" if number >= 100 else f"{number:.3g}"


def compute_spread(
    results: Sequence[RunResult], measure: Callable[[RunResult], float]
) -> Spread:
    """Return the spread of a metric over at least one run."""
    return Spread.of([measure(result) for result in results])


def run_all(experiments: Sequence[Experiment], processes: int) -> list[RunResult]:
    """Run experiments in parallel and return the results in the same order.

    Parameters
    ----------
    experiments : sequence of Experiment
        Experiments to run.
    processes : int
        Number of worker processes.
    """
    with ProcessPoolExecutor(processes) as pool:
        return list(pool.map(run_experiment, experiments))


def write_results(path: Path, results: Iterable[RunResult]) -> None:
    """Write one JSON line per run, including its settings and seed."""
    lines = (msgspec.json.encode(result) for result in results)
    path.write_bytes(b"".join(line + b"\n" for line in lines))


def read_results(path: Path) -> list[RunResult]:
    """Read a file written by `write_results`.

    Raises
    ------
    msgspec.DecodeError
        If a line is not a result in the format of this version.
    """
    lines = path.read_bytes().splitlines()
    return [msgspec.json.decode(line, type=RunResult) for line in lines]

"""Means and paired differences of policies that run with the same seeds."""

import math
import os
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from statistics import fmean, stdev

import fire

from endivepick.bench.experiment import Experiment, RunResult
from endivepick.bench.results import run_all, write_results

__all__ = ["Mean", "format_paired", "paired", "paired_experiments"]

_MEASURES: dict[str, Callable[[RunResult], float]] = {
    "imbalance": lambda r: r.imbalance_median,
    "wait p99 s": lambda r: r.waiting_p99_s,
    "refused": lambda r: r.refused,
}


@dataclass(frozen=True)
class Mean:
    """A mean with its standard error."""

    mean: float
    error: float

    @classmethod
    def of(cls, values: Sequence[float]) -> "Mean":
        """Return the mean of values. The error of a single value is NaN."""
        error = stdev(values) / math.sqrt(len(values)) if len(values) > 1 else math.nan
        return cls(fmean(values), error)

    def __str__(self) -> str:
        return f"{self.mean:.4g} ({self.error:.2g})"


def paired_experiments(
    first: Experiment, policies: Sequence[str], seeds: int
) -> list[Experiment]:
    """Return one experiment per policy and seed, with seeds starting at 1."""
    return [
        Experiment(
            first.shape,
            first.affinity,
            first.load,
            policy,
            first.fault,
            seed,
            first.duration_s,
        )
        for policy in policies
        for seed in range(1, seeds + 1)
    ]


def format_paired(results: Sequence[RunResult], base: str) -> str:
    """Return a table of means with standard errors in brackets.

    The columns hold, for each metric, the mean, the mean difference from ``base`` with
    the same seed, and the mean ratio to it.

    Parameters
    ----------
    results : sequence of RunResult
        Results of each policy with the same seeds, for one scenario.
    base : str
        Reference policy.
    """
    runs: dict[str, dict[int, RunResult]] = {}
    for result in results:
        e = result.experiment
        runs.setdefault(e.policy, {})[e.seed] = result
    lines = []
    for policy, by_seed in runs.items():
        for name, measure in _MEASURES.items():
            values = [measure(by_seed[seed]) for seed in by_seed]
            references = [measure(runs[base][seed]) for seed in by_seed]
            pairs = list(zip(values, references, strict=True))
            difference = Mean.of([value - reference for value, reference in pairs])
            ratios = [
                value / reference for value, reference in pairs if reference > 0.0
            ]
            ratio = str(Mean.of(ratios)) if ratios else "-"
            lines.append(
                f"{policy:24} {name:11} {Mean.of(values)!s:>18} "
                f"{difference!s:>20} {ratio:>16}"
            )
    heading = f"{'policy':24} {'measure':11} {'mean':>18} "
    return "\n".join([f"{heading}{'minus ' + base:>20} {'ratio':>16}", *lines])


def paired(
    policies: str = "perfect,owner",
    shape: str = "harada",
    affinity: str = "flow",
    load: float = 0.9,
    fault: str = "none",
    seeds: int = 12,
    duration_s: float = 320.0,
    base: str = "perfect",
    processes: int = 4,
    results: str = "",
) -> str:
    """Run policies with the same seeds and return the table of paired differences.

    Parameters
    ----------
    policies : str
        Names of policies, separated by commas.
    shape, affinity, load, fault, duration_s
        As in ``Experiment``.
    seeds : int
        Number of seeds, starting at 1.
    base : str
        Reference policy; one of ``policies``.
    processes : int
        Number of worker processes.
    results : str
        Output file with one JSON line per run; none if empty.
    """
    names = list(policies) if not isinstance(policies, str) else policies.split(",")
    first = Experiment(
        shape, affinity, float(load), base, fault, 1, duration_s=float(duration_s)
    )
    done = run_all(paired_experiments(first, names, seeds), processes)
    if results:
        write_results(Path(results), done)
    title = (
        f"{shape}, affinity {affinity}, load {load}, fault {fault}, {seeds} seeds of "
        f"{duration_s:.0f} s; load average {os.getloadavg()[0]:.1f}"
    )
    return f"{title}\n{format_paired(done, base)}"


if __name__ == "__main__":
    fire.Fire(paired)

"""Command-line entry points of the placement policy simulations."""

from pathlib import Path

import msgspec

from endivepick.bench.experiment import Experiment, run_experiment
from endivepick.bench.report import render_report
from endivepick.bench.results import read_results, run_all, write_results
from endivepick.bench.table import SEEDS, format_table, make_table_experiments

__all__ = ["policy_report", "policy_run", "policy_table"]

DEFAULT_RESULTS = "var/bench/policies.jsonl"
DEFAULT_REPORT = "var/bench/policies.html"
DEFAULT_PROCESSES = 4


def policy_run(
    shape: str = "harada",
    affinity: str = "request",
    load: float = 0.9,
    policy: str = "owner",
    fault: str = "none",
    seed: int = 1,
) -> str:
    """Run one experiment and return its result as a JSON line.

    Parameters
    ----------
    shape : str
        ``harada``, ``leave-desk``, ``harada-packs``, ``leave-desk-exports`` or
        ``harada-hot``.
    affinity : str
        ``flow`` or ``request``.
    load : float
        Ratio of offered work to capacity.
    policy, fault : str
        Names from ``endivepick.bench.policies`` and ``endivepick.bench.faults``.
    seed : int
        Seed of the random number generators.
    """
    experiment = Experiment(shape, affinity, float(load), policy, fault, seed)
    return msgspec.json.encode(run_experiment(experiment)).decode()


def policy_table(
    results: str = DEFAULT_RESULTS,
    processes: int = DEFAULT_PROCESSES,
    seeds: int = len(SEEDS),
) -> str:
    """Run all policies with the same seeds and return the result table.

    Parameters
    ----------
    results : str
        Output file, with one JSON line per run.
    processes : int
        Number of worker processes.
    seeds : int
        Number of seeds per experiment, starting at 1.
    """
    experiments = make_table_experiments(tuple(range(1, seeds + 1)))
    done = run_all(experiments, processes)
    path = Path(results)
    path.parent.mkdir(parents=True, exist_ok=True)
    write_results(path, done)
    return format_table(done)


def policy_report(results: str = DEFAULT_RESULTS, report: str = DEFAULT_REPORT) -> str:
    """Write the HTML report and return its path.

    Parameters
    ----------
    results : str
        Results file written by `policy_table`.
    report : str
        Path of the HTML page.
    """
    path = Path(report)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(render_report(read_results(Path(results))), encoding="utf-8")
    return str(path)

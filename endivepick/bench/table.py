"""Table that compares all placement policies with the same seeds."""

import dataclasses
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from itertools import product

from endivepick.bench.experiment import Experiment, RunResult
from endivepick.bench.faults import FAULTS
from endivepick.bench.policies import POLICIES
from endivepick.bench.results import Spread, compute_spread

__all__ = ["SEEDS", "format_table", "make_table_experiments"]

SEEDS = (1, 2, 3)
SESSION_SHAPES = ("harada", "leave-desk")
EXPORT_SHAPES = ("harada-packs", "leave-desk-exports")
AFFINITIES = ("flow", "request")
STEADY_LOAD = 0.9
STEADY_DURATION_S = 320.0
FAULT_LOAD = 0.7
HOT_SHAPE = "harada-hot"
HOT_DURATION_S = 50.0
STEADY_POLICIES = tuple(
    name for name in POLICIES if name not in ("owner_per_zone", "owner_shards")
)
HOT_POLICIES = ("perfect", "owner", "owner_shards", "target_owners", "two_choices")
OVERLOAD_POLICIES = ("perfect", "owner", "two_choices", "least_loaded")
ZONE_POLICIES = ("perfect", "owner", "owner_per_zone", "owner_own_zone", "two_choices")
_PERFECT = "perfect"
_REFERENCE_MIN_S = 0.01


@dataclass(frozen=True)
class Column:
    """Column of the table: a heading and the metric that it shows."""

    heading: str
    measure: Callable[[RunResult], float]


COLUMNS = (
    Column("imbalance", lambda r: r.imbalance_median),
    Column("peak", lambda r: r.imbalance_peak),
    Column("wait p99 s", lambda r: r.waiting_p99_s),
    Column("goodput", lambda r: r.goodput),
    Column("in fault", lambda r: r.goodput_in_fault),
    Column("refused", lambda r: r.refused),
    Column("unknown", lambda r: r.unknown),
    Column("broken", lambda r: r.broken_flows),
    Column("attempts", lambda r: r.attempts_per_request),
    Column("hops", lambda r: r.hops_per_request),
    Column("zones", lambda r: r.zone_crossings_per_request),
    Column("control B/s", lambda r: r.control_bytes_per_s),
)


def make_table_experiments(seeds: Sequence[int] = SEEDS) -> list[Experiment]:
    """Return all experiments of the table, in row order."""
    return [
        dataclasses.replace(first, policy=policy, seed=seed)
        for first, policies in _generate_scenarios()
        for policy in policies
        for seed in seeds
    ]


def _generate_scenarios() -> Iterator[tuple[Experiment, Sequence[str]]]:
    """Yield each scenario and the policies to run it with.

    The policy of the yielded experiment is a placeholder.
    """
    for shape, affinity in product(SESSION_SHAPES, AFFINITIES):
        steady = Experiment(shape, affinity, STEADY_LOAD, _PERFECT)
        yield dataclasses.replace(steady, load=0.5), STEADY_POLICIES
        long = dataclasses.replace(steady, duration_s=STEADY_DURATION_S)
        yield long, STEADY_POLICIES
        for load in (1.2, 3.0):
            yield dataclasses.replace(steady, load=load), OVERLOAD_POLICIES
    for shape, load in product(EXPORT_SHAPES, (STEADY_LOAD, 1.2)):
        yield Experiment(shape, "request", load, _PERFECT), OVERLOAD_POLICIES
    for affinity in AFFINITIES:
        hot = Experiment(HOT_SHAPE, affinity, STEADY_LOAD, _PERFECT)
        yield dataclasses.replace(hot, duration_s=HOT_DURATION_S), HOT_POLICIES
    for shape, affinity, fault in product(SESSION_SHAPES, AFFINITIES, FAULTS):
        faulty = Experiment(shape, affinity, FAULT_LOAD, _PERFECT, fault)
        policies = ZONE_POLICIES if fault == "zone_cut" else OVERLOAD_POLICIES
        if fault != "none":
            yield faulty, policies


def format_table(results: Sequence[RunResult]) -> str:
    """Return the table as text: median, minimum and maximum over the seeds.

    Imbalance and waiting time are also given as ratios to those of the perfect
    scheduler with the same seed, where that was run.
    """
    lines: list[str] = []
    for scenario, runs in _group_results(results, _describe_scenario).items():
        by_policy = _group_results(runs, lambda result: result.experiment.policy)
        rows = [["policy", *_list_headings()]]
        for policy, policy_runs in by_policy.items():
            cells = [
                str(compute_spread(policy_runs, column.measure)) for column in COLUMNS
            ]
            ratios = _format_ratios(policy_runs, by_policy.get(_PERFECT, []))
            rows.append([policy, *cells, *ratios])
        lines += ["", scenario, *_align_rows(rows)]
    return "\n".join(lines[1:])


def _describe_scenario(result: RunResult) -> str:
    e = result.experiment
    return f"{e.shape}, affinity {e.affinity}, load {e.load}, fault {e.fault}"


def _list_headings() -> list[str]:
    return [*(column.heading for column in COLUMNS), "imb/perfect", "p99/perfect"]


def _format_ratios(
    runs: Sequence[RunResult], perfect: Sequence[RunResult]
) -> list[str]:
    by_seed = {result.experiment.seed: result for result in perfect}
    pairs = [(r, by_seed[r.experiment.seed]) for r in runs if perfect]
    return [
        _format_ratio([(r.imbalance_median, p.imbalance_median) for r, p in pairs]),
        _format_ratio([(r.waiting_p99_s, p.waiting_p99_s) for r, p in pairs]),
    ]


def _format_ratio(pairs: Sequence[tuple[float, float]]) -> str:
    values = [
        value / reference for value, reference in pairs if reference >= _REFERENCE_MIN_S
    ]
    return str(Spread.of(values)) if values else "-"


def _align_rows(rows: Sequence[Sequence[str]]) -> list[str]:
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    return [
        "  ".join(cell.rjust(width) for cell, width in zip(row, widths, strict=True))
        for row in rows
    ]


def _group_results(
    results: Sequence[RunResult], key: Callable[[RunResult], str]
) -> dict[str, list[RunResult]]:
    groups: dict[str, list[RunResult]] = {}
    for result in results:
        groups.setdefault(key(result), []).append(result)
    return groups

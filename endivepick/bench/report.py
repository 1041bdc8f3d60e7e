"""Self-contained HTML report with plots of the results."""

import base64
import html
import io
from collections.abc import Callable, Sequence
from statistics import mean

from matplotlib.axes import Axes
from matplotlib.figure import Figure

from endivepick.bench.experiment import RunResult
from endivepick.bench.faults import FAULT_END_S, FAULT_START_S
from endivepick.bench.results import compute_spread
from endivepick.bench.table import STEADY_LOAD, format_table

__all__ = ["render_report"]

_PANELS = (
    ("harada", "flow"),
    ("harada", "request"),
    ("leave-desk", "flow"),
    ("leave-desk", "request"),
)
_TIMELINE_POLICIES = ("perfect", "owner", "two_choices")


def render_report(results: Sequence[RunResult]) -> str:
    """Return an HTML page with plots and the result table.

    Parameters
    ----------
    results : sequence of RunResult
        Results of the experiments of the table, or a subset of them.
    """
    steady = [r for r in results if r.experiment.fault == "none"]
    at_load = [r for r in steady if r.experiment.load == STEADY_LOAD]
    figures = [
        _plot_bars(at_load, "imbalance (peak over mean)", lambda r: r.imbalance_median),
        _plot_bars(at_load, "waiting p99, s", lambda r: r.waiting_p99_s),
        _plot_bars(at_load, "refused requests", lambda r: r.refused),
        _plot_bars(at_load, "hops per request", lambda r: r.hops_per_request),
        _plot_bars(
            at_load, "control bytes/s, instance", lambda r: r.control_bytes_per_s
        ),
        _plot_bars(at_load, "processor time of a run, s", lambda r: r.processor_s),
        _plot_goodput(steady),
        _plot_broken_flows([r for r in results if r.experiment.fault != "none"]),
        *_plot_timelines(results),
    ]
    images = "\n".join(_render_image(figure) for figure in figures)
    table = html.escape(format_table(results))
    return (
        "<!doctype html><meta charset='utf-8'><title>endivepick bench</title>\n"
        f"<h1>Placement policies</h1>\n{images}\n<pre>{table}</pre>\n"
    )


def _select_results(
    results: Sequence[RunResult], shape: str, affinity: str
) -> list[RunResult]:
    return [
        r
        for r in results
        if (r.experiment.shape, r.experiment.affinity) == (shape, affinity)
    ]


def _group_by_policy(results: Sequence[RunResult]) -> dict[str, list[RunResult]]:
    groups: dict[str, list[RunResult]] = {}
    for result in results:
        groups.setdefault(result.experiment.policy, []).append(result)
    return groups


def _plot_bars(
    results: Sequence[RunResult], title: str, measure: Callable[[RunResult], float]
) -> Figure:
    figure = Figure(figsize=(16, 3.5))
    axes = figure.subplots(1, len(_PANELS), sharex=True)
    for axis, (shape, affinity) in zip(axes, _PANELS, strict=True):
        groups = _group_by_policy(_select_results(results, shape, affinity))
        spreads = [compute_spread(runs, measure) for runs in groups.values()]
        medians = [spread.median for spread in spreads]
        errors = [
            [spread.median - spread.lowest for spread in spreads],
            [spread.highest - spread.median for spread in spreads],
        ]
        if groups:
            axis.barh(list(groups), medians, xerr=errors)
        axis.set_title(f"{shape}, {affinity}", fontsize=9)
        axis.tick_params(labelsize=7)
    figure.suptitle(f"{title}, load {STEADY_LOAD}")
    figure.tight_layout()
    return figure


def _plot_goodput(results: Sequence[RunResult]) -> Figure:
    figure = Figure(figsize=(16, 3.5))
    axes = figure.subplots(1, len(_PANELS), sharey=True)
    for axis, (shape, affinity) in zip(axes, _PANELS, strict=True):
        for policy, runs in _group_by_policy(
            _select_results(results, shape, affinity)
        ).items():
            loads = sorted({r.experiment.load for r in runs})
            goodput = [
                mean(r.goodput for r in runs if r.experiment.load == load)
                for load in loads
            ]
            axis.plot(loads, goodput, marker=".", label=policy)
        axis.set_title(f"{shape}, {affinity}", fontsize=9)
        axis.set_xlabel("offered work over capacity")
    _add_legend(axes[0])
    figure.suptitle("whole answers in time, as a share of capacity")
    figure.tight_layout()
    return figure


def _plot_broken_flows(results: Sequence[RunResult]) -> Figure:
    faults = sorted({r.experiment.fault for r in results})
    figure = Figure(figsize=(16, 3.5))
    axes = figure.subplots(1, len(_PANELS), sharey=True)
    for axis, (shape, affinity) in zip(axes, _PANELS, strict=True):
        for policy, runs in _group_by_policy(
            _select_results(results, shape, affinity)
        ).items():
            broken = [
                mean([r.broken_flows for r in runs if r.experiment.fault == f] or [0])
                for f in faults
            ]
            axis.plot(broken, faults, marker="o", linestyle="", label=policy)
        axis.set_title(f"{shape}, {affinity}", fontsize=9)
    _add_legend(axes[0])
    figure.suptitle("broken flows, mean over the seeds")
    figure.tight_layout()
    return figure


def _plot_timelines(results: Sequence[RunResult]) -> list[Figure]:
    faults = sorted({r.experiment.fault for r in results} - {"none"})
    return [_plot_timeline(results, fault) for fault in faults]


def _plot_timeline(results: Sequence[RunResult], fault: str) -> Figure:
    figure = Figure(figsize=(16, 3))
    axes = figure.subplots(1, len(_PANELS), sharex=True)
    for axis, (shape, affinity) in zip(axes, _PANELS, strict=True):
        for policy in _TIMELINE_POLICIES:
            for result in _select_results(results, shape, affinity):
                e = result.experiment
                if (e.policy, e.fault, e.seed) == (policy, fault, 1):
                    seconds, values = zip(*result.imbalance_windows, strict=True)
                    axis.plot(seconds, values, label=policy, linewidth=0.8)
        axis.axvspan(FAULT_START_S, FAULT_END_S, alpha=0.1)
        axis.set_title(f"{shape}, {affinity}", fontsize=9)
    _add_legend(axes[0])
    figure.suptitle(f"imbalance over time, fault {fault}, seed 1")
    figure.tight_layout()
    return figure


def _add_legend(axis: Axes) -> None:
    if axis.get_legend_handles_labels()[0]:
        axis.legend(fontsize=6)


def _render_image(figure: Figure) -> str:
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png", dpi=80)
    data = base64.b64encode(buffer.getvalue()).decode("ascii")
    return f"<p><img alt='plot' src='data:image/png;base64,{data}'></p>"

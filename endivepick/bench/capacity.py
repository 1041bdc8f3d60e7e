"""Measures the cost of each role and extrapolates it to the planned fleet size.

Run ``python -m endivepick.bench.capacity`` from the root of a checkout, because the
measurements with real instances need the ``standins`` package. The command takes less
than five minutes on an idle machine. It prints the measured slopes with their spread,
then the table that ``docs/CAPACITY.md`` explains.
"""

import json
import os
import time
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path

import fire

from endivepick.bench import (
    _cluster_slopes,
    _control_slopes,
    _core_slopes,
    _membership_slopes,
    _peer_slopes,
    _target_slopes,
    packets,
)
from endivepick.bench._capacity_model import CapacityLine, estimate_capacity
from endivepick.bench._fleet import LIMITS, PLANNED_FLEET, Fleet
from endivepick.bench._slopes import Measurement, format_slopes

__all__ = ["MEASUREMENTS", "capacity", "format_lines"]

DEFAULT_RESULTS = "var/bench/capacity.json"
MEASUREMENTS: dict[str, Callable[[], dict[str, Measurement]]] = {
    "memory": _core_slopes.measure_memory,
    "closed": _core_slopes.measure_closed,
    "flows": _core_slopes.measure_flows,
    "packets": _core_slopes.measure_packets,
    "dispatcher": _core_slopes.measure_dispatcher,
    "tokens": _core_slopes.measure_tokens,
    "fleet": _control_slopes.measure_fleet,
    "changes": _control_slopes.measure_changes,
    "status": _control_slopes.measure_status,
    "lists": _control_slopes.measure_lists,
    "membership": _membership_slopes.measure_membership,
    "connections": _peer_slopes.measure_connections,
    "probes": _target_slopes.measure_probes,
    "calls": _target_slopes.measure_calls,
    "real_flows": packets.measure_real_flows,
    "clusters": _cluster_slopes.measure_clusters,
}
"""Measurements by the name that ``--only`` accepts."""


def capacity(only: str = "", results: str = DEFAULT_RESULTS) -> None:
    """Measure and print all slopes, then the cost of each role.

    Parameters
    ----------
    only : str
        Names of measurements, separated by commas; empty for all. The table of
        roles is printed only if all are measured.
    results : str
        Output file for the measured values, as JSON.
    """
    started_s = time.monotonic()
    names = _parse_names(only)
    slopes: dict[str, Measurement] = {}
    for name in names:
        found = MEASUREMENTS[name]()
        slopes.update(found)
        print(f"\n{name} (load average {os.getloadavg()[0]:.1f})")
        print(format_slopes(list(found.values())), flush=True)
    _write_results(Path(results), slopes)
    if len(names) == len(MEASUREMENTS):
        print(f"\n{_describe_fleet(PLANNED_FLEET)}")
        print(format_lines(estimate_capacity(PLANNED_FLEET, LIMITS, slopes)))
    print(f"\ntook {time.monotonic() - started_s:.0f} s")


def _parse_names(only: str | Sequence[str]) -> list[str]:
    """Return the chosen names; ``fire`` parses a comma-separated value to a tuple."""
    if not only:
        return list(MEASUREMENTS)
    return only.split(",") if isinstance(only, str) else list(only)


def _write_results(path: Path, slopes: Mapping[str, Measurement]) -> None:
    path.parent.mkdir(parents=True, exist_ok=True)
    values = {
        name: {
            "unit": one.unit,
            "per": one.per,
            "sizes": one.sizes,
            "runs": one.runs,
            "slopes": one.slopes,
        }
        for name, one in slopes.items()
    }
    path.write_text(json.dumps(values, indent=1) + "\n", encoding="utf-8")


def _describe_fleet(fleet: Fleet) -> str:
    return (
        f"{fleet.instances:,} instances, {fleet.targets:,} targets, "
        f"{fleet.records:,} services, {fleet.flows:,.0f} open flows, "
        f"{fleet.opens_per_s:,.0f} new ones a second, {fleet.regions} regions, "
        f"{fleet.zones} zones"
    )


def format_lines(lines: Sequence[CapacityLine]) -> str:
    """Return the table of roles, with the ratio of each exceeded limit."""
    rows = [f"{'role':18} {'what':36} {'value':>14} {'limit':>12}  basis"]
    for line in lines:
        limit = "-" if line.limit is None else _format(line.limit)
        over = ""
        if line.is_over and line.limit is not None:
            over = f", OVER x{line.value / line.limit:.1f}"
        rows.append(
            f"{line.role:18} {line.what:36} {_format(line.value):>14} {limit:>12}"
            f"  {line.unit}, {line.basis.value}{over}"
        )
    return "\n".join(rows)


def _format(value: float) -> str:
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"


if __name__ == "__main__":
    fire.Fire(capacity)

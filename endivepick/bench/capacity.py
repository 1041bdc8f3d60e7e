"""Measures what each role costs, and works it out for the size of two years on.

Run ``python -m endivepick.bench.capacity`` from the root of a checkout: the
measurements with real instances need the stand-ins.  It ends by itself within
five minutes on a calm machine and prints the slopes with their spread, then the
table that ``docs/CAPACITY.md`` explains.
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
from endivepick.bench._capacity_model import CapacityLine, capacity_lines
from endivepick.bench._fleet import LIMITS, PLANNED_FLEET, Fleet
from endivepick.bench._slopes import Measured, format_slopes

__all__ = ["MEASUREMENTS", "capacity", "format_lines"]

DEFAULT_RESULTS = "var/bench/capacity.json"
MEASUREMENTS: dict[str, Callable[[], dict[str, Measured]]] = {
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
"""What is measured, by the name that ``--only`` takes."""


def capacity(only: str = "", results: str = DEFAULT_RESULTS) -> None:
    """Measure all slopes and print them, then the costs of each role.

    Parameters
    ----------
    only : str
        Names of measurements, separated by commas; empty for all.  The table of
        roles needs all of them.
    results : str
        File for the measured values.
    """
    started_s = time.monotonic()
    names = _names(only)
    slopes: dict[str, Measured] = {}
    for name in names:
        found = MEASUREMENTS[name]()
        slopes.update(found)
        print(f"\n{name} (load average {os.getloadavg()[0]:.1f})")
        print(format_slopes(list(found.values())), flush=True)
    _write(Path(results), slopes)
    if len(names) == len(MEASUREMENTS):
        print(f"\n{_describe(PLANNED_FLEET)}")
        print(format_lines(capacity_lines(PLANNED_FLEET, LIMITS, slopes)))
    print(f"\ntook {time.monotonic() - started_s:.0f} s")


def _names(only: str | Sequence[str]) -> list[str]:
    """Return the chosen names; the command line splits a list by itself."""
    if not only:
        return list(MEASUREMENTS)
    return only.split(",") if isinstance(only, str) else list(only)


def _write(path: Path, slopes: Mapping[str, Measured]) -> None:
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


def _describe(fleet: Fleet) -> str:
    return (
        f"{fleet.instances:,} instances, {fleet.targets:,} targets, "
        f"{fleet.records:,} services, {fleet.flows:,.0f} open flows, "
        f"{fleet.opens_per_s:,.0f} new ones a second, {fleet.regions} regions, "
        f"{fleet.zones} zones"
    )


def format_lines(lines: Sequence[CapacityLine]) -> str:
    """Return the table of roles; a line over its limit says by how much."""
    rows = [f"{'role':18} {'what':36} {'value':>14} {'limit':>12}  basis"]
    for line in lines:
        limit = "-" if line.limit is None else _short(line.limit)
        over = ""
        if line.is_over and line.limit is not None:
            over = f", OVER x{line.value / line.limit:.1f}"
        rows.append(
            f"{line.role:18} {line.what:36} {_short(line.value):>14} {limit:>12}"
            f"  {line.unit}, {line.basis.value}{over}"
        )
    return "\n".join(rows)


def _short(value: float) -> str:
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"


if __name__ == "__main__":
    fire.Fire(capacity)

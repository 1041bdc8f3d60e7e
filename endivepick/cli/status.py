"""Command that shows records, targets and instances."""

import dataclasses
import time
from collections import Counter
from collections.abc import Callable, Sequence
from typing import TypeVar

from endivepick.cli.command_errors import value_of
from endivepick.cli.connection import platform_client
from endivepick.cli.output import print_json, print_line, print_table
from endivepick.cli.status_view import (
    InstanceRow,
    RecordRow,
    StatusSources,
    SystemView,
    TargetRow,
    view_system,
)
from endivepick.records import SERVICE_KIND, STATUS_KIND
from endivepick.records.status import READY_STATE

__all__ = ["show_status"]

_RECORD_HEADER = ("record", "accepted", "in force by zone", "not reached")
_TARGET_HEADER = ("service", "target", "zone", "state", "owner", "load")
_INSTANCE_HEADER = ("instance", "zone", "state", "age")
ROWS_SHOWN = 100
"""Rows of one table, first those that need a look; the others are counted."""
_MINUTE_S = 60
_HOUR_S = 3600
_DAY_S = 86400

_IN_FORCE = "in force"
_NORMAL_STATES = frozenset({_IN_FORCE, READY_STATE})

Row = TypeVar("Row")


def show_status(platform: str, as_json: bool, limit: int = ROWS_SHOWN) -> None:
    """Read the platform's objects and print what they say together.

    Parameters
    ----------
    platform : str
        host:port of the object API.
    as_json : bool
        Print JSON, always with all rows.
    limit : int
        Rows of one table; 0 for all.
    """
    with platform_client(platform) as client:
        listed = value_of(client.instances())
        sources = StatusSources(
            value_of(client.list(SERVICE_KIND)).objects,
            value_of(client.list(STATUS_KIND)).objects,
            listed.instances,
            time.time(),
        )
    view = view_system(sources)
    if as_json:
        print_json(dataclasses.asdict(view) | {"list_age_ms": listed.age_ms})
    else:
        _print_view(view, limit)


def _print_view(view: SystemView, limit: int) -> None:
    records = _cut(view.records, limit, _record_state)
    print_table(_RECORD_HEADER, [_record_cells(row) for row in records])
    for row in records:
        for zone, reason in row.refused.items():
            print_line(f"{row.record}: refused in {zone}, {reason}")
    _print_rest(view.records, records, _record_state)
    print_line("")
    targets = _cut(view.targets, limit, _target_state)
    print_table(_TARGET_HEADER, [_target_cells(row) for row in targets])
    _print_rest(view.targets, targets, _target_state)
    print_line("")
    instances = _cut(view.instances, limit, _instance_state)
    print_table(_INSTANCE_HEADER, [_instance_cells(row) for row in instances])
    _print_rest(view.instances, instances, _instance_state)


def _record_state(row: RecordRow) -> str:
    if row.refused:
        return "refused"
    return "not reached everywhere" if row.not_reached else _IN_FORCE


def _target_state(row: TargetRow) -> str:
    return row.state


def _instance_state(row: InstanceRow) -> str:
    return row.state


def _cut(rows: Sequence[Row], limit: int, state: Callable[[Row], str]) -> Sequence[Row]:
    """Return at most so many rows, first those that need a look."""
    if not limit or len(rows) <= limit:
        return rows
    return sorted(rows, key=lambda row: state(row) in _NORMAL_STATES)[:limit]


def _print_rest(
    rows: Sequence[Row], shown: Sequence[Row], state: Callable[[Row], str]
) -> None:
    if len(shown) == len(rows):
        return
    counts = Counter(map(state, rows))
    counts.subtract(map(state, shown))
    parts = (f"{count} {name}" for name, count in sorted(counts.items()) if count)
    print_line(f"and {len(rows) - len(shown)} more: {', '.join(parts)}")


def _record_cells(row: RecordRow) -> tuple[str, ...]:
    in_force = " ".join(f"{zone}:{version}" for zone, version in row.in_force.items())
    reached = ", ".join(row.not_reached) or "-"
    return (row.record, str(row.accepted), in_force, reached)


def _target_cells(row: TargetRow) -> tuple[str, ...]:
    load = f"{row.in_progress}/{row.slots} busy, {row.waiting} waiting"
    return (row.service, row.target, row.zone, row.state, row.owner or "-", load)


def _instance_cells(row: InstanceRow) -> tuple[str, ...]:
    return (row.instance, row.zone, row.state, _age_text(row.age_s))


def _age_text(age_s: float | None) -> str:
    if age_s is None:
        return "-"
    if age_s < _MINUTE_S:
        return f"{age_s:.0f} s"
    if age_s < _HOUR_S:
        return f"{age_s / _MINUTE_S:.0f} min"
    return f"{age_s / _HOUR_S:.1f} h" if age_s < _DAY_S else f"{age_s / _DAY_S:.1f} d"

"""Command that shows records, targets and instances."""

import dataclasses
import time

from endivepick.cli.connection import platform_client
from endivepick.cli.failures import value_of
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

__all__ = ["show_status"]

_RECORD_HEADER = ("record", "accepted", "in force by zone", "not reached")
_TARGET_HEADER = ("service", "target", "zone", "state", "owner", "load")
_INSTANCE_HEADER = ("instance", "zone", "state", "age")
_MINUTE_S = 60
_HOUR_S = 3600
_DAY_S = 86400


def show_status(platform: str, as_json: bool) -> None:
    """Read the platform's objects and print what they say together."""
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
        _print_view(view)


def _print_view(view: SystemView) -> None:
    print_table(_RECORD_HEADER, [_record_cells(row) for row in view.records])
    for row in view.records:
        for zone, reason in row.refused.items():
            print_line(f"{row.record}: refused in {zone}, {reason}")
    print_line("")
    print_table(_TARGET_HEADER, [_target_cells(row) for row in view.targets])
    print_line("")
    print_table(_INSTANCE_HEADER, [_instance_cells(row) for row in view.instances])


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

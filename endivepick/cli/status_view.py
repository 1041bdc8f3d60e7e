"""System status for operators, joined from the platform's objects."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

import msgspec

from endivepick.platform import ListedInstance
from endivepick.records import StoredObject, parse_service

__all__ = [
    "InstanceRow",
    "RecordRow",
    "StatusSources",
    "SystemView",
    "TargetRow",
    "view_system",
]


_ALIVE_STATE = "alive"
"""State of an instance that peers consider alive but that has not reported lately."""


class _Refused(msgspec.Struct, frozen=True):
    version: int
    reason: str = ""


class _RecordPart(msgspec.Struct, frozen=True):
    in_force: int = 0
    refused: _Refused | None = None


class _InstancePart(msgspec.Struct, frozen=True):
    state: str = "unknown"
    started_at_s: float | None = None


class _TargetPart(msgspec.Struct, frozen=True):
    owner: str
    state: str
    in_progress: int = 0
    waiting: int = 0
    slots: int = 0


class _ZoneStatus(msgspec.Struct, frozen=True):
    """Body of a status object; unknown fields are ignored."""

    zone: str = ""
    group: int = 0
    groups: int = 0
    in_force_up_to: int = 0
    records: dict[str, _RecordPart] = {}
    instances: dict[str, _InstancePart] = {}
    targets: dict[str, _TargetPart] = {}
    more_instances: int = 0
    more_targets: int = 0


@dataclass(frozen=True)
class RecordRow:
    """One record: its accepted version and the version in force by zone.

    Attributes
    ----------
    in_force : mapping of str to int
        Version in force by zone; 0 if the zone has not reported one.
    not_reached : sequence of str
        Zones where an older version may still be in force.
    refused : mapping of str to str
        Reason by zone that refused a version.
    """

    record: str
    accepted: int
    in_force: Mapping[str, int]
    not_reached: Sequence[str]
    refused: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True)
class TargetRow:
    """One target of a record, as reported by its owner."""

    service: str
    target: str
    zone: str
    state: str
    owner: str
    in_progress: int
    waiting: int
    slots: int


@dataclass(frozen=True)
class InstanceRow:
    """One instance; ``age_s`` is None until it has reported its start."""

    instance: str
    zone: str
    state: str
    age_s: float | None


@dataclass(frozen=True)
class SystemView:
    """Rows of all tables of the status command."""

    records: Sequence[RecordRow]
    targets: Sequence[TargetRow]
    instances: Sequence[InstanceRow]


@dataclass(frozen=True)
class StatusSources:
    """Answers of the platform from which the view is built.

    Attributes
    ----------
    services, statuses : sequence of StoredObject
        Service records, and the status objects of the zones and their groups.
    instances : sequence of ListedInstance
        The platform's list of instances.
    now_s : float
        Current time in seconds since 1970, used for ages.
    """

    services: Sequence[StoredObject]
    statuses: Sequence[StoredObject]
    instances: Sequence[ListedInstance]
    now_s: float


def view_system(sources: StatusSources) -> SystemView:
    """Join the sources into one view.

    If two zones report the same target, the newest status is used, because a zone that
    is partitioned or removed leaves an outdated status in the platform.
    """
    oldest_first = sorted(sources.statuses, key=lambda stored: stored.version)
    objects = [(stored.name, _decode_zone_status(stored)) for stored in oldest_first]
    zones = {name: status for name, status in objects if not status.group}
    parts = list(_select_current_parts(objects, zones))
    listed_zones = {instance.zone for instance in sources.instances}
    expected = sorted(listed_zones or zones)
    return SystemView(
        [
            _make_record_row(stored, zones, expected)
            for stored in _sort_by_name(sources.services)
        ],
        list(_make_target_rows(sources.services, parts)),
        list(_make_instance_rows(sources, parts)),
    )


def _select_current_parts(
    objects: Iterable[tuple[str, _ZoneStatus]], zones: Mapping[str, _ZoneStatus]
) -> Iterable[tuple[str, _ZoneStatus]]:
    """Yield the current status objects, each with the name of its zone.

    Objects of groups that the zone no longer has remain in the platform and are
    skipped.
    """
    for name, status in objects:
        if not status.group:
            yield name, status
        elif status.group <= zones.get(status.zone, status).groups:
            yield status.zone, status


def _sort_by_name(objects: Sequence[StoredObject]) -> list[StoredObject]:
    return sorted(objects, key=lambda stored: stored.name)


def _decode_zone_status(stored: StoredObject) -> _ZoneStatus:
    """Decode a status object; an invalid one counts as an empty report."""
    try:
        return msgspec.convert(dict(stored.body or {}), _ZoneStatus)
    except msgspec.ValidationError:
        return _ZoneStatus()


def _make_record_row(
    stored: StoredObject, zones: Mapping[str, _ZoneStatus], expected: Sequence[str]
) -> RecordRow:
    in_force, refused = {}, {}
    for zone in expected:
        status = zones.get(zone, _ZoneStatus())
        part = status.records.get(stored.name, _RecordPart())
        in_force[zone] = _find_version_in_force(
            stored.version, part, status.in_force_up_to
        )
        if part.refused is not None:
            refused[zone] = f"version {part.refused.version}: {part.refused.reason}"
    behind = [zone for zone, version in in_force.items() if version < stored.version]
    return RecordRow(stored.name, stored.version, in_force, behind, refused)


def _find_version_in_force(accepted: int, part: _RecordPart, floor: int) -> int:
    """Return the version in force.

    Large zones omit the rows of records in force; the versions up to ``floor`` are in
    force unless refused.
    """
    if part.refused is None and accepted <= floor:
        return max(accepted, part.in_force)
    return part.in_force


def _make_target_rows(
    services: Sequence[StoredObject], parts: Sequence[tuple[str, _ZoneStatus]]
) -> Iterable[TargetRow]:
    reports = {
        name: part for _, status in parts for name, part in status.targets.items()
    }
    for stored in _sort_by_name(services):
        record = parse_service(stored.name, stored.version, stored.body or {})
        parsed = record.value_or(None)
        for target in parsed.targets if parsed else ():
            part = reports.get(f"{stored.name}/{target.name}")
            yield _make_target_row(stored.name, target.name, target.zone, part)


def _make_target_row(
    service: str, target: str, zone: str, part: _TargetPart | None
) -> TargetRow:
    known = part or _TargetPart(owner="", state="not reported")
    load = (known.in_progress, known.waiting, known.slots)
    return TargetRow(service, target, zone, known.state, known.owner, *load)


def _make_instance_rows(
    sources: StatusSources, parts: Sequence[tuple[str, _ZoneStatus]]
) -> Iterable[InstanceRow]:
    listed = {instance.name: instance for instance in sources.instances}
    reported = _collect_instances(parts)
    for name in sorted(listed.keys() | reported.keys()):
        zone, part = reported.get(name, ("", _InstancePart()))
        state = part.state
        if name in listed:
            zone = listed[name].zone
            state = state if name in reported else f"{listed[name].state}, no report"
        else:
            state = f"{state}, not listed"
        started_s = part.started_at_s
        age_s = None if started_s is None else max(0.0, sources.now_s - started_s)
        yield InstanceRow(name, zone, state, age_s)


def _collect_instances(
    parts: Sequence[tuple[str, _ZoneStatus]],
) -> dict[str, tuple[str, _InstancePart]]:
    """Return zone and newest row of each instance.

    While writers disagree about the groups, an instance may appear in two objects.  Its
    own report then takes precedence over the state that its peers assume.
    """
    reported: dict[str, tuple[str, _InstancePart]] = {}
    for zone, status in parts:
        for name, part in status.instances.items():
            known = reported.get(name)
            if known is None or _report_rank(part) >= _report_rank(known[1]):
                reported[name] = (zone, part)
    return reported


def _report_rank(part: _InstancePart) -> tuple[bool, bool]:
    """Return whether state and start time were reported by the instance itself."""
    is_known = part.started_at_s is not None
    return is_known and part.state != _ALIVE_STATE, is_known

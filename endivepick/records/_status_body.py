"""Bodies of the status objects of a zone, bounded in size."""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from endivepick.records.model import ServiceRecord
from endivepick.records.peer_messages import (
    InstanceStatus,
    RefusedRecord,
    SubtreeReport,
)
from endivepick.records.roles import hash_names

STATUS_SCHEMA_VERSION = 1
RECORD_ROWS = 64
"""Maximum number of records that all have a row.

Above it, only records that are refused, not yet in force or have unknown fields have
a row.
"""
INSTANCE_ROWS = 256
"""Maximum instance rows in one object; the rest are only counted."""
TARGET_ROWS = 512
"""Maximum target rows in one object; the rest are only counted."""

_RECORD_FIELDS = frozenset({"accepted", "in_force", "instances", "refused"})
READY_STATE = "ready"
"""State of an instance or target that needs no attention."""
_ALIVE = "alive"


@dataclass(frozen=True)
class RowSelection:
    """Selects the instances that have a row in a status object.

    Attributes
    ----------
    listed : collection of str or None
        Members that always have a row; None for all.
    reporting : collection of str
        Members that have a row while they send their part to this writer.
    groups, group : int
        Count of groups in the zone, and number of the group of this object; 0 for
        none.
    """

    listed: Collection[str] | None = None
    reporting: Collection[str] = ()
    groups: int = 0
    group: int = 0


@dataclass(frozen=True)
class StatusView:
    """State of the zone as known to the writer of a status object.

    Attributes
    ----------
    records : collection of ServiceRecord
        Records in force at the writer; empty for the object of a group.
    report : SubtreeReport
        Merged report of all reporting instances.
    members : collection of str
        Instances of the zone that are not considered dead.
    states : mapping
        State of each member, by name.
    shown : RowSelection
        Members that have a row.
    all_refusals : bool
        Whether the report lists every refused record.
    """

    records: Collection[ServiceRecord]
    report: SubtreeReport
    members: Collection[str]
    states: Mapping[str, str]
    shown: RowSelection = RowSelection()
    all_refusals: bool = True

    @property
    def complete(self) -> bool:
        """Whether the report covers each member exactly once."""
        report = self.report
        has_all_instances = report.instances == len(self.members)
        return has_all_instances and report.names_hash == hash_names(self.members)

    def rows(self, parts: Collection[str]) -> set[str]:
        """Return the instances that have a row, given those that sent their part."""
        shown = self.shown
        listed = self.members if shown.listed is None else shown.listed
        return {*listed, *(name for name in shown.reporting if name in parts)}


@dataclass(frozen=True)
class StatusUpdate:
    """Parts of instances and earlier knowledge to merge into a status object.

    Attributes
    ----------
    parts : mapping
        Unexpired part of each instance that sent one, by name.
    silent : collection of str
        Instances whose last part has expired.  Their rows stay unchanged because
        a silent instance may be sending to another writer.
    keep_all_rows : bool
        Whether the rows of all instances without a part stay unchanged, because a
        new writer has not yet received a part from each of them.
    known_in_force : mapping
        Last version of each record that was known to be in force.
    """

    parts: Mapping[str, InstanceStatus] = field(default_factory=dict)
    silent: Collection[str] = ()
    keep_all_rows: bool = False
    known_in_force: Mapping[str, int] = field(default_factory=dict)

    def keeps_rows_of(self, name: str) -> bool:
        """Return whether the rows of an instance stay unchanged."""
        return name not in self.parts and (self.keep_all_rows or name in self.silent)


def merge_status(
    zone: str, base: Mapping[str, Any], view: StatusView, update: StatusUpdate
) -> dict[str, Any]:
    """Return the new body, with unknown fields of ``base`` preserved."""
    raw_version = base.get("schema_version")
    base_schema_version = raw_version if isinstance(raw_version, int) else 0
    body = dict(base)
    body["schema_version"] = max(base_schema_version, STATUS_SCHEMA_VERSION)
    body["zone"] = zone
    if view.shown.group:
        body["group"] = view.shown.group
    else:
        _merge_records(body, base, view, update)
    shown = view.rows(update.parts)
    instances = _merge_instances(_get_section(base, "instances"), view, update, shown)
    targets = _merge_targets(_get_section(base, "targets"), update, shown)
    body["instances"], more_instances = _limit_rows(instances, INSTANCE_ROWS)
    body["targets"], more_targets = _limit_rows(targets, TARGET_ROWS)
    omitted_targets = (
        part.more_targets for n, part in update.parts.items() if n in shown
    )
    more_targets += sum(omitted_targets)
    _set_count(body, "more_instances", more_instances)
    _set_count(body, "more_targets", more_targets)
    return body


def is_same_status(base: Mapping[str, Any] | None, body: Mapping[str, Any]) -> bool:
    """Return whether two bodies are equal apart from the write id."""
    if base is None:
        return False
    return _without_write_id(base) == _without_write_id(body)


def get_in_force_floor(body: Mapping[str, Any]) -> int:
    """Return the version up to which all records are in force in the zone."""
    floor = body.get("in_force_up_to")
    return floor if isinstance(floor, int) else 0


def _without_write_id(body: Mapping[str, Any]) -> dict[str, Any]:
    return {key: value for key, value in body.items() if key != "write_id"}


def _set_count(body: dict[str, Any], name: str, count: int) -> None:
    """Set a count; omit a zero count that the body did not have before."""
    if count or name in body:
        body[name] = count


def _get_section(base: Mapping[str, Any], name: str) -> Mapping[str, Any]:
    section = base.get(name)
    return section if isinstance(section, Mapping) else {}


def _copy_entry(section: Mapping[str, Any], name: str) -> dict[str, Any]:
    entry = section.get(name)
    return dict(entry) if isinstance(entry, Mapping) else {}


def _limit_rows(
    rows: dict[str, dict[str, Any]], limit: int
) -> tuple[dict[str, dict[str, Any]], int]:
    """Return at most ``limit`` rows, those not ready first, and the number cut."""
    if len(rows) <= limit:
        return rows, 0
    by_priority = sorted(rows, key=lambda name: rows[name].get("state") == READY_STATE)
    kept = sorted(by_priority[:limit])
    return {name: rows[name] for name in kept}, len(rows) - limit


def _merge_records(
    body: dict[str, Any],
    base: Mapping[str, Any],
    view: StatusView,
    update: StatusUpdate,
) -> None:
    complete = view.complete
    floor = get_in_force_floor(base)
    if complete and view.all_refusals:
        proved = (r.version for r in view.records if r.version <= view.report.revision)
        floor = max(floor, max(proved, default=0))
    merge = _RecordMerge(view, update, complete, floor)
    body["in_force_up_to"] = floor
    body["records"] = merge.rows(_get_section(base, "records"))
    _set_count(body, "groups", view.shown.groups)


class _RecordMerge:
    """Builds the rows of the records.

    Parameters
    ----------
    view, update
        State known to the writer.
    complete : bool
        Whether the report covers the zone.
    floor : int
        Version up to which all records are in force in the zone.
    """

    def __init__(
        self, view: StatusView, update: StatusUpdate, complete: bool, floor: int
    ) -> None:
        self._view = view
        self._update = update
        self._complete = complete
        self._floor = floor
        self._refused = {item.name: item for item in view.report.refused}

    def rows(self, before: Mapping[str, Any]) -> dict[str, Any]:
        """Return a row per record, or above ``RECORD_ROWS`` records only exceptions."""
        records = {record.name: record.version for record in self._view.records}
        names = sorted(records.keys() | self._refused.keys())
        if len(names) > RECORD_ROWS:
            names = self._select_exceptions(names, records, before)
        return {
            name: self._merge_row(_copy_entry(before, name), records.get(name, 0), name)
            for name in names
        }

    def _select_exceptions(
        self, names: Iterable[str], records: Mapping[str, int], before: Mapping
    ) -> list[str]:
        """Return records that are refused, not in force or have an unknown field."""
        refused = [name for name in names if name in self._refused]
        extended = {
            name for name, row in before.items() if _has_unknown_fields(row)
        } & records.keys()
        pending = [
            name
            for name in names
            if name not in self._refused and records.get(name, 0) > self._floor
        ]
        pending.sort(key=lambda name: records[name])
        room = max(0, RECORD_ROWS - len(refused))
        return sorted({*refused, *extended, *pending[:room]})

    def _merge_row(
        self, entry: dict[str, Any], accepted: int, name: str
    ) -> dict[str, Any]:
        refused = self._refused.get(name)
        entry["in_force"] = self._compute_in_force(entry, accepted, name, refused)
        entry["accepted"] = accepted
        entry["instances"] = self._view.report.instances
        entry.pop("refused", None)
        if refused is not None:
            entry["refused"] = {"version": refused.version, "reason": refused.reason}
        return entry

    def _compute_in_force(
        self,
        entry: Mapping[str, Any],
        accepted: int,
        name: str,
        refused: RefusedRecord | None,
    ) -> int:
        """Return the lowest version that the reports prove to be in force."""
        known = entry.get("in_force")
        known_in_force = self._update.known_in_force.get(name, 0)
        # Earlier builds write 0 for a record that had no row.
        proved = max(known_in_force, known if isinstance(known, int) else 0)
        if refused is not None:
            return min(max(proved, refused.in_force), refused.in_force)
        reported = self._complete and self._view.report.revision >= accepted
        if reported and self._covers_refusals_of(name):
            return accepted
        if accepted <= self._floor:
            return accepted
        return min(proved, accepted)

    def _covers_refusals_of(self, name: str) -> bool:
        """Return whether the report would list this record if it were refused.

        A truncated report lists the first records in the order of their names.
        """
        return self._view.all_refusals or name <= max(self._refused, default="")


def _has_unknown_fields(row: Any) -> bool:
    return isinstance(row, Mapping) and not row.keys() <= _RECORD_FIELDS


def _merge_instances(
    before: Mapping[str, Any], view: StatusView, update: StatusUpdate, shown: set[str]
) -> dict[str, dict[str, Any]]:
    instances = {}
    for name in sorted(shown):
        entry = _copy_entry(before, name)
        state = view.states.get(name, _ALIVE)
        if not (update.keeps_rows_of(name) and state == _ALIVE and "state" in entry):
            entry["state"] = state
        if name in update.parts:
            part = update.parts[name]
            entry["state"] = part.state
            entry["started_at_s"] = part.started_at_s
            entry["schema_versions"] = list(part.schema_versions)
            entry["incarnation"] = f"{part.incarnation:016x}"
            entry["keyring_version"] = part.keyring_version
        instances[name] = entry
    return instances


def _merge_targets(
    before: Mapping[str, Any], update: StatusUpdate, shown: set[str]
) -> dict[str, dict[str, Any]]:
    targets = {}
    kept = {name for name in shown if update.keeps_rows_of(name)}
    for key in before if kept else ():
        entry = _copy_entry(before, key)
        if entry.get("owner") in kept:
            targets[key] = entry
    for owner, part in update.parts.items():
        if owner not in shown:
            continue
        for target in part.targets:
            key = f"{target.service}/{target.target}"
            entry = _copy_entry(before, key)
            entry["owner"] = owner
            entry["state"] = target.state
            entry["in_progress"] = target.in_progress
            entry["waiting"] = target.waiting
            entry["slots"] = target.slots
            targets[key] = entry
    return dict(sorted(targets.items()))

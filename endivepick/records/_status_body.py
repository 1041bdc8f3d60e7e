"""Content of the objects that hold a zone's status, bounded in size."""

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
"""Records above which only those not in force, or refused, have a row."""
INSTANCE_ROWS = 256
"""Rows of instances in one object; the others are counted."""
TARGET_ROWS = 512
"""Rows of targets in one object; the others are counted."""

_RECORD_FIELDS = frozenset({"accepted", "in_force", "instances", "refused"})
READY_STATE = "ready"
"""State of an instance, and of a target, that nobody has to look at."""
_ALIVE = "alive"


@dataclass(frozen=True)
class RowSelection:
    """Which instances have a row in an object.

    Attributes
    ----------
    listed : collection of str or None
        Members that have a row in any case; None for all.
    reporting : collection of str
        Members that have a row while they send their part to this writer.
    groups, group : int
        Number of the zone's groups, and of the group whose object this is; 0 for
        none.
    """

    listed: Collection[str] | None = None
    reporting: Collection[str] = ()
    groups: int = 0
    group: int = 0


@dataclass(frozen=True)
class StatusView:
    """What the writer of an object knows.

    Attributes
    ----------
    records : collection of ServiceRecord
        Records in force at the writer; none for the object of a group.
    report : SubtreeReport
        What all instances that report hold.
    members : collection of str
        Instances of the zone that are not believed dead.
    states : mapping
        State of each member, by name.
    shown : ShownRows
        Which of them have a row.
    all_refusals : bool
        Whether the report names every refused record.
    """

    records: Collection[ServiceRecord]
    report: SubtreeReport
    members: Collection[str]
    states: Mapping[str, str]
    shown: RowSelection = RowSelection()
    all_refusals: bool = True

    @property
    def complete(self) -> bool:
        """Whether the report covers each member once."""
        report = self.report
        whole = report.instances == len(self.members)
        return whole and report.names_hash == hash_names(self.members)

    def rows(self, parts: Collection[str]) -> set[str]:
        """Return the instances that have a row, given those that told their part."""
        shown = self.shown
        listed = self.members if shown.listed is None else shown.listed
        return {*listed, *(name for name in shown.reporting if name in parts)}


@dataclass(frozen=True)
class StatusNews:
    """What goes into an object besides the view.

    Attributes
    ----------
    parts : mapping
        Fresh part of each instance that sent one, by name.
    silent : collection of str
        Instances whose last part is no longer fresh; they may take another instance
        for the writer, so their rows stay as they are.
    keep_all : bool
        Whether the rows of all instances without a part stay as they are: a new writer
        has not heard from all of them yet.
    earlier : mapping
        Version by which a record was last known to be in force.
    """

    parts: Mapping[str, InstanceStatus] = field(default_factory=dict)
    silent: Collection[str] = ()
    keep_all: bool = False
    earlier: Mapping[str, int] = field(default_factory=dict)

    def keeps(self, name: str) -> bool:
        """Tell whether the rows of an instance stay as they are."""
        return name not in self.parts and (self.keep_all or name in self.silent)


def merge_status(
    zone: str, base: Mapping[str, Any], view: StatusView, news: StatusNews
) -> dict[str, Any]:
    """Return the new body; fields of ``base`` that are not known here stay."""
    known_version = base.get("schema_version")
    newest = known_version if isinstance(known_version, int) else 0
    body = dict(base)
    body["schema_version"] = max(newest, STATUS_SCHEMA_VERSION)
    body["zone"] = zone
    if view.shown.group:
        body["group"] = view.shown.group
    else:
        _merge_records(body, base, view, news)
    shown = view.rows(news.parts)
    instances = _instances(_section(base, "instances"), view, news, shown)
    targets = _targets(_section(base, "targets"), news, shown)
    body["instances"], more_instances = _bounded(instances, INSTANCE_ROWS)
    body["targets"], more_targets = _bounded(targets, TARGET_ROWS)
    untold = (part.more_targets for n, part in news.parts.items() if n in shown)
    more_targets += sum(untold)
    _set_count(body, "more_instances", more_instances)
    _set_count(body, "more_targets", more_targets)
    return body


def same_status(base: Mapping[str, Any] | None, body: Mapping[str, Any]) -> bool:
    """Tell whether two bodies differ in nothing but the write id."""
    if base is None:
        return False
    return _without_write_id(base) == _without_write_id(body)


def floor_of(body: Mapping[str, Any]) -> int:
    """Return the version up to which the records of the zone are in force."""
    floor = body.get("in_force_up_to")
    return floor if isinstance(floor, int) else 0


def _without_write_id(body: Mapping[str, Any]) -> dict[str, Any]:
    return {key: value for key, value in body.items() if key != "write_id"}


def _set_count(body: dict[str, Any], name: str, count: int) -> None:
    """Set a count, but leave a body alone that never had one."""
    if count or name in body:
        body[name] = count


def _section(base: Mapping[str, Any], name: str) -> Mapping[str, Any]:
    section = base.get(name)
    return section if isinstance(section, Mapping) else {}


def _entry(section: Mapping[str, Any], name: str) -> dict[str, Any]:
    entry = section.get(name)
    return dict(entry) if isinstance(entry, Mapping) else {}


def _bounded(
    rows: dict[str, dict[str, Any]], limit: int
) -> tuple[dict[str, dict[str, Any]], int]:
    """Return at most so many rows, first those not ready, and how many were cut."""
    if len(rows) <= limit:
        return rows, 0
    by_need = sorted(rows, key=lambda name: rows[name].get("state") == READY_STATE)
    kept = sorted(by_need[:limit])
    return {name: rows[name] for name in kept}, len(rows) - limit


def _merge_records(
    body: dict[str, Any], base: Mapping[str, Any], view: StatusView, news: StatusNews
) -> None:
    complete = view.complete
    floor = floor_of(base)
    if complete and view.all_refusals:
        proved = (r.version for r in view.records if r.version <= view.report.revision)
        floor = max(floor, max(proved, default=0))
    merge = _RecordMerge(view, news, complete, floor)
    body["in_force_up_to"] = floor
    body["records"] = merge.rows(_section(base, "records"))
    _set_count(body, "groups", view.shown.groups)


class _RecordMerge:
    """Rows of the records.

    Parameters
    ----------
    view, news
        What the writer knows.
    complete : bool
        Whether the report covers the zone.
    floor : int
        Version up to which the records of the zone are in force.
    """

    def __init__(
        self, view: StatusView, news: StatusNews, complete: bool, floor: int
    ) -> None:
        self._view = view
        self._news = news
        self._complete = complete
        self._floor = floor
        self._refused = {item.name: item for item in view.report.refused}

    def rows(self, before: Mapping[str, Any]) -> dict[str, Any]:
        """Return all rows, or in a long list of records only the exceptions."""
        records = {record.name: record.version for record in self._view.records}
        names = sorted(records.keys() | self._refused.keys())
        if len(names) > RECORD_ROWS:
            names = self._exceptions(names, records, before)
        return {
            name: self._row(_entry(before, name), records.get(name, 0), name)
            for name in names
        }

    def _exceptions(
        self, names: Iterable[str], records: Mapping[str, int], before: Mapping
    ) -> list[str]:
        """Return what needs a row: refused, not in force, or with a newer field."""
        refused = [name for name in names if name in self._refused]
        extended = {
            name for name, row in before.items() if _has_unknown_fields(row)
        } & records.keys()
        late = [
            name
            for name in names
            if name not in self._refused and records.get(name, 0) > self._floor
        ]
        late.sort(key=lambda name: records[name])
        room = max(0, RECORD_ROWS - len(refused))
        return sorted({*refused, *extended, *late[:room]})

    def _row(self, entry: dict[str, Any], accepted: int, name: str) -> dict[str, Any]:
        refused = self._refused.get(name)
        entry["in_force"] = self._in_force(entry, accepted, name, refused)
        entry["accepted"] = accepted
        entry["instances"] = self._view.report.instances
        entry.pop("refused", None)
        if refused is not None:
            entry["refused"] = {"version": refused.version, "reason": refused.reason}
        return entry

    def _in_force(
        self,
        entry: Mapping[str, Any],
        accepted: int,
        name: str,
        refused: RefusedRecord | None,
    ) -> int:
        """Return the lowest version in force, as far as the reports prove it."""
        known = entry.get("in_force")
        earlier = self._news.earlier.get(name, 0)
        # An earlier build writes 0 for a record that had no row.
        proved = max(earlier, known if isinstance(known, int) else 0)
        if refused is not None:
            return min(max(proved, refused.in_force), refused.in_force)
        reported = self._complete and self._view.report.revision >= accepted
        if reported and self._names_refusals_of(name):
            return accepted
        if accepted <= self._floor:
            return accepted
        return min(proved, accepted)

    def _names_refusals_of(self, name: str) -> bool:
        """Tell whether the report would name this record if it was refused.

        A report that is cut short names the first ones in the order of names.
        """
        return self._view.all_refusals or name <= max(self._refused, default="")


def _has_unknown_fields(row: Any) -> bool:
    return isinstance(row, Mapping) and not row.keys() <= _RECORD_FIELDS


def _instances(
    before: Mapping[str, Any], view: StatusView, news: StatusNews, shown: set[str]
) -> dict[str, dict[str, Any]]:
    instances = {}
    for name in sorted(shown):
        entry = _entry(before, name)
        state = view.states.get(name, _ALIVE)
        if not (news.keeps(name) and state == _ALIVE and "state" in entry):
            entry["state"] = state
        if name in news.parts:
            part = news.parts[name]
            entry["state"] = part.state
            entry["started_at_s"] = part.started_at_s
            entry["schema_versions"] = list(part.schema_versions)
            entry["incarnation"] = f"{part.incarnation:016x}"
            entry["keyring_version"] = part.keyring_version
        instances[name] = entry
    return instances


def _targets(
    before: Mapping[str, Any], news: StatusNews, shown: set[str]
) -> dict[str, dict[str, Any]]:
    targets = {}
    kept = {name for name in shown if news.keeps(name)}
    for key in before if kept else ():
        entry = _entry(before, key)
        if entry.get("owner") in kept:
            targets[key] = entry
    for owner, part in news.parts.items():
        if owner not in shown:
            continue
        for target in part.targets:
            key = f"{target.service}/{target.target}"
            entry = _entry(before, key)
            entry["owner"] = owner
            entry["state"] = target.state
            entry["in_progress"] = target.in_progress
            entry["waiting"] = target.waiting
            entry["slots"] = target.slots
            targets[key] = entry
    return dict(sorted(targets.items()))

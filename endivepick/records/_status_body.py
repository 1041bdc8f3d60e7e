"""Content of a zone's status object."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from typing import Any

from endivepick.records.model import ServiceRecord
from endivepick.records.peer_messages import (
    InstanceStatus,
    RefusedRecord,
    SubtreeReport,
)
from endivepick.records.roles import hash_names

STATUS_SCHEMA_VERSION = 1


@dataclass(frozen=True)
class StatusView:
    """What the writer of a zone's status knows.

    Attributes
    ----------
    records : collection of ServiceRecord
        Records in force at the writer.
    report : SubtreeReport
        What all instances that report hold.
    members : collection of str
        Instances of the zone that are not believed dead.
    states : mapping
        State of each member, by name.
    """

    records: Collection[ServiceRecord]
    report: SubtreeReport
    members: Collection[str]
    states: Mapping[str, str]

    @property
    def complete(self) -> bool:
        """Whether the report covers each member once."""
        report = self.report
        whole = report.instances == len(self.members)
        return whole and report.names_hash == hash_names(self.members)


def merge_status(
    zone: str,
    base: Mapping[str, Any],
    view: StatusView,
    parts: Mapping[str, InstanceStatus],
) -> dict[str, Any]:
    """Return the new body; fields of ``base`` that are not known here stay."""
    known_version = base.get("schema_version")
    newest = known_version if isinstance(known_version, int) else 0
    body = dict(base)
    body["schema_version"] = max(newest, STATUS_SCHEMA_VERSION)
    body["zone"] = zone
    body["records"] = _records(_section(base, "records"), view)
    body["instances"] = _instances(_section(base, "instances"), view, parts)
    body["targets"] = _targets(_section(base, "targets"), parts)
    return body


def same_status(base: Mapping[str, Any] | None, body: Mapping[str, Any]) -> bool:
    """Tell whether two bodies differ in nothing but the write id."""
    if base is None:
        return False
    return _without_write_id(base) == _without_write_id(body)


def _without_write_id(body: Mapping[str, Any]) -> dict[str, Any]:
    return {key: value for key, value in body.items() if key != "write_id"}


def _section(base: Mapping[str, Any], name: str) -> Mapping[str, Any]:
    section = base.get(name)
    return section if isinstance(section, Mapping) else {}


def _entry(section: Mapping[str, Any], name: str) -> dict[str, Any]:
    entry = section.get(name)
    return dict(entry) if isinstance(entry, Mapping) else {}


def _records(before: Mapping[str, Any], view: StatusView) -> dict[str, Any]:
    refused = {item.name: item for item in view.report.refused}
    records = {record.name: record.version for record in view.records}
    names = sorted(records.keys() | refused.keys())
    return {
        name: _record(_entry(before, name), records.get(name, 0), refused, name, view)
        for name in names
    }


def _record(
    entry: dict[str, Any],
    accepted: int,
    refused: Mapping[str, RefusedRecord],
    name: str,
    view: StatusView,
) -> dict[str, Any]:
    entry["accepted"] = accepted
    entry["in_force"] = _in_force(entry, accepted, refused.get(name), view)
    entry["instances"] = view.report.instances
    entry.pop("refused", None)
    if name in refused:
        item = refused[name]
        entry["refused"] = {"version": item.version, "reason": item.reason}
    return entry


def _in_force(
    entry: Mapping[str, Any],
    accepted: int,
    refused: RefusedRecord | None,
    view: StatusView,
) -> int:
    """Return the lowest version in force, as far as the reports prove it."""
    known = entry.get("in_force")
    proved = known if isinstance(known, int) else 0
    if refused is not None:
        return min(max(proved, refused.in_force), refused.in_force)
    if view.complete and view.report.revision >= accepted:
        return accepted
    return min(proved, accepted)


def _instances(
    before: Mapping[str, Any], view: StatusView, parts: Mapping[str, InstanceStatus]
) -> dict[str, Any]:
    instances = {}
    for name in sorted(view.members):
        entry = _entry(before, name)
        entry["state"] = view.states.get(name, "alive")
        if name in parts:
            part = parts[name]
            entry["state"] = part.state
            entry["started_at_s"] = part.started_at_s
            entry["schema_versions"] = list(part.schema_versions)
            entry["incarnation"] = f"{part.incarnation:016x}"
            entry["keyring_version"] = part.keyring_version
        instances[name] = entry
    return instances


def _targets(
    before: Mapping[str, Any], parts: Mapping[str, InstanceStatus]
) -> dict[str, Any]:
    targets = {}
    for owner, part in sorted(parts.items()):
        for target in part.targets:
            key = f"{target.service}/{target.target}"
            entry = _entry(before, key)
            entry["owner"] = owner
            entry["state"] = target.state
            entry["in_progress"] = target.in_progress
            entry["waiting"] = target.waiting
            entry["slots"] = target.slots
            targets[key] = entry
    return targets

"""Slopes of control work against the size of the fleet.

Instances and services grow together, in the proportion of the fleet that is
planned for, up to that fleet itself.
"""

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

import msgspec

from endivepick.bench._fleet import PLANNED_FLEET, Fleet
from endivepick.bench._simulated_node import (
    SimulatedNode,
    instance_name,
    member_update,
    record_object,
)
from endivepick.bench._slopes import Measured, measure, traced
from endivepick.core.events import InstancesListed, ObjectsChanged
from endivepick.core.peer_envelope import Envelope, encode_envelope
from endivepick.core.zone_status import STATUS_SENDS_PER_EXPIRY
from endivepick.daemon.metrics import DaemonMetrics
from endivepick.daemon.status import build_instance_status, compute_role_gauges
from endivepick.membership import ListedInstance
from endivepick.membership.peer_messages import MemberUpdate, Phase, Ping
from endivepick.membership.view import InstanceView, PeerState
from endivepick.platform.answers import WatchResult, decode_instances
from endivepick.records.model import Affinity, ServiceRecord
from endivepick.records.objects import StoredObject
from endivepick.records.peer_messages import (
    InstanceStatus,
    SubtreeReport,
    TargetStatus,
)
from endivepick.records.roles import compute_zone_roles, hash_names
from endivepick.records.settings import DisseminationSettings, StatusSettings
from endivepick.records.status import (
    RowSelection,
    StatusView,
    StatusWriter,
    WriteStatus,
)
from endivepick.records.status_groups import find_status_group

__all__ = ["measure_changes", "measure_fleet", "measure_lists", "measure_status"]

FLEET_SIZES = (64, 512, 2_048, 8_000)
STATUS_SIZES = (8, 64, 512, 2_048, 8_000)
STATUS_S = 120.0
"""How long the writers of a status write, by a clock that only counts."""
IDLE_S = 30.0
SETTLE_S = 12.0
CHANGES = 20
_MS = 1e3


def _busy_ms(call: Callable[[], object]) -> float:
    started_s = time.process_time()
    call()
    return (time.process_time() - started_s) * _MS


def _fleet_once(instances: int) -> dict[str, float]:
    fleet = PLANNED_FLEET.scaled(instances)
    with traced() as held:
        node = SimulatedNode(fleet)
        node.join()
    node = SimulatedNode(fleet)
    node.take_members()
    node.reset()
    node.take_records()
    records_ms = node.busy_s * _MS
    node.run(SETTLE_S)
    node.reset()
    node.run(IDLE_S)
    sent = node.sent_bytes
    metrics = DaemonMetrics()
    return {
        "core_memory_bytes": float(held.held),
        "idle_core_percent": 100 * node.busy_s / IDLE_S,
        "idle_longest_ms": node.longest_s * _MS,
        "records_taken_ms": records_ms,
        "membership_sent_bytes_per_s": _sum(sent, ("Ping", "Ack", "Sync")) / IDLE_S,
        "records_sent_bytes_per_s": _sum(sent, ("Config",)) / IDLE_S,
        "status_part_bytes_per_s": _sum(sent, ("InstanceStatus",)) / IDLE_S,
        "messages_sent_per_s": sum(node.sent.values()) / IDLE_S,
        "metrics_read_ms": _busy_ms(lambda: _read_metrics(metrics, node)),
        "status_page_bytes": float(
            len(msgspec.json.encode(build_instance_status(node.core, node.now_s)))
        ),
    }


def _read_metrics(metrics: DaemonMetrics, node: SimulatedNode) -> None:
    metrics.set_role_gauges(compute_role_gauges(node.core))
    metrics.render([])


def _sum(counted: dict[str, int], prefixes: tuple[str, ...]) -> float:
    return float(sum(n for kind, n in counted.items() if kind.startswith(prefixes)))


def measure_fleet(
    sizes: Sequence[int] = FLEET_SIZES, repeats: int = 2
) -> dict[str, Measured]:
    """Measure the whole core of a node that is no watcher, nothing changing."""
    units = {
        "core_memory_bytes": "B",
        "idle_core_percent": "%",
        "idle_longest_ms": "ms",
        "records_taken_ms": "ms",
        "membership_sent_bytes_per_s": "B/s",
        "records_sent_bytes_per_s": "B/s",
        "status_part_bytes_per_s": "B/s",
        "messages_sent_per_s": "1/s",
        "metrics_read_ms": "ms",
        "status_page_bytes": "B",
    }
    return measure("instance", sizes, units, _fleet_once, repeats)


def _changes_once(instances: int) -> dict[str, float]:
    fleet = PLANNED_FLEET.scaled(instances)
    node = SimulatedNode(fleet)
    node.join()
    node.run(1.0)
    numbers = range(1, 1 + min(CHANGES, instances // 3))
    leaving = [_advanced(node.get_member_update(n), Phase.LEAVING) for n in numbers]
    lost = range(fleet.zones, instances, fleet.zones)
    stopped = [_advanced(node.get_member_update(n), Phase.STOPPED) for n in lost]
    return {
        "peer_change_ms": _cost_of_updates(node, leaving) / len(leaving),
        "record_change_ms": _cost_of_records(node),
        "zone_lost_ms": _cost_of_zone(node, stopped),
        "zone_lost_peers": float(len(stopped)),
        "zone_lost_longest_ms": node.longest_s * _MS,
    }


def _advanced(update: MemberUpdate, phase: Phase) -> MemberUpdate:
    return msgspec.structs.replace(update, phase=phase)


def _cost_of_updates(node: SimulatedNode, updates: Sequence[MemberUpdate]) -> float:
    """Return the processor time of changes that come one by one, in ms."""
    node.reset()
    node.run(0.05 * len(updates))
    quiet_s = node.busy_s
    node.reset()
    for update in updates:
        node.deliver_message(Ping(1, 1, 0, [update], []))
        node.run(0.05)
    return max(0.0, node.busy_s - quiet_s) * _MS


def _cost_of_zone(node: SimulatedNode, updates: Sequence[MemberUpdate]) -> float:
    """Return the processor time of a zone's end, news coming six at a time."""
    node.reset()
    for start in range(0, len(updates), 6):
        node.deliver_message(Ping(1, 1, 0, list(updates[start : start + 6]), []))
        if start % 12 == 0:
            node.run(0.05)
    return node.busy_s * _MS


def _cost_of_records(node: SimulatedNode) -> float:
    revision = node.core.configuration.cache.revision
    node.reset()
    for step in range(CHANGES):
        after = revision + step
        changed = record_object(node.fleet, step % node.fleet.records, after + 1)
        node.handle(ObjectsChanged(WatchResult(after, after + 1, (changed,))))
    return node.busy_s * _MS / CHANGES


def measure_changes(sizes: Sequence[int] = FLEET_SIZES) -> dict[str, Measured]:
    """Measure what changes of peers and records, and a lost zone, cost a node."""
    units = {
        "peer_change_ms": "ms",
        "record_change_ms": "ms",
        "zone_lost_ms": "ms",
        "zone_lost_peers": "peers",
        "zone_lost_longest_ms": "ms",
    }
    return measure("instance", sizes, units, _changes_once)


def _part(fleet: Fleet, number: int, records: int, load: int) -> InstanceStatus:
    targets = tuple(
        TargetStatus(f"service-{number:05d}", f"target-{n}", "ready", load % 3, 0, 2)
        for n in range(records * fleet.targets_per_record)
    )
    return InstanceStatus("ready", 1.7e9, (1, 2), targets, 2**63 + number, 10_000_000)


@dataclass
class _Written:
    """What the writer of one object wrote while a minute passed."""

    size: int = 0
    total: int = 0
    busy_s: float = 0.0


def _write_status(
    writer: StatusWriter, view_at: Callable[[int], StatusView]
) -> _Written:
    """Let a writer write while records and load change."""
    written = _Written()
    writer.step(view_at(0), 0.0, 0.5)
    writer.on_read(None)
    for second in range(round(STATUS_S)):
        view = view_at(second)
        for name in view.rows(()):
            number = int(name.rpartition("-")[2])
            writer.record_part(
                name, _part(PLANNED_FLEET, number, 1, second), float(second)
            )
        started_s = time.process_time()
        action = writer.step(view, float(second), 0.5)
        written.busy_s += time.process_time() - started_s
        if isinstance(action, WriteStatus):
            written.size = len(msgspec.json.encode(action.body))
            written.total += written.size
            stored = StoredObject("status", action.name, second + 1, action.body)
            writer.on_written(stored)
    return written


def _zone_views(
    fleet: Fleet, names: Sequence[str], groups: int
) -> Callable[[int], StatusView]:
    """Return views of the zone's writer: each change is in force 2 s later."""
    records = [
        ServiceRecord(f"service-{n:05d}", n + 1, 2, "", Affinity.FLOW, ())
        for n in range(fleet.records)
    ]
    names_hash = hash_names(names)

    def view_at(second: int) -> StatusView:
        start = round(second * fleet.changes_per_s)
        for change in range(start, round((second + 1) * fleet.changes_per_s)):
            at = change % fleet.records
            version = fleet.records + change + 1
            records[at] = replace(records[at], version=version)
        reported = fleet.records + round((second - 2) * fleet.changes_per_s)
        report = SubtreeReport(reported, len(names), names_hash)
        shown = RowSelection((), names, groups) if groups else RowSelection()
        return StatusView(list(records), report, names, {}, shown)

    return view_at


def _status_once(instances: int) -> dict[str, float]:
    """Let the writers of a zone write, with the zone's share of the targets."""
    fleet = PLANNED_FLEET.scaled(instances)
    settings = StatusSettings()
    members = [m for m in range(instances) if fleet.zone_of(m) == "zone-0"]
    names = [instance_name(number) for number in members]
    peers = [InstanceView(name, "zone-0", 1, "", PeerState.ALIVE) for name in names]
    roles = compute_zone_roles("zone-0", peers, DisseminationSettings())
    of_names = [
        find_status_group(name, "zone-0", roles, settings.group_instances)
        for name in names
    ]
    found = [group for group in of_names if group is not None]
    groups = max((group.groups for group in found), default=0)
    zone = _write_status(
        StatusWriter(settings, "zone-0"), _zone_views(fleet, names, groups)
    )
    group, slowdown, told = zone, 1.0, len(names)
    if found:
        largest = max(found, key=lambda one: len(one.members))
        report = SubtreeReport(1, len(names), 0)
        listed = sorted(largest.members)
        shown = RowSelection(listed, group=largest.number)
        view = StatusView((), report, names, {}, shown)
        slowdown, told = largest.slowdown, len(listed)
        writer = StatusWriter(settings, "zone-0", largest.object_name, slowdown)
        group = _write_status(writer, lambda _: view)
    part = len(_enveloped(_part(fleet, 1, 1, 0)))
    period_s = settings.part_expiry_s * slowdown / STATUS_SENDS_PER_EXPIRY
    return {
        "status_objects": 1.0 + groups,
        "status_zone_bytes": float(zone.size),
        "status_group_bytes": float(group.size),
        "status_zone_written_bytes_per_s": zone.total / STATUS_S,
        "status_group_written_bytes_per_s": group.total / STATUS_S,
        "status_parts_bytes_per_s": part * (told - 1) / period_s,
        "status_zone_step_ms": zone.busy_s * _MS / STATUS_S,
        "status_group_step_ms": group.busy_s * _MS / STATUS_S,
        "part_bytes": float(part),
    }


def _enveloped(message: InstanceStatus) -> bytes:
    return encode_envelope(Envelope(instance_name(1), 2**63, 2**60, message))


def measure_status(sizes: Sequence[int] = STATUS_SIZES) -> dict[str, Measured]:
    """Measure the status of one zone against the instances of the fleet.

    The group is the zone's largest; in a zone without groups its figures are those
    of the zone's object.
    """
    units = {
        "status_objects": "objects",
        "status_zone_bytes": "B",
        "status_group_bytes": "B",
        "status_zone_written_bytes_per_s": "B/s",
        "status_group_written_bytes_per_s": "B/s",
        "status_parts_bytes_per_s": "B/s",
        "status_zone_step_ms": "ms",
        "status_group_step_ms": "ms",
        "part_bytes": "B",
    }
    return measure("instance", sizes, units, _status_once)


def _lists_once(instances: int) -> dict[str, float]:
    fleet = PLANNED_FLEET.scaled(instances)
    node = SimulatedNode(fleet)
    node.take_members()
    updates = [member_update(fleet, number) for number in range(instances)]
    listed = [
        {
            "name": update.name,
            "zone": update.zone,
            "peer_address": update.peer_address,
            "data_address": update.peer_address,
            "state": "live",
        }
        for update in updates
    ]
    data = msgspec.json.encode({"age_ms": 0, "instances": listed})
    entries = tuple(ListedInstance(u.name, u.zone, u.peer_address) for u in updates)
    return {
        "list_bytes": float(len(data)),
        "list_read_ms": _busy_ms(lambda: decode_instances(data)),
        "list_taken_ms": _busy_ms(lambda: node.handle(InstancesListed(entries, 0.0))),
    }


def measure_lists(sizes: Sequence[int] = FLEET_SIZES) -> dict[str, Measured]:
    """Measure the platform's list of instances."""
    units = {"list_bytes": "B", "list_read_ms": "ms", "list_taken_ms": "ms"}
    return measure("instance", sizes, units, _lists_once)

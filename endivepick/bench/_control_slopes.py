"""Costs of control-plane work by fleet size.

The number of services grows in proportion to the number of instances, as in the planned
fleet, up to the size of the planned fleet.
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
from endivepick.bench._slopes import Measurement, measure, trace_memory
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
"""Simulated time during which status is written, in seconds."""
IDLE_S = 30.0
SETTLE_S = 12.0
CHANGES = 20
_MS = 1e3


def _time_ms(call: Callable[[], object]) -> float:
    started_s = time.process_time()
    call()
    return (time.process_time() - started_s) * _MS


def _measure_fleet_at(instances: int) -> dict[str, float]:
    fleet = PLANNED_FLEET.scaled(instances)
    with trace_memory() as traced:
        node = SimulatedNode(fleet)
        node.join()
    node = SimulatedNode(fleet)
    node.deliver_members()
    node.reset_counters()
    node.deliver_records()
    records_ms = node.processor_s * _MS
    node.run(SETTLE_S)
    node.reset_counters()
    node.run(IDLE_S)
    sent = node.sent_bytes
    metrics = DaemonMetrics()
    return {
        "core_memory_bytes": float(traced.retained_bytes),
        "idle_core_percent": 100 * node.processor_s / IDLE_S,
        "idle_longest_ms": node.longest_event_s * _MS,
        "records_taken_ms": records_ms,
        "membership_sent_bytes_per_s": _sum_by_prefix(sent, ("Ping", "Ack", "Sync"))
        / IDLE_S,
        "records_sent_bytes_per_s": _sum_by_prefix(sent, ("Config",)) / IDLE_S,
        "status_part_bytes_per_s": _sum_by_prefix(sent, ("InstanceStatus",)) / IDLE_S,
        "messages_sent_per_s": sum(node.sent.values()) / IDLE_S,
        "metrics_read_ms": _time_ms(lambda: _read_metrics(metrics, node)),
        "status_page_bytes": float(
            len(msgspec.json.encode(build_instance_status(node.core, node.now_s)))
        ),
    }


def _read_metrics(metrics: DaemonMetrics, node: SimulatedNode) -> None:
    metrics.set_role_gauges(compute_role_gauges(node.core))
    metrics.render([])


def _sum_by_prefix(counted: dict[str, int], prefixes: tuple[str, ...]) -> float:
    return float(sum(n for kind, n in counted.items() if kind.startswith(prefixes)))


def measure_fleet(
    sizes: Sequence[int] = FLEET_SIZES, repeats: int = 2
) -> dict[str, Measurement]:
    """Measure the core of a node that is not a watcher, without any changes."""
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
    return measure("instance", sizes, units, _measure_fleet_at, repeats)


def _measure_changes_at(instances: int) -> dict[str, float]:
    fleet = PLANNED_FLEET.scaled(instances)
    node = SimulatedNode(fleet)
    node.join()
    node.run(1.0)
    numbers = range(1, 1 + min(CHANGES, instances // 3))
    leaving = [_set_phase(node.get_member_update(n), Phase.LEAVING) for n in numbers]
    lost = range(fleet.zones, instances, fleet.zones)
    stopped = [_set_phase(node.get_member_update(n), Phase.STOPPED) for n in lost]
    return {
        "peer_change_ms": _measure_updates_ms(node, leaving) / len(leaving),
        "record_change_ms": _measure_records_ms(node),
        "zone_lost_ms": _measure_zone_loss_ms(node, stopped),
        "zone_lost_peers": float(len(stopped)),
        "zone_lost_longest_ms": node.longest_event_s * _MS,
    }


def _set_phase(update: MemberUpdate, phase: Phase) -> MemberUpdate:
    return msgspec.structs.replace(update, phase=phase)


def _measure_updates_ms(node: SimulatedNode, updates: Sequence[MemberUpdate]) -> float:
    """Return the processor time of updates that arrive one by one, in ms."""
    node.reset_counters()
    node.run(0.05 * len(updates))
    baseline_s = node.processor_s
    node.reset_counters()
    for update in updates:
        node.deliver_message(Ping(1, 1, 0, [update], []))
        node.run(0.05)
    return max(0.0, node.processor_s - baseline_s) * _MS


def _measure_zone_loss_ms(
    node: SimulatedNode, updates: Sequence[MemberUpdate]
) -> float:
    """Return the processor time of the loss of a zone, in ms.

    Updates arrive six at a time.
    """
    node.reset_counters()
    for start in range(0, len(updates), 6):
        node.deliver_message(Ping(1, 1, 0, list(updates[start : start + 6]), []))
        if start % 12 == 0:
            node.run(0.05)
    return node.processor_s * _MS


def _measure_records_ms(node: SimulatedNode) -> float:
    revision = node.core.configuration.cache.revision
    node.reset_counters()
    for step in range(CHANGES):
        after = revision + step
        changed = record_object(node.fleet, step % node.fleet.records, after + 1)
        node.handle(ObjectsChanged(WatchResult(after, after + 1, (changed,))))
    return node.processor_s * _MS / CHANGES


def measure_changes(sizes: Sequence[int] = FLEET_SIZES) -> dict[str, Measurement]:
    """Measure the costs of changed peers and records, and of a lost zone, at a node."""
    units = {
        "peer_change_ms": "ms",
        "record_change_ms": "ms",
        "zone_lost_ms": "ms",
        "zone_lost_peers": "peers",
        "zone_lost_longest_ms": "ms",
    }
    return measure("instance", sizes, units, _measure_changes_at)


def _make_part(fleet: Fleet, number: int, records: int, load: int) -> InstanceStatus:
    targets = tuple(
        TargetStatus(f"service-{number:05d}", f"target-{n}", "ready", load % 3, 0, 2)
        for n in range(records * fleet.targets_per_record)
    )
    return InstanceStatus("ready", 1.7e9, (1, 2), targets, 2**63 + number, 10_000_000)


@dataclass
class _WriteTotals:
    """Totals of the writer of one status object."""

    size: int = 0
    total: int = 0
    processor_s: float = 0.0


def _write_status(
    writer: StatusWriter, view_at: Callable[[int], StatusView]
) -> _WriteTotals:
    """Run a status writer while records and load change."""
    written = _WriteTotals()
    writer.step(view_at(0), 0.0, 0.5)
    writer.on_read(None)
    for second in range(round(STATUS_S)):
        view = view_at(second)
        for name in view.rows(()):
            number = int(name.rpartition("-")[2])
            writer.record_part(
                name, _make_part(PLANNED_FLEET, number, 1, second), float(second)
            )
        started_s = time.process_time()
        action = writer.step(view, float(second), 0.5)
        written.processor_s += time.process_time() - started_s
        if isinstance(action, WriteStatus):
            written.size = len(msgspec.json.encode(action.body))
            written.total += written.size
            stored = StoredObject("status", action.name, second + 1, action.body)
            writer.on_written(stored)
    return written


def _make_zone_views(
    fleet: Fleet, names: Sequence[str], groups: int
) -> Callable[[int], StatusView]:
    """Return the views of the writer of a zone; changes take effect after 2 s."""
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


def _measure_status_at(instances: int) -> dict[str, float]:
    """Run the status writers of a zone, with its part of the targets."""
    fleet = PLANNED_FLEET.scaled(instances)
    settings = StatusSettings()
    members = [m for m in range(instances) if fleet.zone_of(m) == "zone-0"]
    names = [instance_name(number) for number in members]
    peers = [InstanceView(name, "zone-0", 1, "", PeerState.ALIVE) for name in names]
    roles = compute_zone_roles("zone-0", peers, DisseminationSettings())
    group_of_names = [
        find_status_group(name, "zone-0", roles, settings.group_instances)
        for name in names
    ]
    grouped = [group for group in group_of_names if group is not None]
    groups = max((group.groups for group in grouped), default=0)
    zone = _write_status(
        StatusWriter(settings, "zone-0"), _make_zone_views(fleet, names, groups)
    )
    group, slowdown, receivers = zone, 1.0, len(names)
    if grouped:
        largest = max(grouped, key=lambda one: len(one.members))
        report = SubtreeReport(1, len(names), 0)
        listed = sorted(largest.members)
        shown = RowSelection(listed, group=largest.number)
        view = StatusView((), report, names, {}, shown)
        slowdown, receivers = largest.slowdown, len(listed)
        writer = StatusWriter(settings, "zone-0", largest.object_name, slowdown)
        group = _write_status(writer, lambda _: view)
    part = len(_encode_in_envelope(_make_part(fleet, 1, 1, 0)))
    period_s = settings.part_expiry_s * slowdown / STATUS_SENDS_PER_EXPIRY
    return {
        "status_objects": 1.0 + groups,
        "status_zone_bytes": float(zone.size),
        "status_group_bytes": float(group.size),
        "status_zone_written_bytes_per_s": zone.total / STATUS_S,
        "status_group_written_bytes_per_s": group.total / STATUS_S,
        "status_parts_bytes_per_s": part * (receivers - 1) / period_s,
        "status_zone_step_ms": zone.processor_s * _MS / STATUS_S,
        "status_group_step_ms": group.processor_s * _MS / STATUS_S,
        "part_bytes": float(part),
    }


def _encode_in_envelope(message: InstanceStatus) -> bytes:
    return encode_envelope(Envelope(instance_name(1), 2**63, 2**60, message))


def measure_status(sizes: Sequence[int] = STATUS_SIZES) -> dict[str, Measurement]:
    """Measure the status of one zone against the instances of the fleet.

    Group values are those of the largest group, or of the zone object in a zone without
    groups.
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
    return measure("instance", sizes, units, _measure_status_at)


def _measure_lists_at(instances: int) -> dict[str, float]:
    fleet = PLANNED_FLEET.scaled(instances)
    node = SimulatedNode(fleet)
    node.deliver_members()
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
        "list_read_ms": _time_ms(lambda: decode_instances(data)),
        "list_taken_ms": _time_ms(lambda: node.handle(InstancesListed(entries, 0.0))),
    }


def measure_lists(sizes: Sequence[int] = FLEET_SIZES) -> dict[str, Measurement]:
    """Measure the list of instances from the platform."""
    units = {"list_bytes": "B", "list_read_ms": "ms", "list_taken_ms": "ms"}
    return measure("instance", sizes, units, _measure_lists_at)

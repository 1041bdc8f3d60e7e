"""Slopes of control work against the size of the fleet.

Instances and services grow together, in the proportion of the fleet that is
planned for, up to that fleet itself.
"""

import time
from collections.abc import Callable, Sequence

import msgspec

from endivepick.bench._fleet import TWO_YEARS, Fleet
from endivepick.bench._node import (
    DrivenNode,
    instance_name,
    member_update,
    record_object,
)
from endivepick.bench._slopes import Measured, measure, traced
from endivepick.core.core_settings import CoreSettings
from endivepick.core.events import InstancesListed, ObjectsChanged
from endivepick.core.wire import Envelope, encode_envelope
from endivepick.daemon.metrics import DaemonMetrics
from endivepick.daemon.status import instance_status, role_gauges
from endivepick.membership import ListedInstance
from endivepick.membership.peer_messages import MemberUpdate, Phase, Ping
from endivepick.platform.answers import WatchResult, read_instances
from endivepick.records.objects import StoredObject
from endivepick.records.peer_messages import InstanceStatus, TargetStatus
from endivepick.records.status import StatusView, StatusWriter, WriteStatus

__all__ = ["measure_changes", "measure_fleet", "measure_lists", "measure_status"]

FLEET_SIZES = (64, 512, 2_048, 8_000)
IDLE_S = 30.0
SETTLE_S = 12.0
CHANGES = 20
_MS = 1e3


def _busy_ms(call: Callable[[], object]) -> float:
    started_s = time.process_time()
    call()
    return (time.process_time() - started_s) * _MS


def _fleet_once(instances: int) -> dict[str, float]:
    fleet = TWO_YEARS.scaled(instances)
    with traced() as held:
        node = DrivenNode(fleet)
        node.join()
    node = DrivenNode(fleet)
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
            len(msgspec.json.encode(instance_status(node.core, node.now_s)))
        ),
    }


def _read_metrics(metrics: DaemonMetrics, node: DrivenNode) -> None:
    metrics.set_roles(role_gauges(node.core))
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
    fleet = TWO_YEARS.scaled(instances)
    node = DrivenNode(fleet)
    node.join()
    node.run(1.0)
    numbers = range(1, 1 + min(CHANGES, instances // 3))
    leaving = [_advanced(node.update_of(n), Phase.LEAVING) for n in numbers]
    lost = range(fleet.zones, instances, fleet.zones)
    stopped = [_advanced(node.update_of(n), Phase.STOPPED) for n in lost]
    return {
        "peer_change_ms": _cost_of_updates(node, leaving) / len(leaving),
        "record_change_ms": _cost_of_records(node),
        "zone_lost_ms": _cost_of_zone(node, stopped),
        "zone_lost_peers": float(len(stopped)),
        "zone_lost_longest_ms": node.longest_s * _MS,
    }


def _advanced(update: MemberUpdate, phase: Phase) -> MemberUpdate:
    return msgspec.structs.replace(update, phase=phase)


def _cost_of_updates(node: DrivenNode, updates: Sequence[MemberUpdate]) -> float:
    """Return the processor time of changes that come one by one, in ms."""
    node.reset()
    node.run(0.05 * len(updates))
    quiet_s = node.busy_s
    node.reset()
    for update in updates:
        node.tell(Ping(1, 1, 0, [update], []))
        node.run(0.05)
    return max(0.0, node.busy_s - quiet_s) * _MS


def _cost_of_zone(node: DrivenNode, updates: Sequence[MemberUpdate]) -> float:
    """Return the processor time of a zone's end, news coming six at a time."""
    node.reset()
    for start in range(0, len(updates), 6):
        node.tell(Ping(1, 1, 0, list(updates[start : start + 6]), []))
        if start % 12 == 0:
            node.run(0.05)
    return node.busy_s * _MS


def _cost_of_records(node: DrivenNode) -> float:
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


def _part(fleet: Fleet, number: int, records: int) -> InstanceStatus:
    targets = tuple(
        TargetStatus(f"service-{number:05d}", f"target-{n}", "ready", 1, 0, 2)
        for n in range(records * fleet.targets_per_record)
    )
    return InstanceStatus("ready", 1.7e9, (1, 2), targets, 2**63 + number, 10_000_000)


def _status_once(instances: int) -> dict[str, float]:
    """Let the writer of a zone write, with the zone's share of the targets."""
    fleet = TWO_YEARS.scaled(instances)
    node = DrivenNode(fleet)
    node.join()
    members = [m for m in range(instances) if fleet.zone_of(m) == "zone-0"]
    names = [instance_name(number) for number in members]
    owning = round(len(members) * min(1.0, fleet.records_per_instance))
    writer = StatusWriter(CoreSettings("entry-00000", "zone-0").status, "zone-0")
    for position, number in enumerate(members):
        part = _part(fleet, number, int(position < owning))
        writer.note(instance_name(number), part, node.now_s)
    writer.was_read(None)
    view = StatusView(
        node.core.catalog.book.records(),
        node.core.configuration.dissemination.zone_report,
        names,
        dict.fromkeys(names, "alive"),
    )
    actions = []
    first_ms = _busy_ms(lambda: actions.append(writer.step(view, node.now_s, 0.0)))
    [action] = actions
    assert isinstance(action, WriteStatus)
    writer.was_written(StoredObject("status", "zone-0", 1, action.body))
    again_ms = _busy_ms(lambda: writer.step(view, node.now_s + 5.0, 0.0))
    body = msgspec.json.encode(action.body)
    return {
        "status_object_bytes": float(len(body)),
        "status_step_ms": first_ms,
        "status_step_again_ms": again_ms,
        "part_bytes": float(len(_enveloped(_part(fleet, 1, 1)))),
    }


def _enveloped(message: InstanceStatus) -> bytes:
    return encode_envelope(Envelope(instance_name(1), 2**63, 2**60, message))


def measure_status(sizes: Sequence[int] = FLEET_SIZES) -> dict[str, Measured]:
    """Measure the status of one zone against the instances of the fleet."""
    units = {
        "status_object_bytes": "B",
        "status_step_ms": "ms",
        "status_step_again_ms": "ms",
        "part_bytes": "B",
    }
    return measure("instance", sizes, units, _status_once)


def _lists_once(instances: int) -> dict[str, float]:
    fleet = TWO_YEARS.scaled(instances)
    node = DrivenNode(fleet)
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
        "list_read_ms": _busy_ms(lambda: read_instances(data)),
        "list_taken_ms": _busy_ms(lambda: node.handle(InstancesListed(entries, 0.0))),
    }


def measure_lists(sizes: Sequence[int] = FLEET_SIZES) -> dict[str, Measured]:
    """Measure the platform's list of instances."""
    units = {"list_bytes": "B", "list_read_ms": "ms", "list_taken_ms": "ms"}
    return measure("instance", sizes, units, _lists_once)

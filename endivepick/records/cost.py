"""Estimated cost of record dissemination, from the encoded size of messages.

``python -m endivepick.records.cost`` prints the table of ``docs/design``.  With
``--timings`` it prints the processor time of cache and roles, with ``--feeders``
the load of the busiest feeder in zones of several sizes.
"""

import sys
import time
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from math import ceil, log

import msgspec

from endivepick.core.packet_codec import encode_struct
from endivepick.membership.view import InstanceView, PeerState
from endivepick.records._status_body import (
    RowSelection,
    StatusUpdate,
    StatusView,
    merge_status,
)
from endivepick.records._transfer import build_push
from endivepick.records.cache import RecordCache
from endivepick.records.model import Affinity, ServiceRecord
from endivepick.records.objects import StoredObject
from endivepick.records.peer_messages import (
    ConfigDigest,
    InstanceStatus,
    SubtreeReport,
    TargetStatus,
)
from endivepick.records.roles import ZoneRoles, compute_zone_roles, hash_names
from endivepick.records.settings import DisseminationSettings, StatusSettings
from endivepick.records.status_groups import group_count

__all__ = ["Fleet", "DisseminationCost", "main", "estimate_dissemination_costs"]

ENVELOPE_BYTES = 40
"""Envelope of a message: sender, incarnation, clock and tag (assumed)."""
TRANSPORT_BYTES = 110
"""TCP/IP headers, acknowledgement, ZMTP frame and CURVE box (assumed)."""
WATCH_WAIT_S = 10.0
DAY_S = 86_400.0
SAMPLE_REVISION = 10_000_000
RUMOUR_MARGIN = 2
"""Rumours that each node sends beyond ln N, so that nearly all nodes get one."""


@dataclass(frozen=True)
class Fleet:
    """Size of an installation.

    Attributes
    ----------
    name : str
        Label in the table.
    zones, instances, records, targets : int
        Number of zones, of instances in total, of records, and of targets per
        record.
    changes_per_s : float
        Changes of records per second.
    """

    name: str
    zones: int
    instances: int
    records: int
    targets: int
    changes_per_s: float


@dataclass(frozen=True)
class DisseminationCost:
    """Cost of one dissemination strategy.

    Attributes
    ----------
    strategy : str
        Label of the strategy in the table.
    platform_calls_per_s : float
        Calls of all instances together, including watches that time out.
    leaf_bytes_per_s, busiest_bytes_per_s : float
        Bytes sent and received by most instances, and by the busiest role.
    hops : int
        Consecutive messages from the platform to the last instance.
    """

    strategy: str
    platform_calls_per_s: float
    leaf_bytes_per_s: float
    busiest_bytes_per_s: float
    hops: int


CURRENT_FLEETS = (
    Fleet("Harada", 3, 8, 2, 5, 50 / DAY_S),
    Fleet("Leave Desk", 4, 9, 2, 6, 50 / DAY_S),
)
LARGE_FLEET = Fleet("8,000 nodes", 8, 8000, 6300, 7, 17_000 / DAY_S)
PEAK_FLEET = Fleet("8,000, peak x10", 8, 8000, 6300, 7, 170_000 / DAY_S)


def sample_record(name: str, version: int, targets: int) -> StoredObject:
    """Return a record of schema 2 with ``targets`` targets."""
    listed = [
        {
            "name": f"target-{index}",
            "zone": "kagoshima",
            "address": f"10.20.30.{index}:8080",
            "slots": 2,
            "connections": 2000,
            "draining": False,
        }
        for index in range(targets)
    ]
    body = {
        "schema_version": 2,
        "write_id": "0123456789abcdef",
        "affinity": "request",
        "request_timeout_s": 30.0,
        "waiting_per_slot": 8,
        "spill_share": 1.0,
        "targets": listed,
    }
    return StoredObject("service", name, version, body)


def measure_digest_bytes() -> int:
    """Return the wire size of a digest with a report, in bytes."""
    report = SubtreeReport(SAMPLE_REVISION, 1000, (1 << 64) - 1)
    digest = ConfigDigest((1 << 64) - 1, SAMPLE_REVISION, True, True, True, report)
    return len(encode_struct(digest)) + ENVELOPE_BYTES + TRANSPORT_BYTES


def measure_push_bytes(targets: int) -> int:
    """Return the wire size of the push of one changed record, in bytes."""
    cache = RecordCache()
    cache.offer(sample_record("illustration-packs", SAMPLE_REVISION, targets))
    push = build_push(cache, SAMPLE_REVISION - 1, 1 << 20)
    return len(encode_struct(push)) + ENVELOPE_BYTES + TRANSPORT_BYTES


def estimate_dissemination_costs(
    fleet: Fleet, settings: DisseminationSettings
) -> list[DisseminationCost]:
    """Estimate the cost of each dissemination strategy for a fleet."""
    digest = measure_digest_bytes() / settings.digest_interval_s
    push = measure_push_bytes(fleet.targets) * fleet.changes_per_s
    watch = fleet.changes_per_s + 1 / WATCH_WAIT_S
    zone = ceil(fleet.instances / fleet.zones)
    watchers = min(zone, settings.watchers)
    fan_out = min(settings.fan_out, max(0, zone - watchers) / watchers)
    links = 2 * (watchers - 1 + min(fleet.zones - 1, settings.zones_per_digest))
    rumours = ceil(log(fleet.instances)) + RUMOUR_MARGIN
    direct_subscribers = max(0, zone - watchers) / watchers
    watcher_calls_per_s = fleet.zones * watchers * watch
    # An exchange consists of a digest and a reply.  The ends of a link each start one
    # per interval.  With gossip, each instance starts one and answers one on average,
    # and both sends and receives each push.
    return [
        DisseminationCost(
            "every instance watches", fleet.instances * watch, push, push, 1
        ),
        DisseminationCost(
            "watchers feed their zone",
            watcher_calls_per_s,
            2 * digest + push,
            links * 2 * digest + direct_subscribers * (2 * digest + push) + push,
            2,
        ),
        DisseminationCost(
            "watchers feed tiers (chosen)",
            watcher_calls_per_s,
            2 * digest + push,
            links * 2 * digest + fan_out * (2 * digest + push) + push,
            2 + _count_lower_tiers(zone, watchers, settings.fan_out),
        ),
        DisseminationCost(
            "gossip of digests only",
            watcher_calls_per_s,
            4 * digest + 2 * push,
            4 * digest + 2 * push,
            ceil(log(fleet.instances, 2) + log(fleet.instances)),
        ),
        DisseminationCost(
            "gossip of rumours",
            watcher_calls_per_s,
            4 * digest + 2 * rumours * push,
            4 * digest + 2 * rumours * push,
            ceil(log(fleet.instances, rumours)) + 1,
        ),
    ]


def measure_status_bytes(fleet: Fleet) -> tuple[int, int, int]:
    """Return the number of status objects of a zone and their sizes as JSON.

    The sizes are those of the object of the zone and of a group, in bytes; the
    second is 0 if there are no groups.  One in 100 records is not in force.
    """
    names = [f"entry-{n}" for n in range(ceil(fleet.instances / fleet.zones))]
    pending = ceil(fleet.records / 100)
    records = [
        ServiceRecord(
            f"service-{n}", SAMPLE_REVISION + (n < pending), 2, "", Affinity.FLOW, ()
        )
        for n in range(fleet.records)
    ]
    report = SubtreeReport(SAMPLE_REVISION, len(names), hash_names(names))
    groups = group_count(len(names), StatusSettings().group_instances)
    of_group = names[: ceil(len(names) / groups)] if groups else names
    owned = ceil(fleet.records / fleet.instances)
    parts = {
        name: InstanceStatus(
            "ready", 1.7e9, (1, 2), _sample_targets(name, owned, fleet.targets)
        )
        for name in of_group
    }
    shown = RowSelection((), names, groups) if groups else RowSelection()
    zone = StatusView(records, report, names, {}, shown)
    update = StatusUpdate({} if groups else parts)
    zone_bytes = len(msgspec.json.encode(merge_status("kagoshima", {}, zone, update)))
    if not groups:
        return 1, zone_bytes, 0
    group = StatusView((), report, names, {}, RowSelection(of_group, group=1))
    body = merge_status("kagoshima", {}, group, StatusUpdate(parts))
    return 1 + groups, zone_bytes, len(msgspec.json.encode(body))


def _sample_targets(name: str, services: int, targets: int) -> tuple[TargetStatus, ...]:
    return tuple(
        TargetStatus(f"service-{name}-{service}", f"target-{n}", "ready", 1, 0, 2)
        for service in range(services)
        for n in range(targets)
    )


def _count_lower_tiers(zone: int, watchers: int, fan_out: int) -> int:
    """Return the number of tiers below the first tier that the watchers feed."""
    tiers, size, reached = 0, watchers, watchers
    while reached < zone:
        size *= fan_out
        reached += size
        tiers += 1
    return max(0, tiers - 1)


def time_cache(records: int) -> list[float]:
    """Return the time of a listing, a change, a digest and a push, in seconds."""
    listed = [sample_record(f"service-{n}", n + 1, 7) for n in range(records)]
    cache = RecordCache()
    marks = [time.perf_counter()]
    cache.offer_list("service", records, listed)
    for kind in cache.kinds[1:]:
        cache.offer_list(kind, records, [])
    marks.append(time.perf_counter())
    cache.offer(sample_record("service-0", records + 1, 7))
    marks.append(time.perf_counter())
    assert cache.digest.revision == records
    marks.append(time.perf_counter())
    build_push(cache, records, 1 << 20)
    marks.append(time.perf_counter())
    return [later - mark for mark, later in zip(marks, marks[1:], strict=False)]


def time_roles(instances: int, zones: int) -> tuple[float, list[int]]:
    """Return the time to compute the roles of a zone, and the load of each feeder."""
    settings = DisseminationSettings()
    members = [
        InstanceView(f"entry-{n}", f"zone-{n % zones}", 1, "", PeerState.ALIVE)
        for n in range(instances)
    ]
    start_s = time.perf_counter()
    roles = compute_zone_roles("zone-0", members, settings)
    elapsed_s = time.perf_counter() - start_s
    subscribers = [name for name in roles.ranked if name not in roles.watchers]
    feeders = Counter(roles.rank_feeders(name, settings)[0] for name in subscribers)
    return elapsed_s, sorted(feeders.values())


def assign_feeders(
    names: Sequence[str], settings: DisseminationSettings
) -> tuple[ZoneRoles, dict[str, str]]:
    """Return the roles of a zone and the first-choice feeder of each instance."""
    members = [InstanceView(name, "zone", 1, "", PeerState.ALIVE) for name in names]
    roles = compute_zone_roles("zone", members, settings)
    subscribers = [name for name in roles.ranked if name not in roles.watchers]
    return roles, {name: roles.rank_feeders(name, settings)[0] for name in subscribers}


def estimate_busiest_feeder(
    roles: ZoneRoles,
    subscribers: Mapping[str, str],
    changes_per_s: float,
    settings: DisseminationSettings,
) -> tuple[float, float]:
    """Return the bytes per second of the busiest watcher and of the busiest other."""
    digests = 2 * measure_digest_bytes() / settings.digest_interval_s
    pushes = measure_push_bytes(7) * changes_per_s
    loads = Counter(subscribers.values())
    links = 2 * (len(roles.watchers) - 1 + settings.zones_per_digest)
    watchers = [
        links * digests + loads[name] * (digests + pushes) + pushes
        for name in roles.watchers
    ]
    others = [(1 + loads[name]) * (digests + pushes) for name in subscribers]
    return max(watchers), max(others, default=0.0)


def count_moved_subscribers(
    names: Sequence[str],
    subscribers: Mapping[str, str],
    settings: DisseminationSettings,
) -> list[int]:
    """Count the instances that change their feeder when one instance leaves.

    Returns a count for each of about four sample instances.  The same number moves
    when that instance returns.
    """
    moved = []
    for gone in names[:: ceil(len(names) / 4)]:
        left = [name for name in names if name != gone]
        _, after = assign_feeders(left, settings)
        moved.append(
            sum(subscribers.get(name) != feeder for name, feeder in after.items())
        )
    return moved


def main() -> None:
    """Print the cost table, the timings or the feeder loads."""
    if "--feeders" in sys.argv:
        print_feeders()
    elif "--timings" in sys.argv:
        print_timings()
    else:
        print_costs()


def print_timings() -> None:
    """Print processor times for several sizes."""
    print("records    list_ms  change_us  digest_us    push_us")
    for records in (100, 400, 1600, 6400):
        listed, change, digest, push = time_cache(records)
        print(
            f"{records:7} {listed * 1e3:10.1f} {change * 1e6:10.0f}"
            f" {digest * 1e6:10.0f} {push * 1e6:10.0f}"
        )
    print("instances  roles_ms  instances fed by one feeder: mean, most")
    for instances in (64, 512, 2048, 8000):
        elapsed_s, loads = time_roles(instances, zones=8)
        mean = sum(loads) / len(loads)
        print(f"{instances:9} {elapsed_s * 1e3:9.1f} {mean:9.1f} {loads[-1]:5}")


def print_feeders(zones: int = 14) -> None:
    """Print the load of the busiest feeder and the moves when an instance leaves."""
    settings = DisseminationSettings()
    print("instances  most fed  B/s: watcher, other  ten times  moved: mean, most")
    for size in (8, 64, 571):
        max_load, moved = 0, []
        bytes_per_s = [0.0] * 4
        for zone in range(zones):
            names = [f"entry-{zone}-{index}" for index in range(size)]
            roles, subscribers = assign_feeders(names, settings)
            max_load = max(max_load, *Counter(subscribers.values()).values())
            mean = estimate_busiest_feeder(
                roles, subscribers, LARGE_FLEET.changes_per_s, settings
            )
            peak = estimate_busiest_feeder(
                roles, subscribers, PEAK_FLEET.changes_per_s, settings
            )
            bytes_per_s = list(map(max, bytes_per_s, (*mean, *peak)))
            moved += count_moved_subscribers(names, subscribers, settings)
        loads = " ".join(f"{value:9.0f}" for value in bytes_per_s)
        mean_moved = sum(moved) / len(moved)
        print(f"{size:9} {max_load:9} {loads} {mean_moved:9.1f} {max(moved):5}")


def print_costs() -> None:
    """Print calls and bytes per second of each strategy for each fleet."""
    settings = DisseminationSettings()
    print(
        f"digest {measure_digest_bytes()} B,"
        f" push of 7 targets {measure_push_bytes(7)} B"
    )
    for fleet in (*CURRENT_FLEETS, LARGE_FLEET, PEAK_FLEET):
        print(f"{fleet.name}: {fleet.changes_per_s:.5f} changes/s")
        objects, zone, group = measure_status_bytes(fleet)
        print(f"  status of a zone: {objects} objects, {zone} B and {group} B a group")
        for cost in estimate_dissemination_costs(fleet, settings):
            print(
                f"  {cost.strategy:30} {cost.platform_calls_per_s:9.2f} calls/s"
                f" {cost.leaf_bytes_per_s:8.0f} B/s {cost.busiest_bytes_per_s:9.0f}"
                f" B/s busiest {cost.hops:3} hops"
            )


if __name__ == "__main__":
    main()

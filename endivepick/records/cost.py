"""Cost of spreading records, worked out from the sizes of real messages.

Run ``python -m endivepick.records.cost`` for the table of ``docs/design``, and
``python -m endivepick.records.cost --timings`` for the processor time of cache
and roles, ``--feeders`` for the busiest feeder of zones of several sizes.
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
    StatusNews,
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
"""Sender, incarnation, clock and tag around a message (assumed)."""
TRANSPORT_BYTES = 110
"""TCP/IP headers and acknowledgement, ZMTP frame and CURVE box (assumed)."""
WATCH_WAIT_S = 10.0
DAY_S = 86_400.0
BIG_REVISION = 10_000_000
RUMOUR_MARGIN = 2
"""Rumours each node sends beyond ln N, so that nearly all nodes get one."""


@dataclass(frozen=True)
class Fleet:
    """Shape of an installation.

    Attributes
    ----------
    name : str
        For the table.
    zones, instances, records, targets : int
        Zones, instances in all, records, and targets of one record.
    changes_per_s : float
        Changes of records each second.
    """

    name: str
    zones: int
    instances: int
    records: int
    targets: int
    changes_per_s: float


@dataclass(frozen=True)
class DisseminationCost:
    """Cost of one way to spread records.

    Attributes
    ----------
    way : str
        For the table.
    platform_calls_per_s : float
        Calls of all instances together, waiting watches included.
    leaf_bytes_per_s, busiest_bytes_per_s : float
        Sent and received by most instances, and by the busiest role.
    hops : int
        Messages in a row from the platform to the last instance.
    """

    strategy: str
    platform_calls_per_s: float
    leaf_bytes_per_s: float
    busiest_bytes_per_s: float
    hops: int


TODAY = (
    Fleet("Harada", 3, 8, 2, 5, 50 / DAY_S),
    Fleet("Leave Desk", 4, 9, 2, 6, 50 / DAY_S),
)
LARGE = Fleet("8,000 nodes", 8, 8000, 6300, 7, 17_000 / DAY_S)
PEAK = Fleet("8,000, peak x10", 8, 8000, 6300, 7, 170_000 / DAY_S)


def sample_record(name: str, version: int, targets: int) -> StoredObject:
    """Return a record of schema 2 with this many targets."""
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


def digest_bytes() -> int:
    """Return the size of a digest with a report, on the wire."""
    report = SubtreeReport(BIG_REVISION, 1000, (1 << 64) - 1)
    digest = ConfigDigest((1 << 64) - 1, BIG_REVISION, True, True, True, report)
    return len(encode_struct(digest)) + ENVELOPE_BYTES + TRANSPORT_BYTES


def push_bytes(targets: int) -> int:
    """Return the size of the push of one changed record, on the wire."""
    cache = RecordCache()
    cache.offer(sample_record("illustration-packs", BIG_REVISION, targets))
    push = build_push(cache, BIG_REVISION - 1, 1 << 20)
    return len(encode_struct(push)) + ENVELOPE_BYTES + TRANSPORT_BYTES


def estimate_dissemination_costs(
    fleet: Fleet, settings: DisseminationSettings
) -> list[DisseminationCost]:
    """Work out the cost of each way for a fleet."""
    digest = digest_bytes() / settings.digest_interval_s
    push = push_bytes(fleet.targets) * fleet.changes_per_s
    watch = fleet.changes_per_s + 1 / WATCH_WAIT_S
    zone = ceil(fleet.instances / fleet.zones)
    watchers = min(zone, settings.watchers)
    fan_out = min(settings.fan_out, max(0, zone - watchers) / watchers)
    links = 2 * (watchers - 1 + min(fleet.zones - 1, settings.zones_per_digest))
    rumours = ceil(log(fleet.instances)) + RUMOUR_MARGIN
    all_fed = max(0, zone - watchers) / watchers
    some_calls = fleet.zones * watchers * watch
    return [
        DisseminationCost(
            "every instance watches", fleet.instances * watch, push, push, 1
        ),
        DisseminationCost(
            "watchers feed their zone",
            some_calls,
            2 * digest + push,
            links * 2 * digest + all_fed * (2 * digest + push) + push,
            2,
        ),
        DisseminationCost(
            "watchers feed tiers (chosen)",
            some_calls,
            2 * digest + push,
            links * 2 * digest + fan_out * (2 * digest + push) + push,
            2 + _tiers(zone, watchers, settings.fan_out),
        ),
        DisseminationCost(
            "gossip of digests only",
            some_calls,
            4 * digest + 2 * push,
            4 * digest + 2 * push,
            ceil(log(fleet.instances, 2) + log(fleet.instances)),
        ),
        DisseminationCost(
            "gossip of rumours",
            some_calls,
            4 * digest + 2 * rumours * push,
            4 * digest + 2 * rumours * push,
            ceil(log(fleet.instances, rumours)) + 1,
        ),
    ]


def status_bytes(fleet: Fleet) -> tuple[int, int, int]:
    """Return objects of one zone's status, and the bytes of both kinds, as JSON.

    The kinds are the zone's own object and that of a group; the second is 0 if there
    are no groups.  All records are in force but for one in a hundred.
    """
    names = [f"entry-{n}" for n in range(ceil(fleet.instances / fleet.zones))]
    late = ceil(fleet.records / 100)
    records = [
        ServiceRecord(
            f"service-{n}", BIG_REVISION + (n < late), 2, "", Affinity.FLOW, ()
        )
        for n in range(fleet.records)
    ]
    report = SubtreeReport(BIG_REVISION, len(names), hash_names(names))
    groups = group_count(len(names), StatusSettings().group_instances)
    of_group = names[: ceil(len(names) / groups)] if groups else names
    owned = ceil(fleet.records / fleet.instances)
    parts = {
        name: InstanceStatus("ready", 1.7e9, (1, 2), _owned(name, owned, fleet.targets))
        for name in of_group
    }
    shown = RowSelection((), names, groups) if groups else RowSelection()
    zone = StatusView(records, report, names, {}, shown)
    news = StatusNews({} if groups else parts)
    zone_bytes = len(msgspec.json.encode(merge_status("kagoshima", {}, zone, news)))
    if not groups:
        return 1, zone_bytes, 0
    group = StatusView((), report, names, {}, RowSelection(of_group, group=1))
    body = merge_status("kagoshima", {}, group, StatusNews(parts))
    return 1 + groups, zone_bytes, len(msgspec.json.encode(body))


def _owned(name: str, services: int, targets: int) -> tuple[TargetStatus, ...]:
    return tuple(
        TargetStatus(f"service-{name}-{service}", f"target-{n}", "ready", 1, 0, 2)
        for service in range(services)
        for n in range(targets)
    )


def _tiers(zone: int, watchers: int, fan_out: int) -> int:
    """Return the tiers below the first one that the watchers feed."""
    tiers, size, reached = 0, watchers, watchers
    while reached < zone:
        size *= fan_out
        reached += size
        tiers += 1
    return max(0, tiers - 1)


def time_cache(records: int) -> list[float]:
    """Return the seconds for a list, a change, a digest and a push."""
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
    """Return the seconds to work out a zone's roles, and the feeders' loads."""
    settings = DisseminationSettings()
    members = [
        InstanceView(f"entry-{n}", f"zone-{n % zones}", 1, "", PeerState.ALIVE)
        for n in range(instances)
    ]
    start_s = time.perf_counter()
    roles = compute_zone_roles("zone-0", members, settings)
    took_s = time.perf_counter() - start_s
    fed = [name for name in roles.ranked if name not in roles.watchers]
    feeders = Counter(roles.feeders(name, settings)[0] for name in fed)
    return took_s, sorted(feeders.values())


def first_feeders(
    names: Sequence[str], settings: DisseminationSettings
) -> tuple[ZoneRoles, dict[str, str]]:
    """Return the roles of a zone, and whom each instance subscribes to."""
    members = [InstanceView(name, "zone", 1, "", PeerState.ALIVE) for name in names]
    roles = compute_zone_roles("zone", members, settings)
    fed = [name for name in roles.ranked if name not in roles.watchers]
    return roles, {name: roles.feeders(name, settings)[0] for name in fed}


def busiest_feeder(
    roles: ZoneRoles,
    fed: Mapping[str, str],
    changes_per_s: float,
    settings: DisseminationSettings,
) -> tuple[float, float]:
    """Return the bytes each second of the busiest watcher and of any other."""
    digests = 2 * digest_bytes() / settings.digest_interval_s
    pushes = push_bytes(7) * changes_per_s
    loads = Counter(fed.values())
    links = 2 * (len(roles.watchers) - 1 + settings.zones_per_digest)
    watchers = [
        links * digests + loads[name] * (digests + pushes) + pushes
        for name in roles.watchers
    ]
    others = [(1 + loads[name]) * (digests + pushes) for name in fed]
    return max(watchers), max(others, default=0.0)


def moved_by_one(
    names: Sequence[str], fed: Mapping[str, str], settings: DisseminationSettings
) -> list[int]:
    """Return how many change their feeder when one goes, of some that might.

    The same number moves when that one comes back.
    """
    moved = []
    for gone in names[:: ceil(len(names) / 4)]:
        left = [name for name in names if name != gone]
        _, after = first_feeders(left, settings)
        moved.append(sum(fed.get(name) != feeder for name, feeder in after.items()))
    return moved


def main() -> None:
    """Print the table, the timings or the feeders."""
    if "--feeders" in sys.argv:
        print_feeders()
    elif "--timings" in sys.argv:
        print_timings()
    else:
        print_costs()


def print_timings() -> None:
    """Print processor times at several sizes."""
    print("records    list_ms  change_us  digest_us    push_us")
    for records in (100, 400, 1600, 6400):
        listed, change, digest, push = time_cache(records)
        print(
            f"{records:7} {listed * 1e3:10.1f} {change * 1e6:10.0f}"
            f" {digest * 1e6:10.0f} {push * 1e6:10.0f}"
        )
    print("instances  roles_ms  instances fed by one feeder: mean, most")
    for instances in (64, 512, 2048, 8000):
        took_s, loads = time_roles(instances, zones=8)
        mean = sum(loads) / len(loads)
        print(f"{instances:9} {took_s * 1e3:9.1f} {mean:9.1f} {loads[-1]:5}")


def print_feeders(zones: int = 14) -> None:
    """Print the load of the busiest feeder of some zones, and what one less moves."""
    settings = DisseminationSettings()
    print("instances  most fed  B/s: watcher, other  ten times  moved: mean, most")
    for size in (8, 64, 571):
        most, moved = 0, []
        bytes_per_s = [0.0] * 4
        for zone in range(zones):
            names = [f"entry-{zone}-{index}" for index in range(size)]
            roles, fed = first_feeders(names, settings)
            most = max(most, *Counter(fed.values()).values())
            mean = busiest_feeder(roles, fed, LARGE.changes_per_s, settings)
            peak = busiest_feeder(roles, fed, PEAK.changes_per_s, settings)
            bytes_per_s = list(map(max, bytes_per_s, (*mean, *peak)))
            moved += moved_by_one(names, fed, settings)
        loads = " ".join(f"{value:9.0f}" for value in bytes_per_s)
        mean_moved = sum(moved) / len(moved)
        print(f"{size:9} {most:9} {loads} {mean_moved:9.1f} {max(moved):5}")


def print_costs() -> None:
    """Print calls and bytes each second for each way and fleet."""
    settings = DisseminationSettings()
    print(f"digest {digest_bytes()} B, push of 7 targets {push_bytes(7)} B")
    for fleet in (*TODAY, LARGE, PEAK):
        print(f"{fleet.name}: {fleet.changes_per_s:.5f} changes/s")
        objects, zone, group = status_bytes(fleet)
        print(f"  status of a zone: {objects} objects, {zone} B and {group} B a group")
        for cost in estimate_dissemination_costs(fleet, settings):
            print(
                f"  {cost.strategy:30} {cost.platform_calls_per_s:9.2f} calls/s"
                f" {cost.leaf_bytes_per_s:8.0f} B/s {cost.busiest_bytes_per_s:9.0f}"
                f" B/s busiest {cost.hops:3} hops"
            )


if __name__ == "__main__":
    main()

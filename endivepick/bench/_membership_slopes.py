"""Costs of the membership protocol by number of instances."""

from collections.abc import Sequence

from endivepick.bench._fleet import PLANNED_FLEET
from endivepick.bench._simulated_node import SimulatedNode
from endivepick.bench._slopes import Measurement, measure
from endivepick.membership import MembershipSettings, PeerState
from endivepick.membership.measure import measure_change, measure_cost, measure_join
from endivepick.membership.peer_messages import (
    Liveness,
    MemberUpdate,
    Ping,
    ShortUpdate,
)

__all__ = ["measure_membership"]

SIZES = (128, 512, 2_048, 8_000)
SETTLE_S = 12.0
LIMIT_S = 60.0
STEP_S = 0.125
"""Interval between messages with updates, in seconds.

In each probe period, a node sends one probe and answers one.
"""
_MS = 1e3


def _measure_at(instances: int) -> dict[str, float]:
    return {
        "news_bytes": float(measure_change(instances)["sent_bytes_per_change"]),
        "join_bytes": float(measure_join(instances)["total_bytes"]),
        "link_partners": float(measure_cost(instances, 60.0)["partners"]),
    } | _measure_zone_loss(instances)


def _measure_zone_loss(instances: int) -> dict[str, float]:
    """Gossip the suspicion of a zone to one core until it regards it as dead."""
    fleet = PLANNED_FLEET.scaled(instances)
    node = SimulatedNode(fleet)
    node.join()
    node.run(SETTLE_S)
    lost = [
        node.get_member_update(n) for n in range(fleet.zones, instances, fleet.zones)
    ]
    node.silence_peers({update.name for update in lost})
    node.reset_counters()
    started_s = node.now_s
    for news in _make_suspicions(lost):
        node.deliver_message(news, node.get_member_update(1))
        node.run(STEP_S)
    while _count_dead(node, lost) < len(lost) and node.now_s < started_s + LIMIT_S:
        node.run(STEP_S)
    duration_s = node.now_s - started_s
    return {
        "zone_dead_s": duration_s,
        "zone_dead_busy_ms": node.processor_s * _MS,
        "zone_dead_longest_ms": node.longest_event_s * _MS,
        "zone_dead_sent_bytes_per_s": sum(node.sent_bytes.values()) / duration_s,
    }


def _make_suspicions(lost: Sequence[MemberUpdate]) -> list[Ping]:
    count = MembershipSettings().short_count
    short = [
        ShortUpdate(u.incarnation, u.phase, u.refutation, Liveness.SUSPECT)
        for u in lost
    ]
    starts = range(0, len(short), count)
    return [Ping(1, 1, 0, [], [], short[start : start + count]) for start in starts]


def _count_dead(node: SimulatedNode, lost: Sequence[MemberUpdate]) -> int:
    view = node.core.membership.view()
    return sum(view[update.name].state is PeerState.DEAD for update in lost)


def measure_membership(sizes: Sequence[int] = SIZES) -> dict[str, Measurement]:
    """Measure the bytes per changed peer and per join, and the loss of a zone.

    All values except processor times are deterministic.
    """
    units = {
        "news_bytes": "B",
        "join_bytes": "B",
        "link_partners": "peers",
        "zone_dead_s": "s",
        "zone_dead_busy_ms": "ms",
        "zone_dead_longest_ms": "ms",
        "zone_dead_sent_bytes_per_s": "B/s",
    }
    return measure("instance", sizes, units, _measure_at, repeats=1)

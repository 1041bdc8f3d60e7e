"""Slopes of the membership, by its own measurement."""

from collections.abc import Sequence

from endivepick.bench._fleet import PLANNED_FLEET
from endivepick.bench._simulated_node import SimulatedNode
from endivepick.bench._slopes import Measured, measure
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
"""Time between two messages that bring news: one is sent and one answered."""
_MS = 1e3


def _once(instances: int) -> dict[str, float]:
    return {
        "news_bytes": float(measure_change(instances)["sent_bytes_per_change"]),
        "join_bytes": float(measure_join(instances)["total_bytes"]),
        "link_partners": float(measure_cost(instances, 60.0)["partners"]),
    } | _zone_lost(instances)


def _zone_lost(instances: int) -> dict[str, float]:
    """Tell one whole core that a zone is suspect, until it holds all of it dead."""
    fleet = PLANNED_FLEET.scaled(instances)
    node = SimulatedNode(fleet)
    node.join()
    node.run(SETTLE_S)
    lost = [
        node.get_member_update(n) for n in range(fleet.zones, instances, fleet.zones)
    ]
    node.silence({update.name for update in lost})
    node.reset()
    began_s = node.now_s
    for news in _messages(lost):
        node.deliver_message(news, node.get_member_update(1))
        node.run(STEP_S)
    while _dead(node, lost) < len(lost) and node.now_s < began_s + LIMIT_S:
        node.run(STEP_S)
    duration_s = node.now_s - began_s
    return {
        "zone_dead_s": duration_s,
        "zone_dead_busy_ms": node.busy_s * _MS,
        "zone_dead_longest_ms": node.longest_s * _MS,
        "zone_dead_sent_bytes_per_s": sum(node.sent_bytes.values()) / duration_s,
    }


def _messages(lost: Sequence[MemberUpdate]) -> list[Ping]:
    count = MembershipSettings().short_count
    short = [
        ShortUpdate(u.incarnation, u.phase, u.refutation, Liveness.SUSPECT)
        for u in lost
    ]
    starts = range(0, len(short), count)
    return [Ping(1, 1, 0, [], [], short[start : start + count]) for start in starts]


def _dead(node: SimulatedNode, lost: Sequence[MemberUpdate]) -> int:
    view = node.core.membership.view()
    return sum(view[update.name].state is PeerState.DEAD for update in lost)


def measure_membership(sizes: Sequence[int] = SIZES) -> dict[str, Measured]:
    """Measure the bytes of news about one peer, the view on join and a lost zone.

    All but the processor time are the same in each repetition.
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
    return measure("instance", sizes, units, _once, repeats=1)

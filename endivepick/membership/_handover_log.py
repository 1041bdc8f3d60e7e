"""Log of flow handovers between incarnations."""

from dataclasses import dataclass

from xxhash import xxh32_intdigest

from endivepick.membership._gossip_queue import GossipQueue
from endivepick.membership._member import BUCKET_COUNT, compute_bucket
from endivepick.membership.peer_messages import HandedOver
from endivepick.membership.settings import MembershipSettings

_MIN_REMAINING_S = 2.0
"""Received entries that expire within this time are ignored.

Remaining times are rounded down to whole seconds.
"""


@dataclass(frozen=True, slots=True)
class _HandOverEntry:
    to_name: str
    to_incarnation: int
    order: int
    expires_s: float
    digest: int


_Key = tuple[int, str]


class HandOverLog:
    """Handovers by incarnation and service, limited in age and number."""

    def __init__(self, settings: MembershipSettings) -> None:
        self._settings = settings
        self._entries: dict[_Key, _HandOverEntry] = {}
        self._orders: dict[str, int] = {}
        self._buckets: list[dict[_Key, None]] = [{} for _ in range(BUCKET_COUNT)]
        self.peer_count = 0
        self.digests = [0] * BUCKET_COUNT
        self._gossip: GossipQueue[_Key] = GossipQueue(settings.spread_factor)

    def __len__(self) -> int:
        return len(self._entries)

    def record_handover(
        self,
        now_s: float,
        from_incarnation: int,
        service: str,
        successor: tuple[str, int],
    ) -> None:
        """Record the handover of a service from an incarnation to its successor."""
        order = self._orders.get(service, 0) + 1
        lifetime_s = int(self._settings.departed_kept_s)
        self.merge(
            now_s, HandedOver(from_incarnation, service, *successor, order, lifetime_s)
        )

    def merge(
        self, now_s: float, handover: HandedOver, is_gossiped: bool = True
    ) -> None:
        """Merge a received handover; for one key the higher order wins."""
        key = (handover.incarnation, handover.service)
        known = self._entries.get(key)
        if known is not None and known.order >= handover.order:
            return
        if handover.remaining_s <= _MIN_REMAINING_S:
            return
        if known is not None:
            self._remove(key)
        self._evict_oldest()
        remaining_s = min(float(handover.remaining_s), self._settings.departed_kept_s)
        self._add(key, handover, now_s + remaining_s)
        if is_gossiped:
            self._gossip.put(key, self.peer_count)

    def _add(self, key: _Key, handover: HandedOver, expires_s: float) -> None:
        text = f"{key[0]}:{key[1]}:{handover.order}:{handover.to_incarnation}"
        digest = xxh32_intdigest(text.encode())
        self._entries[key] = _HandOverEntry(
            handover.to_name, handover.to_incarnation, handover.order, expires_s, digest
        )
        bucket = compute_bucket(str(key[0]))
        self._buckets[bucket][key] = None
        self.digests[bucket] ^= digest
        self._orders[key[1]] = max(self._orders.get(key[1], 0), handover.order)

    def _remove(self, key: _Key) -> None:
        entry = self._entries.pop(key)
        bucket = compute_bucket(str(key[0]))
        del self._buckets[bucket][key]
        self.digests[bucket] ^= entry.digest
        self._gossip.discard(key)

    def _evict_oldest(self) -> None:
        if len(self._entries) >= self._settings.departed_kept_count:
            self._remove(next(iter(self._entries)))

    def find_successor(self, incarnation: int, service: str) -> tuple[str, int] | None:
        """Return the last holder in the chain of handovers, or None.

        Two instances may have announced handovers concurrently, so a lower order
        does not end a chain.  The order only resolves cycles: a chain that returns
        to an earlier holder ends at the entry with the highest order.
        """
        path: dict[_Key, _HandOverEntry] = {}
        key = (incarnation, service)
        while key in self._entries and key not in path:
            path[key] = self._entries[key]
            key = (path[key].to_incarnation, service)
        if not path:
            return None
        last = next(reversed(path.values()))
        if key in path:
            last = max(path.values(), key=lambda entry: entry.order)
        return last.to_name, last.to_incarnation

    def take_updates(self, now_s: float, count: int) -> list[HandedOver]:
        """Return up to ``count`` handovers to piggyback on one message."""
        return [self._to_message(key, now_s) for key in self._gossip.take(count)]

    def entries_in_bucket(self, bucket: int, now_s: float) -> list[HandedOver]:
        """Return all handovers of one bucket."""
        return [self._to_message(key, now_s) for key in self._buckets[bucket]]

    def entries_of_incarnation(
        self, incarnation: int, now_s: float
    ) -> list[HandedOver]:
        """Return all handovers by one incarnation."""
        bucket = compute_bucket(str(incarnation))
        keys = [key for key in self._buckets[bucket] if key[0] == incarnation]
        return [self._to_message(key, now_s) for key in keys]

    def _to_message(self, key: _Key, now_s: float) -> HandedOver:
        entry = self._entries[key]
        remaining_s = max(0, int(entry.expires_s - now_s))
        return HandedOver(
            key[0],
            key[1],
            entry.to_name,
            entry.to_incarnation,
            entry.order,
            remaining_s,
        )

    def prune(self, now_s: float) -> None:
        """Remove handovers that are older than any valid token."""
        expired = [k for k, entry in self._entries.items() if entry.expires_s <= now_s]
        for key in expired:
            self._remove(key)
        services = {service for _, service in self._entries}
        for service in self._orders.keys() - services:
            del self._orders[service]

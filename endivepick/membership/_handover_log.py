"""Who took over the flows of which incarnation."""

from dataclasses import dataclass

from xxhash import xxh32_intdigest

from endivepick.membership._gossip_queue import SpreadQueue
from endivepick.membership._member import BUCKET_COUNT, bucket_of
from endivepick.membership.peer_messages import HandedOver
from endivepick.membership.settings import MembershipSettings

_ROUNDING_S = 2.0


@dataclass(frozen=True, slots=True)
class _Entry:
    to_name: str
    to_incarnation: int
    order: int
    expires_s: float
    digest: int


_Key = tuple[int, str]


class DepartedLog:
    """Hand-overs by incarnation and service, bounded in time and number."""

    def __init__(self, settings: MembershipSettings) -> None:
        self._settings = settings
        self._entries: dict[_Key, _Entry] = {}
        self._orders: dict[str, int] = {}
        self._buckets: list[dict[_Key, None]] = [{} for _ in range(BUCKET_COUNT)]
        self.peer_count = 0
        self.digests = [0] * BUCKET_COUNT
        self._spread: SpreadQueue[_Key] = SpreadQueue(settings.spread_factor)

    def __len__(self) -> int:
        return len(self._entries)

    def announce(
        self, now_s: float, giver: int, service: str, successor: tuple[str, int]
    ) -> None:
        """Record that an incarnation handed a service to a successor."""
        order = self._orders.get(service, 0) + 1
        lifetime_s = int(self._settings.departed_kept_s)
        self.merge(now_s, HandedOver(giver, service, *successor, order, lifetime_s))

    def merge(self, now_s: float, news: HandedOver, passed_on: bool = True) -> None:
        """Take over a hand-over; of two for one key the later order stays."""
        key = (news.incarnation, news.service)
        known = self._entries.get(key)
        if known is not None and known.order >= news.order:
            return
        if news.remaining_s <= _ROUNDING_S:
            return
        if known is not None:
            self._remove(key)
        self._make_room()
        remaining_s = min(float(news.remaining_s), self._settings.departed_kept_s)
        self._add(key, news, now_s + remaining_s)
        if passed_on:
            self._spread.put(key, self.peer_count)

    def _add(self, key: _Key, news: HandedOver, expires_s: float) -> None:
        text = f"{key[0]}:{key[1]}:{news.order}:{news.to_incarnation}"
        digest = xxh32_intdigest(text.encode())
        self._entries[key] = _Entry(
            news.to_name, news.to_incarnation, news.order, expires_s, digest
        )
        bucket = bucket_of(str(key[0]))
        self._buckets[bucket][key] = None
        self.digests[bucket] ^= digest
        self._orders[key[1]] = max(self._orders.get(key[1], 0), news.order)

    def _remove(self, key: _Key) -> None:
        entry = self._entries.pop(key)
        bucket = bucket_of(str(key[0]))
        del self._buckets[bucket][key]
        self.digests[bucket] ^= entry.digest
        self._spread.discard(key)

    def _make_room(self) -> None:
        if len(self._entries) >= self._settings.departed_kept_count:
            self._remove(next(iter(self._entries)))

    def find_successor(self, incarnation: int, service: str) -> tuple[str, int] | None:
        """Return the last holder in the chain of hand-overs, or None.

        Two givers may have announced without knowing of each other, so the order
        does not cut a chain; it only ends one that comes back to an earlier holder.
        """
        path: dict[_Key, _Entry] = {}
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

    def take_news(self, now_s: float, count: int) -> list[HandedOver]:
        """Return the piggy-backed hand-overs of one message."""
        return [self._to_message(key, now_s) for key in self._spread.take(count)]

    def entries_in(self, bucket: int, now_s: float) -> list[HandedOver]:
        """Return all hand-overs of one bucket."""
        return [self._to_message(key, now_s) for key in self._buckets[bucket]]

    def entries_of(self, incarnation: int, now_s: float) -> list[HandedOver]:
        """Return all hand-overs of one incarnation."""
        bucket = bucket_of(str(incarnation))
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
        """Forget hand-overs of which no token can be valid."""
        expired = [k for k, entry in self._entries.items() if entry.expires_s <= now_s]
        for key in expired:
            self._remove(key)
        services = {service for _, service in self._entries}
        for service in self._orders.keys() - services:
            del self._orders[service]

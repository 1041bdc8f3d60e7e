"""Deltas and inventories: built from a cache, taken into a cache."""

import zlib
from dataclasses import dataclass

import msgspec

from endivepick.records.cache import CacheDigest, Change, RecordCache
from endivepick.records.objects import ObjectKey, StoredObject
from endivepick.records.peer_messages import (
    ConfigDelta,
    ConfigInventory,
    ConfigObject,
    ConfigRequest,
    InventoryRequest,
)

OBJECT_OVERHEAD_BYTES = 24
MAX_BODY_BYTES = 4 << 20
"""Largest body that is unpacked; the platform holds values up to a megabyte."""
COMPRESSION_LEVEL = 1
_json_encoder = msgspec.json.Encoder()
_json_decoder = msgspec.json.Decoder(dict)


@dataclass(frozen=True)
class Received:
    """What a message did to the cache.

    Attributes
    ----------
    changes : tuple of Change
        Accepted changes.
    answer : ConfigRequest, InventoryRequest or None
        What to ask the sender next.
    """

    changes: tuple[Change, ...]
    answer: ConfigRequest | InventoryRequest | None = None


def encode_object(stored: StoredObject) -> ConfigObject:
    """Return the wire form of a version or a tombstone."""
    body = b""
    if stored.body is not None:
        body = zlib.compress(_json_encoder.encode(stored.body), COMPRESSION_LEVEL)
    return ConfigObject(stored.kind, stored.name, stored.version, body)


def decode_object(sent: ConfigObject) -> StoredObject | None:
    """Return the object, or None if its body is no JSON object."""
    body = None
    if sent.body:
        unpacker = zlib.decompressobj()
        try:
            data = unpacker.decompress(sent.body, MAX_BODY_BYTES)
            body = _json_decoder.decode(data)
        except (zlib.error, msgspec.DecodeError, RecursionError):
            return None
    return StoredObject(sent.kind, sent.name, sent.version, body)


def build_delta(cache: RecordCache, request: ConfigRequest, limit: int) -> ConfigDelta:
    """Build the next part of a transfer, of about ``limit`` bytes at most."""
    objects: list[ConfigObject] = []
    size_bytes = 0
    final = True
    for stored in cache.newer_than(request.start):
        sent = encode_object(stored)
        size_bytes += len(sent.body) + len(sent.name) + OBJECT_OVERHEAD_BYTES
        # Objects of one list-made deletion share a version and travel together.
        if objects and size_bytes > limit and sent.version > objects[-1].version:
            final = False
            break
        objects.append(sent)
    digest = cache.digest
    return ConfigDelta(
        asked=request.after,
        after=max(request.after, cache.history_floor),
        start=request.start,
        end=objects[-1].version if objects else request.start,
        final=final,
        root=digest.root,
        revision=digest.revision,
        objects=tuple(objects),
    )


def build_push(cache: RecordCache, revision_before: int, limit: int) -> ConfigDelta:
    """Build the delta that tells of all changes since an earlier revision.

    It holds what came in above that revision at any time, not only the latest
    changes: a receiver that missed an earlier push must not skip a change.
    """
    return build_delta(cache, ConfigRequest(revision_before, revision_before), limit)


def build_inventory(
    cache: RecordCache, request: InventoryRequest, limit: int
) -> ConfigInventory:
    """List the live objects in differing buckets, about ``limit`` bytes of them."""
    covered: list[int] = []
    keys: list[tuple[str, str]] = []
    size_bytes = 0
    for bucket in cache.differing_buckets(request.buckets):
        found = [(key.kind, key.name) for key in cache.keys_in([bucket])]
        size_bytes += sum(len(kind) + len(name) + 3 for kind, name in found)
        if covered and size_bytes > limit:
            break
        covered.append(bucket)
        keys += found
    digest = cache.digest
    return ConfigInventory(digest.root, digest.revision, tuple(covered), tuple(keys))


class TransferReceiver:
    """Takes deltas and inventories, and says what to ask next.

    Parameters
    ----------
    cache : RecordCache
        Where the objects go.
    """

    def __init__(self, cache: RecordCache) -> None:
        self._cache = cache
        self._progress: dict[str, tuple[int, int]] = {}

    def forget(self, sender: str) -> None:
        """Forget an unfinished transfer."""
        self._progress.pop(sender, None)

    def take_delta(self, sender: str, delta: ConfigDelta) -> Received:
        """Offer the objects of a delta to the cache."""
        objects = [decode_object(sent) for sent in delta.objects]
        offered = [self._cache.offer(stored) for stored in objects if stored]
        changes = tuple(change for change in offered if change is not None)
        whole = None not in objects and self._continues(sender, delta)
        if not delta.final:
            return Received(changes, self._next_part(sender, delta, whole))
        self.forget(sender)
        return Received(changes, self._finish(delta, whole))

    def handle_inventory(self, inventory: ConfigInventory) -> Received:
        """Delete what a peer lacks although it would know it."""
        keys = [ObjectKey(kind, name) for kind, name in inventory.keys]
        changes = self._cache.offer_inventory(
            inventory.revision, inventory.buckets, keys
        )
        digest = CacheDigest(inventory.root, inventory.revision)
        if self._cache.agree(digest) or not changes:
            return Received(tuple(changes))
        return Received(tuple(changes), InventoryRequest(self._cache.buckets))

    def _continues(self, sender: str, delta: ConfigDelta) -> bool:
        """Tell whether all earlier parts of the transfer were taken."""
        if delta.start <= delta.asked:
            return True
        asked, end = self._progress.get(sender, (-1, 0))
        news = delta.final or end < delta.end
        return asked == delta.asked and delta.start <= end and news

    def _next_part(
        self, sender: str, delta: ConfigDelta, whole: bool
    ) -> ConfigRequest | None:
        # Above its revision the sender may still get older changes, which the
        # later parts would not hold.
        if not whole or not delta.start < delta.end <= delta.revision:
            return None
        self._progress[sender] = (delta.asked, delta.end)
        return ConfigRequest(delta.asked, delta.end)

    def _finish(
        self, delta: ConfigDelta, whole: bool
    ) -> ConfigRequest | InventoryRequest | None:
        cache = self._cache
        if whole and cache.advance(delta.after, delta.revision):
            return None
        if cache.agree(CacheDigest(delta.root, delta.revision)):
            return None
        if delta.revision <= cache.revision:
            return None
        if delta.asked > cache.revision:
            return ConfigRequest(cache.revision, cache.revision)
        # All that exists is here; what was deleted meanwhile is still open.  A
        # transfer with a gap is not asked for again before the next digest.
        return InventoryRequest(cache.buckets) if whole else None

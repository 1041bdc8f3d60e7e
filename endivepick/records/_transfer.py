"""Deltas and inventories: built from a cache and applied to a cache."""

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
"""Largest decompressed body; the platform stores values of up to 1 MB."""
COMPRESSION_LEVEL = 1
_json_encoder = msgspec.json.Encoder()
_json_decoder = msgspec.json.Decoder(dict)


@dataclass(frozen=True)
class TransferResult:
    """Result of applying a message to the cache.

    Attributes
    ----------
    changes : tuple of Change
        Accepted changes.
    next_request : ConfigRequest, InventoryRequest or None
        Next request to the sender.
    """

    changes: tuple[Change, ...]
    next_request: ConfigRequest | InventoryRequest | None = None


def encode_object(stored: StoredObject) -> ConfigObject:
    """Return the wire format of a version or a tombstone."""
    body = b""
    if stored.body is not None:
        body = zlib.compress(_json_encoder.encode(stored.body), COMPRESSION_LEVEL)
    return ConfigObject(stored.kind, stored.name, stored.version, body)


def decode_object(sent: ConfigObject) -> StoredObject | None:
    """Return the object, or None if its body is not a JSON object."""
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
    """Build the next part of a transfer, limited to about ``limit`` bytes."""
    objects: list[ConfigObject] = []
    size_bytes = 0
    final = True
    for stored in cache.iter_newer_than(request.start):
        sent = encode_object(stored)
        size_bytes += len(sent.body) + len(sent.name) + OBJECT_OVERHEAD_BYTES
        # Deletions derived from one listing share a version and stay in one part.
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
    """Build a delta with all changes since an earlier revision.

    It includes every version above that revision, whenever it was received, not
    only the latest changes, so that a receiver that missed an earlier push does
    not skip a change.
    """
    return build_delta(cache, ConfigRequest(revision_before, revision_before), limit)


def build_inventory(
    cache: RecordCache, request: InventoryRequest, limit: int
) -> ConfigInventory:
    """List the live objects in differing buckets, up to about ``limit`` bytes."""
    covered: list[int] = []
    keys: list[tuple[str, str]] = []
    size_bytes = 0
    for bucket in cache.differing_buckets(request.buckets):
        found = [(key.kind, key.name) for key in cache.iter_bucket_keys([bucket])]
        size_bytes += sum(len(kind) + len(name) + 3 for kind, name in found)
        if covered and size_bytes > limit:
            break
        covered.append(bucket)
        keys += found
    digest = cache.digest
    return ConfigInventory(digest.root, digest.revision, tuple(covered), tuple(keys))


class TransferReceiver:
    """Applies deltas and inventories and determines the next request.

    Parameters
    ----------
    cache : RecordCache
        Cache that receives the objects.
    """

    def __init__(self, cache: RecordCache) -> None:
        self._cache = cache
        self._progress: dict[str, tuple[int, int]] = {}

    def forget(self, sender: str) -> None:
        """Discard the unfinished transfer from a peer."""
        self._progress.pop(sender, None)

    def handle_delta(self, sender: str, delta: ConfigDelta) -> TransferResult:
        """Apply the objects of a delta to the cache."""
        objects = [decode_object(sent) for sent in delta.objects]
        offered = [self._cache.offer(stored) for stored in objects if stored]
        changes = tuple(change for change in offered if change is not None)
        is_complete = None not in objects and self._continues_transfer(sender, delta)
        if not delta.final:
            return TransferResult(changes, self._next_part(sender, delta, is_complete))
        self.forget(sender)
        return TransferResult(changes, self._finish(delta, is_complete))

    def handle_inventory(self, inventory: ConfigInventory) -> TransferResult:
        """Delete objects that the peer lacks although its revision covers them."""
        keys = [ObjectKey(kind, name) for kind, name in inventory.keys]
        changes = self._cache.offer_inventory(
            inventory.revision, inventory.buckets, keys
        )
        digest = CacheDigest(inventory.root, inventory.revision)
        if self._cache.advance_if_equal(digest) or not changes:
            return TransferResult(tuple(changes))
        return TransferResult(tuple(changes), InventoryRequest(self._cache.buckets))

    def _continues_transfer(self, sender: str, delta: ConfigDelta) -> bool:
        """Return whether all earlier parts of the transfer were applied."""
        if delta.start <= delta.asked:
            return True
        asked, end = self._progress.get(sender, (-1, 0))
        advances = delta.final or end < delta.end
        return asked == delta.asked and delta.start <= end and advances

    def _next_part(
        self, sender: str, delta: ConfigDelta, is_complete: bool
    ) -> ConfigRequest | None:
        # Above `delta.revision` the sender may lack changes; continuing past it would
        # skip those that arrive later.
        if not is_complete or not delta.start < delta.end <= delta.revision:
            return None
        self._progress[sender] = (delta.asked, delta.end)
        return ConfigRequest(delta.asked, delta.end)

    def _finish(
        self, delta: ConfigDelta, is_complete: bool
    ) -> ConfigRequest | InventoryRequest | None:
        cache = self._cache
        if is_complete and cache.advance(delta.after, delta.revision):
            return None
        if cache.advance_if_equal(CacheDigest(delta.root, delta.revision)):
            return None
        if delta.revision <= cache.revision:
            return None
        if delta.asked > cache.revision:
            return ConfigRequest(cache.revision, cache.revision)
        # All existing objects were received, but deletions may be missing.  After
        # a transfer with a gap, the next digest triggers a new request.
        return InventoryRequest(cache.buckets) if is_complete else None

"""Digest over the live objects of a cache, kept up to date change by change."""

import struct
from hashlib import blake2b

from endivepick.records.objects import ObjectKey

BUCKET_COUNT = 64
HASH_BYTES = 8


def _hash(text: str) -> int:
    return int.from_bytes(blake2b(text.encode(), digest_size=HASH_BYTES).digest())


def bucket_of(key: ObjectKey) -> int:
    """Return the bucket that a key falls into, from 0 to ``BUCKET_COUNT - 1``."""
    return _hash(f"{key.kind}\0{key.name}") % BUCKET_COUNT


class BucketDigest:
    """Hash of a set of ``(key, version)`` pairs, in ``BUCKET_COUNT`` buckets.

    A bucket is the exclusive or of the hashes of its pairs, so that adding and
    removing a pair costs the same whatever the size of the set.
    """

    def __init__(self) -> None:
        self._buckets = [0] * BUCKET_COUNT
        self._root: int | None = None

    def toggle(self, key: ObjectKey, version: int) -> None:
        """Add a pair, or remove it if it is in the set."""
        pair = _hash(f"{key.kind}\0{key.name}\0{version}")
        self._buckets[bucket_of(key)] ^= pair
        self._root = None

    @property
    def root(self) -> int:
        """Hash of the whole set, 64 bits."""
        if self._root is None:
            digest = blake2b(self.buckets, digest_size=HASH_BYTES).digest()
            self._root = int.from_bytes(digest)
        return self._root

    @property
    def buckets(self) -> bytes:
        """Hashes of all buckets, ``HASH_BYTES`` bytes each."""
        return struct.pack(f">{BUCKET_COUNT}Q", *self._buckets)

    def differing_buckets(self, buckets: bytes) -> list[int]:
        """Return the numbers of the buckets that differ from another digest's.

        Parameters
        ----------
        buckets : bytes
            What ``buckets`` of the other digest returned.
        """
        if len(buckets) != BUCKET_COUNT * HASH_BYTES:
            return list(range(BUCKET_COUNT))
        theirs = struct.unpack(f">{BUCKET_COUNT}Q", buckets)
        pairs = enumerate(zip(self._buckets, theirs, strict=True))
        return [index for index, (mine, their) in pairs if mine != their]

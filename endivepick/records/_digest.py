"""Incremental hash digest of the live objects in a cache."""

import struct
from hashlib import blake2b

from endivepick.records.objects import ObjectKey

BUCKET_COUNT = 64
HASH_BYTES = 8


def _hash_text(text: str) -> int:
    return int.from_bytes(blake2b(text.encode(), digest_size=HASH_BYTES).digest())


def hash_to_bucket(key: ObjectKey) -> int:
    """Return the bucket of a key, from 0 to ``BUCKET_COUNT - 1``."""
    return _hash_text(f"{key.kind}\0{key.name}") % BUCKET_COUNT


class BucketDigest:
    """Hash of a set of ``(key, version)`` pairs, in ``BUCKET_COUNT`` buckets.

    The hash of a bucket is the exclusive or of the hashes of its pairs, so adding
    or removing a pair takes constant time.
    """

    def __init__(self) -> None:
        self._buckets = [0] * BUCKET_COUNT
        self._root: int | None = None

    def toggle(self, key: ObjectKey, version: int) -> None:
        """Add a pair, or remove it if it is in the set."""
        pair = _hash_text(f"{key.kind}\0{key.name}\0{version}")
        self._buckets[hash_to_bucket(key)] ^= pair
        self._root = None

    @property
    def root(self) -> int:
        """Hash of the whole set (64 bits)."""
        if self._root is None:
            digest = blake2b(self.buckets, digest_size=HASH_BYTES).digest()
            self._root = int.from_bytes(digest)
        return self._root

    @property
    def buckets(self) -> bytes:
        """Concatenated hashes of all buckets, ``HASH_BYTES`` bytes each."""
        return struct.pack(f">{BUCKET_COUNT}Q", *self._buckets)

    def differing_buckets(self, buckets: bytes) -> list[int]:
        """Return the buckets whose hashes differ from those of another digest.

        Parameters
        ----------
        buckets : bytes
            The ``buckets`` property of the other digest.
        """
        if len(buckets) != BUCKET_COUNT * HASH_BYTES:
            return list(range(BUCKET_COUNT))
        theirs = struct.unpack(f">{BUCKET_COUNT}Q", buckets)
        pairs = enumerate(zip(self._buckets, theirs, strict=True))
        return [index for index, (mine, their) in pairs if mine != their]

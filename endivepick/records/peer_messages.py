"""Messages between instances about the configuration; tags 96 to 111.

Every message can be lost, repeated or late: the receiver checks what it claims
against its own cache before it believes it.
"""

import msgspec

__all__ = [
    "ConfigDelta",
    "ConfigDigest",
    "ConfigInventory",
    "ConfigObject",
    "ConfigRequest",
    "InstanceStatus",
    "InventoryRequest",
    "RecordsMessage",
    "RefusedRecord",
    "SubtreeReport",
    "TargetStatus",
]


class RefusedRecord(msgspec.Struct, frozen=True, array_like=True):
    """A record whose newest version some instance cannot use.

    Attributes
    ----------
    name : str
        Name of the service.
    version : int
        Version that was refused.
    in_force : int
        Lowest version that is in force instead; 0 for none.
    reason : str
        Field and remedy.
    """

    name: str
    version: int
    in_force: int
    reason: str


class SubtreeReport(msgspec.Struct, frozen=True, array_like=True):
    """What a group of instances of one zone holds.

    Attributes
    ----------
    revision : int
        Lowest revision up to which each of them lacks no change.
    instances : int
        Number of instances.
    names_hash : int
        Exclusive or of the hashes of their names, 64 bits.
    refused : tuple of RefusedRecord
        Records that one of them refuses, a bounded number.
    """

    revision: int
    instances: int
    names_hash: int
    refused: tuple[RefusedRecord, ...] = ()


class ConfigDigest(msgspec.Struct, frozen=True, array_like=True, tag=96):
    """Short description of the sender's cache, of constant size.

    Attributes
    ----------
    root : int
        Hash over all live objects and their versions, 64 bits.
    revision : int
        The sender lacks no change up to this revision.
    ready : bool
        The sender serves with this configuration.
    reply : bool
        The receiver shall answer with its own digest.
    subscribe : bool
        The receiver shall send changes for a while.
    report : SubtreeReport or None
        What the sender and its subscribers hold, for the status of the zone.
    question : int
        Number that the answer repeats; 0 if the sender needs no such proof.
    answered : int
        ``question`` of the digest that this one answers; 0 for none, also from
        a build that does not know the field.
    """

    root: int
    revision: int
    ready: bool
    reply: bool = False
    subscribe: bool = False
    report: SubtreeReport | None = None
    question: int = 0
    answered: int = 0


class ConfigRequest(msgspec.Struct, frozen=True, array_like=True, tag=97):
    """Ask for changes.

    Attributes
    ----------
    after : int
        Revision up to which the sender lacks nothing.
    start : int
        Version up to which earlier deltas of this transfer went; ``after`` at
        its beginning.
    """

    after: int
    start: int


class ConfigObject(msgspec.Struct, frozen=True, array_like=True):
    """One version of an object; ``body`` is zlib-packed JSON, or empty if deleted."""

    kind: str
    name: str
    version: int
    body: bytes


class ConfigDelta(msgspec.Struct, frozen=True, array_like=True, tag=98):
    """Changes, oldest first, bounded in bytes.

    Attributes
    ----------
    asked : int
        ``after`` of the request; equals ``after`` in a delta sent unasked.
    after : int
        The transfer holds each change with ``after < version <= revision``,
        deletions included, and each live object above ``asked``.
    start, end : int
        This part holds versions with ``start < version <= end``.
    final : bool
        This part ends the transfer.
    root, revision : int
        Digest of the sender's cache.
    objects : tuple of ConfigObject
        Changes.
    """

    asked: int
    after: int
    start: int
    end: int
    final: bool
    root: int
    revision: int
    objects: tuple[ConfigObject, ...]


class InventoryRequest(msgspec.Struct, frozen=True, array_like=True, tag=99):
    """Ask which objects exist, to find deletions.

    Attributes
    ----------
    buckets : bytes
        Hashes of the buckets of the sender's cache.
    """

    buckets: bytes


class ConfigInventory(msgspec.Struct, frozen=True, array_like=True, tag=100):
    """Live objects of the sender in the buckets that differ.

    Attributes
    ----------
    root, revision : int
        Digest of the sender's cache.
    buckets : tuple of int
        Buckets that this message covers.
    keys : tuple of tuple of str
        Kind and name of each live object in them.
    """

    root: int
    revision: int
    buckets: tuple[int, ...]
    keys: tuple[tuple[str, str], ...]


class TargetStatus(msgspec.Struct, frozen=True, array_like=True):
    """A target as its owner sees it."""

    service: str
    target: str
    state: str
    in_progress: int
    waiting: int
    slots: int


class InstanceStatus(msgspec.Struct, frozen=True, array_like=True, tag=101):
    """An instance's part of its zone's status.

    Attributes
    ----------
    state : str
        State of the instance.
    started_at_s : float
        Start by the instance's clock, in seconds since 1970.
    schema_versions : tuple of int
        Schema versions of records that it reads.
    targets : tuple of TargetStatus
        Targets that it owns.
    incarnation : int
        Incarnation of the instance.
    keyring_version : int
        Version of the keyring that it holds; 0 for none.
    more_targets : int
        Targets that it owns and that were left out for the length of the message.
    """

    state: str
    started_at_s: float
    schema_versions: tuple[int, ...]
    targets: tuple[TargetStatus, ...]
    incarnation: int = 0
    keyring_version: int = 0
    more_targets: int = 0


RecordsMessage = (
    ConfigDigest
    | ConfigRequest
    | ConfigDelta
    | InventoryRequest
    | ConfigInventory
    | InstanceStatus
)

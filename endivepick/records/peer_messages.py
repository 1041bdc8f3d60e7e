"""Messages between instances about the configuration (tags 96 to 111).

Messages can be lost, duplicated or delayed, so the receiver checks each claim
against its own cache.
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
    """Record whose newest version was refused by an instance.

    Attributes
    ----------
    name : str
        Name of the service.
    version : int
        Version that was refused.
    in_force : int
        Lowest version in force instead; 0 for none.
    reason : str
        Invalid field and remedy.
    """

    name: str
    version: int
    in_force: int
    reason: str


class SubtreeReport(msgspec.Struct, frozen=True, array_like=True):
    """Merged report of an instance and its subscribers in one zone.

    Attributes
    ----------
    revision : int
        Lowest revision up to which each of them has all changes.
    instances : int
        Number of instances.
    names_hash : int
        Exclusive or of the hashes of their names (64 bits).
    refused : tuple of RefusedRecord
        Records that at least one of them refuses, limited in number.
    """

    revision: int
    instances: int
    names_hash: int
    refused: tuple[RefusedRecord, ...] = ()


class ConfigDigest(msgspec.Struct, frozen=True, array_like=True, tag=96):
    """Digest of the cache of the sender, of constant size.

    Attributes
    ----------
    root : int
        Hash over all live objects and their versions (64 bits).
    revision : int
        Revision up to which the sender has all changes.
    ready : bool
        Whether the sender serves with this configuration.
    reply : bool
        Whether the receiver should reply with its own digest.
    subscribe : bool
        Whether the receiver should send changes until the subscription expires.
    report : SubtreeReport or None
        Merged report of the sender and its subscribers for the status of the zone.
    question : int
        Number that the reply repeats; 0 if the sender does not need it.
    answered : int
        ``question`` of the digest to which this one replies; 0 for none, and from
        builds that do not know the field.
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
    """Request for changes.

    Attributes
    ----------
    after : int
        Revision up to which the sender has all changes.
    start : int
        Highest version in earlier deltas of this transfer; ``after`` in its first
        request.
    """

    after: int
    start: int


class ConfigObject(msgspec.Struct, frozen=True, array_like=True):
    """Version of an object; ``body`` is zlib-compressed JSON, empty if deleted."""

    kind: str
    name: str
    version: int
    body: bytes


class ConfigDelta(msgspec.Struct, frozen=True, array_like=True, tag=98):
    """Changes in order of version, limited in bytes.

    Attributes
    ----------
    asked : int
        ``after`` of the request; equals ``after`` in an unsolicited delta.
    after : int
        The transfer includes each change with ``after < version <= revision``,
        including deletions, and each live object above ``asked``.
    start, end : int
        This part includes the versions with ``start < version <= end``.
    final : bool
        Whether this is the last part of the transfer.
    root, revision : int
        Digest of the cache of the sender.
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
    """Request for an inventory of objects, to detect deletions.

    Attributes
    ----------
    buckets : bytes
        Hashes of the buckets of the cache of the sender.
    """

    buckets: bytes


class ConfigInventory(msgspec.Struct, frozen=True, array_like=True, tag=100):
    """Live objects of the sender in the buckets that differ.

    Attributes
    ----------
    root, revision : int
        Digest of the cache of the sender.
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
    """Status of a target as seen by its owner."""

    service: str
    target: str
    state: str
    in_progress: int
    waiting: int
    slots: int


class InstanceStatus(msgspec.Struct, frozen=True, array_like=True, tag=101):
    """Part of the zone status that an instance reports.

    Attributes
    ----------
    state : str
        State of the instance.
    started_at_s : float
        Start time by the clock of the instance, in seconds since 1970.
    schema_versions : tuple of int
        Schema versions of records that it supports.
    targets : tuple of TargetStatus
        Targets that it owns.
    incarnation : int
        Incarnation of the instance.
    keyring_version : int
        Version of its keyring; 0 for none.
    more_targets : int
        Number of owned targets omitted to limit the size of the message.
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

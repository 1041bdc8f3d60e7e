"""Snapshots and deltas of the registry that one instance sends to another."""

from msgspec import Struct

from endivepick.forwarding.message_fields import Revision
from endivepick.forwarding.model import Target

__all__ = ["RegistryNews", "RemovedTarget"]


class RemovedTarget(Struct, frozen=True, array_like=True):
    """An entry that does not name a usable target any more.

    Attributes
    ----------
    name : str
        Name of the entry.
    revision : int
        Store revision at which the entry was missing or unreadable.
    unreadable : bool
        The entry exists but cannot be read.  An instance of a build without this field
        treats it as removed.
    """

    name: str
    revision: Revision
    unreadable: bool = False


class RegistryNews(Struct, frozen=True):
    """Snapshot of the registry, or its delta since a revision.

    Attributes
    ----------
    targets : list of Target
        Readable entries; in a delta, those written since the revision.
    removed : list of RemovedTarget
        Removed and unreadable entries; in a delta, those that became so since the
        revision.
    whole : bool
        A snapshot instead of a delta: entries that are not in `targets` were removed.
    revision : int
        Store revision up to which the snapshot or delta is complete.
    """

    targets: list[Target]
    removed: list[RemovedTarget]
    whole: bool
    revision: Revision

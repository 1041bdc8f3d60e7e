"""Registry changes that one instance sends to another."""

from msgspec import Struct

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
    revision: int
    unreadable: bool = False


class RegistryNews(Struct, frozen=True):
    """Changes of the registry since a revision.

    Attributes
    ----------
    targets : list of Target
        Entries written since then.
    removed : list of RemovedTarget
        Entries that were removed or became unreadable since then.
    whole : bool
        A snapshot instead of a delta: entries that are not in `targets` were removed.
    revision : int
        Store revision up to which the changes are complete.
    """

    targets: list[Target]
    removed: list[RemovedTarget]
    whole: bool
    revision: int

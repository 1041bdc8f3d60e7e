"""What one instance tells another of the registry."""

from msgspec import Struct

from endivepick.forwarding.model import Target

__all__ = ["RegistryNews", "RemovedTarget"]


class RemovedTarget(Struct, frozen=True, array_like=True):
    """An entry that names no target any more.

    Attributes
    ----------
    name : str
        Its name.
    revision : int
        Revision of the store at which that was so.
    unreadable : bool
        It is still there, but cannot be read.  An instance of a build that does not
        know this field takes it for removed.
    """

    name: str
    revision: int
    unreadable: bool = False


class RegistryNews(Struct, frozen=True):
    """What changed in the registry since a revision.

    Attributes
    ----------
    targets : list of Target
        Entries that were written since.
    removed : list of RemovedTarget
        Entries that vanished or became unreadable since.
    whole : bool
        The entries are all there are; what is not among them has vanished.
    revision : int
        Revision of the store up to which this reaches.
    """

    targets: list[Target]
    removed: list[RemovedTarget]
    whole: bool
    revision: int

"""What an instance believes about its peers."""

from dataclasses import dataclass
from enum import Enum

__all__ = ["InstanceView", "ListedInstance", "PeerState"]


class PeerState(Enum):
    """State of a peer, as far as this instance knows."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    """No answer lately; keeps its roles until it is declared dead."""
    LEAVING = "leaving"
    """Planned stop: takes no new role, still serves what it holds."""
    DEAD = "dead"


_PRESENT = frozenset({PeerState.ALIVE, PeerState.SUSPECT})


@dataclass(frozen=True)
class InstanceView:
    """One instance, seen from another.

    Attributes
    ----------
    name : str
        Name from its settings.
    zone : str
        Its availability zone.
    incarnation : int
        Random number drawn at its start; 0 while it has not been heard from.
    peer_address : str
        ``host:port`` for peer messages.
    state : PeerState
        Present belief.
    ready : bool
        It has joined and takes roles.
    """

    name: str
    zone: str
    incarnation: int
    peer_address: str
    state: PeerState
    ready: bool = True

    @property
    def is_joining(self) -> bool:
        """Whether it was heard and will take roles once it is ready."""
        return bool(self.incarnation) and not self.ready and self.state in _PRESENT


@dataclass(frozen=True)
class ListedInstance:
    """One entry of the platform's list of instances.

    Attributes
    ----------
    name : str
        Name of the instance.
    zone : str
        Its availability zone.
    peer_address : str
        ``host:port`` for peer messages.
    leaving : bool
        The platform means to stop it.
    """

    name: str
    zone: str
    peer_address: str
    leaving: bool = False

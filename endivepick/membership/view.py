"""What an instance believes about its peers."""

from dataclasses import dataclass
from enum import Enum

__all__ = ["InstanceView", "PeerState"]


class PeerState(Enum):
    """State of a peer, as far as this instance knows."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    """No answer lately; keeps its roles until it is declared dead."""
    LEAVING = "leaving"
    """Planned stop: takes no new role, still serves what it holds."""
    DEAD = "dead"


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
    """

    name: str
    zone: str
    incarnation: int
    peer_address: str
    state: PeerState

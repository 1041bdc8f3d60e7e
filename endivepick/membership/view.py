"""Views of instances that the membership provides."""

from dataclasses import dataclass
from enum import Enum

__all__ = ["InstanceView", "ListedInstance", "PeerState"]


class PeerState(Enum):
    """State of a peer as seen by this instance."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    """A probe failed; the peer keeps its roles until it is declared dead."""
    LEAVING = "leaving"
    """Planned stop: the peer gets no new roles but serves its existing flows."""
    DEAD = "dead"


_PRESENT = frozenset({PeerState.ALIVE, PeerState.SUSPECT})


@dataclass(frozen=True)
class InstanceView:
    """View of one instance.

    Attributes
    ----------
    name : str
        Name from its settings.
    zone : str
        Its availability zone.
    incarnation : int
        Random number drawn at its start; 0 while it is unknown.
    peer_address : str
        ``host:port`` for peer messages.
    state : PeerState
        Current state.
    ready : bool
        Whether it has joined and may be assigned roles.
    """

    name: str
    zone: str
    incarnation: int
    peer_address: str
    state: PeerState
    ready: bool = True

    @property
    def is_joining(self) -> bool:
        """Whether it is known and may be assigned roles once it is ready."""
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
        Whether the platform requests its planned stop.
    """

    name: str
    zone: str
    peer_address: str
    leaving: bool = False

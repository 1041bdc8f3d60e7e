"""What the membership asks its surroundings to do."""

from dataclasses import dataclass

from endivepick.membership.peer_messages import MembershipMessage
from endivepick.membership.view import InstanceView

__all__ = [
    "Action",
    "LeaveRequested",
    "Log",
    "PeerChanged",
    "Send",
    "SendToSeed",
    "Superseded",
]


@dataclass(frozen=True)
class Send:
    """Send a message to a peer; it may be lost.

    Attributes
    ----------
    to_name : str
        Name of the peer; its address is in the view.
    message : MembershipMessage
        What to send.
    """

    to_name: str
    message: MembershipMessage


@dataclass(frozen=True)
class SendToSeed:
    """Send a message to whatever instance stands at an address; it may be lost.

    Attributes
    ----------
    peer_address : str
        ``host:port`` from the settings.
    message : MembershipMessage
        What to send.
    """

    peer_address: str
    message: MembershipMessage


@dataclass(frozen=True)
class PeerChanged:
    """The belief about a peer changed.

    Attributes
    ----------
    old : InstanceView or None
        Belief before; None if the peer is new.
    new : InstanceView or None
        Belief now; None if the peer is forgotten.
    """

    old: InstanceView | None
    new: InstanceView | None


@dataclass(frozen=True)
class Superseded:
    """Another incarnation took this instance's name: stop as planned.

    Attributes
    ----------
    incarnation : int
        The other incarnation.
    """

    incarnation: int


@dataclass(frozen=True)
class LeaveRequested:
    """The platform lists this instance as leaving: stop as planned."""


@dataclass(frozen=True)
class Log:
    """Write a line to the log.

    Attributes
    ----------
    text : str
        Short sentence with the part's prefix.
    peer : str
        Name of the peer that it is about, empty if none.
    """

    text: str
    peer: str = ""


Action = Send | SendToSeed | PeerChanged | Superseded | LeaveRequested | Log

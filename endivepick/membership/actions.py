"""Actions that the membership requests from its caller."""

from dataclasses import dataclass

from endivepick.membership.peer_messages import MembershipMessage
from endivepick.membership.view import InstanceView

__all__ = [
    "Action",
    "LeaveRequested",
    "Log",
    "PeerChanged",
    "PeerProbeAnsweredLate",
    "PeerProbeFailed",
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
    """Send a message to the instance at an address; it may be lost.

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
    """The view of a peer changed.

    Attributes
    ----------
    old : InstanceView or None
        Previous view; None if the peer is new.
    new : InstanceView or None
        New view; None if the peer was removed.
    """

    old: InstanceView | None
    new: InstanceView | None


@dataclass(frozen=True)
class Superseded:
    """Another incarnation uses the name of this instance: begin a planned stop.

    Attributes
    ----------
    incarnation : int
        The other incarnation.
    """

    incarnation: int


@dataclass(frozen=True)
class LeaveRequested:
    """The platform lists this instance as leaving: begin a planned stop."""


@dataclass(frozen=True)
class Log:
    """Write a line to the log.

    Attributes
    ----------
    text : str
        Message with the prefix ``membership:``.
    peer : str
        Name of the peer concerned, empty if none.
    """

    text: str
    peer: str = ""


@dataclass(frozen=True)
class PeerProbeFailed:
    """A probe sent by this instance failed.

    Attributes
    ----------
    name : str
        The peer.
    waited_s : float
        Time since the probe was sent, in seconds.
    longest_gap_s : float
        Longest time between two ticks of this instance since then, in seconds; a
        large value indicates a delay of this instance rather than of the peer.
    answered_before_s : float
        Time since the last answered probe was sent, in seconds; infinite if none
        was answered.
    helpers, reports : int
        Peers asked for an indirect probe, and reports received from them.
    """

    name: str
    waited_s: float
    longest_gap_s: float
    answered_before_s: float
    helpers: int
    reports: int


@dataclass(frozen=True)
class PeerProbeAnsweredLate:
    """The answer to a failed probe arrived after its deadline.

    Attributes
    ----------
    name : str
        The peer.
    waited_s : float
        Time since the probe was sent, in seconds.
    """

    name: str
    waited_s: float


Action = (
    Send
    | SendToSeed
    | PeerChanged
    | PeerProbeAnsweredLate
    | PeerProbeFailed
    | Superseded
    | LeaveRequested
    | Log
)

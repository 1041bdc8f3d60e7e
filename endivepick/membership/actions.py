"""What the membership asks its surroundings to do."""

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


@dataclass(frozen=True)
class PeerProbeFailed:
    """A probe of this instance got no answer in time.

    Attributes
    ----------
    name : str
        The peer.
    waited_s : float
        Time since the probe was sent, in seconds.
    longest_gap_s : float
        Longest time between two ticks of this instance meanwhile, in seconds: if it
        is long, this instance was late rather than the peer.
    answered_before_s : float
        Time since the last answered probe was sent, in seconds; infinite if none
        was answered.
    helpers, reports : int
        Peers that were asked to probe as well, and those that have answered.
    """

    name: str
    waited_s: float
    longest_gap_s: float
    answered_before_s: float
    helpers: int
    reports: int


@dataclass(frozen=True)
class PeerProbeAnsweredLate:
    """The answer to a failed probe has come.

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

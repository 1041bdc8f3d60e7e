"""Events and actions of record dissemination."""

from dataclasses import dataclass

from endivepick.core.actions import SendToPeer
from endivepick.core.events import PeerMessage
from endivepick.membership.view import InstanceView, PeerState
from endivepick.platform.answers import ObjectList, WatchResult
from endivepick.records.cache import Change
from endivepick.records.peer_messages import RefusedRecord

__all__ = [
    "ConfigurationReady",
    "DisseminationAction",
    "DisseminationEvent",
    "ListReceived",
    "MembersChanged",
    "PlatformFailed",
    "RecordsChanged",
    "RefusedChanged",
    "StartWatch",
    "StopWatch",
    "Tick",
    "WatchReceived",
]


@dataclass(frozen=True)
class Tick:
    """Periodic timer; ``random_share``, from 0 to 1, adds jitter to intervals."""

    random_share: float


@dataclass(frozen=True)
class MembersChanged:
    """The membership view changed.

    Attributes
    ----------
    peers : tuple of InstanceView
        All peers, excluding this instance.
    own_state : PeerState
        Membership state of this instance.
    """

    peers: tuple[InstanceView, ...]
    own_state: PeerState = PeerState.ALIVE


@dataclass(frozen=True)
class ListReceived:
    """The platform returned a listing of all objects of a kind."""

    listed: ObjectList


@dataclass(frozen=True)
class WatchReceived:
    """A watch of all cached kinds returned changes."""

    result: WatchResult


@dataclass(frozen=True)
class PlatformFailed:
    """A listing or a watch failed."""


@dataclass(frozen=True)
class RefusedChanged:
    """The set of records whose newest version this instance refuses changed."""

    refused: tuple[RefusedRecord, ...]


@dataclass(frozen=True)
class StartWatch:
    """Watch the platform from a revision; list all kinds first if it is 0."""

    after: int


@dataclass(frozen=True)
class StopWatch:
    """Stop watching the platform."""


@dataclass(frozen=True)
class RecordsChanged:
    """The cache accepted changes."""

    changes: tuple[Change, ...]


@dataclass(frozen=True)
class ConfigurationReady:
    """The configuration is as new as that of all reachable sources; serve."""

    revision: int


DisseminationEvent = (
    Tick
    | MembersChanged
    | ListReceived
    | WatchReceived
    | PlatformFailed
    | PeerMessage
    | RefusedChanged
)
DisseminationAction = (
    SendToPeer | StartWatch | StopWatch | RecordsChanged | ConfigurationReady
)

"""What happens to the spreading of records, and what it asks for."""

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
    """Time passed; ``random_share`` from 0 to 1 spreads what becomes due."""

    random_share: float


@dataclass(frozen=True)
class MembersChanged:
    """The belief about the instances changed.

    Attributes
    ----------
    peers : tuple of InstanceView
        All peers, without this instance.
    own_state : PeerState
        State of this instance.
    """

    peers: tuple[InstanceView, ...]
    own_state: PeerState = PeerState.ALIVE


@dataclass(frozen=True)
class ListReceived:
    """The platform listed a kind."""

    listed: ObjectList


@dataclass(frozen=True)
class WatchReceived:
    """A watch of all cached kinds returned."""

    result: WatchResult


@dataclass(frozen=True)
class PlatformFailed:
    """A list or watch failed."""


@dataclass(frozen=True)
class RefusedChanged:
    """Records whose newest version this instance cannot use."""

    refused: tuple[RefusedRecord, ...]


@dataclass(frozen=True)
class StartWatch:
    """Watch the platform after a revision; list all kinds first if it is 0."""

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
    """The configuration is as new as any reachable source's: serve."""

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

"""Instance of the configuration model, built from production components."""

from collections.abc import Callable, Hashable
from dataclasses import dataclass
from typing import Any

from endivepick.model._freeze import freeze
from endivepick.records._anti_entropy import AntiEntropyExchange
from endivepick.records._feeder_selector import FeederSelector
from endivepick.records._readiness import Readiness
from endivepick.records._subscribers import Subscribers
from endivepick.records.cache import RecordCache
from endivepick.records.objects import SERVICE_KIND, StoredObject
from endivepick.records.peer_messages import RecordsMessage
from endivepick.records.settings import DisseminationSettings

__all__ = ["ConfigNode", "ConfigParts", "SendDigest", "Listed", "Received", "Watched"]

NAME = "notes"
NOW_S = 0.0
SETTINGS = DisseminationSettings(ask_patience_s=1.0)
_STATELESS_TYPES = (DisseminationSettings, Subscribers, FeederSelector)


@dataclass(frozen=True)
class ConfigParts:
    """Classes that an instance consists of; a mutation replaces one."""

    cache: Callable[..., RecordCache] = RecordCache
    readiness: Callable[..., Readiness] = Readiness


@dataclass(frozen=True)
class Listed:
    """The platform returns a list of a revision, which may be stale."""

    revision: int
    objects: tuple[tuple[int, bool], ...]


@dataclass(frozen=True)
class Watched:
    """The platform returns all changes after one revision up to another."""

    after: int
    revision: int
    events: tuple[tuple[int, bool], ...]


@dataclass(frozen=True)
class SendDigest:
    """The instance sends a digest of its records to a peer."""


@dataclass(frozen=True)
class Received:
    """A message from a peer arrives."""

    sender: str
    message: RecordsMessage


Event = Listed | Watched | SendDigest | Received


def build_stored_object(version: int, exists: bool) -> StoredObject:
    """Build a version of the record, or its deletion."""
    body = {"version": version} if exists else None
    return StoredObject(SERVICE_KIND, NAME, version, body)


class ConfigNode:
    """Cache, exchange and readiness check of one instance.

    Parameters
    ----------
    name : str
        Name of the instance.
    parts : ConfigParts
        Classes that the instance consists of.
    incarnation : int
        Incarnation of the process.
    """

    def __init__(self, name: str, parts: ConfigParts, incarnation: int) -> None:
        self.cache = parts.cache(kinds=(SERVICE_KIND,), max_tombstones=0)
        self.readiness = parts.readiness(SETTINGS, name, incarnation)
        subscribers = Subscribers(SETTINGS)
        self._exchange = AntiEntropyExchange(
            SETTINGS, self.cache, self.readiness, subscribers
        )

    def frozen(self) -> Hashable:
        """Return a snapshot of everything that later behaviour depends on."""
        return freeze(
            [self.cache, self.readiness, self._exchange], skip=_STATELESS_TYPES
        )

    @property
    def version(self) -> int:
        """Version of the record in force; 0 if there is none."""
        held = self.cache.get(SERVICE_KIND, NAME)
        return held.version if held and not held.deleted else 0

    def handle(self, event: Event, peers: tuple[str, ...]) -> tuple[Any, ...]:
        """Handle one event and return the messages to the peer."""
        self.readiness.choose_peers_to_ask(peers, (), NOW_S)
        messages = self._dispatch_event(event)
        self.readiness.update(self.cache.revision, peers, NOW_S)
        return messages

    def _dispatch_event(self, event: Event) -> tuple[Any, ...]:
        match event:
            case Listed(revision=revision, objects=objects):
                found = [build_stored_object(*one) for one in objects]
                self.cache.offer_list(SERVICE_KIND, revision, found)
                self.readiness.record_full_listing()
                return ()
            case Watched(after=after, revision=revision, events=events):
                for one in events:
                    self.cache.offer(build_stored_object(*one))
                self.cache.advance(after, revision)
                return ()
            case SendDigest():
                return (self._exchange.digest(reply=True),)
            case Received(sender=sender, message=message):
                return self._exchange.handle_message(sender, message, NOW_S).messages

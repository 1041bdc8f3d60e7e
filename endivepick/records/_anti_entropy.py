"""What an instance answers to its peers' messages about the configuration."""

from dataclasses import dataclass
from typing import Any

from endivepick.records._readiness import Readiness
from endivepick.records._subscribers import Subscribers
from endivepick.records._transfer import (
    Received,
    TransferReceiver,
    build_delta,
    build_inventory,
)
from endivepick.records.cache import CacheDigest, Change, RecordCache
from endivepick.records.peer_messages import (
    ConfigDelta,
    ConfigDigest,
    ConfigInventory,
    ConfigRequest,
    InventoryRequest,
    RecordsMessage,
    SubtreeReport,
)
from endivepick.records.settings import DisseminationSettings


@dataclass(frozen=True)
class Answers:
    """What a message leads to.

    Attributes
    ----------
    messages : tuple of RecordsMessage
        For the sender, in order.
    changes : tuple of Change
        Accepted changes.
    """

    messages: tuple[RecordsMessage, ...] = ()
    changes: tuple[Change, ...] = ()


class AntiEntropyExchange:
    """Keeps the cache equal to those of the peers that send messages.

    Parameters
    ----------
    settings : DisseminationSettings
        Sizes.
    cache : RecordCache
        The configuration.
    readiness : Readiness
        Hears of each digest.
    subscribers : Subscribers
        Hears of each digest that asks for an answer.
    """

    def __init__(
        self,
        settings: DisseminationSettings,
        cache: RecordCache,
        readiness: Readiness,
        subscribers: Subscribers,
    ) -> None:
        self._settings = settings
        self._cache = cache
        self._readiness = readiness
        self._subscribers = subscribers
        self._transfers = TransferReceiver(cache)

    def forget(self, name: str) -> None:
        """Forget what was begun with a peer that is gone."""
        self._transfers.forget(name)

    def digest(
        self,
        reply: bool = False,
        subscribe: bool = False,
        report: SubtreeReport | None = None,
    ) -> ConfigDigest:
        """Return a digest of the cache for a peer."""
        digest = self._cache.digest
        ready = self._readiness.ready
        question = self._readiness.question if reply and not ready else 0
        return ConfigDigest(
            digest.root, digest.revision, ready, reply, subscribe, report, question
        )

    def _answer(self, question: int) -> ConfigDigest:
        digest = self._cache.digest
        ready = self._readiness.ready
        return ConfigDigest(digest.root, digest.revision, ready, answered=question)

    def take(self, sender: str, message: Any, now_s: float) -> Answers:
        """Take a message and return what it leads to."""
        limit = self._settings.delta_bytes
        match message:
            case ConfigDigest():
                return Answers(self._take_digest(sender, message, now_s))
            case ConfigRequest():
                return Answers((build_delta(self._cache, message, limit),))
            case InventoryRequest():
                return Answers((build_inventory(self._cache, message, limit),))
            case ConfigDelta():
                return _answers(self._transfers.take_delta(sender, message))
            case ConfigInventory():
                return _answers(self._transfers.handle_inventory(message))
        return Answers()

    def _take_digest(
        self, sender: str, digest: ConfigDigest, now_s: float
    ) -> tuple[RecordsMessage, ...]:
        self._readiness.heard(sender, digest)
        agreed = self._cache.agree(CacheDigest(digest.root, digest.revision))
        messages: list[RecordsMessage] = []
        if digest.reply:
            self._subscribers.heard(sender, digest.subscribe, digest.report, now_s)
            messages.append(self._answer(digest.question))
        # Both sides see the other's digest; the one behind asks.
        mine = self._cache.revision
        if not agreed and digest.revision >= mine:
            messages.append(ConfigRequest(mine, mine))
        return tuple(messages)


def _answers(received: Received) -> Answers:
    messages = () if received.answer is None else (received.answer,)
    return Answers(messages, received.changes)

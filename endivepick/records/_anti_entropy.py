"""Anti-entropy: handling of configuration messages from peers."""

from dataclasses import dataclass
from typing import Any

from endivepick.records._readiness import Readiness
from endivepick.records._subscribers import Subscribers
from endivepick.records._transfer import (
    TransferReceiver,
    TransferResult,
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
class MessageResult:
    """Result of handling a message.

    Attributes
    ----------
    messages : tuple of RecordsMessage
        Replies to the sender, in sending order.
    changes : tuple of Change
        Changes that the cache accepted.
    """

    messages: tuple[RecordsMessage, ...] = ()
    changes: tuple[Change, ...] = ()


class AntiEntropyExchange:
    """Synchronizes the cache with the caches of peers.

    Parameters
    ----------
    settings : DisseminationSettings
        Size limits of messages.
    cache : RecordCache
        Configuration of this instance.
    readiness : Readiness
        Receives each digest.
    subscribers : Subscribers
        Receives each digest that requests a reply.
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
        """Discard the unfinished transfer from a peer that was removed."""
        self._transfers.forget(name)

    def digest(
        self,
        reply: bool = False,
        subscribe: bool = False,
        report: SubtreeReport | None = None,
    ) -> ConfigDigest:
        """Build a digest of the cache for a peer."""
        digest = self._cache.digest
        ready = self._readiness.ready
        question = self._readiness.question if reply and not ready else 0
        return ConfigDigest(
            digest.root, digest.revision, ready, reply, subscribe, report, question
        )

    def _build_reply(self, question: int) -> ConfigDigest:
        digest = self._cache.digest
        ready = self._readiness.ready
        return ConfigDigest(digest.root, digest.revision, ready, answered=question)

    def handle_message(self, sender: str, message: Any, now_s: float) -> MessageResult:
        """Handle a message and return the replies and accepted changes."""
        limit = self._settings.delta_bytes
        match message:
            case ConfigDigest():
                return MessageResult(self._handle_digest(sender, message, now_s))
            case ConfigRequest():
                return MessageResult((build_delta(self._cache, message, limit),))
            case InventoryRequest():
                return MessageResult((build_inventory(self._cache, message, limit),))
            case ConfigDelta():
                return _to_result(self._transfers.handle_delta(sender, message))
            case ConfigInventory():
                return _to_result(self._transfers.handle_inventory(message))
        return MessageResult()

    def _handle_digest(
        self, sender: str, digest: ConfigDigest, now_s: float
    ) -> tuple[RecordsMessage, ...]:
        self._readiness.record_digest(sender, digest)
        in_sync = self._cache.advance_if_equal(
            CacheDigest(digest.root, digest.revision)
        )
        messages: list[RecordsMessage] = []
        if digest.reply:
            self._subscribers.update_subscription(
                sender, digest.subscribe, digest.report, now_s
            )
            messages.append(self._build_reply(digest.question))
        # Both sides receive the other's digest; the side with the lower revision
        # requests the changes, and at equal revisions both request.
        own_revision = self._cache.revision
        if not in_sync and digest.revision >= own_revision:
            messages.append(ConfigRequest(own_revision, own_revision))
        return tuple(messages)


def _to_result(received: TransferResult) -> MessageResult:
    messages = () if received.next_request is None else (received.next_request,)
    return MessageResult(messages, received.changes)

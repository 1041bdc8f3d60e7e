"""Takes what the store and peers tell into the core."""

from collections.abc import Callable

from endivepick.clock import steady_now_s
from endivepick.forwarder.decision_log import DecisionLog
from endivepick.forwarder.feed import FeedChanges, FeedList
from endivepick.forwarder.peers import PeerSnapshot
from endivepick.forwarder.ports import FeedKind, ItemRemoved, UnreadableItem
from endivepick.forwarding import (
    Configuration,
    ForwardingCore,
    RegistryNews,
    Target,
)

__all__ = ["NewsIntake"]


class NewsIntake:
    """Hands news to the core, and has what it decides carried out.

    Parameters
    ----------
    core : ForwardingCore
        Takes the news in.
    decisions : DecisionLog
        Where news are written.
    after : callable
        Called when all of a message was taken in.
    """

    def __init__(
        self,
        core: ForwardingCore,
        decisions: DecisionLog,
        after: Callable[[], None],
    ) -> None:
        self._core = core
        self._decisions = decisions
        self._after = after

    def on_feed(self, news: FeedList | FeedChanges) -> None:
        """Take in what a feed read."""
        now_s = steady_now_s()
        for item in news.items:
            if isinstance(item, UnreadableItem):
                self._decisions.unreadable(news.kind, item)
        match news:
            case FeedList(kind=FeedKind.REGISTRY, items=items):
                targets = [item for item in items if isinstance(item, Target)]
                self._core.on_target_list(targets, news.revision, now_s, news.asked_s)
            case _:
                self._on_items(news, now_s)
        self._after()

    def on_registry_news(self, news: RegistryNews) -> None:
        """Take in what the zone's feeder tells of the registry."""
        if news.revision <= self._core.registry.revision:
            return
        self._core.on_registry_news(news, steady_now_s())
        self._after()

    def on_snapshot(self, snapshot: PeerSnapshot) -> None:
        """Take in what a peer knows, as far as it is newer."""
        now_s = steady_now_s()
        configuration, revision = snapshot.configuration, snapshot.registry_revision
        known = self._core.routes.configuration
        if configuration is not None and (
            known is None or configuration.revision > known.revision
        ):
            self._on_configuration(configuration, now_s)
        if snapshot.targets is not None and revision >= self._core.registry.revision:
            self._core.on_target_list(snapshot.targets, revision, now_s)
        self._decisions.snapshot(
            snapshot.name,
            configuration.version if configuration is not None else None,
            revision,
            snapshot.heard_before_s,
        )
        self._after()

    def _on_items(self, news: FeedList | FeedChanges, now_s: float) -> None:
        for item in news.items:
            match item:
                case Target():
                    self._core.on_target(item, now_s)
                case ItemRemoved(name, revision) if news.kind is FeedKind.REGISTRY:
                    self._core.on_target_removed(name, revision, now_s)
                case Configuration():
                    self._on_configuration(item, now_s)
                case _:
                    pass

    def _on_configuration(self, configuration: Configuration, now_s: float) -> None:
        in_force = self._core.on_configuration(configuration, now_s)
        self._decisions.configuration(configuration, in_force)

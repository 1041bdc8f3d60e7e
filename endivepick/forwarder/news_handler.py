"""Takes what the store and peers tell into the core."""

from collections.abc import Callable

from endivepick.clock import steady_now_s
from endivepick.forwarder.decision_log import DecisionLog
from endivepick.forwarder.peers import PeerSnapshot
from endivepick.forwarder.ports import FeedKind, ItemRemoved, UnreadableItem
from endivepick.forwarder.store_feed import FeedChanges, FeedList
from endivepick.forwarding import (
    Configuration,
    ConfigurationChange,
    ForwardingCore,
    RegistryNews,
    RemovedTarget,
    Target,
    apply_change,
    check_target,
)

__all__ = ["NewsIntake"]

STORE, FEEDER, PEER = "store", "feeder", "peer"
"""Who told of a configuration, for the log."""


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
                unreadable = [
                    i.name for i in items if isinstance(i, UnreadableItem) and i.name
                ]
                self._core.on_target_list(
                    targets, news.revision, now_s, news.asked_s, unreadable
                )
            case _:
                self._on_items(news, now_s)
        if news.kind is FeedKind.REGISTRY:
            self._core.on_registry_revision(news.revision)
        self._after()

    def on_zone_news(
        self, registry: RegistryNews, change: ConfigurationChange | None
    ) -> None:
        """Take in what the zone's feeder tells.

        Parameters
        ----------
        registry : RegistryNews
            What changed in the registry.
        change : ConfigurationChange or None
            What changed in the configuration, as far as the feeder can tell.
        """
        now_s = steady_now_s()
        newer = registry.revision > self._core.registry.revision
        if change is not None:
            self._on_change(change, now_s)
        if newer:
            self._core.on_registry_news(self._usable(registry), now_s)
        if newer or change is not None:
            self._after()

    def on_snapshot(self, snapshot: PeerSnapshot) -> None:
        """Take in what a peer knows, as far as it is newer."""
        now_s = steady_now_s()
        configuration, revision = snapshot.configuration, snapshot.registry_revision
        known = self._core.routes.configuration
        if configuration is not None and (
            known is None or configuration.revision > known.revision
        ):
            self._on_configuration(configuration, now_s, PEER)
        if snapshot.targets is not None and revision >= self._core.registry.revision:
            removed = [RemovedTarget(n, revision, True) for n in snapshot.unreadable]
            told = RegistryNews(snapshot.targets, removed, True, revision)
            usable = self._usable(told)
            unreadable = [each.name for each in usable.removed]
            self._core.on_target_list(
                usable.targets, revision, now_s, unreadable=unreadable
            )
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
                case UnreadableItem(name, _, revision) if _is_entry(news.kind, name):
                    self._core.on_target_unreadable(name, revision, now_s)
                case Configuration():
                    self._on_configuration(item, now_s, STORE)
                case _:
                    pass

    def _usable(self, told: RegistryNews) -> RegistryNews:
        """Return what another instance told, its unusable entries as unreadable.

        One of another build may pass on what is not taken here.
        """
        targets: list[Target] = []
        removed = list(told.removed)
        for target in told.targets:
            try:
                check_target(target)
            except ValueError as error:
                item = UnreadableItem(target.name, str(error), target.revision)
                self._decisions.unreadable(FeedKind.REGISTRY, item)
                removed.append(RemovedTarget(item.name, item.revision, True))
            else:
                targets.append(target)
        return RegistryNews(targets, removed, told.whole, told.revision)

    def _on_change(self, change: ConfigurationChange, now_s: float) -> None:
        known = self._core.routes.configuration
        configuration = None if known is None else apply_change(known, change)
        if configuration is None:
            # The version that the feeder has is read from the store instead.
            self._decisions.change_unfit(change, self._core.routes.revision)
        else:
            self._on_configuration(configuration, now_s, FEEDER)

    def _on_configuration(
        self, configuration: Configuration, now_s: float, learnt_from: str
    ) -> None:
        in_force = self._core.on_configuration(configuration, now_s)
        self._decisions.configuration(configuration, in_force, learnt_from)


def _is_entry(kind: FeedKind, name: str) -> bool:
    """Whether an unreadable object is an entry of the registry that can be named."""
    return kind is FeedKind.REGISTRY and bool(name)

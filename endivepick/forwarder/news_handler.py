"""Applies what the store, the feeder and peers report to the core."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from endivepick.clock import steady_now_s
from endivepick.forwarder.decision_log import DecisionLog
from endivepick.forwarder.peers import PeerSnapshot
from endivepick.forwarder.ports import FeedKind, Item, ItemRemoved, UnreadableItem
from endivepick.forwarder.store_feed import FeedChanges, FeedList
from endivepick.forwarding import (
    Configuration,
    ConfigurationChange,
    EvacuatedZone,
    EvacuationChange,
    EvacuationSnapshot,
    ForwardingCore,
    RegistryNews,
    RemovedTarget,
    Target,
    apply_change,
    check_configuration,
    check_target,
)

if TYPE_CHECKING:
    from endivepick.forwarder.zone_messages import ZoneNews

__all__ = ["NewsHandler"]

STORE, FEEDER, PEER = "store", "feeder", "peer"
"""Sources of a configuration or an evacuation, for the log."""


class NewsHandler:
    """Passes news to the core and triggers the effects of its decisions.

    Parameters
    ----------
    core : ForwardingCore
        Core to which the news are applied.
    decisions : DecisionLog
        Log of the news.
    on_applied : callable
        Called after each message has been applied.
    """

    def __init__(
        self,
        core: ForwardingCore,
        decisions: DecisionLog,
        on_applied: Callable[[], None],
    ) -> None:
        self._core = core
        self._decisions = decisions
        self._on_applied = on_applied

    def on_store_update(self, news: FeedList | FeedChanges) -> None:
        """Apply a list or changes that a feed read."""
        now_s = steady_now_s()
        for item in news.items:
            if isinstance(item, UnreadableItem):
                self._decisions.log_unreadable(news.kind, item)
        match news:
            case FeedList(kind=FeedKind.REGISTRY, items=items):
                targets = [item for item in items if isinstance(item, Target)]
                unreadable = [
                    i.name for i in items if isinstance(i, UnreadableItem) and i.name
                ]
                self._core.on_target_list(
                    targets, news.revision, now_s, news.requested_s, unreadable
                )
            case FeedList(kind=FeedKind.EVACUATIONS, items=items):
                zones = [z for item in items if (z := _to_evacuated(item)) is not None]
                complete = EvacuationSnapshot(zones, news.revision)
                self._on_evacuations(complete, STORE, 0.0)
            case _:
                self._on_items(news, now_s)
        if news.kind is FeedKind.REGISTRY:
            self._core.on_registry_revision(news.revision)
        elif news.kind is FeedKind.EVACUATIONS:
            self._core.evacuations.zones.advance_revision(news.revision)
        self._on_applied()

    def on_zone_news(self, news: ZoneNews) -> None:
        """Apply the news of the zone's feeder."""
        now_s = steady_now_s()
        registry, change = news.registry, news.config_change
        if news.evacuations is not None:
            self._on_evacuations(news.evacuations, FEEDER, news.evacuations_before_s)
        newer = registry.revision > self._core.registry.revision
        if change is not None:
            self._on_change(change, now_s)
        if newer:
            self._core.on_registry_news(self._mark_invalid(registry), now_s)
        if newer or change is not None:
            self._on_applied()

    def on_snapshot(self, snapshot: PeerSnapshot) -> None:
        """Apply the newer parts of a peer's snapshot; the registry also if as new."""
        now_s = steady_now_s()
        revision = snapshot.registry_revision
        configuration = self._check_received(snapshot.configuration)
        known = self._core.routes.configuration
        if configuration is not None and (
            known is None or configuration.revision > known.revision
        ):
            self._on_configuration(configuration, now_s, PEER)
        if snapshot.evacuations is not None:
            self._on_evacuations(snapshot.evacuations, PEER, snapshot.heard_before_s)
        if snapshot.targets is not None and revision >= self._core.registry.revision:
            removed = [RemovedTarget(n, revision, True) for n in snapshot.unreadable]
            received = RegistryNews(snapshot.targets, removed, True, revision)
            usable = self._mark_invalid(received)
            unreadable = [each.name for each in usable.removed]
            self._core.on_target_list(
                usable.targets, revision, now_s, unreadable=unreadable
            )
        self._decisions.log_snapshot(
            snapshot.name,
            configuration.version if configuration is not None else None,
            revision,
            snapshot.heard_before_s,
        )
        self._on_applied()

    def _on_items(self, news: FeedList | FeedChanges, now_s: float) -> None:
        for item in news.items:
            evacuated = _to_evacuated(item)
            if news.kind is FeedKind.EVACUATIONS and evacuated is not None:
                changes = self._core.evacuations.apply_begin(evacuated, now_s)
                self._log_evacuations(changes, STORE, 0.0)
                continue
            match item:
                case Target():
                    self._core.on_target(item, now_s)
                case ItemRemoved(name, revision) if news.kind is FeedKind.REGISTRY:
                    self._core.on_target_removed(name, revision, now_s)
                case ItemRemoved(name, revision) if news.kind is FeedKind.EVACUATIONS:
                    ended = self._core.evacuations.apply_end(name, revision, now_s)
                    self._log_evacuations(ended, STORE, 0.0)
                case UnreadableItem(name, _, revision) if _is_entry(news.kind, name):
                    self._core.on_target_unreadable(name, revision, now_s)
                case Configuration():
                    self._on_configuration(item, now_s, STORE)
                case _:
                    pass

    def _mark_invalid(self, received: RegistryNews) -> RegistryNews:
        """Return another instance's news with its invalid entries as unreadable.

        An instance of another build may forward entries that this build does not
        accept.
        """
        targets: list[Target] = []
        removed = list(received.removed)
        for target in received.targets:
            try:
                check_target(target)
            except ValueError as error:
                # The revision of an invalid entry may be that of no change.
                revision = min(target.revision, received.revision)
                item = UnreadableItem(target.name, str(error), revision)
                self._decisions.log_unreadable(FeedKind.REGISTRY, item)
                removed.append(RemovedTarget(item.name, item.revision, True))
            else:
                targets.append(target)
        return RegistryNews(targets, removed, received.whole, received.revision)

    def _on_change(self, change: ConfigurationChange, now_s: float) -> None:
        known = self._core.routes.configuration
        configuration = None if known is None else apply_change(known, change)
        if configuration is None:
            # The configuration is read from the store instead.
            self._decisions.log_inapplicable_delta(change, self._core.routes.revision)
            return
        checked = self._check_received(configuration)
        if checked is not None:
            self._on_configuration(checked, now_s, FEEDER)

    def _check_received(self, received: Configuration | None) -> Configuration | None:
        """Return another instance's configuration; None if it cannot be used.

        An instance of another build may pass on one that this build does not accept.
        """
        if received is None:
            return None
        try:
            check_configuration(received)
        except ValueError as error:
            item = UnreadableItem("", str(error), received.revision)
            self._decisions.log_unreadable(FeedKind.CONFIGURATION, item)
            return None
        return received

    def _on_evacuations(
        self, complete: EvacuationSnapshot, learnt_from: str, before_s: float
    ) -> None:
        changes = self._core.evacuations.apply_list(
            complete.zones, complete.revision, steady_now_s()
        )
        self._log_evacuations(changes, learnt_from, before_s)

    def _log_evacuations(
        self, changes: list[EvacuationChange], learnt_from: str, before_s: float
    ) -> None:
        for change in changes:
            self._decisions.log_evacuation(change, learnt_from, before_s)

    def _on_configuration(
        self, configuration: Configuration, now_s: float, learnt_from: str
    ) -> None:
        in_force = self._core.on_configuration(configuration, now_s)
        self._decisions.log_configuration(configuration, in_force, learnt_from)


def _is_entry(kind: FeedKind, name: str) -> bool:
    """Return whether an unreadable object is a registry entry with a known name."""
    return kind is FeedKind.REGISTRY and bool(name)


def _to_evacuated(item: Item) -> EvacuatedZone | None:
    """Return the evacuation that an object requests, None if it requests none.

    An unreadable object requests what its name says: ignoring it would send flows to
    targets that are about to stop.
    """
    match item:
        case EvacuatedZone():
            return item
        case UnreadableItem(name, _, revision) if name:
            return EvacuatedZone(name, revision)
        case _:
            return None

"""Dissemination of the configuration among instances.

A few instances of each zone watch the platform and push changes to the others.
Digests of constant size, exchanged periodically, repair lost changes
(anti-entropy) and carry the reports of what is in force.
"""

from typing import Any

from endivepick.core.actions import SendToPeer
from endivepick.core.events import PeerMessage
from endivepick.membership.view import InstanceView, PeerState
from endivepick.platform.answers import ObjectList, WatchResult
from endivepick.records._anti_entropy import AntiEntropyExchange
from endivepick.records._feeder_selector import FeederSelector
from endivepick.records._readiness import Readiness
from endivepick.records._subscribers import Subscribers, build_own_report
from endivepick.records._transfer import (
    build_push,
)
from endivepick.records.cache import Change, RecordCache
from endivepick.records.events import (
    ConfigurationReady,
    DisseminationAction,
    DisseminationEvent,
    ListReceived,
    MembersChanged,
    PlatformFailed,
    RecordsChanged,
    RefusedChanged,
    StartWatch,
    StopWatch,
    Tick,
    WatchReceived,
)
from endivepick.records.peer_messages import (
    RefusedRecord,
    SubtreeReport,
)
from endivepick.records.roles import (
    ZoneRoles,
    choose_remote_watchers,
    compute_zone_roles,
)
from endivepick.records.settings import DisseminationSettings

__all__ = ["Dissemination"]


class Dissemination:
    """Dissemination protocol of one instance, without input or output.

    Parameters
    ----------
    settings : DisseminationSettings
        Limits and intervals.
    name, zone : str
        Name and availability zone of this instance.
    cache : RecordCache
        Configuration of this instance.
    incarnation : int
        Random number that identifies this process.
    """

    def __init__(
        self,
        settings: DisseminationSettings,
        name: str,
        zone: str,
        cache: RecordCache,
        incarnation: int,
    ) -> None:
        self._settings = settings
        self._name = name
        self._zone = zone
        self._cache = cache
        self._readiness = Readiness(settings, name, incarnation)
        self._subscribers = Subscribers(settings)
        self._exchange = AntiEntropyExchange(
            settings, cache, self._readiness, self._subscribers
        )
        self._peers: dict[str, InstanceView] = {}
        self._own_state = PeerState.ALIVE
        self._roles = compute_zone_roles(zone, [self._own_view()], settings)
        self._refused: tuple[RefusedRecord, ...] = ()
        self._feeder = FeederSelector(settings)
        self._feeders: list[str] | None = None
        self._watching = False
        self._platform_failed = False
        self._digest_due_s = 0.0
        self._digest_round = 0
        self._actions: list[DisseminationAction] = []

    @property
    def ready(self) -> bool:
        """Whether this instance may serve."""
        return self._readiness.ready

    @property
    def watching(self) -> bool:
        """Whether this instance watches the platform."""
        return self._watching

    @property
    def roles(self) -> ZoneRoles:
        """Roles of the instances in the own zone."""
        return self._roles

    @property
    def writes_status(self) -> bool:
        """Whether this instance writes the status of its zone."""
        return self._roles.status_writer == self._name

    @property
    def zone_report(self) -> SubtreeReport:
        """Merged report of this instance and of those that report to it."""
        own = build_own_report(self._name, self._cache.revision, self._refused)
        return self._subscribers.merge_reports(own)

    @property
    def names_all_refusals(self) -> bool:
        """Whether the report is certainly not truncated.

        This holds if it has fewer entries than the limit.
        """
        return len(self.zone_report.refused) < self._settings.refused_records

    def zone_members(self) -> tuple[str, ...]:
        """Return all instances of the zone that are not considered dead."""
        return self._roles.ranked + self._roles.leaving

    def handle(
        self, event: DisseminationEvent, now_s: float
    ) -> list[DisseminationAction]:
        """Handle an event and return the actions to perform.

        Parameters
        ----------
        event : DisseminationEvent
            Event to handle.
        now_s : float
            Current time of a monotonic clock, in seconds.

        Returns
        -------
        list of DisseminationAction
            Actions in the order in which to perform them.
        """
        self._actions = []
        revision_before = self._cache.revision
        changes = self._dispatch(event, now_s)
        source = event.sender if isinstance(event, PeerMessage) else None
        self._push_changes(changes, revision_before, source)
        if changes or self._cache.revision > revision_before:
            report_s = now_s + self._settings.report_delay_s
            self._digest_due_s = min(self._digest_due_s, report_s)
        if not self._readiness.ready:
            self._update_readiness(now_s)
        return self._actions

    def _update_readiness(self, now_s: float) -> None:
        # Iterates over all peers, so it is skipped once the instance is ready.
        if self._readiness.update(self._cache.revision, self._reachable(), now_s):
            self._actions.append(ConfigurationReady(self._cache.revision))

    def _dispatch(self, event: DisseminationEvent, now_s: float) -> tuple[Change, ...]:
        match event:
            case Tick(random_share):
                self._tick(random_share, now_s)
            case MembersChanged(peers, own_state):
                self._own_state = own_state
                self._update_members(peers, now_s)
            case ListReceived(object_list):
                return self._apply_list(object_list)
            case WatchReceived(result):
                return self._apply_watch(result)
            case PlatformFailed():
                self._platform_failed = True
            case RefusedChanged(refused):
                self._refused = refused
            case PeerMessage(sender=sender):
                self._feeder.record_message(sender, now_s)
                return self._handle_message(event, now_s)
        return ()

    def _apply_list(self, object_list: ObjectList) -> tuple[Change, ...]:
        self._platform_failed = False
        changes = self._cache.offer_list(
            object_list.kind, object_list.revision, object_list.objects
        )
        # Kinds are listed in the order of `cache.kinds`, so the last one completes the
        # listing.
        if object_list.kind == self._cache.kinds[-1]:
            self._readiness.record_full_listing()
        return tuple(changes)

    def _apply_watch(self, result: WatchResult) -> tuple[Change, ...]:
        self._platform_failed = False
        offer_results = [self._cache.offer(stored) for stored in result.events]
        self._cache.advance(result.after, result.revision)
        return tuple(change for change in offer_results if change is not None)

    def _handle_message(self, event: PeerMessage, now_s: float) -> tuple[Change, ...]:
        replies = self._exchange.handle_message(event.sender, event.message, now_s)
        for message in replies.messages:
            self._send(event.sender, message)
        return replies.changes

    def _push_changes(
        self, changes: tuple[Change, ...], revision_before: int, source: str | None
    ) -> None:
        if not changes:
            return
        self._actions.append(RecordsChanged(changes))
        subscribers = [
            name for name in self._subscribers.list_subscribed() if name != source
        ]
        if subscribers:
            limit = self._settings.delta_bytes
            push = build_push(self._cache, revision_before, limit)
            for name in subscribers:
                self._send(name, push)

    def _update_members(self, peers: tuple[InstanceView, ...], now_s: float) -> None:
        removed = self._peers.keys() - {peer.name for peer in peers}
        for name in removed:
            self._exchange.forget(name)
        self._peers = {peer.name: peer for peer in peers if peer.name != self._name}
        members = [self._own_view(), *self._peers.values()]
        self._roles = compute_zone_roles(self._zone, members, self._settings)
        self._feeders = None
        # A new feeder receives the subscription without delay.
        self._digest_due_s = min(self._digest_due_s, now_s)

    def _tick(self, random_share: float, now_s: float) -> None:
        self._update_watch()
        if now_s < self._digest_due_s:
            return
        settings = self._settings
        starting_s, steady_s = settings.starting_interval_s, settings.digest_interval_s
        interval_s = steady_s if self.ready else starting_s
        self._digest_due_s = now_s + interval_s * (0.8 + 0.4 * random_share)
        self._digest_round += 1
        self._subscribers.expire(now_s)
        for name in self._choose_peers_to_ask(now_s):
            self._send(name, self._exchange.digest(reply=True))
        if self._watching:
            self._send_watcher_digests()
        else:
            self._subscribe(now_s)

    def _update_watch(self) -> None:
        is_watcher = self._name in self._roles.watchers
        if is_watcher and not self._watching:
            self._actions.append(StartWatch(self._cache.revision))
        if self._watching and not is_watcher:
            self._actions.append(StopWatch())
        self._watching = is_watcher

    def _choose_peers_to_ask(self, now_s: float) -> list[str]:
        if self._readiness.ready:
            return []
        reachable = self._reachable()
        zone_peers = [n for n in reachable if self._peers[n].zone == self._zone]
        others = [n for n in reachable if self._peers[n].zone != self._zone]
        return self._readiness.choose_peers_to_ask(zone_peers, others, now_s)

    def _send_watcher_digests(self) -> None:
        writer = self._roles.status_writer
        for name in self._roles.choose_digest_partners(self._name, self._settings):
            report = self.zone_report if name == writer else None
            self._send(name, self._exchange.digest(reply=True, report=report))
        for name in choose_remote_watchers(
            self._zone, self._peers.values(), self._digest_round, self._settings
        ):
            # While the platform is unreachable, changes come from other zones.
            subscribe = self._platform_failed
            self._send(name, self._exchange.digest(reply=True, subscribe=subscribe))

    def _subscribe(self, now_s: float) -> None:
        if self._feeders is None:
            self._feeders = self._roles.rank_feeders(self._name, self._settings)
        previous = self._feeder.name
        feeder = self._feeder.choose(self._feeders, now_s)
        if previous not in (None, feeder):
            # A digest without `subscribe` and report ends the subscription.
            self._send(previous, self._exchange.digest(reply=True))
        if feeder is not None:
            digest = self._exchange.digest(
                reply=True, subscribe=True, report=self.zone_report
            )
            self._send(feeder, digest)

    def _reachable(self) -> list[str]:
        dead = PeerState.DEAD
        return [peer.name for peer in self._peers.values() if peer.state is not dead]

    def _send(self, name: str, message: Any) -> None:
        self._actions.append(SendToPeer(name, message))

    def _own_view(self) -> InstanceView:
        return InstanceView(self._name, self._zone, 0, "", self._own_state)

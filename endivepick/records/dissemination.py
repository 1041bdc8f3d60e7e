"""How the configuration reaches this instance and its peers.

A few instances of each zone watch the platform and feed the others.  Digests of
constant size, exchanged now and then, mend what got lost and carry the reports
of what is in force.
"""

from typing import Any

from endivepick.core.actions import SendToPeer
from endivepick.core.events import PeerMessage
from endivepick.membership.view import InstanceView, PeerState
from endivepick.platform.answers import ObjectList, WatchResult
from endivepick.records._anti_entropy import AntiEntropyExchange
from endivepick.records._feeder_selector import FeederSelector
from endivepick.records._readiness import Readiness
from endivepick.records._subscribers import Subscribers, own_report
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
from endivepick.records.roles import ZoneRoles, compute_zone_roles, watchers_elsewhere
from endivepick.records.settings import DisseminationSettings

__all__ = ["Dissemination"]


class Dissemination:
    """Decisions of one instance about the spreading of the configuration.

    Parameters
    ----------
    settings : DisseminationSettings
        Numbers and times.
    name, zone : str
        This instance.
    cache : RecordCache
        The configuration that it holds.
    incarnation : int
        Random number of this process.
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
        self._roles = compute_zone_roles(zone, [self._view()], settings)
        self._refused: tuple[RefusedRecord, ...] = ()
        self._feeder = FeederSelector(settings)
        self._feeders: list[str] | None = None
        self._watching = False
        self._platform_failed = False
        self._digest_due_s = 0.0
        self._round = 0
        self._out: list[DisseminationAction] = []

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
        """Roles in the own zone."""
        return self._roles

    @property
    def writes_status(self) -> bool:
        """Whether this instance writes the status of its zone."""
        return self._roles.status_writer == self._name

    @property
    def zone_report(self) -> SubtreeReport:
        """What this instance and all that report to it hold."""
        own = own_report(self._name, self._cache.revision, self._refused)
        return self._subscribers.joined(own)

    @property
    def names_all_refusals(self) -> bool:
        """Whether no refused record was left out of the report for its length."""
        return len(self.zone_report.refused) < self._settings.refused_records

    def zone_members(self) -> tuple[str, ...]:
        """Return all instances of the zone that are not believed dead."""
        return self._roles.ranked + self._roles.others

    def handle(
        self, event: DisseminationEvent, now_s: float
    ) -> list[DisseminationAction]:
        """Take an event and return what to do.

        Parameters
        ----------
        event : DisseminationEvent
            What happened.
        now_s : float
            Present time by a monotonic clock, in seconds.

        Returns
        -------
        list of DisseminationAction
            In order.
        """
        self._out = []
        revision_before = self._cache.revision
        changes = self._take(event, now_s)
        source = event.sender if isinstance(event, PeerMessage) else None
        self._spread(changes, revision_before, source)
        if changes or self._cache.revision > revision_before:
            report_s = now_s + self._settings.report_delay_s
            self._digest_due_s = min(self._digest_due_s, report_s)
        if not self._readiness.ready:
            self._update_readiness(now_s)
        return self._out

    def _update_readiness(self, now_s: float) -> None:
        # Walks over all peers: never done once the instance is ready.
        if self._readiness.update(self._cache.revision, self._reachable(), now_s):
            self._out.append(ConfigurationReady(self._cache.revision))

    def _take(self, event: DisseminationEvent, now_s: float) -> tuple[Change, ...]:
        match event:
            case Tick(random_share):
                self._tick(random_share, now_s)
            case MembersChanged(peers, own_state):
                self._own_state = own_state
                self._take_members(peers, now_s)
            case ListReceived(record_full_listing):
                return self._take_list(record_full_listing)
            case WatchReceived(result):
                return self._take_watch(result)
            case PlatformFailed():
                self._platform_failed = True
            case RefusedChanged(refused):
                self._refused = refused
            case PeerMessage(sender=sender):
                self._feeder.heard(sender, now_s)
                return self._take_message(event, now_s)
        return ()

    def _take_list(self, record_full_listing: ObjectList) -> tuple[Change, ...]:
        self._platform_failed = False
        changes = self._cache.offer_list(
            record_full_listing.kind,
            record_full_listing.revision,
            record_full_listing.objects,
        )
        if record_full_listing.kind == self._cache.kinds[-1]:
            self._readiness.record_full_listing()
        return tuple(changes)

    def _take_watch(self, result: WatchResult) -> tuple[Change, ...]:
        self._platform_failed = False
        offered = [self._cache.offer(stored) for stored in result.events]
        self._cache.advance(result.after, result.revision)
        return tuple(change for change in offered if change is not None)

    def _take_message(self, event: PeerMessage, now_s: float) -> tuple[Change, ...]:
        answers = self._exchange.handle_message(event.sender, event.message, now_s)
        for message in answers.messages:
            self._send(event.sender, message)
        return answers.changes

    def _spread(
        self, changes: tuple[Change, ...], revision_before: int, source: str | None
    ) -> None:
        if not changes:
            return
        self._out.append(RecordsChanged(changes))
        fed = [name for name in self._subscribers.fed() if name != source]
        if fed:
            limit = self._settings.delta_bytes
            push = build_push(self._cache, revision_before, limit)
            for name in fed:
                self._send(name, push)

    def _take_members(self, peers: tuple[InstanceView, ...], now_s: float) -> None:
        gone = self._peers.keys() - {peer.name for peer in peers}
        for name in gone:
            self._exchange.forget(name)
        self._peers = {peer.name: peer for peer in peers if peer.name != self._name}
        members = [self._view(), *self._peers.values()]
        self._roles = compute_zone_roles(self._zone, members, self._settings)
        self._feeders = None
        # A new feeder is told at once.
        self._digest_due_s = min(self._digest_due_s, now_s)

    def _tick(self, random_share: float, now_s: float) -> None:
        self._update_watch()
        if now_s < self._digest_due_s:
            return
        settings = self._settings
        starting_s, steady_s = settings.starting_interval_s, settings.digest_interval_s
        interval_s = steady_s if self.ready else starting_s
        self._digest_due_s = now_s + interval_s * (0.8 + 0.4 * random_share)
        self._round += 1
        self._subscribers.expire(now_s)
        for name in self._ask(now_s):
            self._send(name, self._exchange.digest(reply=True))
        if self._watching:
            self._exchange_as_watcher()
        else:
            self._subscribe(now_s)

    def _update_watch(self) -> None:
        watches = self._name in self._roles.watchers
        if watches and not self._watching:
            self._out.append(StartWatch(self._cache.revision))
        if self._watching and not watches:
            self._out.append(StopWatch())
        self._watching = watches

    def _ask(self, now_s: float) -> list[str]:
        if self._readiness.ready:
            return []
        reachable = self._reachable()
        zone_peers = [n for n in reachable if self._peers[n].zone == self._zone]
        others = [n for n in reachable if self._peers[n].zone != self._zone]
        return self._readiness.choose_peers_to_ask(zone_peers, others, now_s)

    def _exchange_as_watcher(self) -> None:
        writer = self._roles.status_writer
        for name in self._roles.compared(self._name, self._settings):
            report = self.zone_report if name == writer else None
            self._send(name, self._exchange.digest(reply=True, report=report))
        for name in watchers_elsewhere(
            self._zone, self._peers.values(), self._round, self._settings
        ):
            # Without the platform, changes come from zones that reach it.
            subscribe = self._platform_failed
            self._send(name, self._exchange.digest(reply=True, subscribe=subscribe))

    def _subscribe(self, now_s: float) -> None:
        if self._feeders is None:
            self._feeders = self._roles.feeders(self._name, self._settings)
        previous = self._feeder.name
        feeder = self._feeder.choose(self._feeders, now_s)
        if previous not in (None, feeder):
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
        self._out.append(SendToPeer(name, message))

    def _view(self) -> InstanceView:
        return InstanceView(self._name, self._zone, 0, "", self._own_state)

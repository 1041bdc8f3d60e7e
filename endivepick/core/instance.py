"""Decision core of one instance: events in, actions out."""

from collections.abc import Callable

from endivepick.core.actions import Action, Count
from endivepick.core.catalog import Catalog
from endivepick.core.configuration import Configuration
from endivepick.core.core_settings import CoreSettings
from endivepick.core.events import (
    AttemptAnswered,
    AttemptFailed,
    CallerDatagram,
    Event,
    InstancesListed,
    ObjectsChanged,
    ObjectsListed,
    PeerMessage,
    PeerSendFailed,
    PlatformAnswered,
    PlatformCallFailed,
    Probed,
    StopRequested,
    StreamData,
    StreamEnded,
    StreamOpened,
    Tick,
)
from endivepick.core.executor import RequestExecutor
from endivepick.core.flow_owner import FlowOwner
from endivepick.core.flow_table import FlowTable, Identity
from endivepick.core.handover_exchange import HandOverExchange
from endivepick.core.handover_source import HandOverDestination, HandOverSource
from endivepick.core.lifecycle import Lifecycle, LifecycleAction
from endivepick.core.membership_peers import MembershipPeers
from endivepick.core.membership_translator import MembershipActionTranslator
from endivepick.core.packet_codec import decode_caller_packet
from endivepick.core.peer_messages import (
    Forwarded,
    HandOverMessage,
    InFlightReport,
    RelayedPacket,
    TargetDraining,
)
from endivepick.core.pending_pings import OpenPings
from endivepick.core.platform_writers import PlatformWriters
from endivepick.core.relay import Relay
from endivepick.core.roles import ServiceRoles
from endivepick.core.router import PacketRouter
from endivepick.core.status_sources import InstanceStatusSources
from endivepick.core.token import TokenCodec
from endivepick.errors import PacketInvalidError, TokenInvalidError
from endivepick.membership import InstanceView, Membership, PeerState
from endivepick.membership.peer_messages import Ack
from endivepick.records.events import ListReceived, PlatformFailed, WatchReceived
from endivepick.records.peer_messages import InstanceStatus, RecordsMessage

__all__ = ["CoreSettings", "InstanceCore"]

EXPIRY_EVERY_S = 10.0
RANDOM_RANGE = float(2**64)


class InstanceCore:
    """Everything that an instance decides.

    It has no sockets and no clock; random numbers come from ``new_id``.

    Parameters
    ----------
    settings : CoreSettings
        Settings of all parts.
    incarnation : int
        Random 64-bit number drawn at the start of the process.
    peer_address : str
        ``host:port`` that peers reach this instance at.
    new_id : callable
        Returns a random 64-bit number.
    now_s : float
        Present time, in seconds since the epoch, of a clock that never goes back.
    """

    def __init__(
        self,
        settings: CoreSettings,
        incarnation: int,
        peer_address: str,
        new_id: Callable[[], int],
        now_s: float,
    ) -> None:
        self.me = Identity(settings.name, incarnation)
        self._new_id = new_id
        self.catalog = Catalog()
        self.membership = Membership(
            settings.membership,
            InstanceView(
                settings.name,
                settings.zone,
                incarnation,
                peer_address,
                PeerState.ALIVE,
                ready=False,
            ),
            generation=int(now_s * 1000),
        )
        self._peers = MembershipPeers(self.membership)
        self._codec = TokenCodec(self.catalog.keys, settings.flow.token_lifetime_s)
        self.table = FlowTable(settings.flow, self.me, new_id)
        self.executor = RequestExecutor(settings.flow, self.table, self._random_number)
        self.owner = FlowOwner(
            settings.flow, self.table, self._codec, self.executor, self._random_number
        )
        self.relay = Relay(
            self.me,
            self._peers,
            self._codec,
            new_id,
            self.owner.renew_after_s,
            self.catalog.zones,
        )
        self.roles = ServiceRoles(
            settings.roles,
            settings.dispatch,
            settings.zone,
            self.catalog,
            self.table,
            self.executor,
            self.relay,
            self.me.name,
        )
        self._router = PacketRouter(
            self.me, self._codec, self.table, self.owner, self.relay, self.roles
        )
        self._giver = HandOverSource(
            settings.flow,
            self.table,
            self.executor,
            new_id,
            self._choose_successor,
            self.relay.is_lost,
            self.relay.is_valid_successor,
            self._somebody_joins,
            self._peers.eligible_names,
        )
        self.lifecycle = Lifecycle(
            settings.flow, self.membership, self.owner, self._giver
        )
        self.configuration = Configuration(
            settings.records,
            settings.name,
            settings.zone,
            incarnation,
            self.membership,
            self.catalog,
            self.relay,
            self.roles,
            self._begin_stop,
        )
        sources = InstanceStatusSources(
            settings.status,
            settings.name,
            settings.zone,
            incarnation,
            now_s,
            self.membership,
            self.configuration.dissemination,
            self.catalog,
            self.roles,
            self.executor,
            self.lifecycle,
        )
        self._writers = PlatformWriters(
            settings, self.membership, self.catalog, sources, self._random_number
        )
        self._members = MembershipActionTranslator(
            self._member_changed, self.roles.forget_peer, self._leave
        )
        self._exchange = HandOverExchange(
            self.me,
            self._giver,
            HandOverDestination(settings.flow, self.table, self.executor),
            self.owner,
            self.roles,
            lambda: self.lifecycle.stopping,
        )
        self._open_pings = OpenPings(settings.membership)
        self._peer_failed = False
        self._next_expiry_s = now_s + EXPIRY_EVERY_S

    @property
    def quiescent(self) -> bool:
        """Whether ticks are needed only for what is done now and then.

        They are needed soon for a probe of a peer that has no answer, after a
        failed send, and after a change among the instances.
        """
        awaited = self._open_pings or self._peer_failed
        return not (awaited or self.configuration.members_dirty)

    def _random_number(self) -> float:
        return self._new_id() / RANDOM_RANGE

    def _choose_successor(self, service: str) -> Identity | None:
        name = self.relay.reachable_owner_name(service)
        incarnation = self._peers.incarnation_of(name)
        if name == self.me.name or not incarnation:
            return None
        return Identity(name, incarnation)

    def _somebody_joins(self) -> bool:
        views = self.membership.view().values()
        return any(view.is_joining for view in views if view.name != self.me.name)

    def start(self) -> list[Action]:
        """Note that all sockets are bound."""
        return self.lifecycle.listen()

    def handle(self, event: Event, now_s: float) -> list[Action]:
        """Take one event and return what to do about it."""
        match event:
            case CallerDatagram(caller=caller, datagram=datagram):
                return self._datagram(caller, datagram, 0, now_s)
            case PeerMessage():
                return self._peer_message(event, now_s)
            case AttemptAnswered():
                return self.executor.answered(event, now_s)
            case AttemptFailed():
                return self.executor.failed(event, now_s)
            case StreamOpened():
                return self.executor.stream_opened(event)
            case StreamData():
                return self.executor.stream_data(event, now_s)
            case StreamEnded():
                return self.executor.stream_ended(event, now_s)
            case Probed(service=service, target=target, outcome=outcome):
                return self.roles.on_probed(service, target, outcome, now_s)
            case PeerSendFailed(name=name):
                self._peer_failed = True
                return self._members.translate(
                    self.membership.on_send_failure(now_s, name), now_s
                )
            case InstancesListed(entries=entries, age_s=age_s):
                self._writers.set_listed_instances(
                    frozenset(entry.name for entry in entries)
                )
                news = self.membership.on_instance_list(now_s, entries, age_s)
                return self._members.translate(news, now_s)
            case ObjectsListed(listed=listed):
                return self.configuration.handle(ListReceived(listed), now_s)
            case ObjectsChanged(result=result):
                return self.configuration.handle(WatchReceived(result), now_s)
            case PlatformAnswered(purpose=purpose, answer=answer):
                return self._writers.answered(purpose, answer, now_s)
            case PlatformCallFailed():
                return self.configuration.handle(PlatformFailed(), now_s)
            case StopRequested():
                return self._begin_stop(now_s)
            case Tick():
                return self._tick(now_s)

    def _datagram(
        self, caller: tuple[str, int], datagram: bytes, hops: int, now_s: float
    ) -> list[Action]:
        if self.catalog.keys.keyring is None:
            return [Count("packets_dropped", "not_ready")]
        try:
            packet = decode_caller_packet(datagram)
            return self._router.route(packet, caller, datagram, hops, now_s)
        except (PacketInvalidError, TokenInvalidError) as error:
            return [Count("packets_dropped", error.reason)]

    def _peer_message(self, event: PeerMessage, now_s: float) -> list[Action]:
        sender = Identity(event.sender, event.incarnation)
        match event.message:
            case RelayedPacket(caller=caller, hops=hops, datagram=datagram):
                return self._datagram(caller, datagram, hops, now_s)
            case InFlightReport():
                return self.roles.on_report(sender.name, event.message, now_s)
            case TargetDraining():
                return self.roles.on_draining_note(sender.name, event.message, now_s)
            case InstanceStatus():
                self._writers.record_instance_status(sender.name, event.message, now_s)
                return []
            case message if isinstance(message, HandOverMessage | Forwarded):
                return self._exchange.on_message(sender, message, now_s)
            case message if isinstance(message, RecordsMessage):
                return self.configuration.handle(event, now_s)
            case _:
                return self._membership_message(event, now_s)

    def _membership_message(self, event: PeerMessage, now_s: float) -> list[Action]:
        if isinstance(event.message, Ack):
            self._open_pings.answered(event.sender, event.message)
        news = self.membership.on_message(
            now_s, event.sender, event.incarnation, event.message
        )
        actions = self._members.translate(news, now_s)
        self._open_pings.sent(actions, now_s)
        return actions

    def _leave(self, now_s: float) -> list[LifecycleAction]:
        self.configuration.members_dirty = True
        return self.lifecycle.begin_stop(now_s)

    def _begin_stop(self, now_s: float) -> list[Action]:
        return self._members.translate(self._leave(now_s), now_s)

    def _member_changed(self, now_s: float) -> list[Action]:
        # A lost zone brings hundreds of these: the next tick acts on all at once.
        self.configuration.members_dirty = True
        self.roles.review_soon()
        return []

    def _tick(self, now_s: float) -> list[Action]:
        translate = self._members.translate
        actions = translate(self.membership.tick(now_s, self._new_id()), now_s)
        self._peer_failed = False
        self._open_pings.prune(now_s)
        self._open_pings.sent(actions, now_s)
        actions += self.configuration.tick(self._random_number(), now_s)
        actions += self._writers.tick(now_s)
        readiness = self.lifecycle.check_ready(self._missing(), now_s)
        actions += translate(readiness, now_s)
        actions += self.roles.tick(now_s)
        actions += self.owner.tick(now_s)
        actions += translate(self.lifecycle.tick(now_s), now_s)
        if now_s >= self._next_expiry_s:
            self._next_expiry_s = now_s + EXPIRY_EVERY_S
            for flow in self.table.expire(now_s):
                self.executor.unregister_flow(flow, now_s)
        return actions

    def _missing(self) -> str:
        """Return what keeps this instance from being ready."""
        if self.configuration.not_ready_reason:
            return self.configuration.not_ready_reason
        return "" if self.membership.joined else "no peer has answered yet"

"""Decision core of one instance: events in, actions out."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from endivepick.core.actions import (
    Action,
    Count,
    Log,
    SendToPeer,
    StopPlatformWatch,
    WatchPlatform,
)
from endivepick.core.catalog import Catalog
from endivepick.core.codec import decode_caller_packet
from endivepick.core.dispatch import DispatchSettings
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
    PlatformCallFailed,
    Probed,
    StopRequested,
    StreamData,
    StreamEnded,
    StreamOpened,
    Tick,
)
from endivepick.core.executor import RequestExecutor
from endivepick.core.flow_table import FlowTable, Identity
from endivepick.core.handover import HandOverGiver, HandOverTaker
from endivepick.core.handover_exchange import HandOverExchange
from endivepick.core.lifecycle import Lifecycle
from endivepick.core.owner import FlowOwner
from endivepick.core.peer_messages import (
    Forwarded,
    HandOverMessage,
    InFlightReport,
    RelayedPacket,
    TargetDraining,
)
from endivepick.core.peers import MembershipPeers
from endivepick.core.relay import Relay
from endivepick.core.roles import RoleSettings, ServiceRoles
from endivepick.core.router import PacketRouter
from endivepick.core.settings import FlowSettings
from endivepick.core.token import TokenCodec
from endivepick.errors import PacketInvalidError, TokenInvalidError
from endivepick.membership import Action as MembershipAction
from endivepick.membership import (
    InstanceView,
    LeaveRequested,
    Membership,
    MembershipSettings,
    PeerChanged,
    PeerState,
    Send,
    Superseded,
)
from endivepick.membership import Log as MembershipLog
from endivepick.records.cache import Change, RecordCache
from endivepick.records.dissemination import Dissemination
from endivepick.records.events import (
    ConfigurationReady,
    DisseminationEvent,
    ListReceived,
    MembersChanged,
    PlatformFailed,
    RecordsChanged,
    RefusedChanged,
    StartWatch,
    StopWatch,
    WatchReceived,
)
from endivepick.records.events import Tick as RecordsTick
from endivepick.records.peer_messages import RecordsMessage, RefusedRecord
from endivepick.records.settings import DisseminationSettings

__all__ = ["CoreSettings", "InstanceCore"]

EXPIRY_EVERY_S = 10.0
RANDOM_RANGE = float(2**64)


@dataclass(frozen=True)
class CoreSettings:
    """Settings of the decision core.

    Attributes
    ----------
    name, zone : str
        Name and availability zone of this instance.
    flow : FlowSettings
        How flows are kept.
    roles : RoleSettings
        How services are looked after.
    dispatch : DispatchSettings
        How requests are placed.
    membership : MembershipSettings
        How peers are watched.
    records : DisseminationSettings
        How records spread.
    """

    name: str
    zone: str
    flow: FlowSettings = field(default_factory=FlowSettings)
    roles: RoleSettings = field(default_factory=RoleSettings)
    dispatch: DispatchSettings = field(default_factory=DispatchSettings)
    membership: MembershipSettings = field(default_factory=MembershipSettings)
    records: DisseminationSettings = field(default_factory=DisseminationSettings)


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
        self.cache = RecordCache()
        self.dissemination = Dissemination(
            settings.records, settings.name, settings.zone, self.cache
        )
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
        self._relay = Relay(
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
            self._relay.owner_name,
            self.me.name,
        )
        self._router = PacketRouter(
            self.me, self._codec, self.table, self.owner, self._relay, self.roles
        )
        self._giver = HandOverGiver(
            settings.flow,
            self.table,
            self.executor,
            new_id,
            self._choose_successor,
            self._relay.is_lost,
            self._relay.takes_flows,
            self._somebody_joins,
            self._peers.ready_names,
        )
        self.lifecycle = Lifecycle(
            settings.flow, self.membership, self.owner, self._giver
        )
        self._exchange = HandOverExchange(
            self.me,
            self._giver,
            HandOverTaker(settings.flow, self.table, self.executor),
            self.owner,
            self.roles,
            lambda: self.lifecycle.stopping,
        )
        self._next_expiry_s = now_s + EXPIRY_EVERY_S
        self._members_dirty = True
        self._refused: tuple[RefusedRecord, ...] = ()

    def _random_number(self) -> float:
        return self._new_id() / RANDOM_RANGE

    def _choose_successor(self, service: str) -> Identity | None:
        name = self._relay.reachable_owner_name(service)
        incarnation = self._peers.incarnation_of(name)
        if name == self.me.name or not incarnation:
            return None
        return Identity(name, incarnation)

    def _somebody_joins(self) -> bool:
        views = self.membership.view().values()
        return any(view.joining for view in views if view.name != self.me.name)

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
                return self._plain(self.membership.direct_failure(now_s, name), now_s)
            case InstancesListed(entries=entries, age_s=age_s):
                news = self.membership.on_list(now_s, entries, age_s)
                return self._plain(news, now_s)
            case ObjectsListed(listed=listed):
                return self._disseminate(ListReceived(listed), now_s)
            case ObjectsChanged(result=result):
                return self._disseminate(WatchReceived(result), now_s)
            case PlatformCallFailed():
                return self._disseminate(PlatformFailed(), now_s)
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
                return self.roles.on_draining_note(event.message, now_s)
            case message if isinstance(message, HandOverMessage | Forwarded):
                return self._exchange.on_message(sender, message, now_s)
            case message if isinstance(message, RecordsMessage):
                return self._disseminate(event, now_s)
            case _:
                news = self.membership.on_message(
                    now_s, event.sender, event.incarnation, event.message
                )
                return self._plain(news, now_s)

    def _disseminate(self, event: DisseminationEvent, now_s: float) -> list[Action]:
        """Let the configuration's part take an event, and act on its decisions."""
        actions: list[Action] = []
        for decision in self.dissemination.handle(event, now_s):
            match decision:
                case SendToPeer():
                    actions.append(decision)
                case StartWatch(after=after):
                    actions.append(WatchPlatform(after))
                case StopWatch():
                    actions.append(StopPlatformWatch())
                case RecordsChanged(changes=changes):
                    actions += self._records_changed(changes, now_s)
                case ConfigurationReady(revision=revision):
                    text = "configuration is as new as any reachable source's"
                    ids = {"revision": revision}
                    actions.append(Log("records", "configuration_ready", text, ids))
        return actions

    def _records_changed(
        self, changes: tuple[Change, ...], now_s: float
    ) -> list[Action]:
        changed, actions = self.catalog.apply(changes)
        for service in changed:
            self._relay.record_changed(service)
            actions += self.roles.record_changed(service, now_s)
        if changed:
            actions += self.roles.review(now_s)
        refused = self.catalog.book.refused
        if refused != self._refused:
            self._refused = refused
            actions += self._disseminate(RefusedChanged(refused), now_s)
        return actions

    def _begin_stop(self, now_s: float) -> list[Action]:
        self._members_dirty = True
        return self._plain(self.lifecycle.begin_stop(now_s), now_s)

    def _tick(self, now_s: float) -> list[Action]:
        actions = self._plain(self.membership.tick(now_s, self._new_id()), now_s)
        actions += self._members_changed(now_s)
        actions += self._disseminate(RecordsTick(self._random_number()), now_s)
        readiness = self.lifecycle.check_ready(self._missing(), now_s)
        actions += self._plain(readiness, now_s)
        actions += self.roles.tick(now_s)
        actions += self.owner.tick(now_s)
        actions += self._plain(self.lifecycle.tick(now_s), now_s)
        if now_s >= self._next_expiry_s:
            self._next_expiry_s = now_s + EXPIRY_EVERY_S
            self.table.expire(now_s)
        return actions

    def _members_changed(self, now_s: float) -> list[Action]:
        """Tell the configuration's part whom it can spread to."""
        if not self._members_dirty:
            return []
        self._members_dirty = False
        view = self.membership.view()
        peers = tuple(view[name] for name in sorted(view) if name != self.me.name)
        own_state = view[self.me.name].state
        return self._disseminate(MembersChanged(peers, own_state), now_s)

    def _missing(self) -> str:
        """Return what keeps this instance from being ready."""
        if not self.dissemination.ready:
            return "no configuration as new as the peers' yet"
        if self.catalog.keys.keyring is None:
            return "no keyring yet"
        if not self.membership.joined:
            return "no peer has answered yet"
        return ""

    def _plain(
        self, actions: Iterable[Action | MembershipAction], now_s: float
    ) -> list[Action]:
        """Convert the membership's actions among others."""
        plain: list[Action] = []
        for action in actions:
            plain += self._convert(action, now_s)
        return plain

    def _follow(
        self, actions: Iterable[MembershipAction], now_s: float
    ) -> list[Action]:
        return self._plain(actions, now_s)

    def _convert(self, action: Action | MembershipAction, now_s: float) -> list[Action]:
        match action:
            case Send(to_name=to_name, message=message):
                return [SendToPeer(to_name, message)]
            case PeerChanged(old=old, new=new):
                return self._peer_changed(old, new, now_s)
            case LeaveRequested() | Superseded():
                return self._begin_stop(now_s)
            case MembershipLog(text=text, peer=peer):
                return [Log("membership", "membership", text, {"peer": peer})]
            case _:
                return [action]

    def _peer_changed(
        self, old: InstanceView | None, new: InstanceView | None, now_s: float
    ) -> list[Action]:
        self._members_dirty = True
        view = new or old
        assert view is not None
        state = new.state.value if new else "forgotten"
        log = Log(
            "membership",
            "peer_changed",
            f"peer is {state}",
            {"peer": view.name, "incarnation": view.incarnation, "state": state},
        )
        return [log, *self.roles.review(now_s)]

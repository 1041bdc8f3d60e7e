"""One instance of the model: the real parts of the decision core.

Each handling of an event works on a copy, so that a state can be left in several
ways; the outcome is remembered for each pair of state and event.
"""

from collections.abc import Callable, Hashable
from dataclasses import dataclass, field
from typing import Any

from endivepick.core.actions import (
    Action,
    SendToCaller,
)
from endivepick.core.dispatch import FinishKind
from endivepick.core.events import AttemptAnswered, AttemptFailed
from endivepick.core.executor import RequestExecutor
from endivepick.core.flow_owner import FlowOwner
from endivepick.core.flow_table import FlowTable, Identity
from endivepick.core.handover_destination import HandOverDestination
from endivepick.core.handover_source import HandOverSource
from endivepick.core.keyring import first_keyring
from endivepick.core.messages import (
    Opened,
)
from endivepick.core.packet_codec import decode_caller_packet, decode_struct
from endivepick.core.peer_messages import HandOver, HandOverAccepted, HandOverRefused
from endivepick.core.relay import Relay
from endivepick.core.router import PacketRouter
from endivepick.core.settings import FlowSettings
from endivepick.core.token import TokenCodec
from endivepick.model._environment import (
    ZONE,
    AllServices,
    ChoiceDispatcher,
    ChoicePeers,
)
from endivepick.model._events import (
    Ended,
    Event,
    Forget,
    Give,
    Packet,
    Peer,
    Stop,
    TimeUp,
    Turn,
)
from endivepick.model._freeze import freeze

__all__ = ["CODEC", "NOW_S", "Node", "Parts"]

SERVICE = "notes"
CALLER = ("127.0.0.1", 1)
NOW_S = 0.0
LATER_S = 1000.0
"""Time at which closed and unused flows are forgotten; tokens are still valid."""
SETTINGS = FlowSettings(hand_over_retry_s=0.0)
CODEC = TokenCodec(first_keyring(bytes(32), NOW_S), SETTINGS.token_lifetime_s)


@dataclass(frozen=True)
class Parts:
    """Classes that an instance is built of; a mutation replaces one."""

    table: Callable[..., FlowTable] = FlowTable
    owner: Callable[..., FlowOwner] = FlowOwner
    executor: Callable[..., RequestExecutor] = RequestExecutor
    relay: Callable[..., Relay] = Relay
    router: Callable[..., PacketRouter] = PacketRouter
    giver: Callable[..., HandOverSource] = HandOverSource
    taker: Callable[..., HandOverDestination] = HandOverDestination


@dataclass
class _Ids:
    """Numbers that differ between instances and incarnations."""

    next_id: int

    def __call__(self) -> int:
        self.next_id += 1
        return self.next_id


@dataclass
class _HandOverChoice:
    successor: Identity | None = None
    dead: bool = False

    def choose_successor(self, service: str) -> Identity | None:
        return self.successor

    def is_dead(self, identity: Identity) -> bool:
        return self.dead


@dataclass
class Node:
    """The decision core of one instance.

    Parameters
    ----------
    me : Identity
        Name and incarnation.
    parts : Parts
        Classes that it is built of.
    """

    me: Identity
    parts: Parts
    _hand_over: _HandOverChoice = field(default_factory=_HandOverChoice)

    def __post_init__(self) -> None:
        parts, ids = self.parts, _Ids(1000 * self.me.incarnation)
        self._ids = ids
        self.peers = ChoicePeers(self.me)
        self.dispatcher = ChoiceDispatcher()
        self.table = parts.table(SETTINGS, self.me, ids, unused_max=0)
        # When it last looked for expired tokens must not tell states apart.
        self.table.expire(LATER_S)
        self._executor = parts.executor(SETTINGS, self.table, _no_chance)
        self._executor.dispatchers[SERVICE] = self.dispatcher  # type: ignore[assignment]
        self.owner = parts.owner(
            SETTINGS, self.table, CODEC, self._executor, _no_chance
        )
        relay = parts.relay(self.me, self.peers, CODEC, ids, 1.0, _no_zones)
        self._router = parts.router(
            self.me, CODEC, self.table, self.owner, relay, AllServices()
        )
        self.giver = parts.giver(
            settings=SETTINGS,
            table=self.table,
            executor=self._executor,
            new_id=ids,
            choose_successor=self._hand_over.choose_successor,
            is_dead=self._hand_over.is_dead,
        )
        self._taker = parts.taker(SETTINGS, self.table, self._executor)

    def frozen(self) -> Hashable:
        """Return a picture of everything that later behaviour depends on."""
        seen_once = (FlowSettings, ChoiceDispatcher, FlowTable, RequestExecutor)
        return (
            self.me,
            freeze(self.table),
            freeze(vars(self._executor), skip=seen_once),
            freeze(self.dispatcher.pending),
            freeze(self.giver, skip=seen_once),
            freeze(self._taker, skip=seen_once),
            self.owner.leaving,
            self._ids.next_id,
        )

    def open_flow(self) -> Opened:
        """Open the flow that the model follows."""
        actions = self.owner.open_flow(SERVICE, 1, CALLER, NOW_S)
        [sent] = [action for action in actions if isinstance(action, SendToCaller)]
        assert isinstance(sent.packet, Opened)
        return sent.packet

    def handle(self, event: Event) -> list[Action]:
        """Take one event."""
        match event:
            case Packet(datagram=datagram, view=view, placement=placement):
                self.peers.believe(view)
                self.dispatcher.choose(placement)
                return self._packet(datagram)
            case Ended(placement=placement):
                self.dispatcher.choose(placement)
                return self._ended(event)
            case Turn(request_id=request_id, placement=placement):
                self.dispatcher.choose(placement)
                decisions = self.dispatcher.turn(request_id)
                return self._executor.apply_decisions(decisions, NOW_S)
            case Stop():
                self.owner.begin_leaving(NOW_S, 0.0)
                return []
            case Give(successor=successor, dead=dead):
                self._hand_over.successor = successor
                self._hand_over.dead = dead
                return self.giver.tick(NOW_S)
            case Peer(successor=successor, placement=placement):
                self._hand_over.successor = successor
                self.dispatcher.choose(placement)
                return self._peer(event)
            case TimeUp(successor=successor):
                self._hand_over.successor = successor
                return self.giver.abort_running()
            case Forget():
                self.table.expire(LATER_S)
                return []

    def _packet(self, datagram: bytes) -> list[Action]:
        packet = decode_caller_packet(datagram)
        return self._router.route(packet, CALLER, datagram, 0, NOW_S)

    def _ended(self, event: Ended) -> list[Action]:
        request_id, attempt = event.request_id, event.attempt
        if event.kind is FinishKind.OK:
            answer = AttemptAnswered(request_id, attempt, 200, [], b"", 0.0)
            return self._executor.answered(answer, NOW_S)
        failed = AttemptFailed(request_id, attempt, event.kind, 0.0)
        return self._executor.failed(failed, NOW_S)

    def _peer(self, event: Peer) -> list[Action]:
        message: Any = decode_struct(event.data, event.kind)
        match message:
            case HandOver():
                leaving = self.owner.leaving
                flows, actions = self._taker.receive_transfer(
                    event.sender, message, leaving, NOW_S
                )
                told = [self.owner.reissue(flow, NOW_S) for flow in flows]
                return told + actions
            case HandOverAccepted(transfer_id=transfer_id):
                return self.giver.accepted(event.sender, transfer_id)
            case HandOverRefused(transfer_id=transfer_id):
                return self.giver.refused(event.sender, transfer_id, NOW_S)
        return []


def _no_zones(service: str) -> frozenset[str]:
    return frozenset()


def _no_chance() -> float:
    return 0.5


def _zones_of(service: str) -> frozenset[str]:
    return frozenset([ZONE])

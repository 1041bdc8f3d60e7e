"""Slopes of the decision core, driven directly: flows, packets and targets."""

import time
from collections.abc import Callable, Iterator, Sequence
from itertools import count

import msgspec

from endivepick.bench._fleet import PLANNED_FLEET
from endivepick.bench._simulated_node import TICK_S, SimulatedNode
from endivepick.bench._slopes import Measured, measure, traced
from endivepick.core.actions import Action, SendToCaller, SendToPeer, StartAttempt
from endivepick.core.dispatch import (
    DispatchSettings,
    FinishKind,
    ProbeResult,
    RequestIntent,
    ServiceDispatcher,
    TargetHealth,
)
from endivepick.core.events import (
    AttemptAnswered,
    CallerDatagram,
    PeerMessage,
    StopRequested,
    Tick,
)
from endivepick.core.instance import EXPIRY_EVERY_S
from endivepick.core.keyring import Keyring, TokenKey, keyring_to_body
from endivepick.core.messages import (
    Acknowledge,
    CallerAddress,
    CallerPacket,
    FlowClosed,
    Open,
    Opened,
    Renew,
    RequestHead,
    RequestPart,
)
from endivepick.core.packet_codec import encode_packet, encode_struct
from endivepick.core.peer_messages import HandOver, HandOverAccepted, RelayedPacket
from endivepick.core.token import FlowToken, TokenCodec
from endivepick.records.model import Affinity, ServiceRecord, TargetRecord

__all__ = [
    "measure_closed",
    "measure_dispatcher",
    "measure_flows",
    "measure_memory",
    "measure_packets",
    "measure_tokens",
]

FLOW_SIZES = (1_000, 4_000, 16_000, 64_000)
MEMORY_SIZES = (500, 1_000, 2_000, 4_000)
CLOSED_SIZES = (1_000, 2_000, 4_000, 8_000)
EXPIRIES = 360
"""Expiries over which the time of one is averaged: an hour, a round over all flows."""
SETTLED_S = 120.0
"""Age of a closed flow of which nothing more is heard, in seconds."""
PACKET_FLEETS = (8, 64, 512, 2_048)
TARGET_SIZES = (2, 8, 32, 128)
KEY_SIZES = (1, 4, 16, 64)
PACKETS = 1_000
_CALLER = ("10.1.2.3", 40_000)
_HEAD = encode_struct(RequestHead("POST", "/notes", [("Accept", "*/*")], bytes(200)))
_US = 1e6


def _timed_us(call: Callable[[], object], times: int) -> float:
    """Return the processor time of one call, in microseconds."""
    started_s = time.process_time()
    for _ in range(times):
        call()
    return (time.process_time() - started_s) / times * _US


def _caller(number: int) -> CallerAddress:
    return f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}", 40_000


def _answers(actions: list[Action]) -> list[bytes]:
    """Encode what goes to the caller, as the daemon does."""
    return [encode_packet(a.packet) for a in actions if isinstance(a, SendToCaller)]


class _OwnerNode:
    """One instance that owns a service with ready targets."""

    def __init__(self, instances: int = 8) -> None:
        self.node = SimulatedNode(PLANNED_FLEET.scaled(instances))
        self.node.join()
        self.core = self.node.core
        self.service = self._own_service()

    def _own_service(self) -> str:
        names = [name for name, _ in self.core.catalog.versions()]
        service = next(iter(self.core.roles.owned), names[0])
        self.core.roles.activate(service, self.node.now_s)
        dispatcher = self.core.executor.dispatchers[service]
        ready = ProbeResult(TargetHealth.READY, service, 7, slots=2)
        for target in dispatcher.record.targets:
            dispatcher.on_probe(target.name, self.node.now_s, ready)
        return service

    def send(self, packet: CallerPacket, caller: CallerAddress) -> list[Action]:
        """Give the core a packet that another instance relayed to it."""
        relayed = RelayedPacket(caller, 1, encode_packet(packet))
        peer = self.node.get_member_update(1)
        event = PeerMessage(peer.name, peer.incarnation, relayed)
        return self.core.handle(event, self.node.now_s)

    def receive(self, packet: CallerPacket) -> list[Action]:
        """Give the core a packet that the fabric handed to it."""
        datagram = encode_packet(packet)
        return self.core.handle(CallerDatagram(_CALLER, datagram), self.node.now_s)

    def open(self, number: int = 1) -> bytes:
        """Open a flow and return its token."""
        actions = self.send(Open(number, self.service), _caller(number))
        return next(
            action.packet.token
            for action in actions
            if isinstance(action, SendToCaller) and isinstance(action.packet, Opened)
        )

    def foreign_token(self) -> bytes:
        """Return a token of a flow that another instance owns."""
        peer = self.node.get_member_update(1)
        token = FlowToken(
            self.service, 1, 2, peer.name, peer.incarnation, "", int(self.node.now_s)
        )
        codec = TokenCodec(self.core.catalog.keys, 86_400.0)
        return codec.seal(token)

    def request(self, token: bytes, seq: int, number: int = 1) -> None:
        """Run one request from its only part to the acknowledged answer."""
        part = RequestPart(token, seq, 0, 1, False, 10_000, _HEAD)
        actions = self.send(part, _caller(number))
        _answers(actions)
        start = next(a for a in actions if isinstance(a, StartAttempt))
        answered = AttemptAnswered(
            start.request_id, start.attempt, 200, [], bytes(300), 0.01
        )
        _answers(self.core.handle(answered, self.node.now_s))
        done = Acknowledge(token, seq, 2, [], 64, True)
        _answers(self.send(done, _caller(number)))


def _memory_once(flows: int) -> dict[str, float]:
    owner = _OwnerNode()
    owner.open()
    with traced() as unused:
        for number in range(flows):
            owner.open(number)
    owner = _OwnerNode()
    owner.request(owner.open(), 1)
    with traced() as used:
        for number in range(flows):
            owner.request(owner.open(number), 1, number)
    return {
        "flow_unused_bytes": float(unused.held),
        "flow_used_bytes": float(used.held),
    }


def measure_memory(sizes: Sequence[int] = MEMORY_SIZES) -> dict[str, Measured]:
    """Measure the memory of flows, before and after a request."""
    units = {"flow_unused_bytes": "B", "flow_used_bytes": "B"}
    return measure("flow", sizes, units, _memory_once, repeats=2)


def _expire_us(owner: _OwnerNode) -> float:
    """Return the processor time of one expiry, in microseconds."""
    table, now_s = owner.core.table, owner.node.now_s
    table.expire(now_s)
    late_s = count(now_s + EXPIRY_EVERY_S, EXPIRY_EVERY_S)
    return _timed_us(lambda: table.expire(next(late_s)), EXPIRIES)


def _closed_in_turn(flows: int, times: int) -> tuple[_OwnerNode, int]:
    """Return an owner of flows that were closed in turn, and the memory they hold."""
    owner = _OwnerNode()
    owner.request(owner.open(), 1)
    with traced() as held:
        for _ in range(times):
            _use_and_close(owner, flows)
    return owner, held.held


def _use_and_close(owner: _OwnerNode, flows: int) -> None:
    """Open flows, send a request on each, close them, and let some time pass."""
    for number in range(flows):
        token = owner.open(number)
        owner.request(token, 1, number)
        owner.send(FlowClosed(token), _caller(number))
    owner.node.now_s += SETTLED_S
    owner.core.table.expire(owner.node.now_s)


def _closed_once(flows: int) -> dict[str, float]:
    # Tables keep the room of as many flows as were there at once: this is what
    # further flows add that come after those have gone.
    _, once_bytes = _closed_in_turn(flows, 1)
    owner, twice_bytes = _closed_in_turn(flows, 2)
    return {
        "closed_flow_bytes": float(twice_bytes - once_bytes),
        "closed_flows_kept": float(len(owner.core.table)),
        "closed_expire_us": _expire_us(owner),
    }


def measure_closed(sizes: Sequence[int] = CLOSED_SIZES) -> dict[str, Measured]:
    """Measure what flows cost that were used and closed two minutes ago."""
    units = {
        "closed_flow_bytes": "B",
        "closed_flows_kept": "flows",
        "closed_expire_us": "us",
    }
    return measure("flow", sizes, units, _closed_once, repeats=2)


def _flows_once(flows: int) -> dict[str, float]:
    owner = _OwnerNode()
    for number in range(flows):
        owner.open(number)
    for flow in owner.core.table:
        flow.window.claim(1)
    core, now_s = owner.core, owner.node.now_s
    later_s = count(1)
    return {
        "sweep_us": _timed_us(lambda: core.owner.tick(now_s + next(later_s)), 3),
        "expire_us": _expire_us(owner),
        **_hand_over(owner, flows),
    }


def _hand_over(owner: _OwnerNode, flows: int) -> dict[str, float]:
    """Stop the instance and take its flows over at a made-up peer."""
    node = owner.node
    node.reset()
    waiting = node.handle(StopRequested())
    moved = 0
    while moved < flows:
        for action in _handed_over(waiting):
            moved += len(action.message.flows)
            accepted = HandOverAccepted(action.message.transfer_id)
            waiting += node.answer(action.name, accepted)
        node.now_s += TICK_S
        waiting = node.handle(Tick())
    return {
        "hand_over_us": node.busy_s * _US,
        "hand_over_stall_us": node.longest_s * _US,
        "hand_over_bytes": float(node.sent_bytes["HandOver"]),
    }


def _handed_over(actions: list[Action]) -> Iterator[SendToPeer]:
    """Yield the hand-overs, those too that are added while iterating."""
    for action in actions:
        if isinstance(action, SendToPeer) and isinstance(action.message, HandOver):
            yield action


def measure_flows(sizes: Sequence[int] = FLOW_SIZES) -> dict[str, Measured]:
    """Measure sweeps, expiry and hand-over against the flows held."""
    units = {
        "sweep_us": "us",
        "expire_us": "us",
        "hand_over_us": "us",
        "hand_over_stall_us": "us",
        "hand_over_bytes": "B",
    }
    return measure("flow", sizes, units, _flows_once)


def _packets_once(instances: int) -> dict[str, float]:
    owner = _OwnerNode(instances)
    own = owner.open()
    other = owner.foreign_token()
    seq = count(1)
    return {
        "relay_us": _timed_us(lambda: owner.receive(Renew(other)), PACKETS),
        "renew_us": _timed_us(
            lambda: _answers(owner.send(Renew(own), _CALLER)), PACKETS
        ),
        "open_us": _timed_us(lambda: owner.open(), PACKETS),
        "request_us": _timed_us(lambda: owner.request(own, next(seq)), PACKETS),
    }


def measure_packets(sizes: Sequence[int] = PACKET_FLEETS) -> dict[str, Measured]:
    """Measure processor time of packets against the instances of the fleet.

    Times are those of the core with decoding and encoding, without sockets.
    """
    names = ("relay_us", "renew_us", "open_us", "request_us")
    return measure("instance", sizes, dict.fromkeys(names, "us"), _packets_once)


def _record(targets: int) -> ServiceRecord:
    return ServiceRecord(
        "notes",
        1,
        2,
        "",
        Affinity.REQUEST,
        tuple(
            TargetRecord(f"t{n}", f"zone-{n % 3}", f"10.0.0.{n}:80", 2, 2000)
            for n in range(targets)
        ),
    )


def _dispatcher_once(targets: int) -> dict[str, float]:
    ready = ProbeResult(TargetHealth.READY, "notes", 7, slots=2)
    record = _record(targets)
    with traced() as held:
        dispatcher = ServiceDispatcher(DispatchSettings(), record, "zone-0", 0.0)
        for target in record.targets:
            dispatcher.on_probe(target.name, 0.0, ready)
    now_s = 100.0
    numbers = count()

    def request() -> None:
        number = next(numbers)
        intent = RequestIntent(number, "", deadline_at_s=now_s + 10, idempotent=False)
        dispatcher.submit(intent, now_s, 0.5)
        dispatcher.finished(number, now_s, FinishKind.OK, 0.01)

    return {
        "target_bytes": float(held.held),
        "dispatch_request_us": _timed_us(request, PACKETS),
        "dispatch_tick_us": _timed_us(lambda: dispatcher.tick(now_s), PACKETS),
        "dispatch_probe_us": _timed_us(
            lambda: dispatcher.on_probe("t0", now_s, ready), PACKETS
        ),
    }


def measure_dispatcher(sizes: Sequence[int] = TARGET_SIZES) -> dict[str, Measured]:
    """Measure the dispatcher of one service against its targets."""
    units = {
        "target_bytes": "B",
        "dispatch_request_us": "us",
        "dispatch_tick_us": "us",
        "dispatch_probe_us": "us",
    }
    return measure("target", sizes, units, _dispatcher_once)


def _tokens_once(keys: int) -> dict[str, float]:
    secrets = {n: TokenKey(n, bytes([n]) * 32, 0.0) for n in range(1, keys + 1)}
    with traced() as held:
        keyring = Keyring(keys, dict(secrets))
    codec = TokenCodec(keyring, 86_400.0)
    token = FlowToken("service-00001", 2**63, 2**62, "entry-00001", 2**63, "t-1", 100)
    sealed = codec.seal(token)
    return {
        "keyring_bytes": float(len(msgspec.json.encode(keyring_to_body(keyring)))),
        "keyring_held_bytes": float(held.held),
        "seal_us": _timed_us(lambda: codec.seal(token), PACKETS),
        "unseal_us": _timed_us(lambda: codec.unseal(sealed, 200.0), PACKETS),
    }


def measure_tokens(sizes: Sequence[int] = KEY_SIZES) -> dict[str, Measured]:
    """Measure the keyring against the keys that it holds."""
    units = {
        "keyring_bytes": "B",
        "keyring_held_bytes": "B",
        "seal_us": "us",
        "unseal_us": "us",
    }
    return measure("key", sizes, units, _tokens_once)

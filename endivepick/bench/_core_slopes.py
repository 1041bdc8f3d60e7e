"""Costs of the instance core by flows, packets and targets, without sockets."""

import time
from collections.abc import Callable, Iterator, Sequence
from itertools import count

import msgspec

from endivepick.bench._fleet import PLANNED_FLEET
from endivepick.bench._simulated_node import TICK_S, SimulatedNode
from endivepick.bench._slopes import Measurement, measure, trace_memory
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
"""Expiry calls that are averaged: one hour, which is one pass over all flows."""
CLOSED_AGE_S = 120.0
"""Age of a closed flow that receives no more packets, in seconds."""
PACKET_FLEETS = (8, 64, 512, 2_048)
TARGET_SIZES = (2, 8, 32, 128)
KEY_SIZES = (1, 4, 16, 64)
PACKETS = 1_000
_CALLER = ("10.1.2.3", 40_000)
_HEAD = encode_struct(RequestHead("POST", "/notes", [("Accept", "*/*")], bytes(200)))
_US = 1e6


def _time_us(call: Callable[[], object], times: int) -> float:
    """Return the mean processor time of a call, in microseconds."""
    started_s = time.process_time()
    for _ in range(times):
        call()
    return (time.process_time() - started_s) / times * _US


def _make_caller_address(number: int) -> CallerAddress:
    return f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}", 40_000


def _encode_answers(actions: list[Action]) -> list[bytes]:
    """Encode the packets for callers, as the daemon does."""
    return [encode_packet(a.packet) for a in actions if isinstance(a, SendToCaller)]


class _OwnerNode:
    """Instance that owns a service whose targets are ready."""

    def __init__(self, instances: int = 8) -> None:
        self.node = SimulatedNode(PLANNED_FLEET.scaled(instances))
        self.node.join()
        self.core = self.node.core
        self.service = self._activate_service()

    def _activate_service(self) -> str:
        names = [name for name, _ in self.core.catalog.versions()]
        service = next(iter(self.core.roles.owned), names[0])
        self.core.roles.activate(service, self.node.now_s)
        dispatcher = self.core.executor.dispatchers[service]
        ready = ProbeResult(TargetHealth.READY, service, 7, slots=2)
        for target in dispatcher.record.targets:
            dispatcher.on_probe(target.name, self.node.now_s, ready)
        return service

    def relay_packet(self, packet: CallerPacket, caller: CallerAddress) -> list[Action]:
        """Pass a packet relayed by another instance to the core."""
        relayed = RelayedPacket(caller, 1, encode_packet(packet))
        peer = self.node.get_member_update(1)
        event = PeerMessage(peer.name, peer.incarnation, relayed)
        return self.core.handle(event, self.node.now_s)

    def handle_packet(self, packet: CallerPacket) -> list[Action]:
        """Pass a packet delivered by the fabric to the core."""
        datagram = encode_packet(packet)
        return self.core.handle(CallerDatagram(_CALLER, datagram), self.node.now_s)

    def open_flow(self, number: int = 1) -> bytes:
        """Open a flow and return its token."""
        actions = self.relay_packet(
            Open(number, self.service), _make_caller_address(number)
        )
        return next(
            action.packet.token
            for action in actions
            if isinstance(action, SendToCaller) and isinstance(action.packet, Opened)
        )

    def make_foreign_token(self) -> bytes:
        """Return a token of a flow owned by another instance."""
        peer = self.node.get_member_update(1)
        token = FlowToken(
            self.service, 1, 2, peer.name, peer.incarnation, "", int(self.node.now_s)
        )
        codec = TokenCodec(self.core.catalog.keys, 86_400.0)
        return codec.seal(token)

    def run_request(self, token: bytes, seq: int, number: int = 1) -> None:
        """Run a request of one part until its answer is acknowledged."""
        part = RequestPart(token, seq, 0, 1, False, 10_000, _HEAD)
        actions = self.relay_packet(part, _make_caller_address(number))
        _encode_answers(actions)
        start = next(a for a in actions if isinstance(a, StartAttempt))
        answered = AttemptAnswered(
            start.request_id, start.attempt, 200, [], bytes(300), 0.01
        )
        _encode_answers(self.core.handle(answered, self.node.now_s))
        done = Acknowledge(token, seq, 2, [], 64, True)
        _encode_answers(self.relay_packet(done, _make_caller_address(number)))


def _measure_memory_at(flows: int) -> dict[str, float]:
    owner = _OwnerNode()
    owner.open_flow()
    with trace_memory() as unused:
        for number in range(flows):
            owner.open_flow(number)
    owner = _OwnerNode()
    owner.run_request(owner.open_flow(), 1)
    with trace_memory() as used:
        for number in range(flows):
            owner.run_request(owner.open_flow(number), 1, number)
    return {
        "flow_unused_bytes": float(unused.retained_bytes),
        "flow_used_bytes": float(used.retained_bytes),
    }


def measure_memory(sizes: Sequence[int] = MEMORY_SIZES) -> dict[str, Measurement]:
    """Measure the memory of flows without and with a request."""
    units = {"flow_unused_bytes": "B", "flow_used_bytes": "B"}
    return measure("flow", sizes, units, _measure_memory_at, repeats=2)


def _expire_us(owner: _OwnerNode) -> float:
    """Return the mean processor time of an expiry call, in microseconds."""
    table, now_s = owner.core.table, owner.node.now_s
    table.expire(now_s)
    expiry_times_s = count(now_s + EXPIRY_EVERY_S, EXPIRY_EVERY_S)
    return _time_us(lambda: table.expire(next(expiry_times_s)), EXPIRIES)


def _make_closed_flows(flows: int, times: int) -> tuple[_OwnerNode, int]:
    """Return an owner after ``times`` batches of closed flows, and their memory."""
    owner = _OwnerNode()
    owner.run_request(owner.open_flow(), 1)
    with trace_memory() as traced:
        for _ in range(times):
            _use_and_close_flows(owner, flows)
    return owner, traced.retained_bytes


def _use_and_close_flows(owner: _OwnerNode, flows: int) -> None:
    """Open flows, send a request on each, close them, and advance the time."""
    for number in range(flows):
        token = owner.open_flow(number)
        owner.run_request(token, 1, number)
        owner.relay_packet(FlowClosed(token), _make_caller_address(number))
    owner.node.now_s += CLOSED_AGE_S
    owner.core.table.expire(owner.node.now_s)


def _measure_closed_at(flows: int) -> dict[str, float]:
    # Hash tables keep the capacity of their largest size, so the difference of two
    # batches gives the memory of flows added after earlier ones have expired.
    _, once_bytes = _make_closed_flows(flows, 1)
    owner, twice_bytes = _make_closed_flows(flows, 2)
    return {
        "closed_flow_bytes": float(twice_bytes - once_bytes),
        "closed_flows_kept": float(len(owner.core.table)),
        "closed_expire_us": _expire_us(owner),
    }


def measure_closed(sizes: Sequence[int] = CLOSED_SIZES) -> dict[str, Measurement]:
    """Measure the cost of flows that were used, and closed two minutes ago."""
    units = {
        "closed_flow_bytes": "B",
        "closed_flows_kept": "flows",
        "closed_expire_us": "us",
    }
    return measure("flow", sizes, units, _measure_closed_at, repeats=2)


def _measure_flows_at(flows: int) -> dict[str, float]:
    owner = _OwnerNode()
    for number in range(flows):
        owner.open_flow(number)
    for flow in owner.core.table:
        flow.window.claim(1)
    core, now_s = owner.core, owner.node.now_s
    offsets_s = count(1)
    return {
        "sweep_us": _time_us(lambda: core.owner.tick(now_s + next(offsets_s)), 3),
        "expire_us": _expire_us(owner),
        **_measure_hand_over(owner, flows),
    }


def _measure_hand_over(owner: _OwnerNode, flows: int) -> dict[str, float]:
    """Stop the instance and accept its flows at a simulated peer."""
    node = owner.node
    node.reset_counters()
    waiting = node.handle(StopRequested())
    moved = 0
    while moved < flows:
        for action in _iter_hand_overs(waiting):
            moved += len(action.message.flows)
            accepted = HandOverAccepted(action.message.transfer_id)
            waiting += node.deliver_answer(action.name, accepted)
        node.now_s += TICK_S
        waiting = node.handle(Tick())
    return {
        "hand_over_us": node.processor_s * _US,
        "hand_over_stall_us": node.longest_event_s * _US,
        "hand_over_bytes": float(node.sent_bytes["HandOver"]),
    }


def _iter_hand_overs(actions: list[Action]) -> Iterator[SendToPeer]:
    """Yield the hand-over messages, including those added during iteration."""
    for action in actions:
        if isinstance(action, SendToPeer) and isinstance(action.message, HandOver):
            yield action


def measure_flows(sizes: Sequence[int] = FLOW_SIZES) -> dict[str, Measurement]:
    """Measure sweeps, expiry and handover against the number of flows."""
    units = {
        "sweep_us": "us",
        "expire_us": "us",
        "hand_over_us": "us",
        "hand_over_stall_us": "us",
        "hand_over_bytes": "B",
    }
    return measure("flow", sizes, units, _measure_flows_at)


def _measure_packets_at(instances: int) -> dict[str, float]:
    owner = _OwnerNode(instances)
    own = owner.open_flow()
    other = owner.make_foreign_token()
    seq = count(1)
    return {
        "relay_us": _time_us(lambda: owner.handle_packet(Renew(other)), PACKETS),
        "renew_us": _time_us(
            lambda: _encode_answers(owner.relay_packet(Renew(own), _CALLER)), PACKETS
        ),
        "open_us": _time_us(lambda: owner.open_flow(), PACKETS),
        "request_us": _time_us(lambda: owner.run_request(own, next(seq)), PACKETS),
    }


def measure_packets(sizes: Sequence[int] = PACKET_FLEETS) -> dict[str, Measurement]:
    """Measure the processor time per packet against the instances of the fleet.

    Times include decoding and encoding, but no sockets.
    """
    names = ("relay_us", "renew_us", "open_us", "request_us")
    return measure("instance", sizes, dict.fromkeys(names, "us"), _measure_packets_at)


def _make_record(targets: int) -> ServiceRecord:
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


def _measure_dispatcher_at(targets: int) -> dict[str, float]:
    ready = ProbeResult(TargetHealth.READY, "notes", 7, slots=2)
    record = _make_record(targets)
    with trace_memory() as traced:
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
        "target_bytes": float(traced.retained_bytes),
        "dispatch_request_us": _time_us(request, PACKETS),
        "dispatch_tick_us": _time_us(lambda: dispatcher.tick(now_s), PACKETS),
        "dispatch_probe_us": _time_us(
            lambda: dispatcher.on_probe("t0", now_s, ready), PACKETS
        ),
    }


def measure_dispatcher(sizes: Sequence[int] = TARGET_SIZES) -> dict[str, Measurement]:
    """Measure the dispatcher of one service against its number of targets."""
    units = {
        "target_bytes": "B",
        "dispatch_request_us": "us",
        "dispatch_tick_us": "us",
        "dispatch_probe_us": "us",
    }
    return measure("target", sizes, units, _measure_dispatcher_at)


def _measure_tokens_at(keys: int) -> dict[str, float]:
    secrets = {n: TokenKey(n, bytes([n]) * 32, 0.0) for n in range(1, keys + 1)}
    with trace_memory() as traced:
        keyring = Keyring(keys, dict(secrets))
    codec = TokenCodec(keyring, 86_400.0)
    token = FlowToken("service-00001", 2**63, 2**62, "entry-00001", 2**63, "t-1", 100)
    sealed = codec.seal(token)
    return {
        "keyring_bytes": float(len(msgspec.json.encode(keyring_to_body(keyring)))),
        "keyring_held_bytes": float(traced.retained_bytes),
        "seal_us": _time_us(lambda: codec.seal(token), PACKETS),
        "unseal_us": _time_us(lambda: codec.unseal(sealed, 200.0), PACKETS),
    }


def measure_tokens(sizes: Sequence[int] = KEY_SIZES) -> dict[str, Measurement]:
    """Measure the keyring against its number of keys."""
    units = {
        "keyring_bytes": "B",
        "keyring_held_bytes": "B",
        "seal_us": "us",
        "unseal_us": "us",
    }
    return measure("key", sizes, units, _measure_tokens_at)

"""The way of packets: decode, decide, carry out."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from socket import socket

import gevent
from msgspec import Struct

from endivepick.clock import steady_now_s
from endivepick.errors import PacketInvalidError
from endivepick.forwarder.datagrams import DatagramSocket, datagram_socket
from endivepick.forwarder.decision_log import DecisionLog
from endivepick.forwarder.ports import PacketCodec, StoreDialect
from endivepick.forwarder.probes import probe_target
from endivepick.forwarding import (
    BeliefChange,
    DecisionRecord,
    Drop,
    FaultConfirmed,
    Forward,
    ForwardingCore,
    Hold,
    ProbeOutcome,
    ProbeResult,
    ProbeTarget,
    ReadRegistry,
    Release,
    Reset,
    TargetBelief,
    Verdict,
)

__all__ = ["PacketPath", "PathRequests"]

_NOT_SENT = "not_sent"
"""The kernel did not take the packet."""
HINT_WITHIN_S = 0.05
"""A verdict is told to peers when it is new, not each time it is confirmed."""
HINT_MEMORY_S = 2.0
"""A probe that follows a peer's word ends within some tenths of a second."""


class PathRequests(Struct, frozen=True):
    """What the path asks other tasks for.

    Attributes
    ----------
    read_registry : callable
        Reads the registry now, without waiting.
    hint_peers : callable
        Tells peers that a target does not answer, and whether that was found out here.
    """

    read_registry: Callable[[], None]
    hint_peers: Callable[[str, bool], None]


class PacketPath:
    """Owns the socket for packets and carries out what the core decides.

    Parameters
    ----------
    core : ForwardingCore
        Decides.
    codec : PacketCodec
        Packets of the fabric.
    dialect : StoreDialect
        Reads answers of health checks.
    decisions : DecisionLog
        Where decisions are written.
    requests : PathRequests
        Other tasks.
    """

    def __init__(
        self,
        core: ForwardingCore,
        codec: PacketCodec,
        dialect: StoreDialect,
        decisions: DecisionLog,
        requests: PathRequests,
    ) -> None:
        self._core = core
        self._codec = codec
        self._dialect = dialect
        self._decisions = decisions
        self._metrics = decisions.metrics
        self._forwarded = decisions.metrics.forwarded
        self._requests = requests
        self._datagrams: DatagramSocket | None = None

    @contextmanager
    def open(
        self, address: str, early: socket | None = None
    ) -> Iterator[DatagramSocket]:
        """Read packets while the context is open.

        Parameters
        ----------
        address : str
            Where to bind; callers listen at the same port.
        early : socket, default=None
            Socket that was bound before.
        """
        with datagram_socket(
            address,
            self._on_packet,
            self._decisions.packet_failed,
            self._metrics.record_batch,
            steady_now_s,
            early,
        ) as datagrams:
            self._datagrams = datagrams
            yield datagrams

    def perform(self) -> None:
        """Carry out the core's effects, and say what it decided."""
        effects, self._core.effects[:] = list(self._core.effects), []
        for effect in effects:
            match effect:
                case DecisionRecord():
                    self._decisions.note(effect)
                case BeliefChange():
                    self._decisions.belief_change(effect)
                case FaultConfirmed():
                    self._decisions.fault_confirmed(effect)
                case Reset():
                    self._decisions.reset_with_target(effect)
                    self._reset(effect)
                case Release(data, verdict):
                    self._carry_out(verdict, data)
                case ProbeTarget():
                    self._probe(effect)
                case ReadRegistry():
                    self._requests.read_registry()

    def on_hint(self, target: str) -> None:
        """Take in a peer's word that a target does not answer."""
        self._decisions.hint(target)
        self._core.on_hint(target, steady_now_s())
        self.perform()

    def _on_packet(self, data: bytes, now_s: float) -> None:
        try:
            packet = self._codec.decode(data)
        except PacketInvalidError as error:
            self._decisions.malformed(error, len(data))
            return
        self._carry_out(self._core.on_packet(packet, data, now_s), data)
        if self._core.effects:
            self.perform()
            self._decisions.log.flush()

    def _carry_out(self, verdict: Verdict, data: bytes) -> None:
        match verdict:
            case Forward(belief):
                self._forward(data, belief)
            case Reset():
                self._reset(verdict)
            case Drop(reason):
                self._metrics.count("packets_dropped", reason.value)
            case Hold():
                pass

    def _forward(self, data: bytes, belief: TargetBelief) -> None:
        assert self._datagrams is not None
        target = belief.target
        datagram = self._codec.to_target(data, target, belief.cookie)
        if self._datagrams.send(datagram, target.host, target.port):
            self._forwarded(target.service)
        else:
            self._metrics.count("packets_dropped", _NOT_SENT)

    def _reset(self, reset: Reset) -> None:
        assert self._datagrams is not None
        data = self._codec.reset(reset.flow, reset.sequence)
        port = self._datagrams.port
        if not self._datagrams.send(data, reset.flow.caller_address, port):
            self._metrics.count("packets_dropped", _NOT_SENT)
        self._metrics.count("flows_reset", reset.reason.value)

    def _probe(self, probe: ProbeTarget) -> None:
        gevent.spawn(
            probe_target,
            probe,
            self._dialect,
            self._core.settings,
            self._on_probe,
        )

    def _on_probe(self, result: ProbeResult) -> None:
        self._decisions.probe(result)
        self._core.on_probe(result, steady_now_s())
        if result.outcome in (ProbeOutcome.REFUSED, ProbeOutcome.REPLACED):
            self._hint_if_new(result.target)
        self.perform()
        self._decisions.log.flush()

    def _hint_if_new(self, target: str) -> None:
        """Tell peers of a target that has just been found dead.

        Of one that drains the registry tells all, and hints of each end from every
        instance would be some thousand a second while targets are replaced.  Silence
        is not told: it may be our own link that is full, and peers that all probe
        because of it would fill theirs.
        """
        belief = self._core.registry.get(target)
        if belief is None or not belief.takes_flows:
            return
        now_s = steady_now_s()
        if belief.reachability_since_s >= now_s - HINT_WITHIN_S:
            found_here = belief.hinted_s < now_s - HINT_MEMORY_S
            self._requests.hint_peers(target, found_here)

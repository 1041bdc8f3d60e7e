"""Decodes packets, passes them to the core and performs the core's decisions."""

import random
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
    OpeningRejected,
    OverloadChanged,
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
"""Reason of a drop: the kernel did not accept the packet."""
MAX_REPORTED_AGE_S = 0.05
"""Maximum age of a reachability change that is reported to peers, so that it is
reported when it is new and not each time it is confirmed."""
HINT_VALID_S = 2.0
"""Time for which a reachability change is attributed to a peer's hint; the probe that
follows a hint ends within some tenths of a second."""


class PathRequests(Struct, frozen=True):
    """Requests of the packet path to other tasks.

    Attributes
    ----------
    read_registry : callable
        Reads the registry now, without blocking.
    hint_peers : callable
        Notifies peers that a target does not answer. Called with the target's name and
        whether this instance detected the failure itself.
    """

    read_registry: Callable[[], None]
    hint_peers: Callable[[str, bool], None]


class PacketPath:
    """Owns the data socket and performs the effects of the core.

    Parameters
    ----------
    core : ForwardingCore
        Makes the decisions.
    codec : PacketCodec
        Codec of the fabric's packets.
    dialect : StoreDialect
        Decodes answers of health checks.
    decisions : DecisionLog
        Log of the decisions.
    requests : PathRequests
        Requests to other tasks.
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
        self._record_forwarded = decisions.metrics.record_forwarded
        self._requests = requests
        self._datagrams: DatagramSocket | None = None

    @contextmanager
    def open(
        self, address: str, bound_socket: socket | None = None
    ) -> Iterator[DatagramSocket]:
        """Receive packets while the context is open.

        Parameters
        ----------
        address : str
            Address to bind; resets are sent to callers at the same UDP port.
        bound_socket : socket, default=None
            Socket that was bound before the program was loaded.
        """
        with datagram_socket(
            address,
            self._on_packet,
            self._decisions.log_packet_error,
            self._metrics.record_batch,
            steady_now_s,
            bound_socket,
        ) as datagrams:
            self._datagrams = datagrams
            yield datagrams

    def perform_effects(self) -> None:
        """Perform the effects of the core and log its decisions."""
        effects, self._core.effects[:] = list(self._core.effects), []
        for effect in effects:
            match effect:
                case DecisionRecord():
                    self._decisions.log_decision(effect)
                case BeliefChange():
                    self._decisions.log_belief_change(effect)
                case FaultConfirmed():
                    self._decisions.log_fault_confirmed(effect)
                case OpeningRejected():
                    self._decisions.log_opening_rejected(effect)
                case OverloadChanged():
                    self._decisions.log_overload_changed(effect)
                case Reset():
                    self._decisions.log_target_reset(effect)
                    self._reset(effect)
                case Release(data, verdict):
                    self._apply_verdict(verdict, data)
                case ProbeTarget():
                    self._probe(effect)
                case ReadRegistry():
                    self._requests.read_registry()

    def on_hint(self, target: str) -> None:
        """Handle a peer's hint that a target does not answer."""
        self._decisions.log_hint(target)
        self._core.on_hint(target, steady_now_s())
        self.perform_effects()

    def _on_packet(self, data: bytes, now_s: float) -> None:
        try:
            packet = self._codec.decode(data)
        except PacketInvalidError as error:
            self._decisions.log_malformed(error, len(data))
            return
        self._apply_verdict(self._core.on_packet(packet, data, now_s), data)
        if self._core.effects:
            self.perform_effects()
            self._decisions.log.flush()

    def _apply_verdict(self, verdict: Verdict, data: bytes) -> None:
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
            self._record_forwarded(target.service)
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
        gevent.spawn_later(
            random.uniform(0.0, probe.spread_s),
            probe_target,
            probe,
            self._dialect,
            self._core.settings,
            self._on_probe,
        )

    def _on_probe(self, result: ProbeResult) -> None:
        self._decisions.log_probe(result)
        self._core.on_probe(result, steady_now_s())
        if result.outcome in (ProbeOutcome.REFUSED, ProbeOutcome.REPLACED):
            self._hint_if_new(result.target)
        self.perform_effects()
        self._decisions.log.flush()

    def _hint_if_new(self, target: str) -> None:
        """Notify peers of a target that has just been found dead.

        Draining targets are skipped: the registry already announces them, and every
        instance would send a hint at the end of each, some thousand a second in total
        while targets are replaced.
        Silence is not reported: this instance's own link may be saturated, and the
        probes of all notified peers would saturate theirs.
        """
        belief = self._core.registry.get(target)
        if belief is None or not belief.takes_flows:
            return
        now_s = steady_now_s()
        if belief.reachability_since_s >= now_s - MAX_REPORTED_AGE_S:
            detected_locally = belief.hinted_s < now_s - HINT_VALID_S
            self._requests.hint_peers(target, detected_locally)

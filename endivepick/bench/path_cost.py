"""What logs and metrics cost of the packet path.

Run ``python -m endivepick.bench.path_cost``; it takes about two minutes.  Four
processes forward the same flows, packet by packet in turn, so that what else the
machine does meets all: two write lines and count, the others do neither.
"""

import random
import struct
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import ExitStack, closing, contextmanager
from dataclasses import dataclass
from socket import AF_INET, SOCK_DGRAM, socket
from typing import cast

import fire
import gevent

from endivepick.forwarder.decision_log import DecisionLog
from endivepick.forwarder.forwarder import TICK_S
from endivepick.forwarder.logs import open_log
from endivepick.forwarder.metrics import ForwarderMetrics
from endivepick.forwarder.packet_path import PacketPath, PathRequests
from endivepick.forwarder.ports import PacketCodec, StoreDialect
from endivepick.forwarding import (
    Configuration,
    FlowKey,
    ForwardingCore,
    ForwardingSettings,
    Packet,
    Route,
    RouteKind,
    ServiceShare,
    Target,
    TargetBelief,
)

__all__ = ["CostOfLoad", "main", "measure", "serve"]

USUAL_FLOWS_PER_S = 10.0
"""New flows that a forwarder of an installation of tens places in a second."""
LOADS = (0.5, 1.0, 3.0)
"""Multiples of the usual load, of which the highest is a peak."""
PACKETS_OF_A_FLOW = 21
"""As the forwarders of two installations counted them on a quiet day."""
PLAYED_S = 40.0
"""A processor time of some tenths of a second at the lowest load."""
_WARM_FLOWS = 20
_ORDER = (True, False, False, True)
"""Which of the processes tell.  Of two that do the same, the first takes 1.3 to 2.0 %
more in this order of starts and packets; here each kind has a first and a last."""
_HOST, _PORT = 0xC6120001, 443
_CALLER = 0x64400007
_OPENING, _CLOSING = 1, 2
_MICRO = 1e6
_HEAD = struct.Struct(">5I2HIB5xH")
_NAME = struct.Struct(">QI")
_READER = "import os\nwhile os.read(0, 65536): pass"


@dataclass(frozen=True)
class CostOfLoad:
    """Cost at one load.

    Attributes
    ----------
    load : float
        Multiple of the usual load.
    with_us, without_us : float
        Processor time of a packet with and without logs and metrics, in
        microseconds.
    """

    load: float
    with_us: float
    without_us: float

    @property
    def share(self) -> float:
        """Share of the path's processor time that logs and metrics take."""
        return 1.0 - self.without_us / self.with_us


class _Codec:
    """Packets with a head like a fabric's."""

    def decode(self, data: bytes) -> Packet:
        cookie, _, seq, ack, host, port, *_, flags, size_bytes = _HEAD.unpack_from(data)
        flow = FlowKey(host, port, _HOST, _PORT)
        opening, last = bool(flags & _OPENING), bool(flags & _CLOSING)
        return Packet(flow, opening, last, cookie, seq, ack, size_bytes)

    def to_target(self, data: bytes, target: Target, cookie: int) -> bytes:
        return _NAME.pack(target.number, cookie) + data[4:]

    def reset(self, flow: FlowKey, sequence: int) -> bytes:
        raise NotImplementedError("No flow of this load is reset.")


class _NoLog(DecisionLog):
    """Writes no line of those that this load leaves."""

    def note(self, note: object) -> None:
        pass


class _BarePath(PacketPath):
    """Forwards packets and counts none."""

    def _forward(self, data: bytes, belief: TargetBelief) -> None:
        assert self._datagrams is not None
        target = belief.target
        datagram = self._codec.to_target(data, target, belief.cookie)
        self._datagrams.send(datagram, target.host, target.port)


class _NoMetrics(ForwarderMetrics):
    """Notes no duration."""

    def __init__(self) -> None:
        super().__init__()
        self.record_batch = lambda _: None

    def aggregate(self) -> None:
        """Count nothing."""


def _core() -> ForwardingCore:
    core = ForwardingCore(ForwardingSettings(zone="a"), random.Random(1).random)
    route = Route(
        "r", _HOST, _PORT, (ServiceShare("notes", 1.0),), RouteKind.IDEMPOTENT
    )
    target = Target("i-1", 1, "notes", "127.0.0.1", 9, "a", 8, revision=1)
    core.on_configuration(Configuration(1, 1, (route,)), 0.0)
    core.on_target_list([target], 1, 0.0)
    core.effects.clear()
    return core


def _head(caller_port: int, flags: int, cookie: int, ack: int) -> bytes:
    return _HEAD.pack(cookie, 7, 101, ack, _CALLER, caller_port, _PORT, _HOST, flags, 0)


def _flow_packets(number: int, cookie: int) -> Iterator[bytes]:
    port = 1024 + number % 60_000
    yield _head(port, _OPENING, 0, 0)
    for step in range(PACKETS_OF_A_FLOW - 2):
        yield _head(port, 0, cookie, 500 + step)
    yield _head(port, _CLOSING, cookie, 900)


def serve(told: bool) -> None:
    """Forward packets until a line comes; say where, then the processor time.

    Parameters
    ----------
    told : bool
        Whether lines are written to standard output and packets are counted.
    """
    log = open_log("front-1")
    metrics = ForwarderMetrics() if told else _NoMetrics()
    decisions = DecisionLog(log, metrics) if told else _NoLog(log, metrics)
    requests = PathRequests(lambda: None, lambda _target, _detected_locally: None)
    codec, dialect = cast(PacketCodec, _Codec()), cast(StoreDialect, None)
    kind = PacketPath if told else _BarePath
    with kind(_core(), codec, dialect, decisions, requests).open("127.0.0.1:0") as at:
        gevent.spawn(_tick, metrics)
        _say(at.port)
        for _ in range(2):
            gevent.get_hub().threadpool.apply(sys.stdin.readline)
            _say(time.process_time())


def _tick(metrics: ForwarderMetrics) -> None:
    """Count at the pace at which a forwarder does; both processes tick."""
    while True:
        gevent.sleep(TICK_S)
        metrics.aggregate()


def _say(value: object) -> None:
    print(value, file=sys.stderr, flush=True)


class _Forwarder:
    """A process that forwards, seen from its callers."""

    def __init__(self, process: subprocess.Popen[str]) -> None:
        self._process = process
        self.port = int(self._hear())

    def _hear(self) -> str:
        assert self._process.stderr is not None
        return self._process.stderr.readline()

    def used_s(self) -> float:
        """Return its processor time up to now, in seconds."""
        assert self._process.stdin is not None
        self._process.stdin.write("\n")
        self._process.stdin.flush()
        return float(self._hear())


@contextmanager
def _forwarder(told: bool) -> Iterator[_Forwarder]:
    command = [sys.executable, "-m", __spec__.name, "serve", f"--told={told}"]
    with ExitStack() as stack:
        reader = stack.enter_context(
            subprocess.Popen([sys.executable, "-c", _READER], stdin=subprocess.PIPE)
        )
        assert reader.stdin is not None
        pipe = subprocess.PIPE
        process = stack.enter_context(
            subprocess.Popen(
                command, stdin=pipe, stdout=reader.stdin, stderr=pipe, text=True
            )
        )
        reader.stdin.close()
        yield _Forwarder(process)


def _play(flows: range, gap_s: float, ports: list[int], caller: socket) -> None:
    """Send each packet of some flows to all ports, with a pause after each."""
    cookie = next(iter(_core().registry)).cookie
    next_s = time.monotonic()
    for number in flows:
        for packet in _flow_packets(number, cookie):
            for port in ports:
                caller.sendto(packet, ("127.0.0.1", port))
                next_s += gap_s
                time.sleep(max(0.0, next_s - time.monotonic()))


def measure(load: float) -> CostOfLoad:
    """Measure at a multiple of the usual load."""
    flows_per_s = load * USUAL_FLOWS_PER_S
    number = round(flows_per_s * PLAYED_S)
    with ExitStack() as stack:
        caller = stack.enter_context(closing(socket(AF_INET, SOCK_DGRAM)))
        forwarders = [stack.enter_context(_forwarder(told)) for told in _ORDER]
        ports = [one.port for one in forwarders]
        gap_s = 1 / (flows_per_s * PACKETS_OF_A_FLOW * len(ports))
        _play(range(_WARM_FLOWS), 0.0005, ports, caller)
        before_s = [one.used_s() for one in forwarders]
        _play(range(_WARM_FLOWS, _WARM_FLOWS + number), gap_s, ports, caller)
        after_s = [one.used_s() for one in forwarders]
    used_s = {True: 0.0, False: 0.0}
    for told, had_s, has_s in zip(_ORDER, before_s, after_s, strict=True):
        used_s[told] += has_s - had_s
    packets = number * PACKETS_OF_A_FLOW * len(ports) / len(used_s)
    return CostOfLoad(
        load, used_s[True] / packets * _MICRO, used_s[False] / packets * _MICRO
    )


def main() -> None:
    """Measure and print one line a load."""
    for load in LOADS:
        cost = measure(load)
        print(
            f"{cost.load} times the usual load: {cost.with_us:.1f} us a packet, "
            f"{cost.without_us:.1f} us without logs and metrics ({cost.share:.1%})",
            flush=True,
        )


if __name__ == "__main__":
    if len(sys.argv) > 1:
        fire.Fire({"serve": serve})
    else:
        main()

"""Cost of logs and metrics on the packet path.

Run ``python -m endivepick.bench.path_cost``, which takes about two minutes. Four
processes forward the same flows and receive each packet in turn, so that other load on
the machine affects all of them. Two processes write logs and metrics, the others do
not.
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

__all__ = ["LoadCost", "main", "measure", "serve"]

TYPICAL_FLOWS_PER_S = 10.0
"""New flows per second of one forwarder in an installation of tens of instances."""
LOADS = (0.5, 1.0, 3.0)
"""Multiples of the typical load; the highest stands for a peak."""
PACKETS_PER_FLOW = 21
"""Counted at the forwarders of two installations on a day of low traffic."""
MEASURED_S = 40.0
"""Long enough for some tenths of a second of processor time at the lowest load."""
_WARM_UP_FLOWS = 20
_TOLD_ORDER = (True, False, False, True)
"""Whether each process writes logs and metrics, in order of start and packets.

Of two equal processes, the first takes 1.3 to 2.0 % more processor time. In this order,
the mean position of both kinds is the same.
"""
_HOST, _PORT = 0xC6120001, 443
_CALLER = 0x64400007
_OPENING, _CLOSING = 1, 2
_US_PER_S = 1e6
_HEADER = struct.Struct(">5I2HIB5xH")
_TARGET_HEADER = struct.Struct(">QI")
_READER = "import os\nwhile os.read(0, 65536): pass"


@dataclass(frozen=True)
class LoadCost:
    """Cost of logs and metrics at one load.

    Attributes
    ----------
    load : float
        Multiple of the typical load.
    with_us, without_us : float
        Processor time per packet with and without logs and metrics, in
        microseconds.
    """

    load: float
    with_us: float
    without_us: float

    @property
    def share(self) -> float:
        """Fraction of the processor time of the packet path for logs and metrics."""
        return 1.0 - self.without_us / self.with_us


class _Codec:
    """Codec of packets with a header similar to that of a fabric."""

    def decode(self, data: bytes) -> Packet:
        cookie, _, seq, ack, host, port, *_, flags, size_bytes = _HEADER.unpack_from(
            data
        )
        flow = FlowKey(host, port, _HOST, _PORT)
        opening, last = bool(flags & _OPENING), bool(flags & _CLOSING)
        return Packet(flow, opening, last, cookie, seq, ack, size_bytes)

    def to_target(self, data: bytes, target: Target, cookie: int) -> bytes:
        return _TARGET_HEADER.pack(target.number, cookie) + data[4:]

    def reset(self, flow: FlowKey, sequence: int) -> bytes:
        raise NotImplementedError("No flow of this load is reset.")


class _NoLog(DecisionLog):
    """Decision log that drops the entries that this load causes."""

    def note(self, note: object) -> None:
        pass


class _UncountedPath(PacketPath):
    """Packet path that forwards without counting packets."""

    def _forward(self, data: bytes, belief: TargetBelief) -> None:
        assert self._datagrams is not None
        target = belief.target
        datagram = self._codec.to_target(data, target, belief.cookie)
        self._datagrams.send(datagram, target.host, target.port)


class _NoMetrics(ForwarderMetrics):
    """Metrics that record no duration."""

    def __init__(self) -> None:
        super().__init__()
        self.record_batch = lambda _: None

    def aggregate(self) -> None:
        """Do nothing."""


def _make_core() -> ForwardingCore:
    core = ForwardingCore(ForwardingSettings(zone="a"), random.Random(1).random)
    route = Route(
        "r", _HOST, _PORT, (ServiceShare("notes", 1.0),), RouteKind.IDEMPOTENT
    )
    target = Target("i-1", 1, "notes", "127.0.0.1", 9, "a", 8, revision=1)
    core.on_configuration(Configuration(1, 1, (route,)), 0.0)
    core.on_target_list([target], 1, 0.0)
    core.effects.clear()
    return core


def _pack_header(caller_port: int, flags: int, cookie: int, ack: int) -> bytes:
    return _HEADER.pack(
        cookie, 7, 101, ack, _CALLER, caller_port, _PORT, _HOST, flags, 0
    )


def _generate_packets(number: int, cookie: int) -> Iterator[bytes]:
    port = 1024 + number % 60_000
    yield _pack_header(port, _OPENING, 0, 0)
    for step in range(PACKETS_PER_FLOW - 2):
        yield _pack_header(port, 0, cookie, 500 + step)
    yield _pack_header(port, _CLOSING, cookie, 900)


def serve(told: bool) -> None:
    """Forward packets, and report the processor time after each input line.

    The port and the processor times are written to standard error.

    Parameters
    ----------
    told : bool
        Whether to write logs to standard output and to count packets.
    """
    log = open_log("front-1")
    metrics = ForwarderMetrics() if told else _NoMetrics()
    decisions = DecisionLog(log, metrics) if told else _NoLog(log, metrics)
    requests = PathRequests(lambda: None, lambda _target, _detected_locally: None)
    codec, dialect = cast(PacketCodec, _Codec()), cast(StoreDialect, None)
    kind = PacketPath if told else _UncountedPath
    with kind(_make_core(), codec, dialect, decisions, requests).open(
        "127.0.0.1:0"
    ) as at:
        gevent.spawn(_aggregate_periodically, metrics)
        _print_to_stderr(at.port)
        for _ in range(2):
            gevent.get_hub().threadpool.apply(sys.stdin.readline)
            _print_to_stderr(time.process_time())


def _aggregate_periodically(metrics: ForwarderMetrics) -> None:
    """Fold metrics at the period of a forwarder, in both kinds of process."""
    while True:
        gevent.sleep(TICK_S)
        metrics.aggregate()


def _print_to_stderr(value: object) -> None:
    print(value, file=sys.stderr, flush=True)


class _Forwarder:
    """Handle of a forwarding process."""

    def __init__(self, process: subprocess.Popen[str]) -> None:
        self._process = process
        self.port = int(self._read_line())

    def _read_line(self) -> str:
        assert self._process.stderr is not None
        return self._process.stderr.readline()

    def read_processor_s(self) -> float:
        """Return the processor time of the process so far, in seconds."""
        assert self._process.stdin is not None
        self._process.stdin.write("\n")
        self._process.stdin.flush()
        return float(self._read_line())


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


def _send_flows(flows: range, gap_s: float, ports: list[int], caller: socket) -> None:
    """Send each packet of the flows to all ports, with a gap after each datagram."""
    cookie = next(iter(_make_core().registry)).cookie
    next_s = time.monotonic()
    for number in flows:
        for packet in _generate_packets(number, cookie):
            for port in ports:
                caller.sendto(packet, ("127.0.0.1", port))
                next_s += gap_s
                time.sleep(max(0.0, next_s - time.monotonic()))


def measure(load: float) -> LoadCost:
    """Measure the cost at a multiple of the typical load."""
    flows_per_s = load * TYPICAL_FLOWS_PER_S
    number = round(flows_per_s * MEASURED_S)
    with ExitStack() as stack:
        caller = stack.enter_context(closing(socket(AF_INET, SOCK_DGRAM)))
        forwarders = [stack.enter_context(_forwarder(told)) for told in _TOLD_ORDER]
        ports = [one.port for one in forwarders]
        gap_s = 1 / (flows_per_s * PACKETS_PER_FLOW * len(ports))
        _send_flows(range(_WARM_UP_FLOWS), 0.0005, ports, caller)
        before_s = [one.read_processor_s() for one in forwarders]
        _send_flows(
            range(_WARM_UP_FLOWS, _WARM_UP_FLOWS + number), gap_s, ports, caller
        )
        after_s = [one.read_processor_s() for one in forwarders]
    used_s = {True: 0.0, False: 0.0}
    for told, start_s, end_s in zip(_TOLD_ORDER, before_s, after_s, strict=True):
        used_s[told] += end_s - start_s
    packets = number * PACKETS_PER_FLOW * len(ports) / len(used_s)
    return LoadCost(
        load, used_s[True] / packets * _US_PER_S, used_s[False] / packets * _US_PER_S
    )


def main() -> None:
    """Measure and print one line per load."""
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

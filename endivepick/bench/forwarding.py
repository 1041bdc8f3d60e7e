"""Benchmark of the forwarding core by the number of targets.

Run ``python -m endivepick.bench.forwarding``, which takes a few seconds.
"""

import random
import time
import tracemalloc
from collections.abc import Callable

import fire

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
)

__all__ = ["main"]

SERVICE_TARGETS = (7, 60, 440)
FLEET_TARGETS = 44_000
_HOST = 0xC6120001
_PORT = 443
_OPENINGS = 500
_PACKETS = 20_000
_TICKS = 50
_FLOWS = 20_000
_US_PER_S = 1e6


def _make_targets(number: int) -> list[Target]:
    return [
        Target(f"i-{n:08x}", n, "notes", "10.0.0.1", n % 60_000, "a", 2, revision=1)
        for n in range(1, number + 1)
    ]


def _make_core(targets: int, flows: int = _FLOWS) -> ForwardingCore:
    settings = ForwardingSettings(zone="a", observed_flows=flows)
    core = ForwardingCore(settings, random.Random(1).random)
    share = (ServiceShare("notes", 1.0),)
    route = Route("r", _HOST, _PORT, share, RouteKind.IDEMPOTENT)
    core.on_configuration(Configuration(1, 1, (route,)), 0.0)
    core.on_target_list(_make_targets(targets), 1, 0.0)
    core.effects.clear()
    return core


def _make_opening_packet(number: int) -> Packet:
    return Packet(FlowKey(number, 1, _HOST, _PORT), True, False, 0, 1, 0, 0)


def _make_data_packet(number: int, cookie: int) -> Packet:
    return Packet(FlowKey(number, 1, _HOST, _PORT), False, False, cookie, 1, 1, 9)


def _time_us(work: Callable[[int], object], times: int) -> float:
    started_s = time.process_time()
    for number in range(times):
        work(number)
    return (time.process_time() - started_s) / times * _US_PER_S


def _time_opening_us(targets: int) -> float:
    core = _make_core(targets)
    return _time_us(
        lambda n: core.on_packet(_make_opening_packet(n), b"", 1.0), _OPENINGS
    )


def _time_packet_us(targets: int) -> float:
    core = _make_core(targets)
    cookie = next(iter(core.registry)).cookie
    flows = [_make_data_packet(number, cookie) for number in range(1000)]
    return _time_us(lambda n: core.on_packet(flows[n % 1000], b"", 1.0), _PACKETS)


def _time_tick_us(targets: int) -> float:
    core = _make_core(targets)
    return _time_us(lambda n: core.tick(1.0 + n / 10), _TICKS)


def _measure_bytes(make: Callable[[], object], number: int) -> float:
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    kept = make()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return (after - before) / number


def _measure_flow_bytes() -> float:
    core = _make_core(7)
    cookie = next(iter(core.registry)).cookie

    def make() -> None:
        for number in range(_FLOWS):
            core.on_packet(_make_data_packet(number, cookie), b"", 1.0)

    return _measure_bytes(make, _FLOWS)


def main() -> None:
    """Measure and print processor times and memory per packet, flow and target."""
    for targets in SERVICE_TARGETS:
        print(
            f"opening, service of {targets} targets: {_time_opening_us(targets):.0f} us"
        )
    print(f"packet of an observed flow: {_time_packet_us(7):.1f} us")
    print(f"tick, {FLEET_TARGETS} targets: {_time_tick_us(FLEET_TARGETS):.0f} us")
    print(f"observed flow: {_measure_flow_bytes():.0f} B")
    target_bytes = _measure_bytes(lambda: _make_core(FLEET_TARGETS), FLEET_TARGETS)
    print(f"target: {target_bytes:.0f} B")


if __name__ == "__main__":
    fire.Fire(main)

"""What the forwarding core costs, by the number of targets.

Run ``python -m endivepick.bench.forwarding``; it takes some seconds.
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

TARGETS_OF_A_SERVICE = (7, 60, 440)
TARGETS_OF_A_FLEET = 44_000
_HOST = 0xC6120001
_PORT = 443
_OPENINGS = 500
_PACKETS = 20_000
_TICKS = 50
_FLOWS = 20_000
_MICRO = 1e6


def _targets(number: int) -> list[Target]:
    return [
        Target(f"i-{n:08x}", n, "notes", "10.0.0.1", n % 60_000, "a", 2, revision=1)
        for n in range(1, number + 1)
    ]


def _core(targets: int, flows: int = _FLOWS) -> ForwardingCore:
    settings = ForwardingSettings(zone="a", observed_flows=flows)
    core = ForwardingCore(settings, random.Random(1).random)
    share = (ServiceShare("notes", 1.0),)
    route = Route("r", _HOST, _PORT, share, RouteKind.IDEMPOTENT)
    core.on_configuration(Configuration(1, 1, (route,)), 0.0)
    core.on_target_list(_targets(targets), 1, 0.0)
    core.effects.clear()
    return core


def _opening(number: int) -> Packet:
    return Packet(FlowKey(number, 1, _HOST, _PORT), True, False, 0, 1, 0, 0)


def _data(number: int, cookie: int) -> Packet:
    return Packet(FlowKey(number, 1, _HOST, _PORT), False, False, cookie, 1, 1, 9)


def _us_each(work: Callable[[int], object], times: int) -> float:
    began_s = time.process_time()
    for number in range(times):
        work(number)
    return (time.process_time() - began_s) / times * _MICRO


def _openings_us(targets: int) -> float:
    core = _core(targets)
    return _us_each(lambda n: core.on_packet(_opening(n), b"", 1.0), _OPENINGS)


def _packets_us(targets: int) -> float:
    core = _core(targets)
    cookie = next(iter(core.registry)).cookie
    flows = [_data(number, cookie) for number in range(1000)]
    return _us_each(lambda n: core.on_packet(flows[n % 1000], b"", 1.0), _PACKETS)


def _tick_us(targets: int) -> float:
    core = _core(targets)
    return _us_each(lambda n: core.tick(1.0 + n / 10), _TICKS)


def _bytes_each(make: Callable[[], object], number: int) -> float:
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    kept = make()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return (after - before) / number


def _flow_bytes() -> float:
    core = _core(7)
    cookie = next(iter(core.registry)).cookie

    def make() -> None:
        for number in range(_FLOWS):
            core.on_packet(_data(number, cookie), b"", 1.0)

    return _bytes_each(make, _FLOWS)


def main() -> None:
    """Measure and print all lines; processor time of this process."""
    for targets in TARGETS_OF_A_SERVICE:
        print(f"opening, service of {targets} targets: {_openings_us(targets):.0f} us")
    print(f"packet of an observed flow: {_packets_us(7):.1f} us")
    print(f"tick, {TARGETS_OF_A_FLEET} targets: {_tick_us(TARGETS_OF_A_FLEET):.0f} us")
    print(f"observed flow: {_flow_bytes():.0f} B")
    target_bytes = _bytes_each(lambda: _core(TARGETS_OF_A_FLEET), TARGETS_OF_A_FLEET)
    print(f"target: {target_bytes:.0f} B")


if __name__ == "__main__":
    fire.Fire(main)

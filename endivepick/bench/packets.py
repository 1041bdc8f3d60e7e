"""Packet rate, flow-opening cost and memory of a real owner and a real relay.

Run ``python -m endivepick.bench.packets`` from the root of a checkout. The benchmark
starts two instances with the ``standins`` package. One sender floods first the owner of
a service and then the other instance, which relays to the owner.
"""

import json
from collections.abc import Callable, Iterator, Sequence
from contextlib import closing, contextmanager
from dataclasses import dataclass
from typing import Any

import fire

from endivepick.addresses import parse_address
from endivepick.bench._instances import (
    make_uniform_shape,
    running_cluster,
    sort_owner_first,
)
from endivepick.bench._processes import read_cpu_s, read_rss_bytes
from endivepick.bench._sender import Sender
from endivepick.bench._slopes import Measurement, format_slopes, measure
from endivepick.core.messages import CallerAddress

__all__ = [
    "InstancePair",
    "data_address",
    "measure_packets",
    "measure_real_flows",
    "run",
    "running_pair",
]

FLOW_SIZES = (1_000, 4_000, 16_000, 64_000)
FLOOD_S = 1.0
FLOODED_FLOWS = 500
SERVICE = "service-0"
_US = 1e6


@dataclass(frozen=True)
class InstancePair:
    """Owner of a service, a second instance that relays to it, and their caller."""

    owner: Any
    relay: Any
    sender: Sender

    def open(self, count: int) -> list[bytes]:
        """Open flows at the owner."""
        return self.sender.open(data_address(self.owner), SERVICE, count)


def data_address(instance: Any) -> CallerAddress:
    """Return the address at which an instance receives datagrams of the fabric."""
    return parse_address(instance.process.ready["data_address"])


@contextmanager
def running_pair() -> Iterator[InstancePair]:
    """Run two instances and a service while the context is open."""
    with closing(Sender()) as sender:
        settings = {"fabric": {"return_address": sender.address}}
        with running_cluster(make_uniform_shape(2, 1), settings) as cluster:
            owner, relay = sort_owner_first(cluster)
            yield InstancePair(owner, relay, sender)


def _measure_flood(
    pair: InstancePair, to: Any, tokens: list[bytes]
) -> dict[str, float]:
    """Flood one instance; return the answer rate and processor time per answer."""
    before_s = {
        name: read_cpu_s(one.process.pid) for name, one in _list_instances(pair)
    }
    answers = pair.sender.flood(data_address(to), tokens, FLOOD_S)
    used_s = {
        n: read_cpu_s(one.process.pid) - before_s[n] for n, one in _list_instances(pair)
    }
    return {
        "per_s": answers / FLOOD_S,
        **{f"{name}_us": used_s[name] / max(1, answers) * _US for name in used_s},
    }


def _list_instances(pair: InstancePair) -> list[tuple[str, Any]]:
    return [("owner", pair.owner), ("relay", pair.relay)]


def _make_measurement(pair: InstancePair) -> Callable[[int], dict[str, float]]:
    opened: list[bytes] = []

    def once(flows: int) -> dict[str, float]:
        pid = pair.owner.process.pid
        busy_s, missing = read_cpu_s(pid), flows - len(opened)
        if missing > 0:
            opened.extend(pair.open(missing))
        open_us = (read_cpu_s(pid) - busy_s) / missing * _US if missing > 0 else 0.0
        rss = read_rss_bytes(pid)
        direct = _measure_flood(pair, pair.owner, opened[:FLOODED_FLOWS])
        relayed = _measure_flood(pair, pair.relay, opened[:FLOODED_FLOWS])
        return {
            "real_memory_bytes": float(rss),
            "real_open_us": open_us,
            "real_owner_per_s": direct["per_s"],
            "real_owner_us": direct["owner_us"],
            "real_relayed_per_s": relayed["per_s"],
            "real_relay_us": relayed["relay_us"],
            "real_owner_of_relayed_us": relayed["owner_us"],
        }

    return once


UNITS = {
    "real_memory_bytes": "B",
    "real_open_us": "us",
    "real_owner_per_s": "1/s",
    "real_owner_us": "us",
    "real_relayed_per_s": "1/s",
    "real_relay_us": "us",
    "real_owner_of_relayed_us": "us",
}


def measure_real_flows(
    sizes: Sequence[int] = FLOW_SIZES, repeats: int = 2
) -> dict[str, Measurement]:
    """Measure a real owner and a real relay against the number of open flows.

    Each repetition starts new instances. ``real_memory_bytes`` is the resident set of
    the owner, and ``real_open_us`` its processor time per flow opened since the
    previous size.
    """
    found: list[dict[str, Measurement]] = []
    for _ in range(repeats):
        with running_pair() as pair:
            found.append(
                measure("flow", sizes, UNITS, _make_measurement(pair), repeats=1)
            )
    return {
        name: Measurement(
            name, unit, "flow", tuple(sizes), tuple(one[name].runs[0] for one in found)
        )
        for name, unit in UNITS.items()
    }


def measure_packets(rounds: int = 5) -> Iterator[dict[str, float]]:
    """Flood owner and relay repeatedly with a small number of flows."""
    with running_pair() as pair:
        tokens = pair.open(FLOODED_FLOWS)
        for _ in range(rounds):
            direct = _measure_flood(pair, pair.owner, tokens)
            relayed = _measure_flood(pair, pair.relay, tokens)
            yield {
                "owner_per_s": direct["per_s"],
                "owner_us": direct["owner_us"],
                "relayed_per_s": relayed["per_s"],
                "relay_us": relayed["relay_us"],
                "owner_of_relayed_us": relayed["owner_us"],
                "lost": float(pair.sender.lost),
            }


def run(rounds: int = 5, flows: bool = False) -> None:
    """Print one JSON line per round, or with ``--flows`` the slopes.

    Parameters
    ----------
    rounds : int
        Number of floods of each instance.
    flows : bool
        Whether to measure against the number of open flows instead.
    """
    if flows:
        print(format_slopes(list(measure_real_flows().values())))
        return
    for figures in measure_packets(rounds):
        rounded = {name: round(value, 1) for name, value in figures.items()}
        print(json.dumps(rounded), flush=True)


if __name__ == "__main__":
    fire.Fire(run)

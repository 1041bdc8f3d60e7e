"""Measures fleets of communicating instances; prints one JSON line per measurement.

Run it as ``python -m endivepick.membership.measure_fleet``.  All cores run in one
process on the simulated network of the tests; only the processor time is real.
"""

import statistics
import time
from collections.abc import Callable

import fire
import msgspec

from endivepick.core.peer_envelope import Envelope, encode_envelope
from endivepick.membership._simulated_fleet import SimulatedFleet
from endivepick.membership.actions import PeerChanged, Send
from endivepick.membership.peer_messages import Ping, SyncPage
from endivepick.membership.view import PeerState

SIZES = (32, 128, 512)
ZONES = 14
CONNECTION_IDLE_S = 30.0
"""Time after which the daemon closes an idle connection."""
_TIME_LIMIT_S = 120.0
_STEP_S = 0.05
_DEAD_PROBE_WINDOW_S = 20


def settled_fleet(size: int, zones: int = ZONES, seed: int = 1) -> SimulatedFleet:
    """Return a fleet with complete views and no pending updates."""
    fleet = SimulatedFleet(seed)
    for number in range(size):
        fleet.add(f"entry-{number}", f"z{number % zones}")
    fleet.deliver_list()
    updates = [node._own.to_update() for node in fleet.nodes.values()]
    for name, node in fleet.nodes.items():
        page = SyncPage(0, [], [u for u in updates if u.name != name], [])
        actions = node.on_message(0.0, "", 0, page)
        fleet.apply_actions(name, [a for a in actions if isinstance(a, Send)])
    fleet.run(10.0)
    fleet.actions.clear()
    return fleet


def _measure_links_at_rest(fleet: SimulatedFleet) -> dict[str, float]:
    """Count connections in use and messages in a fleet without changes."""
    fleet.run(CONNECTION_IDLE_S)
    fleet.actions.clear()
    fleet.run(CONNECTION_IDLE_S)
    partners: dict[str, set[str]] = {name: set() for name in fleet.nodes}
    sent = [(n, a) for _, n, a in fleet.actions if isinstance(a, Send)]
    for name, action in sent:
        partners[name].add(action.to_name)
    counts = [len(names) for names in partners.values()]
    return {
        "messages_per_s": _rate_per_s(len(sent), fleet),
        "links_mean": round(statistics.mean(counts), 1),
        "links_max": max(counts),
    }


def _rate_per_s(
    count: float, fleet: SimulatedFleet, duration_s: float = CONNECTION_IDLE_S
) -> float:
    return round(count / duration_s / len(fleet.nodes), 2)


def _run_until_share(
    fleet: SimulatedFleet, share: Callable[[], float], wanted: float
) -> float:
    started_s = fleet.now_s
    while share() < wanted and fleet.now_s < started_s + _TIME_LIMIT_S:
        fleet.run(_STEP_S)
    return fleet.now_s - started_s


def _measure_spread(
    fleet: SimulatedFleet, share: Callable[[], float], prefix: str
) -> dict[str, float]:
    started_s = fleet.now_s
    figures = {}
    for name, wanted in (("first", 1e-9), ("half", 0.5), ("p99", 0.99), ("all", 1.0)):
        _run_until_share(fleet, share, wanted)
        figures[f"{prefix}_{name}_s"] = round(fleet.now_s - started_s, 2)
    return figures


def _share_in_state(fleet: SimulatedFleet, names: list[str], state: PeerState) -> float:
    views = [node.view() for node in fleet.nodes.values()]
    seen = sum(view[name].state is state for view in views for name in names)
    return seen / len(views) / len(names)


def _count_false_deaths(fleet: SimulatedFleet, killed: list[str]) -> int:
    changed_views = [a.new for _, _, a in fleet.actions if isinstance(a, PeerChanged)]
    dead = {new.name for new in changed_views if new and new.state is PeerState.DEAD}
    return len(dead - set(killed))


def _largest_message_bytes(fleet: SimulatedFleet) -> int:
    messages = [a.message for _, _, a in fleet.actions if isinstance(a, Send)]
    return max(len(encode_envelope(Envelope("e", 1, 1, m))) for m in messages)


def _sent_bytes(fleet: SimulatedFleet) -> int:
    sent = [a.message for _, _, a in fleet.actions if isinstance(a, Send)]
    return sum(len(encode_envelope(Envelope("entry-0", 1, 1, m))) for m in sent)


def measure_links(size: int) -> dict:
    """Measure a fleet without changes, then the spread of an update and of a death."""
    fleet = settled_fleet(size)
    figures: dict = {"measure": "links", "size": size} | _measure_links_at_rest(fleet)
    left = "entry-3"
    fleet.apply_actions(left, fleet.nodes[left].leave(fleet.now_s))
    is_leaving = lambda: _share_in_state(fleet, [left], PeerState.LEAVING)  # noqa: E731
    figures |= _measure_spread(fleet, is_leaving, "news")
    fleet.run(10.0)
    fleet.actions.clear()
    fleet.kill("entry-7")
    is_dead = lambda: _share_in_state(fleet, ["entry-7"], PeerState.DEAD)  # noqa: E731
    figures |= _measure_spread(fleet, is_dead, "death")
    fleet.run(10.0)
    figures["false_deaths"] = _count_false_deaths(fleet, ["entry-7"])
    fleet.actions.clear()
    fleet.run(_DEAD_PROBE_WINDOW_S)
    sent = [a for _, _, a in fleet.actions if isinstance(a, Send)]
    probe_count = sum(
        a.to_name == "entry-7" and isinstance(a.message, Ping) for a in sent
    )
    figures["probes_of_the_dead_per_s"] = round(probe_count / _DEAD_PROBE_WINDOW_S, 1)
    return figures


def measure_zone_loss(size: int, zones: int = ZONES) -> dict:
    """Measure detection time and cost of the loss of a zone."""
    fleet = settled_fleet(size, zones)
    lost = [name for name, me in fleet.identities.items() if me.zone == "z1"]
    for name in lost:
        fleet.kill(name)
    figures: dict = {"measure": "zone_loss", "size": size, "lost": len(lost)}
    started_s, busy_s = fleet.now_s, time.process_time()
    figures |= _measure_spread(
        fleet, lambda: _share_in_state(fleet, lost, PeerState.DEAD), "deaths"
    )
    busy_s = time.process_time() - busy_s
    duration_s = fleet.now_s - started_s
    figures["core_share_percent"] = round(
        100 * busy_s / len(fleet.nodes) / duration_s, 2
    )
    figures["bytes_per_s"] = _rate_per_s(_sent_bytes(fleet), fleet, duration_s)
    figures["largest_message_bytes"] = _largest_message_bytes(fleet)
    fleet.run(20.0)
    figures["false_deaths"] = _count_false_deaths(fleet, lost)
    return figures


def measure_cut(size: int, zones: int = 6, cut_s: float = 120.0) -> dict:
    """Measure the time to complete views after the partition of a zone ends."""
    fleet = settled_fleet(size, zones)
    cut_off = {name for name, me in fleet.identities.items() if me.zone == "z1"}
    fleet.is_cut = lambda sender, receiver: (sender in cut_off) != (receiver in cut_off)
    fleet.run(cut_s)
    fleet.is_cut = lambda sender, receiver: False
    lost = [
        len(fleet.identities) - len(node.live_names()) for node in fleet.nodes.values()
    ]
    fleet.actions.clear()
    busy_s = time.process_time()
    figures: dict = {"measure": "cut", "size": size, "away": len(cut_off)}
    figures["lost_views"] = round(statistics.mean(lost), 1)
    names = list(fleet.identities)

    def live_share() -> float:
        live = sum(len(node.live_names()) for node in fleet.nodes.values())
        return live / len(names) ** 2

    started_s = fleet.now_s
    for name, wanted in (("p99", 0.99), ("all", 1.0)):
        _run_until_share(fleet, live_share, wanted)
        figures[f"whole_{name}_s"] = round(fleet.now_s - started_s, 2)
    duration_s = fleet.now_s - started_s
    busy_s = time.process_time() - busy_s
    figures["core_share_percent"] = round(100 * busy_s / len(names) / duration_s, 2)
    figures["bytes_per_s"] = _rate_per_s(_sent_bytes(fleet), fleet, duration_s)
    figures["largest_message_bytes"] = _largest_message_bytes(fleet)
    return figures


def run(sizes: tuple[int, ...] = SIZES) -> None:
    """Run all measurements; print one JSON line for each."""
    for size in sizes:
        for measure in (measure_links, measure_zone_loss, measure_cut):
            print(msgspec.json.encode(measure(size)).decode(), flush=True)


if __name__ == "__main__":
    fire.Fire(run)

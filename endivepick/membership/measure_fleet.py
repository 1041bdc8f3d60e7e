"""Measures fleets in which all instances talk; prints one JSON line for each size.

Run it as ``python -m endivepick.membership.measure_fleet``.  All cores run in one
process, joined by the in-memory loop of the tests; only the processor time is real.
"""

import statistics
import time
from collections.abc import Callable

import fire
import msgspec

from endivepick.core.peer_envelope import Envelope, encode_envelope
from endivepick.membership._simulated_fleet import Loop
from endivepick.membership.actions import PeerChanged, Send
from endivepick.membership.peer_messages import Ping, SyncPage
from endivepick.membership.view import PeerState

SIZES = (32, 128, 512)
ZONES = 14
LINK_IDLE_S = 30.0
"""How long the daemon keeps a link on which nothing is sent."""
_LIMIT_S = 120.0
_STEP_S = 0.05
_DEATHS_CHECKED = 20


def settled_fleet(size: int, zones: int = ZONES, seed: int = 1) -> Loop:
    """Return a fleet in which everybody knows everybody and nothing is news."""
    loop = Loop(seed)
    for number in range(size):
        loop.add(f"entry-{number}", f"z{number % zones}")
    loop.list_all()
    updates = [node._own.to_update() for node in loop.nodes.values()]
    for name, node in loop.nodes.items():
        page = SyncPage(0, [], [u for u in updates if u.name != name], [])
        actions = node.on_message(0.0, "", 0, page)
        loop.carry_out(name, [a for a in actions if isinstance(a, Send)])
    loop.run(10.0)
    loop.actions.clear()
    return loop


def _links(loop: Loop) -> dict[str, float]:
    """Count links in use, and messages, in a fleet in which nothing changes."""
    loop.run(LINK_IDLE_S)
    loop.actions.clear()
    loop.run(LINK_IDLE_S)
    partners: dict[str, set[str]] = {name: set() for name in loop.nodes}
    sent = [(n, a) for _, n, a in loop.actions if isinstance(a, Send)]
    for name, action in sent:
        partners[name].add(action.to_name)
    counts = [len(names) for names in partners.values()]
    return {
        "messages_per_s": _rate(len(sent), loop),
        "links_mean": round(statistics.mean(counts), 1),
        "links_max": max(counts),
    }


def _rate(count: float, loop: Loop, duration_s: float = LINK_IDLE_S) -> float:
    return round(count / duration_s / len(loop.nodes), 2)


def _seconds_until(loop: Loop, share: Callable[[], float], wanted: float) -> float:
    started_s = loop.now_s
    while share() < wanted and loop.now_s < started_s + _LIMIT_S:
        loop.run(_STEP_S)
    return loop.now_s - started_s


def _spread(loop: Loop, share: Callable[[], float], prefix: str) -> dict[str, float]:
    started_s = loop.now_s
    found = {}
    for name, wanted in (("first", 1e-9), ("half", 0.5), ("p99", 0.99), ("all", 1.0)):
        _seconds_until(loop, share, wanted)
        found[f"{prefix}_{name}_s"] = round(loop.now_s - started_s, 2)
    return found


def _share_in_state(loop: Loop, names: list[str], state: PeerState) -> float:
    views = [node.view() for node in loop.nodes.values()]
    seen = sum(view[name].state is state for view in views for name in names)
    return seen / len(views) / len(names)


def _false_deaths(loop: Loop, killed: list[str]) -> int:
    news = [a.new for _, _, a in loop.actions if isinstance(a, PeerChanged)]
    dead = {new.name for new in news if new and new.state is PeerState.DEAD}
    return len(dead - set(killed))


def _largest_message(loop: Loop) -> int:
    messages = [a.message for _, _, a in loop.actions if isinstance(a, Send)]
    return max(len(encode_envelope(Envelope("e", 1, 1, m))) for m in messages)


def _sent_bytes(loop: Loop) -> int:
    sent = [a.message for _, _, a in loop.actions if isinstance(a, Send)]
    return sum(len(encode_envelope(Envelope("entry-0", 1, 1, m))) for m in sent)


def measure_links(size: int) -> dict:
    """Measure a fleet at rest, the spread of one piece of news and of a death."""
    loop = settled_fleet(size)
    found: dict = {"measure": "links", "size": size} | _links(loop)
    left = "entry-3"
    loop.carry_out(left, loop.nodes[left].leave(loop.now_s))
    is_leaving = lambda: _share_in_state(loop, [left], PeerState.LEAVING)  # noqa: E731
    found |= _spread(loop, is_leaving, "news")
    loop.run(10.0)
    loop.actions.clear()
    loop.kill("entry-7")
    is_dead = lambda: _share_in_state(loop, ["entry-7"], PeerState.DEAD)  # noqa: E731
    found |= _spread(loop, is_dead, "death")
    loop.run(10.0)
    found["false_deaths"] = _false_deaths(loop, ["entry-7"])
    loop.actions.clear()
    loop.run(_DEATHS_CHECKED)
    sent = [a for _, _, a in loop.actions if isinstance(a, Send)]
    asked = sum(a.to_name == "entry-7" and isinstance(a.message, Ping) for a in sent)
    found["probes_of_the_dead_per_s"] = round(asked / _DEATHS_CHECKED, 1)
    return found


def measure_zone_loss(size: int, zones: int = ZONES) -> dict:
    """Measure how a fleet takes the loss of one of its zones."""
    loop = settled_fleet(size, zones)
    lost = [name for name, me in loop.me.items() if me.zone == "z1"]
    for name in lost:
        loop.kill(name)
    found: dict = {"measure": "zone_loss", "size": size, "lost": len(lost)}
    started_s, busy_s = loop.now_s, time.process_time()
    found |= _spread(
        loop, lambda: _share_in_state(loop, lost, PeerState.DEAD), "deaths"
    )
    busy_s = time.process_time() - busy_s
    duration_s = loop.now_s - started_s
    found["core_share_percent"] = round(100 * busy_s / len(loop.nodes) / duration_s, 2)
    found["bytes_per_s"] = _rate(_sent_bytes(loop), loop, duration_s)
    found["largest_message_bytes"] = _largest_message(loop)
    loop.run(20.0)
    found["false_deaths"] = _false_deaths(loop, lost)
    return found


def measure_cut(size: int, zones: int = 6, cut_s: float = 120.0) -> dict:
    """Measure how long a fleet takes to be whole again after a zone was cut off."""
    loop = settled_fleet(size, zones)
    away = {name for name, me in loop.me.items() if me.zone == "z1"}
    loop.is_cut = lambda sender, receiver: (sender in away) != (receiver in away)
    loop.run(cut_s)
    loop.is_cut = lambda sender, receiver: False
    lost = [len(loop.me) - len(node.live_names()) for node in loop.nodes.values()]
    loop.actions.clear()
    busy_s = time.process_time()
    found: dict = {"measure": "cut", "size": size, "away": len(away)}
    found["lost_views"] = round(statistics.mean(lost), 1)
    names = list(loop.me)

    def whole() -> float:
        live = sum(len(node.live_names()) for node in loop.nodes.values())
        return live / len(names) ** 2

    started_s = loop.now_s
    for name, wanted in (("p99", 0.99), ("all", 1.0)):
        _seconds_until(loop, whole, wanted)
        found[f"whole_{name}_s"] = round(loop.now_s - started_s, 2)
    duration_s = loop.now_s - started_s
    busy_s = time.process_time() - busy_s
    found["core_share_percent"] = round(100 * busy_s / len(names) / duration_s, 2)
    found["bytes_per_s"] = _rate(_sent_bytes(loop), loop, duration_s)
    found["largest_message_bytes"] = _largest_message(loop)
    return found


def run(sizes: tuple[int, ...] = SIZES) -> None:
    """Print all figures, one JSON line each."""
    for size in sizes:
        for measure in (measure_links, measure_zone_loss, measure_cut):
            print(msgspec.json.encode(measure(size)).decode(), flush=True)


if __name__ == "__main__":
    fire.Fire(run)

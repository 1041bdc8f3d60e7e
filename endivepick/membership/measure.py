"""Measures the cost of the membership; prints one JSON line per measurement.

Run it as ``python -m endivepick.membership.measure``.  The core of one node is
driven directly with simulated peers: each answers every probe, and one of them
probes the node in each period.  Byte counts are those of encoded envelopes, without
the framing of lower layers.
"""

import time
import tracemalloc
from collections.abc import Callable
from functools import partial
from random import Random

import fire
import msgspec

from endivepick.core.peer_envelope import Envelope, encode_envelope
from endivepick.membership._simulated_fleet import TICK_S, SimulatedFleet
from endivepick.membership.actions import Action, Send
from endivepick.membership.core import Membership
from endivepick.membership.measure_fleet import CONNECTION_IDLE_S
from endivepick.membership.peer_messages import (
    Ack,
    Liveness,
    MembershipMessage,
    MemberUpdate,
    Phase,
    Ping,
    SyncDigest,
    SyncPage,
    SyncRequest,
)
from endivepick.membership.settings import MembershipSettings
from endivepick.membership.view import InstanceView, ListedInstance, PeerState

__all__ = ["measure_cost", "measure_detection", "measure_join", "run"]

SIZES = (8, 32, 128, 512, 2_048, 8_000)
_MICROSECONDS = 1e6
_ZONES = 4
_SETTLE_S = 65.0
"""Time until the updates of the start have been disseminated."""


class _CallTimer:
    """Processor time and number of calls of one function."""

    def __init__(self) -> None:
        self.calls = 0
        self.total_s = 0.0

    def run(self, call: Callable[[], list[Action]]) -> list[Action]:
        """Run a call and add its processor time."""
        started_s = time.process_time()
        actions = call()
        self.total_s += time.process_time() - started_s
        self.calls += 1
        return actions

    @property
    def mean_us(self) -> float:
        """Mean processor time per call, in microseconds."""
        return round(self.total_s / max(1, self.calls) * _MICROSECONDS, 2)


class _SimulatedNode:
    """One core with simulated peers."""

    def __init__(self, size: int, seed: int) -> None:
        self.random = Random(seed)
        self.now_s = 0.0
        me = InstanceView("entry-0", "z0", 1, "127.0.0.1:1", PeerState.ALIVE)
        self.core = Membership(MembershipSettings(), me)
        self.updates = {u.name: u for u in map(_make_update, range(1, size))}
        self.names = list(self.updates)
        self.probers = _choose_probers(self.names, self.random)
        self.partners: set[str] = set()
        self.sent_messages = 0
        self.sent_bytes = 0
        self.sync_bytes = 0
        self.tick_timer = _CallTimer()
        self.message_timer = _CallTimer()

    def add_peers(self) -> None:
        """Add all peers to the core, as on join."""
        entries = [ListedInstance(u.name, u.zone, u.peer_address) for u in self.peers]
        self.core.on_instance_list(self.now_s, entries)
        page = SyncPage(0, [], self.peers, [])
        self.core.on_message(self.now_s, self.names[0], 2, page)

    @property
    def peers(self) -> list[MemberUpdate]:
        """Status of all peers."""
        return list(self.updates.values())

    def reset(self) -> None:
        """Reset all counters."""
        self.sent_messages = self.sent_bytes = self.sync_bytes = 0
        self.partners.clear()
        self.tick_timer = _CallTimer()
        self.message_timer = _CallTimer()

    def run(self, duration_s: float) -> None:
        """Run for a time span, with one incoming probe per period."""
        settings = MembershipSettings()
        per_period = round(settings.probe_period_s / TICK_S)
        for number in range(round(duration_s / TICK_S)):
            self.now_s += TICK_S
            tick = partial(self.core.tick, self.now_s, self.random.getrandbits(64))
            self._handle(self.tick_timer.run(tick))
            if number % per_period == 0:
                name = self.random.choice(self.probers)
                self.receive(name, Ping(number, 1, 0, [], []))

    def receive(self, name: str, message: MembershipMessage) -> None:
        """Deliver a message of a peer to the core."""
        incarnation = self.updates[name].incarnation
        call = partial(self.core.on_message, self.now_s, name, incarnation, message)
        self._handle(self.message_timer.run(call))

    def _handle(self, actions: list[Action]) -> None:
        for action in actions:
            if not isinstance(action, Send):
                continue
            self.sent_messages += 1
            self.partners.add(action.to_name)
            envelope = Envelope("entry-0", 2**63, 2**60, action.message)
            size_bytes = len(encode_envelope(envelope))
            self.sent_bytes += size_bytes
            if isinstance(action.message, SyncDigest):
                self.sync_bytes += size_bytes
            if isinstance(action.message, Ping):
                self.receive(action.to_name, Ack(action.message.sequence, [], []))


def _choose_probers(names: list[str], random: Random) -> list[str]:
    """Return the names of the peers that probe the node."""
    settings = MembershipSettings()
    if len(names) < settings.all_probed_up_to:
        return names
    return random.sample(names, settings.watchers)


def _make_update(number: int) -> MemberUpdate:
    return MemberUpdate(
        f"entry-{number}",
        f"z{number % _ZONES}",
        f"127.0.0.1:{number}",
        2**63 + number,
        1_700_000_000_000,
        Phase.READY,
        0,
        Liveness.ALIVE,
    )


def measure_cost(size: int, duration_s: float = 120.0, seed: int = 1) -> dict:
    """Measure one node in a fleet of ``size`` instances without changes.

    Parameters
    ----------
    size : int
        Number of instances, including this node.
    duration_s : float
        Simulated time, in seconds.
    seed : int
        Seed of the random numbers.

    Returns
    -------
    dict
        Rates per second of simulated time, processor time in microseconds, memory
        per peer in bytes, and ``partners``: the number of peers that the node sent
        to in the last ``CONNECTION_IDLE_S``.
    """
    tracemalloc.start()
    node = _SimulatedNode(size, seed)
    before_bytes, _ = tracemalloc.get_traced_memory()
    node.add_peers()
    after_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    node.run(_SETTLE_S)
    node.reset()
    node.run(duration_s - CONNECTION_IDLE_S)
    node.partners.clear()
    node.run(CONNECTION_IDLE_S)
    busy_s = node.tick_timer.total_s + node.message_timer.total_s
    return {
        "measure": "cost",
        "size": size,
        "seed": seed,
        "partners": len(node.partners),
        "sent_messages_per_s": round(node.sent_messages / duration_s, 2),
        "sent_bytes_per_s": round(node.sent_bytes / duration_s, 1),
        "of_it_digest_bytes_per_s": round(node.sync_bytes / duration_s, 1),
        "tick_us": node.tick_timer.mean_us,
        "message_us": node.message_timer.mean_us,
        "core_share_percent": round(100 * busy_s / duration_s, 3),
        "bytes_per_peer": round((after_bytes - before_bytes) / (size - 1)),
    }


def measure_change(size: int, seed: int = 1, changes: int = 6) -> dict:
    """Measure the cost of disseminating an update about one peer, for one node."""
    node = _SimulatedNode(size, seed)
    node.add_peers()
    node.run(_SETTLE_S)
    node.reset()
    node.run(60.0)
    quiet_bytes = node.sent_bytes
    node.reset()
    for peer in node.peers[:changes]:
        fields = msgspec.structs.asdict(peer)
        fields.update(refutation=1, phase=Phase.LEAVING)
        node.receive(peer.name, Ping(1, 1, 0, [MemberUpdate(**fields)], []))
    message_us = node.message_timer.mean_us
    node.run(60.0)
    return {
        "measure": "change",
        "size": size,
        "seed": seed,
        "sent_bytes_per_change": round((node.sent_bytes - quiet_bytes) / changes),
        "message_us": message_us,
    }


def _find_page(actions: list[Action]) -> SyncPage:
    messages = [action.message for action in actions if isinstance(action, Send)]
    return next(message for message in messages if isinstance(message, SyncPage))


def measure_join(size: int, seed: int = 1) -> dict:
    """Measure the full view that a node sends to a joining one."""
    node = _SimulatedNode(size, seed)
    node.add_peers()
    cursor, pages, largest_bytes, total_bytes = 0, 0, 0, 0
    me = _make_update(0)
    name = node.names[0]
    while True:
        actions = node.core.on_message(0.0, name, 2, SyncRequest(cursor, me))
        page = _find_page(actions)
        size_bytes = len(encode_envelope(Envelope("entry-0", 2**63, 2**60, page)))
        pages += 1
        total_bytes += size_bytes
        largest_bytes = max(largest_bytes, size_bytes)
        cursor = page.next_cursor
        if cursor == 0:
            break
    return {
        "measure": "join",
        "size": size,
        "pages": pages,
        "total_bytes": total_bytes,
        "largest_page_bytes": largest_bytes,
    }


def _start_fleet(size: int, loss: float, seed: int) -> SimulatedFleet:
    fleet = SimulatedFleet(seed, loss)
    for number in range(size):
        fleet.add(f"entry-{number}", f"z{number % _ZONES}")
    fleet.deliver_list()
    fleet.run(10.0)
    return fleet


def _is_dead_at(fleet: SimulatedFleet, name: str, observers: int) -> Callable[[], bool]:
    def is_met() -> bool:
        views = [node.view()[name] for node in fleet.nodes.values()]
        return sum(view.state is PeerState.DEAD for view in views) >= observers

    return is_met


def measure_detection(size: int = 9, loss: float = 0.05, kills: int = 100) -> dict:
    """Measure the time until the first and the last peer detect a killed node.

    Parameters
    ----------
    size : int
        Number of instances.
    loss : float
        Share of messages that are lost.
    kills : int
        Number of trials, each in a new fleet with its own seed.

    Returns
    -------
    dict
        Percentiles in seconds, and the number of live instances declared dead.
    """
    firsts, lasts, false_deaths = [], [], 0
    for seed in range(kills):
        fleet = _start_fleet(size, loss, seed)
        fleet.run(fleet.random.random())
        victim = f"entry-{fleet.random.randrange(size)}"
        fleet.kill(victim)
        first_s = fleet.run_until(_is_dead_at(fleet, victim, 1), 60.0)
        rest_s = fleet.run_until(_is_dead_at(fleet, victim, size - 1), 60.0)
        firsts.append(first_s)
        lasts.append(first_s + rest_s)
        false_deaths += _count_false_deaths(fleet, victim)
    return {
        "measure": "detection",
        "size": size,
        "loss": loss,
        "kills": kills,
        "first_s": _percentiles(firsts),
        "last_s": _percentiles(lasts),
        "false_deaths": false_deaths,
    }


def _count_false_deaths(fleet: SimulatedFleet, victim: str) -> int:
    death_count = 0
    for _, _, action in fleet.actions:
        view = getattr(action, "new", None)
        if view is not None and view.state is PeerState.DEAD:
            death_count += view.name != victim
    return death_count


def measure_quiet(size: int = 9, loss: float = 0.05, duration_s: float = 3600) -> dict:
    """Count suspicions and deaths in a fleet without failures."""
    fleet = _start_fleet(size, loss, 1)
    fleet.actions.clear()
    suspected = 0
    for _ in range(round(duration_s / 60)):
        fleet.run(60.0)
        views = [getattr(action, "new", None) for _, _, action in fleet.actions]
        suspected += sum(v is not None and v.state is PeerState.SUSPECT for v in views)
        dead = sum(v is not None and v.state is PeerState.DEAD for v in views)
        fleet.actions.clear()
        if dead:
            break
    return {
        "measure": "quiet",
        "size": size,
        "loss": loss,
        "duration_s": duration_s,
        "suspicions_seen": suspected,
        "false_deaths": dead,
    }


def _percentiles(values: list[float]) -> dict[str, float]:
    ordered = sorted(values)
    last = len(ordered) - 1
    return {
        "minimum": round(ordered[0], 2),
        "median": round(ordered[last // 2], 2),
        "p99": round(ordered[round(0.99 * last)], 2),
        "maximum": round(ordered[-1], 2),
    }


def run(sizes: tuple[int, ...] = SIZES, kills: int = 100) -> None:
    """Run all measurements; print one JSON line for each."""
    for size in sizes:
        _print_figures(measure_cost(size))
        _print_figures(measure_change(size))
        _print_figures(measure_join(size))
    for size in (8, 9):
        _print_figures(measure_detection(size, kills=kills))
    _print_figures(measure_quiet())


def _print_figures(figures: dict) -> None:
    print(msgspec.json.encode(figures).decode(), flush=True)


if __name__ == "__main__":
    fire.Fire(run)

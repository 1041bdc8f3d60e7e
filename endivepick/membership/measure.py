"""Measures what the membership costs; prints one JSON line for each figure.

Run it as ``python -m endivepick.membership.measure``.  The core of one node is
driven directly, and its peers are made up: each answers every probe, and one of
them probes the node in each period.  Bytes are those of encoded envelopes,
without the framing below.
"""

import time
import tracemalloc
from collections.abc import Callable
from functools import partial
from random import Random

import fire
import msgspec

from endivepick.core.peer_envelope import Envelope, encode_envelope
from endivepick.membership._simulated_fleet import TICK_S, Loop
from endivepick.membership.actions import Action, Send
from endivepick.membership.core import Membership
from endivepick.membership.measure_fleet import LINK_IDLE_S
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
"""Until the news of the start have been passed on."""


class _Meter:
    """Processor time and number of calls of one kind."""

    def __init__(self) -> None:
        self.calls = 0
        self.total_s = 0.0

    def run(self, call: Callable[[], list[Action]]) -> list[Action]:
        """Call and add up."""
        started_s = time.process_time()
        actions = call()
        self.total_s += time.process_time() - started_s
        self.calls += 1
        return actions

    @property
    def mean_us(self) -> float:
        """Mean time of a call, in microseconds."""
        return round(self.total_s / max(1, self.calls) * _MICROSECONDS, 2)


class _Node:
    """One core among made-up peers."""

    def __init__(self, size: int, seed: int) -> None:
        self.random = Random(seed)
        self.now_s = 0.0
        me = InstanceView("entry-0", "z0", 1, "127.0.0.1:1", PeerState.ALIVE)
        self.core = Membership(MembershipSettings(), me)
        self.updates = {u.name: u for u in map(_update, range(1, size))}
        self.names = list(self.updates)
        self.watchers = _watchers(self.names, self.random)
        self.partners: set[str] = set()
        self.sent_messages = 0
        self.sent_bytes = 0
        self.sync_bytes = 0
        self.tick_meter = _Meter()
        self.message_meter = _Meter()

    def fill(self) -> None:
        """Give the core its peers, as on join."""
        entries = [ListedInstance(u.name, u.zone, u.peer_address) for u in self.peers]
        self.core.on_instance_list(self.now_s, entries)
        page = SyncPage(0, [], self.peers, [])
        self.core.on_message(self.now_s, self.names[0], 2, page)

    @property
    def peers(self) -> list[MemberUpdate]:
        """Status of all peers."""
        return list(self.updates.values())

    def reset(self) -> None:
        """Start to count anew."""
        self.sent_messages = self.sent_bytes = self.sync_bytes = 0
        self.partners.clear()
        self.tick_meter = _Meter()
        self.message_meter = _Meter()

    def run(self, duration_s: float) -> None:
        """Let time pass, with one probe of a peer in each period."""
        settings = MembershipSettings()
        per_period = round(settings.probe_period_s / TICK_S)
        for number in range(round(duration_s / TICK_S)):
            self.now_s += TICK_S
            tick = partial(self.core.tick, self.now_s, self.random.getrandbits(64))
            self._handle(self.tick_meter.run(tick))
            if number % per_period == 0:
                name = self.random.choice(self.watchers)
                self.receive(name, Ping(number, 1, 0, [], []))

    def receive(self, name: str, message: MembershipMessage) -> None:
        """Give the core a message of a peer."""
        incarnation = self.updates[name].incarnation
        call = partial(self.core.on_message, self.now_s, name, incarnation, message)
        self._handle(self.message_meter.run(call))

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


def _watchers(names: list[str], random: Random) -> list[str]:
    """Return who probes the node: in a large fleet a few."""
    settings = MembershipSettings()
    if len(names) < settings.all_probed_up_to:
        return names
    return random.sample(names, settings.watchers)


def _update(number: int) -> MemberUpdate:
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
    """Measure one node among ``size`` instances, nothing changing.

    Parameters
    ----------
    size : int
        Instances, this one included.
    duration_s : float
        Simulated time, in seconds.
    seed : int
        Seed of the random numbers.

    Returns
    -------
    dict
        Rates per second of simulated time, processor time in microseconds,
        memory of the core's peers in bytes, and ``partners``: peers that the node
        sent to in the last ``LINK_IDLE_S``.
    """
    tracemalloc.start()
    node = _Node(size, seed)
    before_bytes, _ = tracemalloc.get_traced_memory()
    node.fill()
    after_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    node.run(_SETTLE_S)
    node.reset()
    node.run(duration_s - LINK_IDLE_S)
    node.partners.clear()
    node.run(LINK_IDLE_S)
    busy_s = node.tick_meter.total_s + node.message_meter.total_s
    return {
        "measure": "cost",
        "size": size,
        "seed": seed,
        "partners": len(node.partners),
        "sent_messages_per_s": round(node.sent_messages / duration_s, 2),
        "sent_bytes_per_s": round(node.sent_bytes / duration_s, 1),
        "of_it_digest_bytes_per_s": round(node.sync_bytes / duration_s, 1),
        "tick_us": node.tick_meter.mean_us,
        "message_us": node.message_meter.mean_us,
        "core_share_percent": round(100 * busy_s / duration_s, 3),
        "bytes_per_peer": round((after_bytes - before_bytes) / (size - 1)),
    }


def measure_change(size: int, seed: int = 1, changes: int = 6) -> dict:
    """Measure what the news about one peer costs a node until it is spread."""
    node = _Node(size, seed)
    node.fill()
    node.run(_SETTLE_S)
    node.reset()
    node.run(60.0)
    quiet_bytes = node.sent_bytes
    node.reset()
    for peer in node.peers[:changes]:
        fields = msgspec.structs.asdict(peer)
        fields.update(refutation=1, phase=Phase.LEAVING)
        node.receive(peer.name, Ping(1, 1, 0, [MemberUpdate(**fields)], []))
    message_us = node.message_meter.mean_us
    node.run(60.0)
    return {
        "measure": "change",
        "size": size,
        "seed": seed,
        "sent_bytes_per_change": round((node.sent_bytes - quiet_bytes) / changes),
        "message_us": message_us,
    }


def _page_in(actions: list[Action]) -> SyncPage:
    messages = [action.message for action in actions if isinstance(action, Send)]
    return next(message for message in messages if isinstance(message, SyncPage))


def measure_join(size: int, seed: int = 1) -> dict:
    """Measure the whole view that a node gives to one that joins."""
    node = _Node(size, seed)
    node.fill()
    cursor, pages, largest_bytes, total_bytes = 0, 0, 0, 0
    me = _update(0)
    name = node.names[0]
    while True:
        actions = node.core.on_message(0.0, name, 2, SyncRequest(cursor, me))
        page = _page_in(actions)
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


def _loop(size: int, loss: float, seed: int) -> Loop:
    loop = Loop(seed, loss)
    for number in range(size):
        loop.add(f"entry-{number}", f"z{number % _ZONES}")
    loop.list_all()
    loop.run(10.0)
    return loop


def _is_dead_at(loop: Loop, name: str, observers: int) -> Callable[[], bool]:
    def is_met() -> bool:
        views = [node.view()[name] for node in loop.nodes.values()]
        return sum(view.state is PeerState.DEAD for view in views) >= observers

    return is_met


def measure_detection(size: int = 9, loss: float = 0.05, kills: int = 100) -> dict:
    """Measure the time from a kill until the first and the last peer know.

    Parameters
    ----------
    size : int
        Instances.
    loss : float
        Share of messages that are lost.
    kills : int
        Trials, each in a new fleet with its own seed.

    Returns
    -------
    dict
        Percentiles in seconds, and deaths of instances that lived.
    """
    firsts, lasts, false_deaths = [], [], 0
    for seed in range(kills):
        loop = _loop(size, loss, seed)
        loop.run(loop.random.random())
        victim = f"entry-{loop.random.randrange(size)}"
        loop.kill(victim)
        first_s = loop.run_until(_is_dead_at(loop, victim, 1), 60.0)
        rest_s = loop.run_until(_is_dead_at(loop, victim, size - 1), 60.0)
        firsts.append(first_s)
        lasts.append(first_s + rest_s)
        false_deaths += _count_false_deaths(loop, victim)
    return {
        "measure": "detection",
        "size": size,
        "loss": loss,
        "kills": kills,
        "first_s": _percentiles(firsts),
        "last_s": _percentiles(lasts),
        "false_deaths": false_deaths,
    }


def _count_false_deaths(loop: Loop, victim: str) -> int:
    found = 0
    for _, _, action in loop.actions:
        view = getattr(action, "new", None)
        if view is not None and view.state is PeerState.DEAD:
            found += view.name != victim
    return found


def measure_quiet(size: int = 9, loss: float = 0.05, duration_s: float = 3600) -> dict:
    """Count suspicions and deaths in a fleet in which nobody fails."""
    loop = _loop(size, loss, 1)
    loop.actions.clear()
    suspected = 0
    for _ in range(round(duration_s / 60)):
        loop.run(60.0)
        views = [getattr(action, "new", None) for _, _, action in loop.actions]
        suspected += sum(v is not None and v.state is PeerState.SUSPECT for v in views)
        dead = sum(v is not None and v.state is PeerState.DEAD for v in views)
        loop.actions.clear()
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
    """Print all figures, one JSON line each."""
    for size in sizes:
        _print(measure_cost(size))
        _print(measure_change(size))
        _print(measure_join(size))
    for size in (8, 9):
        _print(measure_detection(size, kills=kills))
    _print(measure_quiet())


def _print(figures: dict) -> None:
    print(msgspec.json.encode(figures).decode(), flush=True)


if __name__ == "__main__":
    fire.Fire(run)

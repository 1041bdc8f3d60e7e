"""In-memory message loop that drives several cores, for tests and measurements."""

import heapq
from collections.abc import Callable, Iterator
from itertools import count
from random import Random

from endivepick.membership.actions import Action, Send, SendToSeed
from endivepick.membership.core import Membership
from endivepick.membership.peer_messages import MembershipMessage
from endivepick.membership.settings import MembershipSettings
from endivepick.membership.view import InstanceView, ListedInstance, PeerState

TICK_S = 0.05


class Loop:
    """Nodes by name, joined by a lossy network with delays; no real time."""

    def __init__(
        self, seed: int = 1, loss: float = 0.0, max_delay_s: float = 0.003
    ) -> None:
        self.random = Random(seed)
        self.loss = loss
        self.max_delay_s = max_delay_s
        self.now_s = 0.0
        self.nodes: dict[str, Membership] = {}
        self.me: dict[str, InstanceView] = {}
        self.actions: list[tuple[float, str, Action]] = []
        self.is_cut: Callable[[str, str], bool] = lambda sender, receiver: False
        self.paused: set[str] = set()
        self._count = count()
        self._events: list[tuple[float, int, str, tuple | None]] = []
        self._held: dict[str, list[tuple]] = {}

    def add(
        self,
        name: str,
        zone: str,
        settings: MembershipSettings | None = None,
        generation: int = 1,
        ready: bool = True,
    ) -> Membership:
        """Start a node, in place of a former one of its name."""
        incarnation = self.random.getrandbits(64) | 1
        former = self.me.get(name)
        address = former.peer_address if former else f"127.0.0.1:{len(self.me)}"
        me = InstanceView(name, zone, incarnation, address, PeerState.ALIVE, ready)
        node = Membership(settings or MembershipSettings(), me, generation)
        self.me[name] = me
        is_new = name not in self.nodes
        self.nodes[name] = node
        if is_new:
            self._schedule(self.random.random() * TICK_S, name, None)
        return node

    def kill(self, name: str) -> None:
        """End a node; its address answers no more."""
        del self.nodes[name]

    def list_all(self, age_s: float = 0.0, leaving: tuple[str, ...] = ()) -> None:
        """Give every node the list of those that run."""
        entries = [
            ListedInstance(name, me.zone, me.peer_address, name in leaving)
            for name, me in self.me.items()
            if name in self.nodes
        ]
        for name, node in self.nodes.items():
            self.carry_out(name, node.on_instance_list(self.now_s, entries, age_s))

    def carry_out(self, name: str, actions: list[Action]) -> None:
        """Record a node's actions and send its messages."""
        for action in actions:
            self.actions.append((self.now_s, name, action))
            match action:
                case Send(to_name=to_name, message=message):
                    self._send(name, to_name, message)
                case SendToSeed(peer_address=address, message=message):
                    for receiver in self._standing_at(address):
                        self._send(name, receiver, message)

    def _standing_at(self, peer_address: str) -> list[str]:
        return [n for n, me in self.me.items() if me.peer_address == peer_address]

    def _send(self, sender: str, receiver: str, message: MembershipMessage) -> None:
        if self.random.random() < self.loss or self.is_cut(sender, receiver):
            return
        delay_s = self.random.uniform(0.0, self.max_delay_s)
        incarnation = self.me[sender].incarnation
        self._schedule(delay_s, receiver, (sender, incarnation, message))

    def _schedule(self, delay_s: float, name: str, event: tuple | None) -> None:
        entry = (self.now_s + delay_s, next(self._count), name, event)
        heapq.heappush(self._events, entry)

    def run(self, duration_s: float) -> None:
        """Let time pass."""
        for _ in self.steps(duration_s):
            pass

    def run_until(self, is_met: Callable[[], bool], limit_s: float) -> float:
        """Let time pass until a condition holds; return how long it took."""
        started_s = self.now_s
        for _ in self.steps(limit_s):
            if is_met():
                return self.now_s - started_s
        raise AssertionError(f"The condition did not hold within {limit_s} s.")

    def steps(self, duration_s: float) -> Iterator[None]:
        """Let time pass event by event."""
        end_s = self.now_s + duration_s
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, name, event = heapq.heappop(self._events)
            self._handle(name, event)
            yield
        self.now_s = end_s

    def _handle(self, name: str, event: tuple | None) -> None:
        node = self.nodes.get(name)
        if event is None:
            if node is not None:
                self._schedule(TICK_S, name, None)
            if node is not None and name not in self.paused:
                self.carry_out(name, node.tick(self.now_s, self.random.getrandbits(64)))
        elif name in self.paused:
            self._held.setdefault(name, []).append(event)
        elif node is not None:
            self.carry_out(name, node.on_message(self.now_s, *event))

    def resume(self, name: str) -> None:
        """Wake a paused node; what came meanwhile is delivered first."""
        self.paused.discard(name)
        for event in self._held.pop(name, []):
            self.carry_out(name, self.nodes[name].on_message(self.now_s, *event))

    def states(self, name: str) -> dict[str, PeerState]:
        """Return what a node believes of the others."""
        view = self.nodes[name].view()
        return {peer: one.state for peer, one in view.items() if peer != name}

"""Simulated fleet: several cores on an in-memory network with simulated time."""

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


class SimulatedFleet:
    """Nodes connected by a simulated network with loss and delay.

    Time is simulated: it advances with the events of the schedule.
    """

    def __init__(
        self, seed: int = 1, loss: float = 0.0, max_delay_s: float = 0.003
    ) -> None:
        self.random = Random(seed)
        self.loss = loss
        self.max_delay_s = max_delay_s
        self.now_s = 0.0
        self.nodes: dict[str, Membership] = {}
        self.identities: dict[str, InstanceView] = {}
        self.actions: list[tuple[float, str, Action]] = []
        self.is_cut: Callable[[str, str], bool] = lambda sender, receiver: False
        self.paused: set[str] = set()
        self._count = count()
        self._events: list[tuple[float, int, str, tuple | None]] = []
        self._held_events: dict[str, list[tuple]] = {}

    def add(
        self,
        name: str,
        zone: str,
        settings: MembershipSettings | None = None,
        generation: int = 1,
        ready: bool = True,
    ) -> Membership:
        """Start a node; it replaces a previous node of the same name."""
        incarnation = self.random.getrandbits(64) | 1
        previous = self.identities.get(name)
        address = (
            previous.peer_address if previous else f"127.0.0.1:{len(self.identities)}"
        )
        me = InstanceView(name, zone, incarnation, address, PeerState.ALIVE, ready)
        node = Membership(settings or MembershipSettings(), me, generation)
        self.identities[name] = me
        is_new = name not in self.nodes
        self.nodes[name] = node
        if is_new:
            self._schedule(self.random.random() * TICK_S, name, None)
        return node

    def kill(self, name: str) -> None:
        """Stop a node; messages to it are dropped."""
        del self.nodes[name]

    def deliver_list(self, age_s: float = 0.0, leaving: tuple[str, ...] = ()) -> None:
        """Deliver the list of running nodes to every node."""
        entries = [
            ListedInstance(name, me.zone, me.peer_address, name in leaving)
            for name, me in self.identities.items()
            if name in self.nodes
        ]
        for name, node in self.nodes.items():
            self.apply_actions(name, node.on_instance_list(self.now_s, entries, age_s))

    def apply_actions(self, name: str, actions: list[Action]) -> None:
        """Record the actions of a node and send its messages."""
        for action in actions:
            self.actions.append((self.now_s, name, action))
            match action:
                case Send(to_name=to_name, message=message):
                    self._send(name, to_name, message)
                case SendToSeed(peer_address=address, message=message):
                    for receiver in self._find_by_address(address):
                        self._send(name, receiver, message)

    def _find_by_address(self, peer_address: str) -> list[str]:
        return [
            n for n, me in self.identities.items() if me.peer_address == peer_address
        ]

    def _send(self, sender: str, receiver: str, message: MembershipMessage) -> None:
        if self.random.random() < self.loss or self.is_cut(sender, receiver):
            return
        delay_s = self.random.uniform(0.0, self.max_delay_s)
        incarnation = self.identities[sender].incarnation
        self._schedule(delay_s, receiver, (sender, incarnation, message))

    def _schedule(self, delay_s: float, name: str, event: tuple | None) -> None:
        entry = (self.now_s + delay_s, next(self._count), name, event)
        heapq.heappush(self._events, entry)

    def run(self, duration_s: float) -> None:
        """Process all events of a time span."""
        for _ in self.steps(duration_s):
            pass

    def run_until(self, is_met: Callable[[], bool], limit_s: float) -> float:
        """Process events until a condition holds; return the elapsed time."""
        started_s = self.now_s
        for _ in self.steps(limit_s):
            if is_met():
                return self.now_s - started_s
        raise AssertionError(f"condition not met within {limit_s} s")

    def steps(self, duration_s: float) -> Iterator[None]:
        """Process the events of a time span one by one."""
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
                self.apply_actions(
                    name, node.tick(self.now_s, self.random.getrandbits(64))
                )
        elif name in self.paused:
            self._held_events.setdefault(name, []).append(event)
        elif node is not None:
            self.apply_actions(name, node.on_message(self.now_s, *event))

    def resume(self, name: str) -> None:
        """Resume a paused node; the messages held meanwhile are delivered first."""
        self.paused.discard(name)
        for event in self._held_events.pop(name, []):
            self.apply_actions(name, self.nodes[name].on_message(self.now_s, *event))

    def states(self, name: str) -> dict[str, PeerState]:
        """Return the states of all peers as seen by a node."""
        view = self.nodes[name].view()
        return {peer: one.state for peer, one in view.items() if peer != name}

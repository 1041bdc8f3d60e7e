"""States that instances were found in, and what events make of them."""

from collections.abc import Hashable
from copy import deepcopy
from dataclasses import dataclass

from endivepick.core.flow_table import Identity
from endivepick.core.messages import Opened
from endivepick.model._node import Effect, Event, Node, Parts, effects_of

__all__ = ["NodeStates", "Reaction"]


@dataclass(frozen=True)
class Reaction:
    """Outcome of one event at one instance.

    Attributes
    ----------
    key : int
        State of the instance afterwards.
    effects : tuple
        What it sent.
    used_view, used_placement : bool
        Whether the choices of the event mattered.
    """

    key: int
    effects: tuple[Effect, ...]
    used_view: bool
    used_placement: bool


class NodeStates:
    """All states that instances were found in, by number."""

    def __init__(self, parts: Parts) -> None:
        self._parts = parts
        self._numbers: dict[Hashable, int] = {}
        self._nodes: list[Node] = []
        self._reactions: dict[tuple[int, Event], Reaction] = {}

    def fresh(self, me: Identity) -> int:
        """Return the state of an instance that has just started."""
        return self._intern(Node(me, self._parts))

    def opening(self, me: Identity) -> tuple[int, Opened]:
        """Return the state of an instance that has opened one flow."""
        node = Node(me, self._parts)
        opened = node.open_flow()
        return self._intern(node), opened

    def node(self, key: int) -> Node:
        """Return the instance in a state; it must not be changed."""
        return self._nodes[key]

    def after(self, key: int, event: Event) -> Reaction:
        """Let an instance handle an event."""
        reaction = self._reactions.get((key, event))
        if reaction is None:
            reaction = self._react(key, event)
            self._reactions[key, event] = reaction
        return reaction

    def _react(self, key: int, event: Event) -> Reaction:
        node = deepcopy(self._nodes[key])
        effects = effects_of(node.handle(event))
        return Reaction(
            key=self._intern(node),
            effects=effects,
            used_view=node.peers.asked,
            used_placement=node.dispatcher.asked,
        )

    def _intern(self, node: Node) -> int:
        frozen = node.frozen()
        number = self._numbers.get(frozen)
        if number is None:
            number = len(self._nodes)
            self._numbers[frozen] = number
            self._nodes.append(node)
        return number

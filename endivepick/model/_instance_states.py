"""Instances of the flow model, as numbered states."""

from dataclasses import dataclass

from endivepick.core.flow_table import Identity
from endivepick.core.messages import Opened
from endivepick.model._events import Effect, Event, effects_of
from endivepick.model._flow_node import Node, Parts
from endivepick.model._transition_cache import Memory

__all__ = ["Instances", "Reaction"]


@dataclass(frozen=True)
class Reaction:
    """Outcome of one event at one instance.

    Attributes
    ----------
    state : int
        State of the instance afterwards.
    effects : tuple
        What it sent.
    used_view, used_placement : bool
        Whether the choices of the event mattered.
    """

    state: int
    effects: tuple[Effect, ...]
    used_view: bool
    used_placement: bool


@dataclass(frozen=True)
class _Handled:
    effects: tuple[Effect, ...]
    used_view: bool
    used_placement: bool


class Instances:
    """All states that instances were found in.

    Parameters
    ----------
    parts : Parts
        Classes that they are built of.
    """

    def __init__(self, parts: Parts) -> None:
        self._parts = parts
        self._memory: Memory[Node] = Memory(Node.frozen)

    def __getitem__(self, state: int) -> Node:
        """Return the instance in a state; it must not be changed."""
        return self._memory[state]

    def fresh(self, me: Identity) -> int:
        """Return the state of an instance that has just started."""
        return self._memory.number_of(Node(me, self._parts))

    def opening(self, me: Identity) -> tuple[int, Opened]:
        """Return the state of an instance that has opened one flow."""
        node = Node(me, self._parts)
        opened = node.open_flow()
        return self._memory.number_of(node), opened

    def after(self, state: int, event: Event) -> Reaction:
        """Let an instance handle an event."""

        def handle(node: Node) -> _Handled:
            effects = effects_of(node.handle(event))
            return _Handled(effects, node.peers.asked, node.dispatcher.asked)

        next_state, handled = self._memory.after(state, event, handle)
        return Reaction(
            next_state, handled.effects, handled.used_view, handled.used_placement
        )

"""Numbered states of the instances of the flow model."""

from dataclasses import dataclass

from endivepick.core.flow_table import Identity
from endivepick.core.messages import Opened
from endivepick.model._events import Effect, Event, effects_of
from endivepick.model._flow_node import Node, Parts
from endivepick.model._transition_cache import TransitionCache

__all__ = ["Instances", "Reaction"]


@dataclass(frozen=True)
class Reaction:
    """Outcome of one event at one instance.

    Attributes
    ----------
    state : int
        State of the instance after the event.
    effects : tuple
        Effects of the event outside the instance.
    used_view, used_placement : bool
        Whether the instance consulted its view or its dispatcher.
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
    """All states that instances have reached.

    Parameters
    ----------
    parts : Parts
        Classes that an instance consists of.
    """

    def __init__(self, parts: Parts) -> None:
        self._parts = parts
        self._states: TransitionCache[Node] = TransitionCache(Node.frozen)

    def __getitem__(self, state: int) -> Node:
        """Return the instance in a state; the caller must not modify it."""
        return self._states[state]

    def fresh(self, me: Identity) -> int:
        """Return the state of a newly started instance."""
        return self._states.number_of(Node(me, self._parts))

    def opening(self, me: Identity) -> tuple[int, Opened]:
        """Return the state of an instance that has opened one flow, and its reply."""
        node = Node(me, self._parts)
        opened = node.open_flow()
        return self._states.number_of(node), opened

    def apply_event(self, state: int, event: Event) -> Reaction:
        """Let an instance handle an event."""

        def handle(node: Node) -> _Handled:
            effects = effects_of(node.handle(event))
            return _Handled(
                effects, node.peers.was_consulted, node.dispatcher.was_consulted
            )

        next_state, handled = self._states.apply_event(state, event, handle)
        return Reaction(
            next_state, handled.effects, handled.used_view, handled.used_placement
        )

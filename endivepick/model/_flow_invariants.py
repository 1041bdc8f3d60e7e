"""What must hold in every state of the flow model."""

from collections.abc import Callable

from endivepick.core.messages import Refused
from endivepick.model._flow_state import Bounds, Outcome, World
from endivepick.model._instance_states import Instances

__all__ = ["FlowInvariants"]


class FlowInvariants:
    """Predicates on states of the flow model.

    Parameters
    ----------
    bounds : Bounds
        Bounds of the model.
    instances : Instances
        States of its instances.
    """

    def __init__(self, bounds: Bounds, instances: Instances) -> None:
        self._bounds = bounds
        self._instances = instances
        self._holds: dict[int, frozenset[int]] = {}

    def by_name(self) -> dict[str, Callable[[World], bool]]:
        """Return the invariants with the names that reports show."""
        return {
            "a non-idempotent request runs at most once": self.at_most_once,
            "'not run' is true": self.not_run_is_true,
            "a window has one holder": self.one_holder,
            "a planned stop cuts nothing": self.stop_cuts_nothing,
        }

    def at_most_once(self, world: World) -> bool:
        """Tell whether a non-idempotent request ran at most once."""
        return self._bounds.idempotent or world.runs <= 1

    def not_run_is_true(self, world: World) -> bool:
        """Tell whether nothing ran that was called "not run"."""
        if world.caller.outcome is Outcome.NOT_RUN and world.runs:
            return False
        return not any(
            isinstance(packet, Refused) and (packet.binding, packet.seq) in world.ran
            for packet in world.told
        )

    def one_holder(self, world: World) -> bool:
        """Tell whether no two instances would run requests of one binding."""
        seen: set[int] = set()
        for state in world.nodes:
            if state is None:
                continue
            held = self._held(state)
            if seen & held:
                return False
            seen |= held
        return True

    def _held(self, state: int) -> frozenset[int]:
        held = self._holds.get(state)
        if held is None:
            table = self._instances[state].table
            held = frozenset(flow.binding for flow in table if not flow.frozen)
            self._holds[state] = held
        return held

    def stop_cuts_nothing(self, world: World) -> bool:
        """Tell whether no planned stop has cut a request in progress."""
        return not world.cut

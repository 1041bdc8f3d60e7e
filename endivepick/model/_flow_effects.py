"""What effects of one instance make of the rest of the flow model."""

from typing import TypeVar

from endivepick.core.flow_table import Identity
from endivepick.core.messages import InstancePacket, Reissued
from endivepick.model._events import (
    Cancelled,
    Effect,
    Event,
    Give,
    Sent,
    ToCaller,
    ToPeer,
)
from endivepick.model._flow_state import Attempt, Bounds, World
from endivepick.model._instance_states import Instances

__all__ = ["FlowEffects", "pending", "replaced", "runs_after"]

_T = TypeVar("_T")


class FlowEffects:
    """Carries the effects of instances out.

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

    def me(self, world: World, index: int) -> Identity:
        """Return name and present incarnation of an instance."""
        return Identity(self._bounds.names[index], world.incarnations[index])

    def apply(
        self,
        world: World,
        index: int,
        state: int,
        effects: tuple[Effect, ...],
        event: Event,
    ) -> World | None:
        """Carry effects out; None if they leave the bounds."""
        world = world._replace(nodes=replaced(world.nodes, index, state))
        me = self.me(world, index)
        for effect in effects:
            match effect:
                case ToCaller(packet=packet):
                    told = self._tell(world, packet)
                    if told is None:
                        return None
                    world = told
                case ToPeer():
                    world = world._replace(peer=world.peer | {(me, effect)})
                case Sent(request_id=request_id, attempt=number):
                    if not world.left.attempts:
                        return None
                    attempt = Attempt(me, request_id, number, False, True)
                    world = world._replace(
                        attempts=world.attempts | {attempt},
                        left=world.left._replace(attempts=world.left.attempts - 1),
                    )
                case Cancelled():
                    world = self._cancel(world, me, effect, event)
        return self._announce(world, index, state)

    def _tell(self, world: World, packet: InstancePacket) -> World | None:
        if packet in world.told:
            return world
        left = world.left
        if isinstance(packet, Reissued) and packet.continues:
            if not self._bounds.renews:
                return world
        elif isinstance(packet, Reissued):
            if not left.reissues:
                return None
            left = left._replace(reissues=left.reissues - 1)
        return world._replace(told=world.told | {packet}, left=left)

    def _cancel(
        self, world: World, me: Identity, effect: Cancelled, event: Event
    ) -> World:
        found = [
            one
            for one in world.attempts
            if one.sender == me
            and (one.request_id, one.number) == (effect.request_id, effect.attempt)
        ]
        attempts = world.attempts.difference(found)
        attempts |= {one._replace(open=False) for one in found}
        cut = isinstance(event, Give) and not self._bounds.stream
        return world._replace(attempts=pending(attempts), cut=world.cut or cut)

    def _announce(self, world: World, index: int, state: int) -> World:
        node = self._instances[state]
        if not node.owner.leaving:
            return world
        heirs = {(node.me, heir) for heir in node.giver.handed_over_services().values()}
        if heirs <= world.heirs:
            return world
        return world._replace(heirs=world.heirs | heirs)


def replaced(items: tuple[_T, ...], index: int, item: _T) -> tuple[_T, ...]:
    """Return the items with one of them replaced."""
    return (*items[:index], item, *items[index + 1 :])


def runs_after(world: World, attempt: Attempt) -> int:
    """Return how often the request ran once an attempt has run."""
    _, seq, _ = attempt.request_id
    if attempt.request_id[:2] in world.ran:
        return 2
    if seq == world.caller.next_seq:
        return world.runs
    return min(world.runs + 1, 2)


def pending(attempts: frozenset[Attempt]) -> frozenset[Attempt]:
    """Drop attempts that ran and whose sender waits no more."""
    return frozenset(one for one in attempts if one.open or not one.ran)

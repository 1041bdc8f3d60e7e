"""Application of the effects of one instance to the state of the flow model."""

from typing import TypeVar

from endivepick.core.flow_table import Identity
from endivepick.core.messages import InstancePacket, Reissued
from endivepick.model._events import (
    AttemptCancelled,
    AttemptStarted,
    ContinueHandOver,
    Effect,
    Event,
    ToCaller,
    ToPeer,
)
from endivepick.model._flow_state import Attempt, Bounds, World
from endivepick.model._instance_states import Instances

__all__ = ["FlowEffects", "unfinished_attempts", "replaced", "runs_after"]

_T = TypeVar("_T")


class FlowEffects:
    """Applies the effects of instances to the model state.

    Parameters
    ----------
    bounds : Bounds
        Bounds of the model.
    instances : Instances
        States of the instances.
    """

    def __init__(self, bounds: Bounds, instances: Instances) -> None:
        self._bounds = bounds
        self._instances = instances

    def identity_of(self, world: World, index: int) -> Identity:
        """Return the name and the current incarnation of an instance."""
        return Identity(self._bounds.names[index], world.incarnations[index])

    def apply(
        self,
        world: World,
        index: int,
        state: int,
        effects: tuple[Effect, ...],
        event: Event,
    ) -> World | None:
        """Apply effects; return None if they exceed the bounds."""
        world = world._replace(nodes=replaced(world.nodes, index, state))
        me = self.identity_of(world, index)
        for effect in effects:
            match effect:
                case ToCaller(packet=packet):
                    caller_packets = self._deliver_to_caller(world, packet)
                    if caller_packets is None:
                        return None
                    world = caller_packets
                case ToPeer():
                    world = world._replace(
                        handover_messages=world.handover_messages | {(me, effect)}
                    )
                case AttemptStarted(request_id=request_id, attempt=number):
                    if not world.remaining.attempts:
                        return None
                    attempt = Attempt(me, request_id, number, False, True)
                    world = world._replace(
                        attempts=world.attempts | {attempt},
                        remaining=world.remaining._replace(
                            attempts=world.remaining.attempts - 1
                        ),
                    )
                case AttemptCancelled():
                    world = self._cancel(world, me, effect, event)
        return self._record_successions(world, index, state)

    def _deliver_to_caller(self, world: World, packet: InstancePacket) -> World | None:
        if packet in world.caller_packets:
            return world
        remaining = world.remaining
        if isinstance(packet, Reissued) and packet.continues:
            if not self._bounds.receives_renewals:
                return world
        elif isinstance(packet, Reissued):
            if not remaining.reissues:
                return None
            remaining = remaining._replace(reissues=remaining.reissues - 1)
        return world._replace(
            caller_packets=world.caller_packets | {packet}, remaining=remaining
        )

    def _cancel(
        self, world: World, me: Identity, effect: AttemptCancelled, event: Event
    ) -> World:
        found = [
            one
            for one in world.attempts
            if one.sender == me
            and (one.request_id, one.number) == (effect.request_id, effect.attempt)
        ]
        attempts = world.attempts.difference(found)
        attempts |= {one._replace(open=False) for one in found}
        stop_cut_request = (
            isinstance(event, ContinueHandOver) and not self._bounds.stream
        )
        return world._replace(
            attempts=unfinished_attempts(attempts),
            stop_cut_request=world.stop_cut_request or stop_cut_request,
        )

    def _record_successions(self, world: World, index: int, state: int) -> World:
        node = self._instances[state]
        if not node.owner.leaving:
            return world
        successions = {
            (node.me, successor)
            for successor in node.giver.handed_over_services().values()
        }
        if successions <= world.successions:
            return world
        return world._replace(successions=world.successions | successions)


def replaced(items: tuple[_T, ...], index: int, item: _T) -> tuple[_T, ...]:
    """Return a copy of the items with one item replaced."""
    return (*items[:index], item, *items[index + 1 :])


def runs_after(world: World, attempt: Attempt) -> int:
    """Return the number of runs of the request after an attempt has run."""
    _, seq, _ = attempt.request_id
    if attempt.request_id[:2] in world.ran:
        return 2
    if seq == world.caller.next_seq:
        return world.runs
    return min(world.runs + 1, 2)


def unfinished_attempts(attempts: frozenset[Attempt]) -> frozenset[Attempt]:
    """Remove attempts that ran and whose sender no longer waits."""
    return frozenset(one for one in attempts if one.open or not one.ran)

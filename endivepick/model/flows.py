"""Specification of the lifecycle of a flow: owners, duplicates, crashes, hand-over.

The instances run the production decision core (see `_flow_node`).  Network, targets,
membership views and the caller are abstract and may take any permitted step.
"""

from collections.abc import Iterator
from dataclasses import replace

from endivepick.core.dispatch import FinishKind
from endivepick.core.flow_table import Identity
from endivepick.core.peer_messages import HandOverRefused
from endivepick.model import _caller_steps
from endivepick.model._environment import Placement, View
from endivepick.model._events import (
    AttemptEnded,
    BeginStop,
    ContinueHandOver,
    Event,
    ExpireFlows,
    Packet,
    PeerMessage,
    PlaceQueued,
    StopDeadline,
)
from endivepick.model._flow_effects import (
    FlowEffects,
    replaced,
    runs_after,
    unfinished_attempts,
)
from endivepick.model._flow_invariants import FlowInvariants
from endivepick.model._flow_node import CODEC, NOW_S
from endivepick.model._flow_state import (
    Attempt,
    Bounds,
    Caller,
    Outcome,
    Remaining,
    World,
    request,
)
from endivepick.model._instance_states import Instances
from endivepick.model._step_labels import describe, describe_view, token_of
from endivepick.model.checker import Specification

__all__ = ["flow_specification"]

Step = tuple[str, World]


def flow_specification(name: str, bounds: Bounds) -> Specification:
    """Build the specification of one flow within given bounds.

    Examples
    --------
    >>> from endivepick.model.checker import check
    >>> check(flow_specification("no faults", Bounds(names=("a", "b")))).holds
    True
    """
    model = _FlowModel(bounds)
    return Specification(
        name=name,
        initial=model.initial(),
        steps=model.steps,
        invariants=FlowInvariants(bounds, model.instances).by_name(),
    )


class _FlowModel:
    """Initial state and steps of the flow model within given bounds."""

    def __init__(self, bounds: Bounds) -> None:
        self._bounds = bounds
        self.instances = Instances(bounds.parts)
        self._effects = FlowEffects(bounds, self.instances)

    # Start

    def initial(self) -> World:
        """Return the state in which the first instance has opened the flow."""
        bounds = self._bounds
        incarnations = tuple(range(1, len(bounds.names) + 1))
        first, opened = self.instances.opening(Identity(bounds.names[0], 1))
        others = [
            self.instances.fresh(Identity(name, incarnation))
            for name, incarnation in zip(bounds.names, incarnations, strict=True)
            if incarnation > 1
        ]
        token = CODEC.unseal(opened.token, NOW_S)
        caller = Caller(
            opened.token, token.binding, 1, Outcome.WAITING, False, bounds.new_numbers
        )
        return World(
            nodes=(first, *others),
            incarnations=incarnations,
            packets=frozenset([request(opened.token, 1, bounds)]),
            caller_packets=frozenset(),
            handover_messages=frozenset(),
            attempts=frozenset(),
            ran=frozenset(),
            runs=0,
            caller=caller,
            successions=frozenset(),
            stop_cut_request=False,
            remaining=Remaining(
                bounds.crashes, bounds.restarts, bounds.reissues, bounds.attempts
            ),
        )

    # Steps

    def steps(self, world: World) -> Iterator[Step]:
        """Yield every step out of a state, with its label."""
        for index, state in enumerate(world.nodes):
            if state is None:
                yield from self._restart(world, index)
                continue
            yield from self._packets(world, index, state)
            yield from self._peer_messages(world, index, state)
            yield from self._queued_requests(world, index, state)
            yield from self._stopping(world, index, state)
            yield from self._crash(world, index)
            if self._bounds.expires_flows:
                yield from self._event(world, index, ExpireFlows(), "expires flows")
        yield from self._targets(world)
        for label, caller, packets in _caller_steps.steps(world, self._bounds):
            sent = world.packets | packets
            yield f"caller {label}", world._replace(caller=caller, packets=sent)

    def _event(
        self, world: World, index: int, event: Event, label: str
    ) -> Iterator[Step]:
        state = world.nodes[index]
        assert state is not None
        reaction = self.instances.apply_event(state, event)
        changed = self._effects.apply(
            world, index, reaction.state, reaction.effects, event
        )
        if changed is not None and changed != world:
            yield f"{self._bounds.names[index]} {label}", changed

    def _placed(
        self,
        world: World,
        index: int,
        event: Packet | AttemptEnded | PeerMessage,
        label: str,
    ) -> Iterator[Step]:
        """Yield a step for every placement if the event consults the dispatcher."""
        state = world.nodes[index]
        assert state is not None
        if not self.instances.apply_event(state, event).used_placement:
            yield from self._event(world, index, event, label)
            return
        if world.remaining.attempts:
            yield from self._event(world, index, event, f"{label}, starts it")
        for placement in self._bounds.placements:
            other = replace(event, placement=placement)
            more = f"{label}, {placement.value}s it"
            yield from self._event(world, index, other, more)

    def _packets(self, world: World, index: int, state: int) -> Iterator[Step]:
        for datagram in world.packets:
            label = f"gets {describe(datagram)}"
            reaction = self.instances.apply_event(state, Packet(datagram))
            views = [View()]
            if reaction.used_view:
                views = list(self._views(world, index, datagram))
            for view in views:
                more = f"{label}{describe_view(view)}"
                yield from self._placed(world, index, Packet(datagram, view), more)

    def _views(self, world: World, index: int, datagram: bytes) -> Iterator[View]:
        yield View()
        yield View(suspected=True)
        token = token_of(datagram)
        owner = Identity(token.owner, token.owner_incarnation)
        successors = [None, *self._successors(world, owner)]
        waits = world.caller.outcome is Outcome.WAITING
        lost = (
            world.remaining.reissues and waits and token.binding == world.caller.binding
        )
        for successor in successors:
            if successor is not None:
                yield View(successor=successor)
            if lost:
                yield View(dead=True, successor=successor)
                opener = self._effects.identity_of(
                    world, (index + 1) % len(world.nodes)
                )
                yield View(dead=True, successor=successor, opener=opener)

    def _successors(self, world: World, owner: Identity) -> list[Identity]:
        """Return all direct and indirect successors of an incarnation."""
        found = [owner]
        for giver in found:
            found += [
                taker
                for one, taker in sorted(world.successions, key=repr)
                if one == giver and taker not in found
            ]
        return found[1:]

    def _peer_messages(self, world: World, index: int, state: int) -> Iterator[Step]:
        name = self._bounds.names[index]
        for sender, sent in world.handover_messages:
            if sent.name != name:
                continue
            label = f"gets {sent.kind.__name__} of {sender.name}"
            successors: list[Identity | None] = [None]
            if sent.kind is HandOverRefused:
                candidates = self._candidates(index)
                successors += [
                    self._effects.identity_of(world, other) for other in candidates
                ]
            for successor in successors:
                event = PeerMessage(sender, sent.kind, sent.data, successor)
                yield from self._placed(world, index, event, label)

    def _queued_requests(self, world: World, index: int, state: int) -> Iterator[Step]:
        for request_id in self.instances[state].dispatcher.queued:
            if world.remaining.attempts:
                event = PlaceQueued(request_id, Placement.START)
                yield from self._event(world, index, event, "starts a queued request")
            event = PlaceQueued(request_id, Placement.REFUSE)
            yield from self._event(world, index, event, "refuses a queued request")

    def _stopping(self, world: World, index: int, state: int) -> Iterator[Step]:
        node = self.instances[state]
        if not node.owner.leaving:
            if self._bounds.names[index] in self._bounds.stops:
                yield from self._event(
                    world, index, BeginStop(), "begins its planned stop"
                )
            return
        for other in self._candidates(index):
            successor = self._effects.identity_of(world, other)
            for dead in (False, True) if self._bounds.may_declare_dead else (False,):
                label = f"hands over to {successor.name}"
                if dead:
                    label += ", with the last successor declared dead"
                yield from self._event(
                    world, index, ContinueHandOver(successor, dead), label
                )
            if self._bounds.may_time_out:
                label = "aborts running requests at its deadline"
                yield from self._event(world, index, StopDeadline(successor), label)
        # Without a successor or after the deadline it leaves while holding flows.
        if not any(flow.in_progress for flow in node.table):
            yield from self._exit(world, index)

    def _candidates(self, index: int) -> list[int]:
        count = len(self._bounds.names)
        others = [(index + step) % count for step in range(1, count)]
        return others[:1] if self._bounds.fixed_successor else others

    def _exit(self, world: World, index: int) -> Iterator[Step]:
        me = self._effects.identity_of(world, index)
        running = any(one.open and one.sender == me for one in world.attempts)
        stop_cut_request = running and not self._bounds.stream
        gone = self._stop_process(world, index)
        yield (
            f"{me.name} leaves",
            gone._replace(stop_cut_request=world.stop_cut_request or stop_cut_request),
        )

    def _crash(self, world: World, index: int) -> Iterator[Step]:
        if not world.remaining.crashes:
            return
        remaining = world.remaining._replace(crashes=world.remaining.crashes - 1)
        gone = self._stop_process(world, index)
        yield f"{self._bounds.names[index]} crashes", gone._replace(remaining=remaining)

    def _stop_process(self, world: World, index: int) -> World:
        me = self._effects.identity_of(world, index)
        attempts = frozenset(
            one._replace(open=False) if one.sender == me else one
            for one in world.attempts
        )
        nodes = replaced(world.nodes, index, None)
        return world._replace(nodes=nodes, attempts=unfinished_attempts(attempts))

    def _restart(self, world: World, index: int) -> Iterator[Step]:
        if not world.remaining.restarts:
            return
        # Incarnations are unique across processes.
        incarnation = max(world.incarnations) + 1
        me = Identity(self._bounds.names[index], incarnation)
        state = self.instances.fresh(me)
        yield (
            f"{me.name} starts again",
            world._replace(
                nodes=replaced(world.nodes, index, state),
                incarnations=replaced(world.incarnations, index, incarnation),
                remaining=world.remaining._replace(
                    restarts=world.remaining.restarts - 1
                ),
            ),
        )

    # Targets

    def _targets(self, world: World) -> Iterator[Step]:
        for attempt in world.attempts:
            others = world.attempts - {attempt}
            if not attempt.ran:
                ran = attempt._replace(ran=True)
                yield (
                    f"target runs attempt {attempt.number} of {attempt.sender.name}",
                    world._replace(
                        attempts=unfinished_attempts(others | {ran}),
                        ran=world.ran | {attempt.request_id[:2]},
                        runs=runs_after(world, attempt),
                    ),
                )
            if attempt.open:
                yield from self._attempt_ends(world, attempt, others)

    def _attempt_ends(
        self, world: World, attempt: Attempt, others: frozenset[Attempt]
    ) -> Iterator[Step]:
        index = self._bounds.names.index(attempt.sender.name)
        closed = unfinished_attempts(others | {attempt._replace(open=False)})
        kinds = []
        if attempt.ran:
            kinds.append((FinishKind.OK, others))
        elif self._bounds.attempts_fail:
            kinds.append((FinishKind.SHED, others))
        if self._bounds.attempts_fail:
            kinds.append((FinishKind.BROKEN, closed))
        for kind, attempts in kinds:
            yield from self._placed(
                world._replace(attempts=attempts),
                index,
                AttemptEnded(attempt.request_id, attempt.number, kind),
                f"sees attempt {attempt.number} end: {kind.value}",
            )

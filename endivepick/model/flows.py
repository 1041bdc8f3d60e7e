"""Specification of a flow's life: owners, copies, crashes and hand-over.

The instances are the real parts of the decision core (see `_node`); network,
targets, membership views and the caller are abstract and do whatever they may.
"""

from collections.abc import Iterator
from dataclasses import replace

from endivepick.core.dispatch import FinishKind
from endivepick.core.flow_table import Identity
from endivepick.core.peer_messages import HandOverRefused
from endivepick.model._environment import Placement, View
from endivepick.model._events import (
    Ended,
    Event,
    Forget,
    Give,
    Packet,
    Peer,
    Stop,
    TimeUp,
    Turn,
)
from endivepick.model._flow_effects import (
    FlowEffects,
    pending,
    replaced,
    runs_after,
)
from endivepick.model._flow_invariants import FlowInvariants
from endivepick.model._flow_node import CODEC, NOW_S
from endivepick.model._flow_state import (
    Attempt,
    Bounds,
    Caller,
    Left,
    Outcome,
    World,
    request,
)
from endivepick.model._instance_states import Instances
from endivepick.model._step_labels import describe, describe_view, token_of
from endivepick.model.checker import Specification

__all__ = ["flow_specification"]

Step = tuple[str, World]


def flow_specification(name: str, bounds: Bounds) -> Specification:
    """Build the specification of one flow within some bounds.

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
    """Steps and invariants of one set of bounds."""

    def __init__(self, bounds: Bounds) -> None:
        self._bounds = bounds
        self.instances = Instances(bounds.parts)
        self._effects = FlowEffects(bounds, self.instances)

    # Start

    def initial(self) -> World:
        """Return the world in which the first instance has opened the flow."""
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
            told=frozenset(),
            peer=frozenset(),
            attempts=frozenset(),
            ran=frozenset(),
            runs=0,
            caller=caller,
            heirs=frozenset(),
            cut=False,
            left=Left(
                bounds.crashes, bounds.restarts, bounds.reissues, bounds.attempts
            ),
        )

    # Steps

    def steps(self, world: World) -> Iterator[Step]:
        """Yield every step out of a world, with its label."""
        for index, state in enumerate(world.nodes):
            if state is None:
                yield from self._restart(world, index)
                continue
            yield from self._packets(world, index, state)
            yield from self._peer_messages(world, index, state)
            yield from self._turns(world, index, state)
            yield from self._stopping(world, index, state)
            yield from self._crash(world, index)
            if self._bounds.forgets:
                yield from self._event(world, index, Forget(), "forgets flows")
        yield from self._targets(world)
        for label, caller, packets in _caller.steps(world, self._bounds):
            sent = world.packets | packets
            yield f"caller {label}", world._replace(caller=caller, packets=sent)

    def _event(
        self, world: World, index: int, event: Event, label: str
    ) -> Iterator[Step]:
        state = world.nodes[index]
        assert state is not None
        reaction = self.instances.after(state, event)
        changed = self._effects.apply(
            world, index, reaction.state, reaction.effects, event
        )
        if changed is not None and changed != world:
            yield f"{self._bounds.names[index]} {label}", changed

    def _placed(
        self, world: World, index: int, event: Packet | Ended | Peer, label: str
    ) -> Iterator[Step]:
        """Take a step with every placement, if the dispatcher is asked."""
        state = world.nodes[index]
        assert state is not None
        if not self.instances.after(state, event).used_placement:
            yield from self._event(world, index, event, label)
            return
        if world.left.attempts:
            yield from self._event(world, index, event, f"{label}, starts it")
        for placement in self._bounds.placements:
            other = replace(event, placement=placement)
            more = f"{label}, {placement.value}s it"
            yield from self._event(world, index, other, more)

    def _packets(self, world: World, index: int, state: int) -> Iterator[Step]:
        for datagram in world.packets:
            label = f"gets {describe(datagram)}"
            reaction = self.instances.after(state, Packet(datagram))
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
        lost = world.left.reissues and waits and token.binding == world.caller.binding
        for successor in successors:
            if successor is not None:
                yield View(successor=successor)
            if lost:
                yield View(dead=True, successor=successor)
                opener = self._effects.me(world, (index + 1) % len(world.nodes))
                yield View(dead=True, successor=successor, opener=opener)

    def _successors(self, world: World, owner: Identity) -> list[Identity]:
        """Return all that chains of hand-overs lead to from an incarnation."""
        found = [owner]
        for giver in found:
            found += [
                heir
                for one, heir in sorted(world.heirs, key=repr)
                if one == giver and heir not in found
            ]
        return found[1:]

    def _peer_messages(self, world: World, index: int, state: int) -> Iterator[Step]:
        name = self._bounds.names[index]
        for sender, sent in world.peer:
            if sent.name != name:
                continue
            label = f"gets {sent.kind.__name__} of {sender.name}"
            successors: list[Identity | None] = [None]
            if sent.kind is HandOverRefused:
                candidates = self._candidates(index)
                successors += [self._effects.me(world, other) for other in candidates]
            for successor in successors:
                event = Peer(sender, sent.kind, sent.data, successor)
                yield from self._placed(world, index, event, label)

    def _turns(self, world: World, index: int, state: int) -> Iterator[Step]:
        for request_id in self.instances[state].dispatcher.queued:
            if world.left.attempts:
                event = Turn(request_id, Placement.START)
                yield from self._event(world, index, event, "starts what waited")
            event = Turn(request_id, Placement.REFUSE)
            yield from self._event(world, index, event, "refuses what waited")

    def _stopping(self, world: World, index: int, state: int) -> Iterator[Step]:
        node = self.instances[state]
        if not node.owner.leaving:
            if self._bounds.names[index] in self._bounds.stops:
                yield from self._event(world, index, Stop(), "begins its planned stop")
            return
        for other in self._candidates(index):
            successor = self._effects.me(world, other)
            for dead in (False, True) if self._bounds.gives_up else (False,):
                label = f"hands over to {successor.name}"
                if dead:
                    label += ", believing the last successor dead"
                yield from self._event(world, index, Give(successor, dead), label)
            if self._bounds.time_up:
                label = "gives up what runs, its time is up"
                yield from self._event(world, index, TimeUp(successor), label)
        # With no successor, or after the time limit, it leaves with flows.
        if not any(flow.in_progress for flow in node.table):
            yield from self._exit(world, index)

    def _candidates(self, index: int) -> list[int]:
        count = len(self._bounds.names)
        others = [(index + step) % count for step in range(1, count)]
        return others[:1] if self._bounds.in_turn else others

    def _exit(self, world: World, index: int) -> Iterator[Step]:
        me = self._effects.me(world, index)
        running = any(one.open and one.sender == me for one in world.attempts)
        cut = running and not self._bounds.stream
        gone = self._take_down(world, index)
        yield f"{me.name} leaves", gone._replace(cut=world.cut or cut)

    def _crash(self, world: World, index: int) -> Iterator[Step]:
        if not world.left.crashes:
            return
        left = world.left._replace(crashes=world.left.crashes - 1)
        gone = self._take_down(world, index)
        yield f"{self._bounds.names[index]} crashes", gone._replace(left=left)

    def _take_down(self, world: World, index: int) -> World:
        me = self._effects.me(world, index)
        attempts = frozenset(
            one._replace(open=False) if one.sender == me else one
            for one in world.attempts
        )
        nodes = replaced(world.nodes, index, None)
        return world._replace(nodes=nodes, attempts=pending(attempts))

    def _restart(self, world: World, index: int) -> Iterator[Step]:
        if not world.left.restarts:
            return
        # No two processes ever have the same incarnation.
        incarnation = max(world.incarnations) + 1
        me = Identity(self._bounds.names[index], incarnation)
        state = self.instances.fresh(me)
        yield (
            f"{me.name} starts again",
            world._replace(
                nodes=replaced(world.nodes, index, state),
                incarnations=replaced(world.incarnations, index, incarnation),
                left=world.left._replace(restarts=world.left.restarts - 1),
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
                        attempts=pending(others | {ran}),
                        ran=world.ran | {attempt.request_id[:2]},
                        runs=runs_after(world, attempt),
                    ),
                )
            if attempt.open:
                yield from self._ends(world, attempt, others)

    def _ends(
        self, world: World, attempt: Attempt, others: frozenset[Attempt]
    ) -> Iterator[Step]:
        index = self._bounds.names.index(attempt.sender.name)
        closed = pending(others | {attempt._replace(open=False)})
        kinds = []
        if attempt.ran:
            kinds.append((FinishKind.OK, others))
        elif self._bounds.breaks:
            kinds.append((FinishKind.SHED, others))
        if self._bounds.breaks:
            kinds.append((FinishKind.BROKEN, closed))
        for kind, attempts in kinds:
            yield from self._placed(
                world._replace(attempts=attempts),
                index,
                Ended(attempt.request_id, attempt.number, kind),
                f"sees attempt {attempt.number} end: {kind.value}",
            )

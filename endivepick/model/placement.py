"""Specification of placement: targets restart and addresses change hands.

The owner runs the real dispatcher and executor and learns of the targets late or
never.  A target runs a request only if service and incarnation are its own.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import NamedTuple

from endivepick.core.actions import Action, RequestId, SendToCaller, StartAttempt
from endivepick.core.dispatch import FinishKind
from endivepick.core.messages import Refused
from endivepick.model._placement_node import (
    SERVICE,
    TARGETS,
    Copy,
    Event,
    Finished,
    PlacementNode,
    PlacementParts,
    Probed,
)
from endivepick.model._transition_cache import Memory
from endivepick.model.checker import Specification

__all__ = ["PlacementBounds", "TargetRules", "placement_specification"]

OTHER_SERVICE = "payroll"
_NOT_RUN = (FinishKind.SHED, FinishKind.CONNECT_FAILED, FinishKind.EXPIRED)
Step = tuple[str, "PlacementWorld"]


@dataclass(frozen=True)
class TargetRules:
    """What a target compares before it runs a request."""

    service: bool = True
    incarnation: bool = True


@dataclass(frozen=True)
class PlacementBounds:
    """How much may happen in one run of the placement model.

    Attributes
    ----------
    idempotent : bool
        Kind of the one request.
    changes : int
        Restarts of targets and addresses that another service takes over.
    rules : TargetRules
        What targets compare.
    parts : PlacementParts
        Classes that the owner is built of.
    """

    idempotent: bool
    changes: int = 1
    rules: TargetRules = TargetRules()
    parts: PlacementParts = PlacementParts()


class Occupant(NamedTuple):
    """Who answers at the address of a target."""

    service: str
    incarnation: int


class Attempt(NamedTuple):
    """A request on its way to an address."""

    request_id: RequestId
    number: int
    target: int
    meant_for: Occupant
    ran: bool
    open: bool


class PlacementWorld(NamedTuple):
    """One state of the placement model.

    Attributes
    ----------
    node : int
        State number of the owner.
    occupants : tuple of Occupant
        Who answers at each target's address.
    attempts : frozenset of Attempt
        What is on its way.
    runs : int
        How often the request ran, 2 for more.
    refused : bool
        The caller was told "not run".
    misdirected : bool
        Another service or incarnation ran the request.
    changes : int
        What the bounds still allow.
    """

    node: int
    occupants: tuple[Occupant, ...]
    attempts: frozenset[Attempt]
    runs: int
    refused: bool
    misdirected: bool
    changes: int


def placement_specification(name: str, bounds: PlacementBounds) -> Specification:
    """Build the specification of placement within some bounds."""
    model = _PlacementModel(bounds)
    invariants: dict[str, Callable[[PlacementWorld], bool]] = {
        "no request reaches another service": lambda world: not world.misdirected,
        "'not run' is true": lambda world: not (world.refused and world.runs),
    }
    if not bounds.idempotent:
        invariants["a non-idempotent request runs at most once"] = lambda world: (
            world.runs <= 1
        )
    return Specification(name, model.initial(), model.steps, invariants)


class _PlacementModel:
    def __init__(self, bounds: PlacementBounds) -> None:
        self._bounds = bounds
        self._nodes: Memory[PlacementNode] = Memory(PlacementNode.frozen)

    def initial(self) -> PlacementWorld:
        """Return the world in which the owner has probed both targets."""
        node = PlacementNode(self._bounds.parts)
        occupants = tuple(Occupant(SERVICE, index + 1) for index in range(len(TARGETS)))
        for target, occupant in zip(TARGETS, occupants, strict=True):
            node.handle(Probed(target, *occupant))
        number = self._nodes.number_of(node)
        return PlacementWorld(
            number, occupants, frozenset(), 0, False, False, self._bounds.changes
        )

    def steps(self, world: PlacementWorld) -> Iterator[Step]:
        """Yield every step out of a world, with its label."""
        yield from self._event(world, Copy(self._bounds.idempotent), "gets the request")
        for index, occupant in enumerate(world.occupants):
            probed = Probed(TARGETS[index], *occupant)
            yield from self._event(world, probed, f"probes {TARGETS[index]}")
            if world.changes:
                yield from self._changes(world, index)
        for attempt in world.attempts:
            yield from self._attempt(world, attempt)

    def _changes(self, world: PlacementWorld, index: int) -> Iterator[Step]:
        incarnation = max(one.incarnation for one in world.occupants) + 1
        for service in (SERVICE, OTHER_SERVICE):
            occupants = list(world.occupants)
            occupants[index] = Occupant(service, incarnation)
            yield (
                f"address of {TARGETS[index]} goes to a new target of {service}",
                world._replace(occupants=tuple(occupants), changes=world.changes - 1),
            )

    def _attempt(self, world: PlacementWorld, attempt: Attempt) -> Iterator[Step]:
        others = world.attempts - {attempt}
        label = f"attempt {attempt.number} at {TARGETS[attempt.target]}"
        occupant = world.occupants[attempt.target]
        confirmed = self._confirms(occupant, attempt.meant_for)
        if not attempt.ran and confirmed:
            ran = attempt._replace(ran=True)
            yield (
                f"{label} runs",
                world._replace(
                    attempts=_pending(others | {ran}),
                    runs=min(world.runs + 1, 2),
                    misdirected=occupant != attempt.meant_for,
                ),
            )
        if not attempt.open:
            return
        closed = _pending(others | {attempt._replace(open=False)})
        for kind in (FinishKind.BROKEN, FinishKind.LATE):
            yield from self._ends(world, attempt, closed, kind, label)
        if attempt.ran:
            yield from self._ends(world, attempt, others, FinishKind.OK, label)
            return
        for kind in _NOT_RUN:
            yield from self._ends(world, attempt, others, kind, label)
        if not confirmed:
            kind = FinishKind.MISDIRECTED
            yield from self._ends(world, attempt, others, kind, label)

    def _confirms(self, occupant: Occupant, meant_for: Occupant) -> bool:
        rules = self._bounds.rules
        if rules.service and occupant.service != meant_for.service:
            return False
        return not rules.incarnation or occupant.incarnation == meant_for.incarnation

    def _ends(
        self,
        world: PlacementWorld,
        attempt: Attempt,
        attempts: frozenset[Attempt],
        kind: FinishKind,
        label: str,
    ) -> Iterator[Step]:
        event = Finished(attempt.request_id, attempt.number, kind)
        ended = world._replace(attempts=attempts)
        yield from self._event(ended, event, f"sees {label} end: {kind.value}")

    def _event(self, world: PlacementWorld, event: Event, label: str) -> Iterator[Step]:
        node, actions = self._nodes.after(
            world.node, event, lambda node: node.handle(event)
        )
        yield f"owner {label}", _apply(world._replace(node=node), actions)


def _apply(world: PlacementWorld, actions: list[Action]) -> PlacementWorld:
    for action in actions:
        match action:
            case StartAttempt():
                attempt = Attempt(
                    request_id=action.request_id,
                    number=action.attempt,
                    target=TARGETS.index(action.target),
                    meant_for=Occupant(action.service, action.target_incarnation),
                    ran=False,
                    open=True,
                )
                world = world._replace(attempts=world.attempts | {attempt})
            case SendToCaller(packet=Refused()):
                world = world._replace(refused=True)
    return world


def _pending(attempts: frozenset[Attempt]) -> frozenset[Attempt]:
    return frozenset(one for one in attempts if one.open or not one.ran)

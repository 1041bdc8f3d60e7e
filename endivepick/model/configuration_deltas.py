"""Specification of told changes: a configuration in force is one that was written.

A feeder and an instance that is fed run the real tables of routes.  Each reads versions
from the store, whose answers may come late; what the feeder tells of the difference
between two versions may come late, twice or never, and the feeder may lose everything
and start again.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import partial
from typing import NamedTuple

from endivepick.forwarding import (
    Configuration,
    ConfigurationChange,
    Route,
    RouteKind,
    ServiceShare,
    apply_change,
)
from endivepick.forwarding.routes import RouteTable
from endivepick.model._freeze import freeze
from endivepick.model._transition_cache import Memory
from endivepick.model.checker import Specification

__all__ = ["ChangeBounds", "changes_specification"]

_NODES = ("feeder", "fed")
_FEEDER, _FED = 0, 1
Step = tuple[str, "ChangesWorld"]
Apply = Callable[[Configuration, ConfigurationChange], Configuration | None]


@dataclass(frozen=True)
class ChangeBounds:
    """How much may happen in one run of the model.

    Attributes
    ----------
    history : tuple
        Services by name of a route, of each version in turn.
    messages : int
        Different answers of the feeder.
    restarts : int
        Starts of the feeder with nothing.
    table : callable
        Makes the table of routes of an instance; a mutation replaces it.
    apply : callable
        Applies a change to a version; a mutation replaces it.
    """

    history: tuple[dict[str, str], ...] = (
        {"a": "s"},
        {"a": "s", "b": "s"},
        {"a": "t", "b": "s"},
        {"b": "s", "c": "s"},
    )
    messages: int = 3
    restarts: int = 1
    table: Callable[[], RouteTable] = RouteTable
    apply: Apply = apply_change


class ChangesWorld(NamedTuple):
    """One state of the model.

    Attributes
    ----------
    nodes : tuple of int
        State number of each instance.
    revision : int
        Versions that the store has accepted.
    shown : int
        Newest revision that was in force at the instance that is fed.
    sent : tuple of int
        Numbers of the feeder's answers.
    restarts : int
        Starts that the bounds still allow.
    """

    nodes: tuple[int, int]
    revision: int
    shown: int
    sent: frozenset[int]
    restarts: int


def changes_specification(name: str, bounds: ChangeBounds) -> Specification:
    """Build the specification of told changes within some bounds."""
    model = _ChangesModel(bounds)
    return Specification(
        name=name,
        initial=model.initial(),
        steps=model.steps,
        invariants={
            "what is in force at a revision was written there": model.agrees,
            "a version in force never goes back": model.never_reverts,
        },
    )


def _configuration(revision: int, services: dict[str, str]) -> Configuration:
    kind = RouteKind.IDEMPOTENT
    routes = tuple(
        Route(name, 1, ord(name), (ServiceShare(service, 1.0),), kind)
        for name, service in services.items()
    )
    paths = {service: f"/{revision % 2}" for service in services.values()}
    return Configuration(10 * revision, revision, routes, paths)


class _ChangesModel:
    def __init__(self, bounds: ChangeBounds) -> None:
        self._bounds = bounds
        self._nodes: Memory[RouteTable] = Memory(freeze)
        self._told: Memory[ConfigurationChange] = Memory(freeze)
        self._written = [
            _configuration(index + 1, services)
            for index, services in enumerate(bounds.history)
        ]

    def initial(self) -> ChangesWorld:
        """Return the world in which nothing is known anywhere."""
        fresh = self._fresh()
        nothing: frozenset[int] = frozenset()
        return ChangesWorld((fresh, fresh), 0, 0, nothing, self._bounds.restarts)

    def _fresh(self) -> int:
        return self._nodes.number_of(self._bounds.table())

    def steps(self, world: ChangesWorld) -> Iterator[Step]:
        """Yield every step out of a world, with its label."""
        if world.revision < len(self._written):
            later = world._replace(revision=world.revision + 1)
            yield f"store: version of revision {later.revision}", later
        for index, name in enumerate(_NODES):
            for revision in range(1, world.revision + 1):
                label = f"{name} reads revision {revision}"
                yield self._taken(world, index, label, self._written[revision - 1])
        yield from self._answer(world)
        yield from self._hear(world)
        if world.restarts:
            fresh = (self._fresh(), world.nodes[_FED])
            left = world.restarts - 1
            yield "feeder starts again", world._replace(nodes=fresh, restarts=left)

    def _taken(
        self, world: ChangesWorld, index: int, label: str, configuration: Configuration
    ) -> Step:
        act = partial(_take_in, configuration)
        event = (configuration.revision, freeze(configuration))
        state, _ = self._nodes.after(world.nodes[index], event, act)
        nodes = list(world.nodes)
        nodes[index] = state
        shown = world.shown
        if index == _FED:
            shown = max(shown, self._nodes[state].revision)
        changed = (nodes[_FEEDER], nodes[_FED])
        return label, world._replace(nodes=changed, shown=shown)

    def _answer(self, world: ChangesWorld) -> Iterator[Step]:
        """The feeder tells what changed since the version that the other has."""
        feeder, fed = (self._nodes[state] for state in world.nodes)
        if fed.configuration is None or feeder.revision <= fed.revision:
            return
        change = feeder.change_since(fed.revision)
        if change is None:
            return
        sent = world.sent | {self._told.number_of(change)}
        if len(sent) <= self._bounds.messages:
            yield f"feeder answers {change}", world._replace(sent=sent)

    def _hear(self, world: ChangesWorld) -> Iterator[Step]:
        known = self._nodes[world.nodes[_FED]].configuration
        if known is None:
            return
        for number in sorted(world.sent):
            configuration = self._bounds.apply(known, self._told[number])
            if configuration is not None:
                label = f"fed is told {number}"
                yield self._taken(world, _FED, label, configuration)

    def agrees(self, world: ChangesWorld) -> bool:
        """Tell whether each instance has what was written at its revision."""
        return all(self._agrees(self._nodes[state]) for state in world.nodes)

    def _agrees(self, node: RouteTable) -> bool:
        found = node.configuration
        if found is None:
            return True
        written = self._written[found.revision - 1]
        return (
            set(found.routes) == set(written.routes)
            and found.health_paths == written.health_paths
            and found.version == written.version
        )

    def never_reverts(self, world: ChangesWorld) -> bool:
        """Tell whether the instance that is fed has the newest that it had."""
        return self._nodes[world.nodes[_FED]].revision == world.shown


def _take_in(configuration: Configuration, node: RouteTable) -> None:
    node.apply_configuration(configuration, 0.0)

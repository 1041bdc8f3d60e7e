"""Specification of configuration deltas: each version in force was written as such.

A feeder and a fed instance run the production route tables.  Both read versions from
the store, whose responses may be delayed.  The deltas between two versions that the
feeder sends may be delayed, duplicated or lost, and the feeder may restart without
any state.
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
from endivepick.model._transition_cache import TransitionCache
from endivepick.model.checker import Specification

__all__ = ["ChangeBounds", "changes_specification"]

_NODES = ("feeder", "fed")
_FEEDER, _FED = 0, 1
Step = tuple[str, "ChangesWorld"]
Apply = Callable[[Configuration, ConfigurationChange], Configuration | None]


@dataclass(frozen=True)
class ChangeBounds:
    """Limits on the events in one run of the model.

    Attributes
    ----------
    history : tuple
        Sequence of versions, each a mapping of route names to services.
    messages : int
        Maximum number of distinct answers of the feeder.
    restarts : int
        Maximum number of restarts of the feeder without state.
    table : callable
        Creates the route table of an instance; a mutation replaces it.
    apply : callable
        Applies a delta to a version; a mutation replaces it.
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
        Number of versions that the store has accepted.
    highest_in_force : int
        Highest revision that was in force at the fed instance.
    sent : frozenset of int
        State numbers of the feeder's answers.
    restarts : int
        Restarts that the bounds still allow.
    """

    nodes: tuple[int, int]
    revision: int
    highest_in_force: int
    sent: frozenset[int]
    restarts: int


def changes_specification(name: str, bounds: ChangeBounds) -> Specification:
    """Build the specification of configuration deltas within given bounds."""
    model = _ChangesModel(bounds)
    return Specification(
        name=name,
        initial=model.initial(),
        steps=model.steps,
        invariants={
            "what is in force at a revision was written there": model.matches_written,
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
        self._nodes: TransitionCache[RouteTable] = TransitionCache(freeze)
        self._sent_changes: TransitionCache[ConfigurationChange] = TransitionCache(
            freeze
        )
        self._written = [
            _configuration(index + 1, services)
            for index, services in enumerate(bounds.history)
        ]

    def initial(self) -> ChangesWorld:
        """Return the state in which no instance has a configuration."""
        fresh = self._fresh()
        nothing: frozenset[int] = frozenset()
        return ChangesWorld((fresh, fresh), 0, 0, nothing, self._bounds.restarts)

    def _fresh(self) -> int:
        return self._nodes.number_of(self._bounds.table())

    def steps(self, world: ChangesWorld) -> Iterator[Step]:
        """Yield every step out of a state, with its label."""
        if world.revision < len(self._written):
            later = world._replace(revision=world.revision + 1)
            yield f"store: version of revision {later.revision}", later
        for index, name in enumerate(_NODES):
            for revision in range(1, world.revision + 1):
                label = f"{name} reads revision {revision}"
                yield self._apply_configuration(
                    world, index, label, self._written[revision - 1]
                )
        yield from self._answer_steps(world)
        yield from self._receive_steps(world)
        if world.restarts:
            fresh = (self._fresh(), world.nodes[_FED])
            remaining = world.restarts - 1
            yield "feeder starts again", world._replace(nodes=fresh, restarts=remaining)

    def _apply_configuration(
        self, world: ChangesWorld, index: int, label: str, configuration: Configuration
    ) -> Step:
        act = partial(_accept_configuration, configuration)
        event = (configuration.revision, freeze(configuration))
        state, _ = self._nodes.apply_event(world.nodes[index], event, act)
        nodes = list(world.nodes)
        nodes[index] = state
        highest_in_force = world.highest_in_force
        if index == _FED:
            highest_in_force = max(highest_in_force, self._nodes[state].revision)
        changed = (nodes[_FEEDER], nodes[_FED])
        return label, world._replace(nodes=changed, highest_in_force=highest_in_force)

    def _answer_steps(self, world: ChangesWorld) -> Iterator[Step]:
        """Send the delta from the version of the fed instance to the feeder's."""
        feeder, fed = (self._nodes[state] for state in world.nodes)
        if fed.configuration is None or feeder.revision <= fed.revision:
            return
        change = feeder.change_since(fed.revision)
        if change is None:
            return
        sent = world.sent | {self._sent_changes.number_of(change)}
        if len(sent) <= self._bounds.messages:
            yield f"feeder answers {change}", world._replace(sent=sent)

    def _receive_steps(self, world: ChangesWorld) -> Iterator[Step]:
        known = self._nodes[world.nodes[_FED]].configuration
        if known is None:
            return
        for number in sorted(world.sent):
            configuration = self._bounds.apply(known, self._sent_changes[number])
            if configuration is not None:
                label = f"fed receives delta {number}"
                yield self._apply_configuration(world, _FED, label, configuration)

    def matches_written(self, world: ChangesWorld) -> bool:
        """Tell whether each instance holds the configuration of its revision."""
        return all(self._matches_written(self._nodes[state]) for state in world.nodes)

    def _matches_written(self, node: RouteTable) -> bool:
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
        """Tell whether the revision of the fed instance never decreased."""
        return self._nodes[world.nodes[_FED]].revision == world.highest_in_force


def _accept_configuration(configuration: Configuration, node: RouteTable) -> None:
    node.apply_configuration(configuration, 0.0)

"""Specification of the registry: what is believed at a revision is what stood there.

A feeder and an instance that is fed run the real registry.  Lists and watches of the
store arrive in any order that the store allows, what the feeder tells may come late,
twice or never, lapsed entries are given up and forgotten at any time, and the feeder
may lose everything and start again.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import partial
from typing import NamedTuple

from endivepick.forwarding import RegistryNews, Target, TargetPhase, TargetState
from endivepick.forwarding.registry import TargetRegistry
from endivepick.forwarding.registry_news import RemovedTarget
from endivepick.forwarding.settings import ForwardingSettings
from endivepick.model._freeze import freeze
from endivepick.model._transition_cache import Memory
from endivepick.model.checker import Specification

__all__ = ["RegistryBounds", "registry_specification"]

_NODES = ("feeder", "fed")
_FEEDER, _FED = 0, 1
_SETTINGS = ForwardingSettings(zone="z", lapse_grace_s=1.0, gone_memory_s=2.0)
_GRACE_OVER_S, _MEMORY_OVER_S = 1.5, 4.0
_PRESENT = {
    TargetPhase.READY: TargetState.READY,
    TargetPhase.DRAINING: TargetState.DRAINING,
}
Step = tuple[str, "RegistryWorld"]
_READY, _DRAINING = TargetPhase.READY, TargetPhase.DRAINING


class Entry(NamedTuple):
    """A change of an entry.

    Attributes
    ----------
    name : str
        Name of the target.
    phase : TargetPhase or None
        Its phase after the change; None if the entry was removed.
    born_ms : int
        When it started, in Unix milliseconds; 0 if the entry does not say.
    """

    name: str
    phase: TargetPhase | None
    born_ms: int = 0


@dataclass(frozen=True)
class RegistryBounds:
    """How much may happen in one run of the registry model.

    Attributes
    ----------
    history : tuple
        Changes of entries in turn.
    messages : int
        Different answers of the feeder.
    restarts : int
        Starts of the feeder with nothing.
    registry : callable
        Makes the registry of an instance; a mutation replaces it.
    """

    history: tuple[Entry, ...] = (
        Entry("i-1", _READY),
        Entry("i-1", None),
        Entry("i-1", _DRAINING),
    )
    messages: int = 2
    restarts: int = 1
    registry: Callable[[ForwardingSettings], TargetRegistry] = TargetRegistry


class Told(NamedTuple):
    """What the feeder answered, in a form that can be compared."""

    targets: tuple[Target, ...]
    removed: tuple[RemovedTarget, ...]
    whole: bool
    revision: int


class RegistryWorld(NamedTuple):
    """One state of the registry model.

    Attributes
    ----------
    nodes : tuple of int
        State number of each instance.
    revision : int
        Changes that the store has accepted.
    sent : frozenset of Told
        Answers of the feeder.
    restarts : int
        Starts that the bounds still allow.
    """

    nodes: tuple[int, int]
    revision: int
    sent: frozenset[Told]
    restarts: int


def registry_specification(name: str, bounds: RegistryBounds) -> Specification:
    """Build the specification of the registry within some bounds."""
    model = _RegistryModel(bounds)
    return Specification(
        name=name,
        initial=model.initial(),
        steps=model.steps,
        invariants={
            "what is believed at a revision stood there": model.agrees,
            "nothing newer than the store is known": model.is_bounded,
        },
    )


class _RegistryModel:
    def __init__(self, bounds: RegistryBounds) -> None:
        self._bounds = bounds
        self._nodes: Memory[TargetRegistry] = Memory(freeze)
        self._names = sorted({entry.name for entry in bounds.history})

    def initial(self) -> RegistryWorld:
        """Return the world in which nothing is known anywhere."""
        fresh = self._fresh()
        return RegistryWorld((fresh, fresh), 0, frozenset(), self._bounds.restarts)

    def _fresh(self) -> int:
        return self._nodes.number_of(self._bounds.registry(_SETTINGS))

    def steps(self, world: RegistryWorld) -> Iterator[Step]:
        """Yield every step out of a world, with its label."""
        if world.revision < len(self._bounds.history):
            entry = self._bounds.history[world.revision]
            what = "removed" if entry.phase is None else entry.phase.value
            label = f"store: {entry.name} {what}, revision {world.revision + 1}"
            yield label, world._replace(revision=world.revision + 1)
        for index, name in enumerate(_NODES):
            for label, act in self._events(world, index):
                changed = self._after(world, index, label, act)
                if changed != world:
                    yield f"{name} {label}", changed
        yield from self._answer(world)
        if world.restarts:
            fresh = (self._fresh(), world.nodes[_FED])
            restarts = world.restarts - 1
            yield "feeder starts again", world._replace(nodes=fresh, restarts=restarts)

    def _events(
        self, world: RegistryWorld, index: int
    ) -> Iterator[tuple[str, Callable[[TargetRegistry], object]]]:
        for revision in range(world.revision + 1):
            listed = self._listed(revision)
            take = partial(_take_list, listed, revision)
            yield f"gets a list of revision {revision}", take
        node = self._nodes[world.nodes[index]]
        if not node.known:
            return
        for after in range(node.revision + 1):
            for revision in range(after + 1, world.revision + 1):
                take = partial(self._take_changes, after, revision)
                yield f"gets the changes from {after} to {revision}", take
        if index == _FED:
            for told in world.sent:
                yield f"is told {told}", partial(_take_told, told)
        yield "gives lapsed entries up", lambda node: node.expire(_GRACE_OVER_S)
        yield "forgets what is gone", lambda node: node.expire(_MEMORY_OVER_S)

    def _after(
        self,
        world: RegistryWorld,
        index: int,
        label: str,
        act: Callable[[TargetRegistry], object],
    ) -> RegistryWorld:
        state, _ = self._nodes.after(world.nodes[index], label, act)
        nodes = list(world.nodes)
        nodes[index] = state
        return world._replace(nodes=(nodes[_FEEDER], nodes[_FED]))

    def _answer(self, world: RegistryWorld) -> Iterator[Step]:
        """The feeder answers what the other asked for."""
        feeder, fed = (self._nodes[state] for state in world.nodes)
        if not feeder.known or not fed.known or feeder.revision <= fed.revision:
            return
        news = feeder.news_since(fed.revision)
        told = Told(tuple(news.targets), tuple(news.removed), news.whole, news.revision)
        sent = world.sent | {told}
        if len(sent) <= self._bounds.messages:
            yield f"feeder answers {told}", world._replace(sent=sent)

    def _entry(self, revision: int) -> Target | None:
        name, phase, born_ms = self._bounds.history[revision - 1]
        if phase is None:
            return None
        return Target(
            *(name, 1, "s", "10.0.0.1", 1, "z", 1, phase),
            created=1,
            revision=revision,
            born_ms=born_ms,
        )

    def _last_change(self, name: str, after: int, revision: int) -> int:
        """Return the last change of an entry within some, 0 if there is none."""
        changes = range(after + 1, revision + 1)
        return max(
            (r for r in changes if self._bounds.history[r - 1].name == name), default=0
        )

    def _listed(self, revision: int) -> list[Target]:
        last = [self._last_change(name, 0, revision) for name in self._names]
        entries = [self._entry(change) for change in last if change]
        return [entry for entry in entries if entry is not None]

    def _take_changes(self, after: int, revision: int, node: TargetRegistry) -> None:
        last = {self._last_change(name, after, revision) for name in self._names}
        for change in sorted(last - {0}):
            name = self._bounds.history[change - 1].name
            entry = self._entry(change)
            if entry is None:
                node.apply_removal(name, change, 0.0)
            else:
                node.apply_entry(entry, 0.0)
        node.advance_revision(revision)

    def agrees(self, world: RegistryWorld) -> bool:
        """Tell whether each instance believes what stood at its revision."""
        return all(
            self._agrees(self._nodes[state])
            for state in world.nodes
            if self._nodes[state].known
        )

    def _agrees(self, node: TargetRegistry) -> bool:
        stood = {target.name: target for target in self._listed(node.revision)}
        for name in self._names:
            belief = node.get(name)
            state = None if belief is None else belief.state
            entry = stood.get(name)
            if entry is not None and state is not _PRESENT[entry.phase]:
                return False
            if entry and belief and belief.target.born_ms != entry.born_ms:
                return False
            if entry is None and state in _PRESENT.values():
                return False
        return True

    def is_bounded(self, world: RegistryWorld) -> bool:
        """Tell whether no instance claims a revision that the store has not."""
        nodes = (self._nodes[state] for state in world.nodes)
        return all(node.revision <= world.revision for node in nodes)


def _take_list(listed: list[Target], revision: int, node: TargetRegistry) -> None:
    node.apply_list(listed, revision, 0.0)


def _take_told(told: Told, node: TargetRegistry) -> None:
    news = RegistryNews(
        list(told.targets), list(told.removed), told.whole, told.revision
    )
    node.apply_news(news, 0.0)

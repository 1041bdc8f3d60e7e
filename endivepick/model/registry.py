"""Specification of the registry: its content matches the store at its revision.

A feeder and a fed instance run the production registry.  Lists and watch responses of
the store arrive in any order that the store permits.  Answers of the feeder may be
delayed, duplicated or lost.  Lapsed entries are declared gone and removed at any time,
and the feeder may restart without any state.
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
from endivepick.model._transition_cache import TransitionCache
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
    """Change of a registry entry.

    Attributes
    ----------
    name : str
        Name of the target.
    phase : TargetPhase or None
        Phase of the target after the change; None if the entry was removed.
    born_ms : int
        Start time of the target in Unix milliseconds; 0 if unknown.
    """

    name: str
    phase: TargetPhase | None
    born_ms: int = 0


@dataclass(frozen=True)
class RegistryBounds:
    """Limits on the events in one run of the registry model.

    Attributes
    ----------
    history : tuple
        Sequence of changes of entries.
    messages : int
        Maximum number of distinct answers of the feeder.
    restarts : int
        Maximum number of restarts of the feeder without state.
    registry : callable
        Creates the registry of an instance; a mutation replaces it.
    """

    history: tuple[Entry, ...] = (
        Entry("i-1", _READY),
        Entry("i-1", None),
        Entry("i-1", _DRAINING),
    )
    messages: int = 2
    restarts: int = 1
    registry: Callable[[ForwardingSettings], TargetRegistry] = TargetRegistry


class FeederAnswer(NamedTuple):
    """Answer of the feeder in hashable form."""

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
        Number of changes that the store has accepted.
    sent : frozenset of FeederAnswer
        Answers of the feeder.
    restarts : int
        Restarts that the bounds still allow.
    """

    nodes: tuple[int, int]
    revision: int
    sent: frozenset[FeederAnswer]
    restarts: int


def registry_specification(name: str, bounds: RegistryBounds) -> Specification:
    """Build the specification of the registry within given bounds."""
    model = _RegistryModel(bounds)
    return Specification(
        name=name,
        initial=model.initial(),
        steps=model.steps,
        invariants={
            "what is believed at a revision stood there": model.matches_store,
            "nothing newer than the store is known": model.is_bounded,
        },
    )


class _RegistryModel:
    def __init__(self, bounds: RegistryBounds) -> None:
        self._bounds = bounds
        self._nodes: TransitionCache[TargetRegistry] = TransitionCache(freeze)
        self._names = sorted({entry.name for entry in bounds.history})

    def initial(self) -> RegistryWorld:
        """Return the state in which all registries are empty."""
        fresh = self._fresh()
        return RegistryWorld((fresh, fresh), 0, frozenset(), self._bounds.restarts)

    def _fresh(self) -> int:
        return self._nodes.number_of(self._bounds.registry(_SETTINGS))

    def steps(self, world: RegistryWorld) -> Iterator[Step]:
        """Yield every step out of a state, with its label."""
        if world.revision < len(self._bounds.history):
            entry = self._bounds.history[world.revision]
            what = "removed" if entry.phase is None else entry.phase.value
            label = f"store: {entry.name} {what}, revision {world.revision + 1}"
            yield label, world._replace(revision=world.revision + 1)
        for index, name in enumerate(_NODES):
            for label, act in self._events(world, index):
                changed = self._apply_event(world, index, label, act)
                if changed != world:
                    yield f"{name} {label}", changed
        yield from self._answer_steps(world)
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
            for answer in world.sent:
                yield f"receives {answer}", partial(_take_feeder_answer, answer)
        yield "declares lapsed entries gone", lambda node: node.expire(_GRACE_OVER_S)
        yield "removes gone entries", lambda node: node.expire(_MEMORY_OVER_S)

    def _apply_event(
        self,
        world: RegistryWorld,
        index: int,
        label: str,
        act: Callable[[TargetRegistry], object],
    ) -> RegistryWorld:
        state, _ = self._nodes.apply_event(world.nodes[index], label, act)
        nodes = list(world.nodes)
        nodes[index] = state
        return world._replace(nodes=(nodes[_FEEDER], nodes[_FED]))

    def _answer_steps(self, world: RegistryWorld) -> Iterator[Step]:
        """Send the changes since the revision of the fed instance."""
        feeder, fed = (self._nodes[state] for state in world.nodes)
        if not feeder.known or not fed.known or feeder.revision <= fed.revision:
            return
        news = feeder.news_since(fed.revision)
        answer = FeederAnswer(
            tuple(news.targets), tuple(news.removed), news.whole, news.revision
        )
        sent = world.sent | {answer}
        if len(sent) <= self._bounds.messages:
            yield f"feeder answers {answer}", world._replace(sent=sent)

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
        """Return the last change of an entry in a range of revisions, or 0."""
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

    def matches_store(self, world: RegistryWorld) -> bool:
        """Tell whether each registry matches the store at its revision."""
        return all(
            self._matches_store(self._nodes[state])
            for state in world.nodes
            if self._nodes[state].known
        )

    def _matches_store(self, node: TargetRegistry) -> bool:
        stored = {target.name: target for target in self._listed(node.revision)}
        for name in self._names:
            belief = node.get(name)
            state = None if belief is None else belief.state
            entry = stored.get(name)
            if entry is not None and state is not _PRESENT[entry.phase]:
                return False
            if entry and belief and belief.target.born_ms != entry.born_ms:
                return False
            if entry is None and state in _PRESENT.values():
                return False
        return True

    def is_bounded(self, world: RegistryWorld) -> bool:
        """Tell whether no registry has a higher revision than the store."""
        nodes = (self._nodes[state] for state in world.nodes)
        return all(node.revision <= world.revision for node in nodes)


def _take_list(listed: list[Target], revision: int, node: TargetRegistry) -> None:
    node.apply_list(listed, revision, 0.0)


def _take_feeder_answer(answer: FeederAnswer, node: TargetRegistry) -> None:
    news = RegistryNews(
        list(answer.targets), list(answer.removed), answer.whole, answer.revision
    )
    node.apply_news(news, 0.0)

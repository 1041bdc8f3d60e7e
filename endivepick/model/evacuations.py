"""Specification of evacuated zones: what an instance knows was written in the store.

A feeder and a fed instance run the production set of evacuated zones.  Both read lists
from the store, whose responses may be delayed, and are told its changes in order.
The snapshots that the feeder sends may be delayed, duplicated or lost.  The feeder may
restart without any state and begin with a list that is out of date.
"""

from collections.abc import Callable, Hashable, Iterator
from dataclasses import dataclass
from typing import NamedTuple

from endivepick.forwarding import EvacuatedZone, EvacuatedZones, EvacuationSnapshot
from endivepick.model._freeze import freeze
from endivepick.model._transition_cache import TransitionCache
from endivepick.model.checker import Specification

__all__ = ["EvacuationBounds", "evacuations_specification"]

_FEEDER, _FED = 0, 1
_NODES = ("feeder", "fed")
Step = tuple[str, "EvacuationsWorld"]
Act = Callable[[EvacuatedZones], object]


@dataclass(frozen=True)
class EvacuationBounds:
    """Limits on the events in one run of the model.

    Attributes
    ----------
    history : tuple of str
        Zones in the order of the changes; each change begins or ends the evacuation of
        its zone.
    messages : int
        Maximum number of distinct snapshots of the feeder.
    restarts : int
        Maximum number of restarts of the feeder without state.
    zones : callable
        Creates the set of an instance; a mutation replaces it.
    """

    history: tuple[str, ...] = ("a", "b", "a")
    messages: int = 2
    restarts: int = 1
    zones: Callable[[], EvacuatedZones] = EvacuatedZones


class EvacuationsWorld(NamedTuple):
    """One state of the model.

    Attributes
    ----------
    nodes : tuple of int
        State number of each instance.
    revision : int
        Number of changes that the store has accepted.
    fed_positions : tuple of int
        For each zone, the highest revision up to which the fed instance knew it.
    sent : frozenset of int
        State numbers of the feeder's snapshots.
    restarts : int
        Restarts that the bounds still allow.
    """

    nodes: tuple[int, int]
    revision: int
    fed_positions: tuple[int, ...]
    sent: frozenset[int]
    restarts: int


def evacuations_specification(name: str, bounds: EvacuationBounds) -> Specification:
    """Build the specification of evacuated zones within given bounds."""
    model = _EvacuationsModel(bounds)
    return Specification(
        name=name,
        initial=model.initial(),
        steps=model.steps,
        invariants={
            "what is known at a revision was written there": model.matches_written,
            "what is known of a zone never goes back": model.never_reverts,
            "a feeder that knows more has news": model.has_news,
        },
    )


class _EvacuationsModel:
    def __init__(self, bounds: EvacuationBounds) -> None:
        self._bounds = bounds
        self._zone_names = tuple(sorted(set(bounds.history)))
        self._nodes: TransitionCache[EvacuatedZones] = TransitionCache(_freeze_zones)
        self._snapshots: TransitionCache[EvacuationSnapshot] = TransitionCache(freeze)
        self._written = self._list_written()

    def _list_written(self) -> list[dict[str, int]]:
        """Return the evacuated zones at each revision, with their revisions."""
        written: list[dict[str, int]] = [{}]
        for revision, zone in enumerate(self._bounds.history, 1):
            zones = dict(written[-1])
            if zones.pop(zone, None) is None:
                zones[zone] = revision
            written.append(zones)
        return written

    def initial(self) -> EvacuationsWorld:
        """Return the state in which no instance knows anything."""
        fresh = self._fresh()
        positions = (0,) * len(self._zone_names)
        nothing: frozenset[int] = frozenset()
        return EvacuationsWorld(
            (fresh, fresh), 0, positions, nothing, self._bounds.restarts
        )

    def _fresh(self) -> int:
        return self._nodes.number_of(self._bounds.zones())

    def steps(self, world: EvacuationsWorld) -> Iterator[Step]:
        """Yield every step out of a state, with its label."""
        if world.revision < len(self._bounds.history):
            later = world._replace(revision=world.revision + 1)
            yield f"store: change of revision {later.revision}", later
        for index in (_FEEDER, _FED):
            yield from self._read_steps(world, index)
        yield from self._message_steps(world)
        if world.restarts:
            fresh = (self._fresh(), world.nodes[_FED])
            remaining = world.restarts - 1
            yield "feeder starts again", world._replace(nodes=fresh, restarts=remaining)

    def _read_steps(self, world: EvacuationsWorld, index: int) -> Iterator[Step]:
        known = self._nodes[world.nodes[index]]
        for revision in range(world.revision + 1):
            listed = self._list(revision)
            if not known.known:
                act = _apply_stale_list(listed)
                yield self._apply(world, index, f"reads stale list {revision}", act)
            act = _apply_list(listed, revision)
            yield self._apply(world, index, f"reads list {revision}", act)
        if known.known and known.revision < world.revision:
            act = self._make_watch(known.revision, world.revision)
            label = f"is told the changes up to {world.revision}"
            yield self._apply(world, index, label, act)

    def _message_steps(self, world: EvacuationsWorld) -> Iterator[Step]:
        snapshot = self._nodes[world.nodes[_FEEDER]].make_snapshot()
        if snapshot is not None:
            sent = world.sent | {self._snapshots.number_of(snapshot)}
            if len(sent) <= self._bounds.messages:
                yield "feeder answers", world._replace(sent=sent)
        for number in sorted(world.sent):
            told = self._snapshots[number]
            act = _apply_list(told.zones, told.revision)
            yield self._apply(world, _FED, f"receives snapshot {told.revision}", act)

    def _list(self, revision: int) -> list[EvacuatedZone]:
        return [EvacuatedZone(*each) for each in self._written[revision].items()]

    def _make_watch(self, after: int, until: int) -> Act:
        def act(zones: EvacuatedZones) -> None:
            for revision in range(after + 1, until + 1):
                zone = self._bounds.history[revision - 1]
                if zone in self._written[revision]:
                    zones.apply_begin(EvacuatedZone(zone, revision))
                else:
                    zones.apply_end(zone, revision)
            zones.advance_revision(until)

        return act

    def _apply(self, world: EvacuationsWorld, index: int, label: str, act: Act) -> Step:
        state, _ = self._nodes.apply_event(world.nodes[index], label, act)
        nodes = list(world.nodes)
        nodes[index] = state
        positions = world.fed_positions
        if index == _FED:
            reached = self._positions(self._nodes[state])
            positions = tuple(map(max, positions, reached))
        changed = world._replace(
            nodes=(nodes[_FEEDER], nodes[_FED]), fed_positions=positions
        )
        return f"{_NODES[index]} {label}", changed

    def _positions(self, zones: EvacuatedZones) -> tuple[int, ...]:
        """Return, for each zone, the revision up to which it is known."""
        revisions = {each.zone: each.revision for each in zones.list_zones()}
        return tuple(
            max(zones.revision, revisions.get(name, 0)) for name in self._zone_names
        )

    def matches_written(self, world: EvacuationsWorld) -> bool:
        """Tell whether each instance knows each zone as it was at its position."""
        return all(self._matches_written(self._nodes[state]) for state in world.nodes)

    def _matches_written(self, zones: EvacuatedZones) -> bool:
        positions = zip(self._zone_names, self._positions(zones), strict=True)
        return not zones.known or all(
            (name in zones) == (name in self._written[position])
            for name, position in positions
        )

    def never_reverts(self, world: EvacuationsWorld) -> bool:
        """Tell whether the fed instance knows as much of each zone as it ever did."""
        return self._positions(self._nodes[world.nodes[_FED]]) == world.fed_positions

    def has_news(self, world: EvacuationsWorld) -> bool:
        """Tell whether a feeder that knows a later set answers a poll at once."""
        feeder, fed = (self._nodes[state] for state in world.nodes)
        if not (feeder.known and fed.known) or feeder.revision <= fed.revision:
            return True
        names = {each.zone for each in feeder.list_zones()}
        differs = names != {each.zone for each in fed.list_zones()}
        return not differs or feeder.changed_revision > fed.revision


def _freeze_zones(zones: EvacuatedZones) -> Hashable:
    """Return the state without the counter of changes, which only grows."""
    state = {name: value for name, value in vars(zones).items() if name != "changes"}
    return freeze(state)


def _apply_list(zones: list[EvacuatedZone], revision: int) -> Act:
    return lambda known: known.apply_list(zones, revision)


def _apply_stale_list(zones: list[EvacuatedZone]) -> Act:
    def act(known: EvacuatedZones) -> None:
        for each in zones:
            known.apply_begin(each)

    return act

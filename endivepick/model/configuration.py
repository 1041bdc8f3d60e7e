"""Specification of configuration: an accepted version never reverts.

Two instances run the real record cache, exchange of records and readiness.  The
platform's reads may be stale, its watch answers may come again, peer messages may
come late, twice or never, also at a later process of the receiver's name, and an
instance may lose everything and start again.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

from endivepick.model._config_node import (
    ConfigNode,
    ConfigParts,
    Digest,
    Event,
    Listed,
    Received,
    Watched,
)
from endivepick.model._transition_cache import Memory
from endivepick.model.checker import Specification

__all__ = ["ConfigBounds", "configuration_specification"]

_NAMES = ("a", "b")
Step = tuple[str, "ConfigWorld"]


@dataclass(frozen=True)
class ConfigBounds:
    """How much may happen in one run of the configuration model.

    Attributes
    ----------
    history : tuple of bool
        Changes of the record in turn: True for a new version, False for a
        deletion.
    messages : int
        Different messages between instances.
    cut_off : bool
        The first instance never reaches the platform; it alone begins exchanges.
    restarts : int
        Instances that start again with nothing.
    parts : ConfigParts
        Classes that the instances are built of.
    """

    history: tuple[bool, ...] = (True, False, True)
    messages: int = 3
    cut_off: bool = False
    restarts: int = 1
    parts: ConfigParts = ConfigParts()


class ConfigWorld(NamedTuple):
    """One state of the configuration model.

    Attributes
    ----------
    nodes : tuple of int
        State number of each instance.
    highest : tuple of int
        Highest version or deletion that each instance, since its start, had in
        force.
    floor : tuple of int
        What its ready peer held when the instance started.
    revision : int
        Changes that the platform has accepted.
    sent : frozenset
        Messages between instances, with receiver.
    restarts : int
        Starts that the bounds still allow.
    """

    nodes: tuple[int, ...]
    highest: tuple[int, ...]
    floor: tuple[int, ...]
    revision: int
    sent: frozenset[tuple[int, Any]]
    restarts: int


def configuration_specification(name: str, bounds: ConfigBounds) -> Specification:
    """Build the specification of the configuration within some bounds."""
    model = _ConfigModel(bounds)
    return Specification(
        name=name,
        initial=model.initial(),
        steps=model.steps,
        invariants={
            "a configuration in force never reverts": model.never_reverts,
            "a ready instance is as new as its peer was": model.ready_is_new,
        },
    )


class _ConfigModel:
    def __init__(self, bounds: ConfigBounds) -> None:
        self._bounds = bounds
        self._nodes: Memory[ConfigNode] = Memory(ConfigNode.frozen)

    def initial(self) -> ConfigWorld:
        """Return the world in which nothing is known anywhere."""
        restarts = self._bounds.restarts
        nodes = tuple(self._fresh(index, restarts) for index in range(len(_NAMES)))
        return ConfigWorld(nodes, (0, 0), (0, 0), 0, frozenset(), restarts)

    def _fresh(self, index: int, restarts: int) -> int:
        # The processes of a name differ in the starts that were left to them.
        incarnation = restarts + 1
        node = ConfigNode(_NAMES[index], self._bounds.parts, incarnation)
        return self._nodes.number_of(node)

    def steps(self, world: ConfigWorld) -> Iterator[Step]:
        """Yield every step out of a world, with its label."""
        if world.revision < len(self._bounds.history):
            kind = "a version" if self._bounds.history[world.revision] else "a deletion"
            label = f"platform accepts {kind}, revision {world.revision + 1}"
            yield label, world._replace(revision=world.revision + 1)
        for index, name in enumerate(_NAMES):
            for label, event in self._events(world, index):
                changed = self._after(world, index, event)
                if changed is not None and changed != world:
                    yield f"{name} {label}", changed
            if world.restarts:
                yield f"{name} starts again", self._restart(world, index)
                # What was meant for the process before may be lost with its
                # connections, which leaves more new messages within the bounds.
                kept = frozenset(one for one in world.sent if one[0] != index)
                lost = self._restart(world._replace(sent=kept), index)
                yield f"{name} starts again, messages to it are lost", lost

    def _events(self, world: ConfigWorld, index: int) -> Iterator[tuple[str, Event]]:
        if index or not self._bounds.cut_off:
            yield from self._platform_answers(world)
        if not (index and self._bounds.cut_off):
            yield "sends a digest", Digest()
        for receiver, message in world.sent:
            if receiver == index:
                label = f"gets {type(message).__name__} {message}"
                yield label, Received(_NAMES[1 - index], message)

    def _platform_answers(self, world: ConfigWorld) -> Iterator[tuple[str, Event]]:
        for revision in range(1, world.revision + 1):
            yield f"gets a list of revision {revision}", self._listed(revision)
        for after in range(world.revision):
            for revision in range(after + 1, world.revision + 1):
                label = f"gets the changes from {after} to {revision}"
                yield label, self._watched(after, revision)

    def _listed(self, revision: int) -> Listed:
        exists = self._bounds.history[revision - 1]
        return Listed(revision, ((revision, True),) if exists else ())

    def _watched(self, after: int, revision: int) -> Watched:
        # A watch names the last change of each object.
        latest = (revision, self._bounds.history[revision - 1])
        return Watched(after, revision, (latest,))

    def _after(
        self, world: ConfigWorld, index: int, event: Event
    ) -> ConfigWorld | None:
        peers = (_NAMES[1 - index],)
        state, messages = self._nodes.after(
            world.nodes[index], event, lambda node: node.handle(event, peers)
        )
        sent = world.sent | {(1 - index, message) for message in messages}
        if len(sent) > self._bounds.messages:
            return None
        highest = max(world.highest[index], self._known(state))
        return world._replace(
            nodes=_replaced(world.nodes, index, state),
            highest=_replaced(world.highest, index, highest),
            sent=sent,
        )

    def _known(self, state: int) -> int:
        """Return the newest change of the record that an instance acted on."""
        node = self._nodes[state]
        return node.version or min(
            node.cache.revision, self._last_deletion(node.cache.revision)
        )

    def _last_deletion(self, revision: int) -> int:
        past = self._bounds.history[:revision]
        deletions = [index + 1 for index, exists in enumerate(past) if not exists]
        return max(deletions, default=0)

    def _restart(self, world: ConfigWorld, index: int) -> ConfigWorld:
        peer = self._nodes[world.nodes[1 - index]]
        floor = peer.version if peer.readiness.ready else 0
        restarts = world.restarts - 1
        return world._replace(
            nodes=_replaced(world.nodes, index, self._fresh(index, restarts)),
            highest=_replaced(world.highest, index, 0),
            floor=_replaced(world.floor, index, floor),
            restarts=restarts,
        )

    def never_reverts(self, world: ConfigWorld) -> bool:
        """Tell whether no instance has an older version in force than before."""
        for state, highest in zip(world.nodes, world.highest, strict=True):
            version = self._nodes[state].version
            if version and version < highest:
                return False
        return True

    def ready_is_new(self, world: ConfigWorld) -> bool:
        """Tell whether who serves holds what its peer held at its start."""
        for state, floor in zip(world.nodes, world.floor, strict=True):
            node = self._nodes[state]
            if node.readiness.ready and self._known(state) < floor:
                return False
        return True


def _replaced(items: tuple[int, ...], index: int, item: int) -> tuple[int, ...]:
    return (*items[:index], item, *items[index + 1 :])

"""Specification of configuration: an accepted version never reverts.

Two instances run the production record cache, record exchange and readiness check.
Reads from the platform may be stale and its watch responses may be repeated.  Peer
messages may be delayed, duplicated or lost, and may reach a later process with the
name of the receiver.  An instance may restart without any state.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

from endivepick.model._config_node import (
    ConfigNode,
    ConfigParts,
    Event,
    Listed,
    Received,
    SendDigest,
    Watched,
)
from endivepick.model._transition_cache import TransitionCache
from endivepick.model.checker import Specification

__all__ = ["ConfigBounds", "configuration_specification"]

_NAMES = ("a", "b")
Step = tuple[str, "ConfigWorld"]


@dataclass(frozen=True)
class ConfigBounds:
    """Limits on the events in one run of the configuration model.

    Attributes
    ----------
    history : tuple of bool
        Sequence of changes of the record: True for a new version, False for a
        deletion.
    messages : int
        Maximum number of distinct messages between instances.
    first_isolated : bool
        The first instance never reaches the platform; only it initiates exchanges.
    restarts : int
        Maximum number of restarts without state.
    parts : ConfigParts
        Classes that the instances consist of.
    """

    history: tuple[bool, ...] = (True, False, True)
    messages: int = 3
    first_isolated: bool = False
    restarts: int = 1
    parts: ConfigParts = ConfigParts()


class ConfigWorld(NamedTuple):
    """One state of the configuration model.

    Attributes
    ----------
    nodes : tuple of int
        State number of each instance.
    highest : tuple of int
        Highest version or deletion that was in force at each instance since its
        start.
    required_versions : tuple of int
        Version that the ready peer held when the instance started, 0 if the peer
        was not ready.
    revision : int
        Number of changes that the platform has accepted.
    sent : frozenset
        Messages between instances with their receivers.
    restarts : int
        Restarts that the bounds still allow.
    """

    nodes: tuple[int, ...]
    highest: tuple[int, ...]
    required_versions: tuple[int, ...]
    revision: int
    sent: frozenset[tuple[int, Any]]
    restarts: int


def configuration_specification(name: str, bounds: ConfigBounds) -> Specification:
    """Build the specification of configuration within given bounds."""
    model = _ConfigModel(bounds)
    return Specification(
        name=name,
        initial=model.initial(),
        steps=model.steps,
        invariants={
            "a configuration in force never reverts": model.never_reverts,
            "a ready instance is as new as its peer was": model.ready_is_up_to_date,
        },
    )


class _ConfigModel:
    def __init__(self, bounds: ConfigBounds) -> None:
        self._bounds = bounds
        self._nodes: TransitionCache[ConfigNode] = TransitionCache(ConfigNode.frozen)

    def initial(self) -> ConfigWorld:
        """Return the state in which no instance has any record."""
        restarts = self._bounds.restarts
        nodes = tuple(self._fresh(index, restarts) for index in range(len(_NAMES)))
        return ConfigWorld(nodes, (0, 0), (0, 0), 0, frozenset(), restarts)

    def _fresh(self, index: int, restarts: int) -> int:
        # The number of remaining restarts distinguishes the processes of a name.
        incarnation = restarts + 1
        node = ConfigNode(_NAMES[index], self._bounds.parts, incarnation)
        return self._nodes.number_of(node)

    def steps(self, world: ConfigWorld) -> Iterator[Step]:
        """Yield every step out of a state, with its label."""
        if world.revision < len(self._bounds.history):
            kind = "a version" if self._bounds.history[world.revision] else "a deletion"
            label = f"platform accepts {kind}, revision {world.revision + 1}"
            yield label, world._replace(revision=world.revision + 1)
        for index, name in enumerate(_NAMES):
            for label, event in self._events(world, index):
                changed = self._apply_event(world, index, event)
                if changed is not None and changed != world:
                    yield f"{name} {label}", changed
            if world.restarts:
                yield f"{name} starts again", self._restart(world, index)
                # Messages to the previous process may be lost with its connections,
                # which permits more new messages within the bounds.
                kept = frozenset(one for one in world.sent if one[0] != index)
                lost = self._restart(world._replace(sent=kept), index)
                yield f"{name} starts again, messages to it are lost", lost

    def _events(self, world: ConfigWorld, index: int) -> Iterator[tuple[str, Event]]:
        if index or not self._bounds.first_isolated:
            yield from self._platform_answers(world)
        if not (index and self._bounds.first_isolated):
            yield "sends a digest", SendDigest()
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
        # A watch response holds only the latest change of each object.
        latest = (revision, self._bounds.history[revision - 1])
        return Watched(after, revision, (latest,))

    def _apply_event(
        self, world: ConfigWorld, index: int, event: Event
    ) -> ConfigWorld | None:
        peers = (_NAMES[1 - index],)
        state, messages = self._nodes.apply_event(
            world.nodes[index], event, lambda node: node.handle(event, peers)
        )
        sent = world.sent | {(1 - index, message) for message in messages}
        if len(sent) > self._bounds.messages:
            return None
        highest = max(world.highest[index], self._newest_applied_change(state))
        return world._replace(
            nodes=_replaced(world.nodes, index, state),
            highest=_replaced(world.highest, index, highest),
            sent=sent,
        )

    def _newest_applied_change(self, state: int) -> int:
        """Return the newest change of the record that an instance has applied."""
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
        required = peer.version if peer.readiness.ready else 0
        restarts = world.restarts - 1
        return world._replace(
            nodes=_replaced(world.nodes, index, self._fresh(index, restarts)),
            highest=_replaced(world.highest, index, 0),
            required_versions=_replaced(world.required_versions, index, required),
            restarts=restarts,
        )

    def never_reverts(self, world: ConfigWorld) -> bool:
        """Tell whether the version in force has not decreased at any instance."""
        for state, highest in zip(world.nodes, world.highest, strict=True):
            version = self._nodes[state].version
            if version and version < highest:
                return False
        return True

    def ready_is_up_to_date(self, world: ConfigWorld) -> bool:
        """Tell whether each ready instance holds what its peer held at its start."""
        for state, required in zip(world.nodes, world.required_versions, strict=True):
            node = self._nodes[state]
            if node.readiness.ready and self._newest_applied_change(state) < required:
                return False
        return True


def _replaced(items: tuple[int, ...], index: int, item: int) -> tuple[int, ...]:
    return (*items[:index], item, *items[index + 1 :])

"""Bounds of all models but the flow's, and their mutations."""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import msgspec
from returns.result import Result, Success

from endivepick.core.dispatch import Decision, RequestIntent, ServiceDispatcher
from endivepick.core.key_rotation import RotationSettings
from endivepick.model._change_mutants import CHANGE_MUTATIONS, CHANGE_SCENARIOS
from endivepick.model._config_node import ConfigParts
from endivepick.model._evidence_mutants import EVIDENCE_MUTATIONS, EVIDENCE_SCENARIOS
from endivepick.model._mutation import Mutation
from endivepick.model._placement_node import PlacementParts
from endivepick.model._registry_mutants import REGISTRY_MUTATIONS, REGISTRY_SCENARIOS
from endivepick.model._restart_mutants import RESTART_MUTATIONS, RESTART_SCENARIOS
from endivepick.model.checker import Specification
from endivepick.model.configuration import ConfigBounds, configuration_specification
from endivepick.model.key_rotation import KeyBounds, KeyRules, key_specification
from endivepick.model.placement import (
    PlacementBounds,
    TargetRules,
    placement_specification,
)
from endivepick.records._readiness import Readiness
from endivepick.records.cache import Change, RecordCache
from endivepick.records.objects import StoredObject
from endivepick.records.peer_messages import ConfigDigest

__all__ = ["OTHER_MUTATIONS", "OTHER_SCENARIOS"]

_NO_DELETION = (True, True)


class BackwardsCache(RecordCache):
    """A cache that takes any version that differs from the one held."""

    def offer(self, offered: StoredObject) -> Change | None:
        """Take the version unless it is held."""
        held = self._objects.get(offered.key)
        if held is not None and held.version == offered.version:
            return None
        return self._accept(held, offered)


class DeletionBlindCache(RecordCache):
    """A cache that takes what it does not hold, however old."""

    def offer(self, offered: StoredObject) -> Change | None:
        """Compare with the version held only."""
        held = self._objects.get(offered.key)
        if held is not None and held.version >= offered.version:
            return None
        return self._accept(held, offered)


class HastyReadiness(Readiness):
    """A start that does not wait for the peers."""

    def update(self, revision: int, reachable: Any, now_s: float) -> bool:
        """Be ready with whatever the platform listed."""
        self.ready = self.ready or self._listed
        return self.ready


class CredulousReadiness(Readiness):
    """A start that takes any digest for the answer to its own question."""

    def record_digest(self, name: str, digest: ConfigDigest) -> None:
        """Overlook which question the digest answers."""
        super().record_digest(
            name, msgspec.structs.replace(digest, answered=self.question)
        )


class CarelessDispatcher(ServiceDispatcher):
    """A dispatcher that repeats every request whose connection broke."""

    def submit(
        self, intent: RequestIntent, now_s: float, random_number: float
    ) -> list[Decision]:
        """Take every request for idempotent."""
        return super().submit(replace(intent, idempotent=True), now_s, random_number)


def _always(*arguments: object) -> Result[Any, Any]:
    return Success(None)


def _placement(bounds: PlacementBounds) -> Callable[[str], Specification]:
    return lambda name: placement_specification(name, bounds)


def _configuration(bounds: ConfigBounds) -> Callable[[str], Specification]:
    return lambda name: configuration_specification(name, bounds)


def _keys(bounds: KeyBounds) -> Callable[[str], Specification]:
    return lambda name: key_specification(name, bounds)


OTHER_SCENARIOS: dict[str, Callable[[str], Specification]] = {
    "placement, non-idempotent": _placement(PlacementBounds(idempotent=False)),
    "placement, idempotent": _placement(PlacementBounds(idempotent=True)),
    "configuration, stale reads and exchange": _configuration(
        ConfigBounds(messages=2, restarts=0)
    ),
    "configuration, restarts": _configuration(
        ConfigBounds(messages=2, history=_NO_DELETION)
    ),
    "configuration, one cut off": _configuration(
        ConfigBounds(messages=6, restarts=0, cut_off=True)
    ),
    "configuration, one cut off starts again": _configuration(
        ConfigBounds(messages=5, history=_NO_DELETION, cut_off=True)
    ),
    "keys, two rotations": _keys(KeyBounds(rotations=2, cuts=0, restarts=0)),
    "keys, restarts": _keys(KeyBounds(cuts=0)),
    "keys, one cut off": _keys(KeyBounds(restarts=0)),
    **REGISTRY_SCENARIOS,
    **EVIDENCE_SCENARIOS,
    **CHANGE_SCENARIOS,
    **RESTART_SCENARIOS,
}
"""By name, what builds the specification of each check."""

_MUTATIONS: dict[str, Callable[[str], Specification]] = {
    **REGISTRY_MUTATIONS,
    **EVIDENCE_MUTATIONS,
    **CHANGE_MUTATIONS,
    **RESTART_MUTATIONS,
    "a target runs whatever reaches it": _placement(
        PlacementBounds(False, rules=TargetRules(service=False, incarnation=False))
    ),
    "a non-idempotent request is sent to a second target": _placement(
        PlacementBounds(False, parts=PlacementParts(dispatcher=CarelessDispatcher))
    ),
    "a configuration version may go back": _configuration(
        ConfigBounds(messages=0, restarts=0, parts=ConfigParts(cache=BackwardsCache))
    ),
    "a deletion is forgotten": _configuration(
        ConfigBounds(
            messages=0, restarts=0, parts=ConfigParts(cache=DeletionBlindCache)
        )
    ),
    "an instance serves before its peers answered": _configuration(
        ConfigBounds(
            history=_NO_DELETION,
            messages=0,
            parts=ConfigParts(readiness=HastyReadiness),
        )
    ),
    "an answer to an earlier process of the name counts": _configuration(
        ConfigBounds(
            history=_NO_DELETION,
            messages=2,
            parts=ConfigParts(readiness=CredulousReadiness),
        )
    ),
    "a key is used before it is everywhere": _keys(
        KeyBounds(cuts=0, restarts=0, rules=KeyRules(may_activate=_always))
    ),
    "a key goes before the tokens of a cut-off instance": _keys(
        KeyBounds(restarts=0, rules=KeyRules(settings=RotationSettings(2, 0)))
    ),
}

OTHER_MUTATIONS: tuple[Mutation, ...] = tuple(
    Mutation(name, build(name)) for name, build in _MUTATIONS.items()
)
"""Changes of rules outside the flow's, each of which has to break an invariant."""

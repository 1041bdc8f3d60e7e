"""Bounds of the checks of all models except the flow model, and their mutations."""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import msgspec
from returns.result import Result, Success

from endivepick.core.dispatch import Decision, RequestIntent, ServiceDispatcher
from endivepick.core.key_rotation import RotationSettings
from endivepick.model._change_mutants import CHANGE_MUTATIONS, CHANGE_SCENARIOS
from endivepick.model._config_node import ConfigParts
from endivepick.model._evacuation_mutants import (
    EVACUATION_MUTATIONS,
    EVACUATION_SCENARIOS,
)
from endivepick.model._evidence_mutants import EVIDENCE_MUTATIONS, EVIDENCE_SCENARIOS
from endivepick.model._load_report_mutants import (
    LOAD_REPORT_MUTATIONS,
    LOAD_REPORT_SCENARIOS,
)
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


class RevertingCache(RecordCache):
    """A cache that accepts any version other than the one held."""

    def offer(self, offered: StoredObject) -> Change | None:
        """Accept the version unless it is held already."""
        held = self._objects.get(offered.key)
        if held is not None and held.version == offered.version:
            return None
        return self._accept(held, offered)


class TombstoneIgnoringCache(RecordCache):
    """A cache that accepts any object it does not hold, even if it was deleted."""

    def offer(self, offered: StoredObject) -> Change | None:
        """Compare only with the version held and ignore deletions."""
        held = self._objects.get(offered.key)
        if held is not None and held.version >= offered.version:
            return None
        return self._accept(held, offered)


class PeerIgnoringReadiness(Readiness):
    """A readiness check that does not wait for the peers."""

    def update(self, revision: int, reachable: Any, now_s: float) -> bool:
        """Become ready as soon as the platform has returned a list."""
        self.ready = self.ready or self._listed
        return self.ready


class AnyDigestReadiness(Readiness):
    """A readiness check that accepts any digest as the reply to its question."""

    def record_digest(self, name: str, digest: ConfigDigest) -> None:
        """Ignore which question the digest replies to."""
        super().record_digest(
            name, msgspec.structs.replace(digest, answered=self.question)
        )


class AllIdempotentDispatcher(ServiceDispatcher):
    """A dispatcher that retries every request whose connection broke."""

    def submit(
        self, intent: RequestIntent, now_s: float, random_number: float
    ) -> list[Decision]:
        """Treat every request as idempotent."""
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
        ConfigBounds(messages=6, restarts=0, first_isolated=True)
    ),
    "configuration, one cut off starts again": _configuration(
        ConfigBounds(messages=5, history=_NO_DELETION, first_isolated=True)
    ),
    "keys, two rotations": _keys(KeyBounds(rotations=2, isolations=0, restarts=0)),
    "keys, restarts": _keys(KeyBounds(isolations=0)),
    "keys, one cut off": _keys(KeyBounds(restarts=0)),
    **REGISTRY_SCENARIOS,
    **EVIDENCE_SCENARIOS,
    **CHANGE_SCENARIOS,
    **EVACUATION_SCENARIOS,
    **LOAD_REPORT_SCENARIOS,
    **RESTART_SCENARIOS,
}
"""Factories of the specifications to check, by name."""

_MUTATIONS: dict[str, Callable[[str], Specification]] = {
    **REGISTRY_MUTATIONS,
    **EVIDENCE_MUTATIONS,
    **CHANGE_MUTATIONS,
    **EVACUATION_MUTATIONS,
    **LOAD_REPORT_MUTATIONS,
    **RESTART_MUTATIONS,
    "a target runs any request": _placement(
        PlacementBounds(False, rules=TargetRules(service=False, incarnation=False))
    ),
    "a non-idempotent request is sent to a second target": _placement(
        PlacementBounds(False, parts=PlacementParts(dispatcher=AllIdempotentDispatcher))
    ),
    "a configuration version may revert": _configuration(
        ConfigBounds(messages=0, restarts=0, parts=ConfigParts(cache=RevertingCache))
    ),
    "a deletion is forgotten": _configuration(
        ConfigBounds(
            messages=0, restarts=0, parts=ConfigParts(cache=TombstoneIgnoringCache)
        )
    ),
    "an instance serves before its peers answered": _configuration(
        ConfigBounds(
            history=_NO_DELETION,
            messages=0,
            parts=ConfigParts(readiness=PeerIgnoringReadiness),
        )
    ),
    "an answer to an earlier process of the name counts": _configuration(
        ConfigBounds(
            history=_NO_DELETION,
            messages=2,
            parts=ConfigParts(readiness=AnyDigestReadiness),
        )
    ),
    "a key is used before all instances hold it": _keys(
        KeyBounds(isolations=0, restarts=0, rules=KeyRules(may_activate=_always))
    ),
    "a key is retired before the tokens of an isolated instance expire": _keys(
        KeyBounds(restarts=0, rules=KeyRules(settings=RotationSettings(2, 0)))
    ),
}

OTHER_MUTATIONS: tuple[Mutation, ...] = tuple(
    Mutation(name, build(name)) for name, build in _MUTATIONS.items()
)
"""Mutations of rules outside the flow model; each must violate an invariant."""

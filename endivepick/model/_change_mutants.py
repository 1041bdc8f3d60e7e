"""Told changes with one rule broken, and the checks of their model."""

from collections.abc import Callable
from dataclasses import replace

import msgspec

from endivepick.forwarding import Configuration, ConfigurationChange, apply_change
from endivepick.forwarding.routes import RouteTable
from endivepick.model.checker import Specification
from endivepick.model.configuration_deltas import ChangeBounds, changes_specification

__all__ = ["CHANGE_MUTATIONS", "CHANGE_SCENARIOS"]


class LastChangeOnly(RouteTable):
    """Tells the last change, whatever the other has."""

    def change_since(self, revision: int) -> ConfigurationChange | None:
        """Claim that it starts from the other's version."""
        changes = self._history._changes
        if not changes:
            return None
        return msgspec.structs.replace(changes[-1], before_revision=revision)


class RemovalsUntold(RouteTable):
    """Tells of routes that are there only."""

    def change_since(self, revision: int) -> ConfigurationChange | None:
        """Leave out what was removed, and how many routes there are."""
        change = super().change_since(revision)
        if change is None:
            return None
        count = change.route_count + len(change.removed_routes)
        return msgspec.structs.replace(change, removed_routes=(), route_count=count)


class OlderTakenIn(RouteTable):
    """Takes any version for the newest."""

    def apply_configuration(self, configuration: Configuration, now_s: float) -> bool:
        """Forget which one is in force."""
        before = self.configuration
        if before is not None and before.revision > configuration.revision:
            self.configuration = None
        return super().apply_configuration(configuration, now_s)


def _apply_to_any(
    configuration: Configuration, change: ConfigurationChange
) -> Configuration | None:
    """Apply a change to a version that it does not start from."""
    moved = msgspec.structs.replace(configuration, revision=change.before_revision)
    return apply_change(moved, change)


def _changes(bounds: ChangeBounds) -> Callable[[str], Specification]:
    return lambda name: changes_specification(name, bounds)


_PLAIN = ChangeBounds()
CHANGE_SCENARIOS: dict[str, Callable[[str], Specification]] = {
    "told changes": _changes(_PLAIN),
    "told changes, a route returns": _changes(
        ChangeBounds(history=({"a": "s"}, {}, {"a": "t"}, {"a": "t", "b": "s"}))
    ),
}
"""By name, what builds the specification of each check."""

CHANGE_MUTATIONS: dict[str, Callable[[str], Specification]] = {
    "only the last change is told": _changes(replace(_PLAIN, table=LastChangeOnly)),
    "removed routes are not told": _changes(replace(_PLAIN, table=RemovalsUntold)),
    "an older version is taken in": _changes(replace(_PLAIN, table=OlderTakenIn)),
    "a change is applied to any version": _changes(
        replace(_PLAIN, apply=_apply_to_any)
    ),
}
"""By name, what builds the specification with one rule broken."""

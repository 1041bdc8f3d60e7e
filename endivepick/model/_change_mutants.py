"""Configuration deltas with one rule broken, and the checks of their model."""

from collections.abc import Callable
from dataclasses import replace

import msgspec

from endivepick.forwarding import Configuration, ConfigurationChange, apply_change
from endivepick.forwarding.routes import RouteTable
from endivepick.model.checker import Specification
from endivepick.model.configuration_deltas import ChangeBounds, changes_specification

__all__ = ["CHANGE_MUTATIONS", "CHANGE_SCENARIOS"]


class SendsLastChangeOnly(RouteTable):
    """A route table that sends its last delta, whatever the base version."""

    def change_since(self, revision: int) -> ConfigurationChange | None:
        """Replace the base revision of the last delta."""
        changes = self._history._changes
        if not changes:
            return None
        return msgspec.structs.replace(changes[-1], before_revision=revision)


class OmitsRemovals(RouteTable):
    """A route table that omits removed routes from its deltas."""

    def change_since(self, revision: int) -> ConfigurationChange | None:
        """Omit the removed routes and adjust the route count."""
        change = super().change_since(revision)
        if change is None:
            return None
        count = change.route_count + len(change.removed_routes)
        return msgspec.structs.replace(change, removed_routes=(), route_count=count)


class AcceptsOlderVersions(RouteTable):
    """A route table that accepts older versions."""

    def apply_configuration(self, configuration: Configuration, now_s: float) -> bool:
        """Discard the version in force if it is newer."""
        before = self.configuration
        if before is not None and before.revision > configuration.revision:
            self.configuration = None
        return super().apply_configuration(configuration, now_s)


def _apply_to_any_version(
    configuration: Configuration, change: ConfigurationChange
) -> Configuration | None:
    """Apply a delta to a version other than its base."""
    moved = msgspec.structs.replace(configuration, revision=change.before_revision)
    return apply_change(moved, change)


def _changes(bounds: ChangeBounds) -> Callable[[str], Specification]:
    return lambda name: changes_specification(name, bounds)


_DEFAULT_BOUNDS = ChangeBounds()
CHANGE_SCENARIOS: dict[str, Callable[[str], Specification]] = {
    "told changes": _changes(_DEFAULT_BOUNDS),
    "told changes, a route returns": _changes(
        ChangeBounds(history=({"a": "s"}, {}, {"a": "t"}, {"a": "t", "b": "s"}))
    ),
}
"""Factories of the specifications to check, by name."""

CHANGE_MUTATIONS: dict[str, Callable[[str], Specification]] = {
    "only the last delta is sent": _changes(
        replace(_DEFAULT_BOUNDS, table=SendsLastChangeOnly)
    ),
    "removed routes are omitted": _changes(
        replace(_DEFAULT_BOUNDS, table=OmitsRemovals)
    ),
    "an older version is accepted": _changes(
        replace(_DEFAULT_BOUNDS, table=AcceptsOlderVersions)
    ),
    "a delta is applied to any version": _changes(
        replace(_DEFAULT_BOUNDS, apply=_apply_to_any_version)
    ),
}
"""Factories of the specifications with one broken rule, by name."""

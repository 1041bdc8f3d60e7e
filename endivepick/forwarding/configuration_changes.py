"""Differences between two versions of the configuration.

Load pattern: an operator changes a few of thousands of routes, up to twice a second,
and all instances need each version within seconds.  A complete version would saturate
a slow link, and if each instance read it from the store, these reads would be a large
part of all calls.  The difference to the previous version is small, so the instance
that reads the store (a feeder) sends only the difference to the others.
"""

from collections import deque
from collections.abc import Iterable
from typing import TypeVar

from msgspec import Struct, field

from endivepick.forwarding.message_fields import Revision
from endivepick.forwarding.model import ColdStart, Configuration, Route

__all__ = ["ChangeHistory", "ConfigurationChange", "apply_change", "compute_change"]

MAX_HISTORY_CHANGES = 16
"""Changes kept for sending.  At two changes per second they cover the seconds in which
an instance receives nothing because its feeder is replaced."""
MAX_CHANGE_ROUTES = 100
"""Most routes of a change that is sent: a feeder sends it to each instance it feeds, on
the link that also carries its packets."""


_Value = TypeVar("_Value")


class ConfigurationChange(Struct, frozen=True):
    """Difference between two versions of the configuration.

    Attributes
    ----------
    before_revision : int
        Store revision of the version that the change applies to.
    version, revision : int
        Version and revision of the result, as in `Configuration`.
    routes : tuple of Route
        Added or modified routes.
    removed_routes : tuple of str
        Names of removed routes.
    health_paths : dict of str to str
        Path of the health check of services whose path was added or modified.
    removed_services : tuple of str
        Removed services.
    idle_timeout_s : float
        As in `Configuration`, in seconds.
    route_count : int
        Number of routes of the result, to verify that the change fits.
    cold_starts : dict of str to ColdStart
        Cold start of services for which it was added or modified.  An instance of a
        build without this field sends none, and the known ones remain.
    """

    before_revision: Revision
    version: int
    revision: Revision
    routes: tuple[Route, ...]
    removed_routes: tuple[str, ...]
    health_paths: dict[str, str]
    removed_services: tuple[str, ...]
    idle_timeout_s: float
    route_count: int
    cold_starts: dict[str, ColdStart] = field(default_factory=dict)


def compute_change(before: Configuration, after: Configuration) -> ConfigurationChange:
    """Compute the change from one version to another.

    Examples
    --------
    >>> before = Configuration(1, 5, (), {"notes": "/health"})
    >>> after = Configuration(2, 9, (), {"notes": "/ok"}, idle_timeout_s=30.0)
    >>> change = compute_change(before, after)
    >>> change.health_paths, change.removed_services
    ({'notes': '/ok'}, ())
    >>> apply_change(before, change) == after
    True
    """
    known = _index_by_name(before.routes)
    names = {route.name for route in after.routes}
    paths = after.health_paths.items()
    cold_starts = after.cold_starts.items()
    return ConfigurationChange(
        before.revision,
        after.version,
        after.revision,
        tuple(route for route in after.routes if known.get(route.name) != route),
        tuple(name for name in known if name not in names),
        {s: path for s, path in paths if before.health_paths.get(s) != path},
        tuple(s for s in before.health_paths if s not in after.health_paths),
        after.idle_timeout_s,
        len(after.routes),
        {s: cold for s, cold in cold_starts if before.cold_starts.get(s) != cold},
    )


def apply_change(
    configuration: Configuration, change: ConfigurationChange
) -> Configuration | None:
    """Return the version that a change results in, None if it does not fit."""
    if configuration.revision != change.before_revision:
        return None
    routes = _drop_keys(_index_by_name(configuration.routes), change.removed_routes)
    routes |= _index_by_name(change.routes)
    if len(routes) != change.route_count:
        return None
    paths = _drop_keys(configuration.health_paths, change.removed_services)
    cold_starts = _drop_keys(configuration.cold_starts, change.removed_services)
    return Configuration(
        change.version,
        change.revision,
        tuple(routes.values()),
        paths | change.health_paths,
        change.idle_timeout_s,
        cold_starts | change.cold_starts,
    )


class ChangeHistory:
    """The most recent changes, each relative to the version before it.

    Examples
    --------
    >>> history = ChangeHistory()
    >>> first, second = Configuration(1, 5, ()), Configuration(2, 9, ())
    >>> history.record(first, second)
    >>> history.since(5).version, history.since(4)
    (2, None)
    """

    def __init__(self) -> None:
        self._changes: deque[ConfigurationChange] = deque(maxlen=MAX_HISTORY_CHANGES)

    def record(self, before: Configuration, after: Configuration) -> None:
        """Record the change from one version to the next."""
        self._changes.append(compute_change(before, after))

    def since(self, revision: int) -> ConfigurationChange | None:
        """Return the merged change from a version to the newest.

        Parameters
        ----------
        revision : int
            Store revision of the version to start from.

        Returns
        -------
        ConfigurationChange or None
            None if that version is not in the history, or the change is too large to
            be sent.
        """
        merged: ConfigurationChange | None = None
        for change in self._changes:
            if merged is not None:
                merged = _merge_changes(merged, change)
            elif change.before_revision == revision:
                merged = change
        if merged is None or len(merged.routes) > MAX_CHANGE_ROUTES:
            return None
        return merged


def _merge_changes(
    first: ConfigurationChange, second: ConfigurationChange
) -> ConfigurationChange:
    routes = _drop_keys(_index_by_name(first.routes), second.removed_routes)
    routes |= _index_by_name(second.routes)
    removed = dict.fromkeys(first.removed_routes + second.removed_routes)
    paths = _drop_keys(first.health_paths, second.removed_services)
    paths |= second.health_paths
    cold_starts = _drop_keys(first.cold_starts, second.removed_services)
    cold_starts |= second.cold_starts
    dropped_services = dict.fromkeys(first.removed_services + second.removed_services)
    return ConfigurationChange(
        first.before_revision,
        second.version,
        second.revision,
        tuple(routes.values()),
        tuple(_drop_keys(removed, routes)),
        paths,
        tuple(_drop_keys(dropped_services, paths)),
        second.idle_timeout_s,
        second.route_count,
        cold_starts,
    )


def _index_by_name(routes: Iterable[Route]) -> dict[str, Route]:
    return {route.name: route for route in routes}


def _drop_keys(entries: dict[str, _Value], names: Iterable[str]) -> dict[str, _Value]:
    kept = dict(entries)
    for name in names:
        kept.pop(name, None)
    return kept

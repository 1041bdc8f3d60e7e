"""What differs between two versions of the configuration.

Load pattern: an operator changes a few of thousands of routes, at times twice a second,
and all instances need each version within seconds.  Whole, a version keeps a slow link
busy, and read from the store by each instance it is a large part of all calls.  Its
difference to the version before is small, so whoever reads the store can pass it on.
"""

from collections import deque
from collections.abc import Iterable
from typing import TypeVar

from msgspec import Struct

from endivepick.forwarding.model import Configuration, Route

__all__ = ["ChangeHistory", "ConfigurationChange", "apply_change", "compute_change"]

REMEMBERED_CHANGES = 16
"""Changes that can be told; at two a second these are what an instance misses while
its feeder is replaced, which takes some seconds."""
TOLD_ROUTES = 100
"""Most routes of a change that is told: a feeder sends it to all whom it feeds, on the
link of its packets."""


_Value = TypeVar("_Value")


class ConfigurationChange(Struct, frozen=True):
    """Difference between two versions of the configuration.

    Attributes
    ----------
    before_revision : int
        Revision of the store that wrote the version it starts from.
    version, revision : int
        Of the version that it leads to, as in `Configuration`.
    routes : tuple of Route
        Routes that are new or different.
    removed_routes : tuple of str
        Names of routes that are no longer there.
    health_paths : dict of str to str
        Path of the health check of services that are new or different.
    removed_services : tuple of str
        Services that are no longer there.
    idle_timeout_s : float
        As in `Configuration`, in seconds.
    route_count : int
        Number of routes that result, to check that it fits.
    """

    before_revision: int
    version: int
    revision: int
    routes: tuple[Route, ...]
    removed_routes: tuple[str, ...]
    health_paths: dict[str, str]
    removed_services: tuple[str, ...]
    idle_timeout_s: float
    route_count: int


def compute_change(before: Configuration, after: Configuration) -> ConfigurationChange:
    """Return what leads from one version to another.

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
    known = _by_name(before.routes)
    names = {route.name for route in after.routes}
    paths = after.health_paths.items()
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
    )


def apply_change(
    configuration: Configuration, change: ConfigurationChange
) -> Configuration | None:
    """Return the version that a change leads to, None if it does not fit."""
    if configuration.revision != change.before_revision:
        return None
    routes = _without(_by_name(configuration.routes), change.removed_routes)
    routes |= _by_name(change.routes)
    if len(routes) != change.route_count:
        return None
    paths = _without(configuration.health_paths, change.removed_services)
    return Configuration(
        change.version,
        change.revision,
        tuple(routes.values()),
        paths | change.health_paths,
        change.idle_timeout_s,
    )


class ChangeHistory:
    """The last changes, each from the version before it.

    Examples
    --------
    >>> history = ChangeHistory()
    >>> first, second = Configuration(1, 5, ()), Configuration(2, 9, ())
    >>> history.note(first, second)
    >>> history.since(5).version, history.since(4)
    (2, None)
    """

    def __init__(self) -> None:
        self._changes: deque[ConfigurationChange] = deque(maxlen=REMEMBERED_CHANGES)

    def note(self, before: Configuration, after: Configuration) -> None:
        """Remember what leads from one version to the next."""
        self._changes.append(compute_change(before, after))

    def since(self, revision: int) -> ConfigurationChange | None:
        """Return what leads from a version to the newest.

        Parameters
        ----------
        revision : int
            Revision of the store that wrote the version to start from.

        Returns
        -------
        ConfigurationChange or None
            None if it is not known, or too much to be told.
        """
        whole: ConfigurationChange | None = None
        for change in self._changes:
            if whole is not None:
                whole = _joined(whole, change)
            elif change.before_revision == revision:
                whole = change
        if whole is None or len(whole.routes) > TOLD_ROUTES:
            return None
        return whole


def _joined(
    first: ConfigurationChange, second: ConfigurationChange
) -> ConfigurationChange:
    routes = _without(_by_name(first.routes), second.removed_routes)
    routes |= _by_name(second.routes)
    removed = dict.fromkeys(first.removed_routes + second.removed_routes)
    paths = _without(first.health_paths, second.removed_services)
    paths |= second.health_paths
    gone = dict.fromkeys(first.removed_services + second.removed_services)
    return ConfigurationChange(
        first.before_revision,
        second.version,
        second.revision,
        tuple(routes.values()),
        tuple(_without(removed, routes)),
        paths,
        tuple(_without(gone, paths)),
        second.idle_timeout_s,
        second.route_count,
    )


def _by_name(routes: Iterable[Route]) -> dict[str, Route]:
    return {route.name: route for route in routes}


def _without(entries: dict[str, _Value], names: Iterable[str]) -> dict[str, _Value]:
    left = dict(entries)
    for name in names:
        left.pop(name, None)
    return left

"""Routes of the configuration in force; versions never go back."""

from endivepick.forwarding.configuration_changes import (
    ChangeHistory,
    ConfigurationChange,
)
from endivepick.forwarding.model import Configuration, FlowKey, Route

__all__ = ["RouteTable", "service_of"]

_SPREAD = 2**32
_MIX = 0x9E3779B1
"""Odd multiplier (golden ratio of 32 bits) that spreads neighbouring ports."""


class RouteTable:
    """Answers which service a new flow goes to.

    Examples
    --------
    >>> table = RouteTable()
    >>> table.apply_configuration(Configuration(version=7, revision=3, routes=()), now_s=1.0)
    True
    >>> table.apply_configuration(Configuration(version=6, revision=2, routes=()), now_s=2.0)
    False
    """

    def __init__(self) -> None:
        self.configuration: Configuration | None = None
        self.since_s = 0.0
        self._routes: dict[tuple[int, int], Route] = {}
        self._removed: set[tuple[int, int]] = set()
        self._history = ChangeHistory()

    @property
    def version(self) -> int:
        """Version of the configuration in force, 0 without one."""
        return 0 if self.configuration is None else self.configuration.version

    @property
    def revision(self) -> int:
        """Revision of the store that it was written at, 0 without one."""
        return 0 if self.configuration is None else self.configuration.revision

    def apply_configuration(self, configuration: Configuration, now_s: float) -> bool:
        """Put a configuration in force unless it is older than the present one.

        Parameters
        ----------
        configuration : Configuration
            As read from the store, perhaps late or twice.
        now_s : float
            Present time, in seconds.

        Returns
        -------
        bool
            Whether it is in force now and was not before.
        """
        present = self.configuration
        if present is not None and configuration.revision <= present.revision:
            return False
        if present is not None:
            self._history.note(present, configuration)
        self.configuration = configuration
        self.since_s = now_s
        before = self._routes.keys()
        self._routes = {(r.host, r.port): r for r in configuration.routes}
        self._removed |= before
        self._removed -= self._routes.keys()
        return True

    def change_since(self, revision: int) -> ConfigurationChange | None:
        """Return what leads from an older version to the one in force.

        Parameters
        ----------
        revision : int
            Revision of the store that wrote the older version.

        Returns
        -------
        ConfigurationChange or None
            None if it is not known here, or too much to be told.
        """
        return self._history.since(revision)

    def find(self, flow: FlowKey) -> Route | None:
        """Return the route that a flow's address and port name, if there is one."""
        return self._routes.get((flow.service_host, flow.service_port))

    def was_removed(self, flow: FlowKey) -> bool:
        """Whether a version in force here had a route that the present one lacks.

        A route that was never seen here may be newer than what is known here.
        """
        return (flow.service_host, flow.service_port) in self._removed


def service_of(route: Route, flow: FlowKey) -> str:
    """Return the service that a flow of this route belongs to.

    Drawn by weight from the flow's addresses, so that all copies of an opening
    packet reach the same service through any instance.
    """
    total = sum(share.weight for share in route.shares)
    mixed = (flow.caller_host * _MIX + flow.caller_port) * _MIX % _SPREAD
    position = mixed / _SPREAD * total
    for share in route.shares:
        position -= share.weight
        if position < 0:
            return share.service
    return route.shares[-1].service

"""Routes of the configuration in force; older versions are ignored."""

from endivepick.forwarding.configuration_changes import (
    ChangeHistory,
    ConfigurationChange,
)
from endivepick.forwarding.model import ColdStart, Configuration, FlowKey, Route

__all__ = ["RouteTable", "select_service"]

_HASH_RANGE = 2**32
_HASH_MULTIPLIER = 0x9E3779B1
"""Odd multiplier (32-bit golden ratio) that spreads adjacent ports."""

_NO_COLD_START = ColdStart()


class RouteTable:
    """Finds the route of a flow.

    Examples
    --------
    >>> table = RouteTable()
    >>> newer = Configuration(version=7, revision=3, routes=())
    >>> older = Configuration(version=6, revision=2, routes=())
    >>> table.apply_configuration(newer, now_s=1.0)
    True
    >>> table.apply_configuration(older, now_s=2.0)
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
        """Store revision of the configuration in force, 0 without one."""
        return 0 if self.configuration is None else self.configuration.revision

    def apply_configuration(self, configuration: Configuration, now_s: float) -> bool:
        """Put a configuration in force unless it is older than the current one.

        Parameters
        ----------
        configuration : Configuration
            As read from the store, possibly late or repeatedly.
        now_s : float
            Current time, in seconds.

        Returns
        -------
        bool
            Whether the configuration was newly put in force.
        """
        present = self.configuration
        if present is not None and configuration.revision <= present.revision:
            return False
        if present is not None:
            self._history.record(present, configuration)
        self.configuration = configuration
        self.since_s = now_s
        before = self._routes.keys()
        self._routes = {(r.host, r.port): r for r in configuration.routes}
        self._removed |= before
        self._removed -= self._routes.keys()
        return True

    def change_since(self, revision: int) -> ConfigurationChange | None:
        """Return the change from an older version to the one in force.

        Parameters
        ----------
        revision : int
            Store revision of the older version.

        Returns
        -------
        ConfigurationChange or None
            None if that version is unknown here, or the change is too large to be sent.
        """
        return self._history.since(revision)

    def get_cold_start(self, service: str) -> ColdStart:
        """Return the cold start of a service's targets; without a rate if unknown."""
        configuration = self.configuration
        if configuration is None:
            return _NO_COLD_START
        return configuration.cold_starts.get(service, _NO_COLD_START)

    def find(self, flow: FlowKey) -> Route | None:
        """Return the route for the flow's service address and port, if any."""
        return self._routes.get((flow.service_host, flow.service_port))

    def was_removed(self, flow: FlowKey) -> bool:
        """Whether an earlier configuration here had a route that the current one lacks.

        A route that was never in force here may belong to a newer configuration.
        """
        return (flow.service_host, flow.service_port) in self._removed


def select_service(route: Route, flow: FlowKey) -> str:
    """Select the service of a flow of this route.

    The choice is weighted and hashed from the flow's addresses, so that all copies of
    an opening packet reach the same service through any instance.
    """
    total = sum(share.weight for share in route.shares)
    mixed = (
        (flow.caller_host * _HASH_MULTIPLIER + flow.caller_port)
        * _HASH_MULTIPLIER
        % _HASH_RANGE
    )
    position = mixed / _HASH_RANGE * total
    for share in route.shares:
        position -= share.weight
        if position < 0:
            return share.service
    return route.shares[-1].service

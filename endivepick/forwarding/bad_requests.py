"""Callers and routes of the bad requests at each suspect target."""

from collections import Counter

from endivepick.forwarding.fault_confirmation import MIN_CONFIRMING_CALLERS
from endivepick.forwarding.flows import ObservedFlow

__all__ = ["BadRequests"]

MAX_DESCRIBED_ROUTES = 4
"""Maximum number of routes in a log line, those with most overdue requests first."""


class BadRequests:
    """Callers and routes with bad requests, by target name.

    Examples
    --------
    >>> requests = BadRequests()
    >>> requests.count_callers("i-3"), requests.describe_overdue_routes("i-3")
    (0, '')
    """

    def __init__(self) -> None:
        self._callers: dict[str, set[int]] = {}
        self._overdue: dict[str, Counter[str]] = {}

    def add(self, flow: ObservedFlow) -> None:
        """Record a bad request of a flow."""
        callers = self._callers.setdefault(flow.belief.name, set())
        if len(callers) < MIN_CONFIRMING_CALLERS:
            callers.add(flow.key.caller_host)

    def add_overdue(self, flow: ObservedFlow) -> None:
        """Record an overdue request of a flow."""
        self.add(flow)
        routes = self._overdue.setdefault(flow.belief.name, Counter())
        routes[flow.key.route_address] += 1

    def count_callers(self, name: str) -> int:
        """Return the number of callers, up to `MIN_CONFIRMING_CALLERS`."""
        return len(self._callers.get(name, ()))

    def describe_overdue_routes(self, name: str) -> str:
        """Return the routes of a target's overdue requests, as text for the log."""
        routes = self._overdue.get(name, Counter()).most_common(MAX_DESCRIBED_ROUTES)
        return ", ".join(f"{route}: {number}" for route, number in routes)

    def forget(self, name: str) -> None:
        """Forget the bad requests at a target."""
        self._callers.pop(name, None)
        self._overdue.pop(name, None)

"""Callers and routes of the bad requests at each suspect target."""

from collections import Counter

from endivepick.forwarding.fault_confirmation import MIN_CONFIRMING_CALLERS
from endivepick.forwarding.flows import ObservedFlow
from endivepick.forwarding.model import FlowKey

__all__ = ["BadRequests"]

MAX_DESCRIBED_ROUTES = 4
"""Maximum number of routes in a log line, those with most flows first."""
MAX_OVERDUE_FLOWS = 64
"""Maximum number of flows with overdue requests that are kept for a target."""
RECENT_OVERDUE_S = 2.0
"""Age up to which an overdue request is recent, the time in which counts fade."""


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
        self._overdue_s: dict[str, dict[FlowKey, float]] = {}

    def add(self, flow: ObservedFlow) -> None:
        """Record a bad request of a flow."""
        callers = self._callers.setdefault(flow.belief.name, set())
        if len(callers) < MIN_CONFIRMING_CALLERS:
            callers.add(flow.key.caller_host)

    def add_overdue(self, flow: ObservedFlow, now_s: float) -> None:
        """Record that a request of a flow is overdue since now, in seconds."""
        overdue_s = self._overdue_s.setdefault(flow.belief.name, {})
        overdue_s.pop(flow.key, None)
        overdue_s[flow.key] = now_s
        if len(overdue_s) > MAX_OVERDUE_FLOWS:
            del overdue_s[next(iter(overdue_s))]

    def count_callers(self, name: str) -> int:
        """Return the number of callers, up to `MIN_CONFIRMING_CALLERS`."""
        return len(self._callers.get(name, ()))

    def count_overdue_flows(self, name: str, now_s: float) -> int:
        """Return the number of flows of a target with recent overdue requests."""
        limit_s = now_s - RECENT_OVERDUE_S
        recent_s = {
            key: overdue_s
            for key, overdue_s in self._overdue_s.get(name, {}).items()
            if overdue_s >= limit_s
        }
        if name in self._overdue_s:
            self._overdue_s[name] = recent_s
        return len(recent_s)

    def describe_overdue_routes(self, name: str) -> str:
        """Return the routes of flows with overdue requests, as text for the log."""
        flows = Counter(key.route_address for key in self._overdue_s.get(name, ()))
        routes = flows.most_common(MAX_DESCRIBED_ROUTES)
        return ", ".join(f"{route}: {number}" for route, number in routes)

    def forget(self, name: str) -> None:
        """Forget the bad requests at a target."""
        self._callers.pop(name, None)
        self._overdue_s.pop(name, None)

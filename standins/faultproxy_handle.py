"""The harness's side of the fault proxy: routes, zone cuts and rules."""

from typing import Any

from standins.endpoint import call_ok
from standins.process import ChildProcess
from standins.shapes import Shape

__all__ = ["PLATFORM_ZONE", "FaultsHandle"]

PLATFORM_ZONE = "platform"
"""Zone of the routes that lead to the platform."""


class FaultsHandle:
    """Calls of a running fault proxy.

    Parameters
    ----------
    process : ChildProcess
        The proxy, ready.
    shape : Shape
        Its instances are the sources of connections, known by their address.
    """

    def __init__(self, process: ChildProcess, shape: Shape) -> None:
        self.process = process
        self._address = process.ready["addresses"]["control"]
        self._zones = shape.zones
        self._rules: list[dict[str, Any]] = []
        sources = [
            {"prefix": f"{plan.host}/32", "name": plan.name, "zone": plan.zone}
            for plan in shape.instances
        ]
        call_ok(self._address, "PUT", "/control", {"sources": sources})

    def add_route(self, name: str, zone: str, forward: str) -> str:
        """Lead a link through the proxy; returns the address to use for it.

        A name that exists keeps its address and leads to ``forward`` from now on.
        """
        route = {"name": name, "zone": zone, "forward": forward}
        routes = call_ok(self._address, "PUT", "/control/routes", [route])
        return str(routes[name])

    def add_rule(self, action: dict[str, Any], **match: str) -> None:
        """Add a rule; see ``standins.faultproxy.Rule`` for the fields."""
        self._rules.append({"action": action, **match})
        self._put_rules()

    def cut_zone(self, zone: str, platform: bool, action: str) -> None:
        """Cut the links between a zone and all others, both ways."""
        others = [other for other in self._zones if other != zone]
        if platform:
            others.append(PLATFORM_ZONE)
        for other in others:
            pairs = ((zone, other), (other, zone))
            for source_zone, route_zone in pairs:
                match = {"source_zone": source_zone, "route_zone": route_zone}
                self._rules.append({"action": {"type": action}, **match})
        self._put_rules()

    def heal(self) -> None:
        """Take back all rules."""
        self._rules = []
        self._put_rules()

    def _put_rules(self) -> None:
        call_ok(self._address, "PUT", "/control", {"rules": self._rules})

"""TCP proxy that injects faults between named sources and named routes.

Run it with ``python -m standins.faultproxy --settings FILE`` or with flags of
the same names as the fields of `ProxySettings`.  The source of a connection is
identified by its client address; the connection to the target uses the same
source address.  ``PUT /control`` replaces the rules, which apply immediately,
also to existing connections; ``PUT /control/routes`` takes a list of routes to
add or change and returns the addresses of all routes.
"""

import itertools
from typing import Any

import fire
from gevent.server import StreamServer
from gevent.socket import socket as GeventSocket

from standins._proxyconnection import Connection
from standins._proxyrules import ProxyControl, Route, find_source
from standins.control import (
    Address,
    Control,
    EventLog,
    ProgramSettings,
    format_address,
    json_server,
    load_settings,
    parse_address,
)
from standins.process import run_until_stopped

__all__ = ["FaultProxy", "ProxySettings", "main"]

_BACKLOG = 1024


class ProxySettings(ProgramSettings):
    """Settings of the program; addresses are ``"host:port"``."""

    routes: list[Route] = []
    control: ProxyControl = ProxyControl()


class FaultProxy:
    """Proxy with its routes, connections and rules.

    Parameters
    ----------
    settings : ProxySettings
        Settings of the program.
    """

    def __init__(self, settings: ProxySettings) -> None:
        self.log = EventLog(settings.log_path)
        self.control = Control(settings.control, self.log, self._stats)
        self.control.on_change(self._apply_rules)
        self.control.add_route("PUT", "/control/routes", self._put_routes)
        self.control.add_route("GET", "/control/routes", lambda _: self.addresses())
        self._routes: dict[str, Route] = {}
        self._servers: dict[str, StreamServer] = {}
        self._connections: dict[int, Connection] = {}
        self._numbers = itertools.count(1)
        for route in settings.routes:
            self._put_route(route)

    def addresses(self) -> dict[str, str]:
        """Return the listening address of each route."""
        return {
            name: format_address(server.address)
            for name, server in self._servers.items()
        }

    def _put_routes(self, listed: Any) -> dict[str, str]:
        for route in [Route.model_validate(entry) for entry in listed]:
            self._put_route(route)
        return self.addresses()

    def _put_route(self, route: Route) -> None:
        """Add a route, or change the target of an existing one for new connections."""
        self._routes[route.name] = route
        if route.name not in self._servers:
            server = StreamServer(
                parse_address(route.listen),
                lambda client, address: self._serve(route.name, client, address),
                backlog=_BACKLOG,
            )
            server.start()
            self._servers[route.name] = server
        self.log.append("route", **route.model_dump())

    def _serve(self, name: str, client: GeventSocket, address: Address) -> None:
        route = self._routes[name]
        source = find_source(address[0], self.control.current.sources)
        connection = Connection(client, source, route)
        number = next(self._numbers)
        self._connections[number] = connection
        self.log.append(
            "open", number=number, source=source.name, host=address[0], route=name
        )
        try:
            connection.apply(self.control.current.rules)
            connection.run()
        finally:
            del self._connections[number]
            self.log.append(
                "close",
                number=number,
                source=source.name,
                route=name,
                cause=connection.closed_by,
                passed_bytes=connection.passed_bytes,
            )

    def _apply_rules(self) -> None:
        for connection in list(self._connections.values()):
            connection.apply(self.control.current.rules)

    def _stats(self) -> dict[str, Any]:
        return {
            "connections": [
                {
                    "number": number,
                    "source": connection.source.name,
                    "route": connection.route.name,
                    "read_bytes": connection.read_bytes,
                    "passed_bytes": connection.passed_bytes,
                }
                for number, connection in self._connections.items()
            ]
        }


def main(settings: str | None = None, **flags: Any) -> None:
    """Run the fault proxy until SIGTERM.

    Parameters
    ----------
    settings : str, optional
        Path of a settings file with the fields of `ProxySettings`.
    **flags
        Fields that override those of the file.
    """
    loaded = load_settings(ProxySettings, settings, flags)
    proxy = FaultProxy(loaded)
    control = json_server(loaded.control_listen, proxy.control.answer)
    addresses = {
        "routes": proxy.addresses(),
        "control": format_address(control.address),
    }
    run_until_stopped({"ready": True, "addresses": addresses}, loaded.max_life_s)


if __name__ == "__main__":
    fire.Fire(main)

"""TCP proxy that injects faults between named sources and named routes.

Run it with ``python -m standins.faultproxy --settings FILE`` or with flags of
the same names as the fields of `ProxySettings`.  The source of a connection is
known by its client address; the connection to the target leaves from the same
address.  ``PUT /control`` replaces the rules, which apply at once to existing
connections too; ``PUT /control/routes`` takes a list of routes to add or change
and answers the addresses of all routes.
"""

import collections
import errno
import fnmatch
import ipaddress
import itertools
import socket
import struct
import time
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Annotated, Any, Literal

import fire
import gevent
import pydantic
from gevent.event import Event
from gevent.queue import Queue
from gevent.server import StreamServer
from gevent.socket import socket as GeventSocket

from standins.control import (
    Address,
    BorderModel,
    Control,
    EventLog,
    format_address,
    json_server,
    load_settings,
    parse_address,
    run_until_terminated,
)

__all__ = ["FaultProxy", "ProxyControl", "ProxySettings", "Route", "Rule", "main"]

_CHUNK_BYTES = 64 * 1024
_QUEUE_CHUNKS = 64
_CONNECT_TIMEOUT_S = 10.0
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_IP_BIND_ADDRESS_NO_PORT = 24

Direction = Literal["to_target", "to_source"]


class Cut(BorderModel):
    """Reset existing connections and new ones."""

    type: Literal["cut"]


class Blackhole(BorderModel):
    """Keep connections open and hold back everything until the rule is lifted."""

    type: Literal["blackhole"]
    direction: Literal["both", "to_target", "to_source"] = "both"

    def holds(self, direction: Direction) -> bool:
        """Tell whether bytes of this direction are held back."""
        return self.direction in ("both", direction)


class Delay(BorderModel):
    """Deliver everything that much later, each way; delays of rules add up."""

    type: Literal["delay"]
    delay_ms: float


class DropAnswers(BorderModel):
    """Swallow the next bytes from the target and close the connection."""

    type: Literal["drop_answers"]


class CloseAfterBytes(BorderModel):
    """Close a connection once it passed that many bytes under this rule."""

    type: Literal["close_after_bytes"]
    limit_bytes: int
    direction: Literal["both", "to_target", "to_source"] = "both"

    def counts(self, direction: Direction) -> bool:
        """Tell whether bytes of this direction count."""
        return self.direction in ("both", direction)


Action = Annotated[
    Cut | Blackhole | Delay | DropAnswers | CloseAfterBytes,
    pydantic.Field(discriminator="type"),
]


class Rule(BorderModel):
    """A fault of the connections that match all four globs.

    Attributes
    ----------
    source, source_zone : str
        Globs over name and zone of the source; an unknown source has empty ones.
    route, route_zone : str
        Globs over name and zone of the route.
    action : Action
        What happens to them.
    """

    source: str = "*"
    source_zone: str = "*"
    route: str = "*"
    route_zone: str = "*"
    action: Action

    def matches(self, source: "Source", route: "Route") -> bool:
        """Tell whether the rule covers connections of this source and route."""
        pairs = (
            (source.name, self.source),
            (source.zone, self.source_zone),
            (route.name, self.route),
            (route.zone, self.route_zone),
        )
        return all(fnmatch.fnmatchcase(text, glob) for text, glob in pairs)


class Source(BorderModel):
    """Who connects from an address or network, e.g. ``127.1.0.0/16``."""

    prefix: pydantic.IPvAnyNetwork
    name: str
    zone: str = ""


class Route(BorderModel):
    """A listening address and the address that it stands for."""

    name: str
    zone: str = ""
    listen: str = "127.0.0.1:0"
    forward: str


class ProxyControl(BorderModel):
    """Rules and sources; both lists are replaced whole."""

    rules: list[Rule] = []
    sources: list[Source] = []


class ProxySettings(BorderModel):
    """Settings of the program; addresses are ``"host:port"``."""

    control_listen: str = "127.0.0.1:0"
    log_path: str | None = None
    routes: list[Route] = []
    control: ProxyControl = ProxyControl()


_UNKNOWN_SOURCE = Source(prefix=ipaddress.ip_network("0.0.0.0/0"), name="")


def _find_source(host: str, sources: list[Source]) -> Source:
    """Return the source with the longest prefix that covers the address."""
    address = ipaddress.ip_address(host)
    covering = [source for source in sources if address in source.prefix]
    longest_first = sorted(covering, key=lambda source: -source.prefix.prefixlen)
    return longest_first[0] if longest_first else _UNKNOWN_SOURCE


@dataclass(frozen=True)
class Chunk:
    """Bytes on their way; an empty chunk is the end of the stream."""

    due_s: float
    data: bytes


class Connection:
    """One proxied connection: two pumps and the rules that apply to them.

    Parameters
    ----------
    client : gevent socket
        Accepted connection of the source.
    source : Source
        Who connected.
    route : Route
        Where it connected to.
    """

    def __init__(self, client: GeventSocket, source: Source, route: Route) -> None:
        self.source = source
        self.route = route
        self.closed_by = ""
        self.passed_bytes: collections.Counter[str] = collections.Counter()
        self._client = client
        self._target: GeventSocket | None = None
        self._actions: list[Any] = []
        self._changed = Event()
        self._counted_bytes: dict[int, int] = {}
        self._tasks: list[gevent.Greenlet] = []

    def apply(self, rules: list[Rule]) -> None:
        """Apply these rules from now on."""
        self._actions = [
            rule.action for rule in rules if rule.matches(self.source, self.route)
        ]
        if any(isinstance(action, Cut) for action in self._actions):
            self.close("cut", reset=True)
        waiting, self._changed = self._changed, Event()
        waiting.set()

    def run(self) -> None:
        """Connect to the target and pump until one side is gone."""
        self._wait_while_held("to_target")
        if self.closed_by:
            return
        try:
            self._target = self._connect()
        except OSError as error:
            self.close(f"target: {error}", reset=True)
            return
        pairs: list[tuple[Direction, GeventSocket, GeventSocket]] = [
            ("to_target", self._client, self._target),
            ("to_source", self._target, self._client),
        ]
        for direction, giver, taker in pairs:
            queue: Queue[Chunk] = Queue(maxsize=_QUEUE_CHUNKS)
            self._tasks.append(gevent.spawn(self._read, giver, queue))
            self._tasks.append(gevent.spawn(self._write, direction, taker, queue))
        gevent.joinall(self._tasks)
        self.close("ended")

    def close(self, cause: str, reset: bool = False) -> None:
        """Close both sides, with a reset if asked; later calls do nothing."""
        if self.closed_by:
            return
        self.closed_by = cause
        for sock in (self._client, self._target):
            if sock is not None:
                _close_socket(sock, reset)
        others = [task for task in self._tasks if task is not gevent.getcurrent()]
        gevent.killall(others, block=False)

    def _connect(self) -> GeventSocket:
        sock = GeventSocket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_IP, _IP_BIND_ADDRESS_NO_PORT, 1)
        sock.bind((self._client.getpeername()[0], 0))
        sock.settimeout(_CONNECT_TIMEOUT_S)
        sock.connect(parse_address(self.route.forward))
        sock.settimeout(None)
        for each in (sock, self._client):
            each.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock

    def _read(self, giver: GeventSocket, queue: "Queue[Chunk]") -> None:
        while True:
            try:
                data = giver.recv(_CHUNK_BYTES)
            except OSError:
                data = b""
            queue.put(Chunk(time.monotonic() + self._delay_s(), data))
            if not data:
                return

    def _delay_s(self) -> float:
        delays = [a.delay_ms for a in self._actions if isinstance(a, Delay)]
        return sum(delays) / 1000

    def _write(
        self, direction: Direction, taker: GeventSocket, queue: "Queue[Chunk]"
    ) -> None:
        for chunk in iter(queue.get, None):
            wait_s = chunk.due_s - time.monotonic()
            if wait_s > 0:
                gevent.sleep(wait_s)
            self._wait_while_held(direction)
            try:
                if not self._deliver(direction, taker, chunk.data):
                    return
            except OSError as error:
                self.close(f"{direction}: {error}", reset=True)
                return

    def _wait_while_held(self, direction: Direction) -> None:
        while any(
            isinstance(action, Blackhole) and action.holds(direction)
            for action in self._actions
        ):
            self._changed.wait()

    def _deliver(self, direction: Direction, taker: GeventSocket, data: bytes) -> bool:
        """Hand on one chunk; returns False at the end of the stream."""
        if not data:
            taker.shutdown(socket.SHUT_WR)
            return False
        if direction == "to_source" and self._drops_answers():
            self.close("answer dropped")
            return False
        allowed = self._allowed_bytes(direction, len(data))
        taker.sendall(data[:allowed])
        self.passed_bytes[direction] += allowed
        if self._limit_reached():
            self.close("byte limit")
            return False
        return True

    def _drops_answers(self) -> bool:
        return any(isinstance(action, DropAnswers) for action in self._actions)

    def _limits(self) -> Iterator[CloseAfterBytes]:
        return (a for a in self._actions if isinstance(a, CloseAfterBytes))

    def _allowed_bytes(self, direction: Direction, size_bytes: int) -> int:
        """Count the bytes against the limits; returns how many may pass."""
        allowed = size_bytes
        counting = [limit for limit in self._limits() if limit.counts(direction)]
        for limit in counting:
            counted = self._counted_bytes.get(id(limit), 0)
            allowed = min(allowed, limit.limit_bytes - counted)
        for limit in counting:
            counted = self._counted_bytes.get(id(limit), 0)
            self._counted_bytes[id(limit)] = counted + allowed
        return allowed

    def _limit_reached(self) -> bool:
        return any(
            self._counted_bytes.get(id(limit), 0) >= limit.limit_bytes
            for limit in self._limits()
        )


def _close_socket(sock: GeventSocket, reset: bool) -> None:
    """Close at once; a reset also throws away what was not delivered yet."""
    try:
        if reset:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        else:
            sock.shutdown(socket.SHUT_RDWR)
    except OSError as error:
        if error.errno not in (errno.ENOTCONN, errno.EBADF):
            raise
    sock.close()


class FaultProxy:
    """All routes, their connections, and the rules.

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
        """Add a route, or change where an existing one forwards new connections."""
        self._routes[route.name] = route
        if route.name not in self._servers:
            server = StreamServer(
                parse_address(route.listen),
                lambda client, address: self._serve(route.name, client, address),
            )
            server.start()
            self._servers[route.name] = server
        self.log.append("route", **route.model_dump())

    def _serve(self, name: str, client: GeventSocket, address: Address) -> None:
        route = self._routes[name]
        source = _find_source(address[0], self.control.current.sources)
        connection = Connection(client, source, route)
        number = next(self._numbers)
        self._connections[number] = connection
        self.log.append("open", number=number, source=source.name, route=name)
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
                **connection.passed_bytes,
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
                    **connection.passed_bytes,
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
        Fields that override the file.
    """
    loaded = load_settings(ProxySettings, settings, flags)
    proxy = FaultProxy(loaded)
    control = json_server(loaded.control_listen, proxy.control.answer)
    run_until_terminated(
        {"routes": proxy.addresses(), "control": format_address(control.address)}
    )


if __name__ == "__main__":
    fire.Fire(main)

"""Proxied connection and the faults that apply to it."""

import collections
import errno
import random
import socket
import struct
import time
from collections.abc import Iterator
from dataclasses import dataclass

import gevent
from gevent.event import Event
from gevent.queue import Queue
from gevent.socket import socket as GeventSocket

from standins._proxyrules import (
    Action,
    Blackhole,
    CloseAfterBytes,
    Cut,
    Delay,
    Direction,
    DropAnswers,
    Loss,
    Route,
    Rule,
    Source,
)
from standins.control import parse_address

__all__ = ["Connection"]

_CHUNK_BYTES = 64 * 1024
_QUEUE_CHUNKS = 64
_CONNECT_TIMEOUT_S = 10.0
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_IP_BIND_ADDRESS_NO_PORT = 24


@dataclass(frozen=True)
class Chunk:
    """Bytes in transit; an empty chunk marks the end of the stream."""

    due_s: float
    data: bytes


class Connection:
    """Proxied connection: copies both directions and applies the rules.

    Parameters
    ----------
    client : gevent socket
        Accepted connection of the source.
    source : Source
        Source that connected.
    route : Route
        Route that it connected to.
    """

    def __init__(self, client: GeventSocket, source: Source, route: Route) -> None:
        self.source = source
        self.route = route
        self.closed_by = ""
        self.read_bytes: collections.Counter[Direction] = collections.Counter()
        self.passed_bytes: collections.Counter[Direction] = collections.Counter()
        self._client = client
        self._target: GeventSocket | None = None
        self._actions: list[Action] = []
        self._changed = Event()
        self._counted_bytes: collections.Counter[str] = collections.Counter()
        self._tasks: list[gevent.Greenlet] = []
        self._random = random.Random(f"{source.name}:{route.name}")

    def apply(self, rules: list[Rule]) -> None:
        """Replace the rules that apply to this connection."""
        self._actions = [
            rule.action for rule in rules if rule.matches(self.source, self.route)
        ]
        self._reset_lifted_limits()
        if any(isinstance(action, Cut) for action in self._actions):
            self.close("cut", reset=True)
        waiting, self._changed = self._changed, Event()
        waiting.set()

    def run(self) -> None:
        """Connect to the target and copy both directions until one side closes."""
        self._wait_while_held("to_target")
        if self.closed_by:
            return
        try:
            target = self._connect()
        except OSError as error:
            self.close(f"target: {error}", reset=True)
            return
        pairs: list[tuple[Direction, GeventSocket, GeventSocket]] = [
            ("to_target", self._client, target),
            ("to_source", target, self._client),
        ]
        for direction, reader, writer in pairs:
            queue: Queue[Chunk] = Queue(maxsize=_QUEUE_CHUNKS)
            self._tasks.append(gevent.spawn(self._read, direction, reader, queue))
            self._tasks.append(gevent.spawn(self._write, direction, writer, queue))
        gevent.joinall(self._tasks)
        self.close("ended")

    def close(self, cause: str, reset: bool = False) -> None:
        """Close both sides, optionally with a reset; later calls do nothing."""
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
        for each in (sock, self._client):
            each.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # Set before connecting, so that a cut can close a socket that is connecting.
        self._target = sock
        sock.settimeout(_CONNECT_TIMEOUT_S)
        sock.connect(parse_address(self.route.forward))
        sock.settimeout(None)
        return sock

    def _read(
        self, direction: Direction, reader: GeventSocket, queue: "Queue[Chunk]"
    ) -> None:
        while True:
            try:
                data = reader.recv(_CHUNK_BYTES)
            except OSError:
                data = b""
            self.read_bytes[direction] += len(data)
            queue.put(Chunk(time.monotonic() + self._delay_s(), data))
            if not data:
                return

    def _delay_s(self) -> float:
        delays = [a.delay_ms for a in self._actions if isinstance(a, Delay)]
        losses = [a for a in self._actions if isinstance(a, Loss)]
        repeats = [a.repeat_ms for a in losses if self._random.random() < a.share]
        return sum(delays + repeats) / 1000

    def _write(
        self, direction: Direction, writer: GeventSocket, queue: "Queue[Chunk]"
    ) -> None:
        for chunk in iter(queue.get, None):
            wait_s = chunk.due_s - time.monotonic()
            if wait_s > 0:
                gevent.sleep(wait_s)
            self._wait_while_held(direction)
            try:
                if not self._deliver(direction, writer, chunk.data):
                    return
            except OSError as error:
                self.close(f"{direction}: {error}", reset=True)
                return

    def _wait_while_held(self, direction: Direction) -> None:
        while not self.closed_by and self._is_held(direction):
            self._changed.wait()

    def _is_held(self, direction: Direction) -> bool:
        return any(
            isinstance(action, Blackhole) and action.holds(direction)
            for action in self._actions
        )

    def _deliver(self, direction: Direction, writer: GeventSocket, data: bytes) -> bool:
        """Forward one chunk; returns False at the end of the stream."""
        if not data:
            writer.shutdown(socket.SHUT_WR)
            return False
        if direction == "to_source" and self._drops_answers():
            self.close("answer dropped")
            return False
        allowed = self._allowed_bytes(direction, len(data))
        writer.sendall(data[:allowed])
        self.passed_bytes[direction] += allowed
        if self._limit_reached():
            self.close("byte limit")
            return False
        return True

    def _drops_answers(self) -> bool:
        return any(isinstance(action, DropAnswers) for action in self._actions)

    def _limits(self) -> Iterator[CloseAfterBytes]:
        return (a for a in self._actions if isinstance(a, CloseAfterBytes))

    def _reset_lifted_limits(self) -> None:
        """Reset the count of lifted limits, which start at zero if set again."""
        in_force = {limit.key() for limit in self._limits()}
        for key in set(self._counted_bytes) - in_force:
            del self._counted_bytes[key]

    def _allowed_bytes(self, direction: Direction, size_bytes: int) -> int:
        """Count the bytes against the limits; returns the number that may pass."""
        counting = [limit for limit in self._limits() if limit.counts(direction)]
        remaining_bytes = [
            limit.limit_bytes - self._counted_bytes[limit.key()] for limit in counting
        ]
        allowed = min([size_bytes, *remaining_bytes])
        for limit in counting:
            self._counted_bytes[limit.key()] += allowed
        return allowed

    def _limit_reached(self) -> bool:
        return any(
            self._counted_bytes[limit.key()] >= limit.limit_bytes
            for limit in self._limits()
        )


def _close_socket(sock: GeventSocket, reset: bool) -> None:
    """Close immediately; a reset also discards undelivered data."""
    try:
        if reset:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        else:
            sock.shutdown(socket.SHUT_RDWR)
    except OSError as error:
        if error.errno not in (errno.ENOTCONN, errno.EBADF):
            raise
    sock.close()

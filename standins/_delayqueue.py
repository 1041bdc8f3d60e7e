"""Queue of datagrams with individual delays, which reorders them."""

import heapq
import itertools
import socket
import time
from collections.abc import Callable

from gevent.event import Event

from standins.control import Address

__all__ = ["DelayQueue"]


class DelayQueue:
    """Sends datagrams at their due times from a single task."""

    def __init__(self, send: Callable[[socket.socket, bytes, Address], None]) -> None:
        self._send = send
        self._heap: list[tuple[float, int, socket.socket, bytes, Address]] = []
        self._order = itertools.count()
        self._sooner = Event()

    def add(
        self, due_s: float, sock: socket.socket, datagram: bytes, address: Address
    ) -> None:
        """Send the datagram at `due_s` (monotonic clock)."""
        entry = (due_s, next(self._order), sock, datagram, address)
        heapq.heappush(self._heap, entry)
        if self._heap[0] is entry:
            self._sooner.set()

    def run(self) -> None:
        """Send datagrams as they become due; never returns."""
        while True:
            self._send_due()
            wait_s = self._heap[0][0] - time.monotonic() if self._heap else None
            self._sooner.wait(wait_s)
            self._sooner.clear()

    def _send_due(self) -> None:
        while self._heap and self._heap[0][0] <= time.monotonic():
            _, _, sock, datagram, address = heapq.heappop(self._heap)
            self._send(sock, datagram, address)

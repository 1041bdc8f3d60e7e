"""The socket for packets: read in batches straight from the event loop."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from socket import socket

import gevent

from endivepick.addresses import parse_address
from endivepick.forwarder.early import new_datagram_socket

__all__ = ["DatagramSocket", "datagram_socket"]

_BATCH = 64
"""Packets read before other tasks get their turn; some milliseconds of work."""
_READ_BYTES = 2048
"""Longer than any packet, so that a longer datagram shows as malformed."""
_READABLE = 1
"""libev's flag for a descriptor that can be read."""


class DatagramSocket:
    """Sends packets; drops what the kernel does not take at once.

    Parameters
    ----------
    connection : socket
        Bound and non-blocking.
    """

    def __init__(self, connection: socket) -> None:
        self._socket = connection

    @property
    def address(self) -> str:
        """Address that it is bound to."""
        host, port = self._socket.getsockname()
        return f"{host}:{port}"

    @property
    def port(self) -> int:
        """Port that it is bound to."""
        return self._socket.getsockname()[1]

    def send(self, data: bytes, host: str, port: int) -> bool:
        """Send a datagram; returns whether it went out.

        A full buffer or an unreachable network loses it like any other packet, and
        its sender repeats it.
        """
        try:
            self._socket.sendto(data, (host, port))
        except OSError:
            return False
        return True

    def read_batch(self) -> Iterator[bytes]:
        """Yield the datagrams that wait, a batch at most."""
        for _ in range(_BATCH):
            try:
                yield self._socket.recv(_READ_BYTES)
            except BlockingIOError:
                return
            except OSError:
                # Late word that an earlier datagram was refused.
                continue


@contextmanager
def datagram_socket(
    address: str,
    on_packet: Callable[[bytes, float], None],
    on_fault: Callable[[Exception], None],
    after_batch: Callable[[float], None],
    now_s: Callable[[], float],
    early: socket | None = None,
) -> Iterator[DatagramSocket]:
    """Bind a socket and hand over its packets while the context is open.

    Parameters
    ----------
    address : str
        Where to bind.
    on_packet : callable
        Called with each datagram and the time.
    on_fault : callable
        Called with what ``on_packet`` raised; the event loop would not listen to the
        socket again after a callback that failed.
    after_batch : callable
        Called after each batch with its duration, in seconds.
    now_s : callable
        Gives the time, in seconds.
    early : socket, default=None
        Socket that was bound before; it is used if it has the address.
    """
    with _bind_or_reuse(early, parse_address(address)) as connection:
        datagrams = DatagramSocket(connection)

        def on_readable() -> None:
            began_s = now_s()
            for data in datagrams.read_batch():
                try:
                    on_packet(data, began_s)
                except Exception as error:
                    on_fault(error)
            after_batch(now_s() - began_s)

        watcher = gevent.get_hub().loop.io(connection.fileno(), _READABLE)
        watcher.start(on_readable)
        try:
            yield datagrams
        finally:
            watcher.stop()
            watcher.close()


def _bind_or_reuse(early: socket | None, address: tuple[str, int]) -> socket:
    if early is not None and early.getsockname() == address:
        return early
    if early is not None:
        early.close()
    return new_datagram_socket(address)

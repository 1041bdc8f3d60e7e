"""The data socket, read in batches by a callback of the event loop."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from socket import socket

import gevent

from endivepick.addresses import parse_address
from endivepick.forwarder.early import new_datagram_socket

__all__ = ["DatagramSocket", "datagram_socket"]

_BATCH = 64
"""Maximum number of packets that are read before other tasks run; they take some
milliseconds."""
_READ_BYTES = 2048
"""Larger than any valid packet, so that a longer datagram is detected as malformed."""
_READABLE = 1
"""Flag of libev for a readable descriptor."""


class DatagramSocket:
    """Sends packets and drops those that the kernel does not accept at once.

    Parameters
    ----------
    connection : socket
        Bound, non-blocking socket.
    """

    def __init__(self, connection: socket) -> None:
        self._socket = connection

    @property
    def address(self) -> str:
        """Bound address."""
        host, port = self._socket.getsockname()
        return f"{host}:{port}"

    @property
    def port(self) -> int:
        """Bound port."""
        return self._socket.getsockname()[1]

    def send(self, data: bytes, host: str, port: int) -> bool:
        """Send a datagram; return whether the kernel accepted it.

        A datagram for which the buffer is full or the network unreachable is lost like
        any other lost packet, and its sender retransmits it.
        """
        try:
            self._socket.sendto(data, (host, port))
        except OSError:
            return False
        return True

    def read_batch(self) -> Iterator[bytes]:
        """Yield the waiting datagrams, at most one batch."""
        for _ in range(_BATCH):
            try:
                yield self._socket.recv(_READ_BYTES)
            except BlockingIOError:
                return
            except OSError:
                # Delayed error of an earlier datagram that was refused.
                continue


@contextmanager
def datagram_socket(
    address: str,
    on_packet: Callable[[bytes, float], None],
    on_fault: Callable[[Exception], None],
    after_batch: Callable[[float], None],
    now_s: Callable[[], float],
    bound_socket: socket | None = None,
) -> Iterator[DatagramSocket]:
    """Bind a socket and deliver its packets while the context is open.

    Parameters
    ----------
    address : str
        Address to bind.
    on_packet : callable
        Called with each datagram and the time at which its batch began.
    on_fault : callable
        Called with an exception raised by ``on_packet``; after a callback that failed,
        the event loop would not watch the socket any more.
    after_batch : callable
        Called after each batch with its duration, in seconds.
    now_s : callable
        Returns the time, in seconds.
    bound_socket : socket, default=None
        Socket that was bound earlier; it is used if it has the address.
    """
    with _bind_or_reuse(bound_socket, parse_address(address)) as connection:
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


def _bind_or_reuse(bound_socket: socket | None, address: tuple[str, int]) -> socket:
    if bound_socket is not None and bound_socket.getsockname() == address:
        return bound_socket
    if bound_socket is not None:
        bound_socket.close()
    return new_datagram_socket(address)

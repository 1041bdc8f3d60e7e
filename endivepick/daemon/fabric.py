"""Task that owns the datagram socket towards the fabric."""

import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import gevent
from gevent import socket as gevent_socket

from endivepick.addresses import parse_address
from endivepick.core.events import CallerDatagram
from endivepick.core.messages import CallerAddress, InstancePacket
from endivepick.core.packet_codec import encode_packet
from endivepick.daemon.logs import PartLog
from endivepick.settings.model import DaemonSettings

__all__ = ["FabricTask", "PREFIX_SIZE_BYTES", "fabric_task", "pack_prefix"]

PREFIX_SIZE_BYTES = 6
"""Caller's IPv4 address and port, which the fabric puts before each datagram."""
RECEIVE_SIZE_BYTES = 2048
SOCKET_BUFFER_BYTES = 4 << 20
_log = PartLog("fabric")


def pack_prefix(caller: CallerAddress) -> bytes:
    """Encode a caller's address.

    Examples
    --------
    >>> pack_prefix(("127.0.0.1", 258)).hex()
    '7f0000010102'
    """
    host, port = caller
    return socket.inet_aton(host) + port.to_bytes(2, "big")


def _unpack_prefix(datagram: bytes) -> CallerAddress:
    host = socket.inet_ntoa(datagram[:4])
    port = int.from_bytes(datagram[4:PREFIX_SIZE_BYTES], "big")
    return host, port


class FabricTask:
    """Receives callers' datagrams and sends answers.

    Parameters
    ----------
    settings : DaemonSettings
        Data address and the fabric's return address.
    deliver : callable
        Takes each ``CallerDatagram``.
    """

    def __init__(
        self, settings: DaemonSettings, deliver: Callable[[CallerDatagram], None]
    ) -> None:
        self._deliver = deliver
        self._socket = _bind(parse_address(settings.listen.data_address))
        return_address = settings.fabric.return_address
        self._return = parse_address(return_address) if return_address else None
        self._last_sender: CallerAddress | None = None

    @property
    def address(self) -> str:
        """Bound address as ``host:port``."""
        host, port = self._socket.getsockname()
        return f"{host}:{port}"

    def run(self) -> None:
        """Receive until the task is killed."""
        while True:
            datagram, sender = self._socket.recvfrom(RECEIVE_SIZE_BYTES)
            self._last_sender = sender
            if len(datagram) <= PREFIX_SIZE_BYTES:
                continue
            caller = _unpack_prefix(datagram)
            self._deliver(CallerDatagram(caller, datagram[PREFIX_SIZE_BYTES:]))

    def send(self, caller: CallerAddress, packet: InstancePacket) -> None:
        """Send one packet; a full socket buffer loses it, as a network may."""
        destination = self._return or self._last_sender
        if destination is None:
            return
        try:
            self._socket.sendto(
                pack_prefix(caller) + encode_packet(packet), destination
            )
        except OSError as error:
            _log.debug("send_failed", "datagram not sent", reason=str(error))

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()


def _bind(address: CallerAddress) -> gevent_socket.socket:
    bound = gevent_socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
    bound.bind(address)
    return bound


@contextmanager
def fabric_task(
    settings: DaemonSettings, deliver: Callable[[CallerDatagram], None]
) -> Iterator[FabricTask]:
    """Run the task while the context is open."""
    task = FabricTask(settings, deliver)
    reader = gevent.spawn(task.run)
    try:
        yield task
    finally:
        reader.kill()
        task.close()

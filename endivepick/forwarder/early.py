"""What a forwarder does before the rest of the program is loaded.

It binds the socket for packets, takes the platform's signals, and asks the store for
its lists.

Load pattern: all instances start at once, and callers repeat what was lost meanwhile
after fractions of a second.  Packets that come while libraries are loaded wait in the
socket instead of being lost.  So this module imports nothing but sockets and signals.
"""

from __future__ import annotations

from _signal import SIG_IGN, SIGHUP, SIGTERM, signal
from _socket import AF_INET, SO_RCVBUF, SOCK_DGRAM, SOCK_STREAM, SOL_SOCKET
from os import _exit
from socket import socket

TYPE_CHECKING = False
if TYPE_CHECKING:
    # Type checkers take this for true; loading it would delay the socket.
    from collections.abc import Mapping
    from typing import TypeVar

    _Kind = TypeVar("_Kind")

__all__ = [
    "RECEIVE_BUFFER_BYTES",
    "send_early_requests",
    "bind_early",
    "connect_early",
    "new_datagram_socket",
    "install_early_signal_handlers",
]

RECEIVE_BUFFER_BYTES = 1 << 20
"""Packets of about a second at the highest load of one instance."""
_DATA_KEY = '"data_address"'
_STORE_KEY = '"store_address"'


def new_datagram_socket(address: tuple[str, int]) -> socket:
    """Return a bound socket for packets that never waits."""
    connection = socket(AF_INET, SOCK_DGRAM)
    connection.setblocking(False)
    connection.setsockopt(SOL_SOCKET, SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    connection.bind(address)
    return connection


def bind_early(path: str) -> socket | None:
    """Return a socket bound to the data address of a settings file.

    Parameters
    ----------
    path : str
        Settings file.  It is checked later, where faults are reported; here its
        address is only looked for.

    Returns
    -------
    socket or None
        None if there is no address that can be bound now.
    """
    try:
        return new_datagram_socket(_address_in(path, _DATA_KEY))
    except (OSError, IndexError, ValueError):
        # The settings are refused, or the address is taken: the program says so
        # when it reads them and binds for itself.
        return None


def connect_early(path: str, count: int) -> list[socket]:
    """Begin connections to the store of a settings file; never waits.

    Parameters
    ----------
    path : str
        Settings file.
    count : int
        How many connections.
    """
    connections = []
    try:
        address = _address_in(path, _STORE_KEY)
        for _ in range(count):
            connection = socket(AF_INET, SOCK_STREAM)
            connection.setblocking(False)
            connection.connect_ex(address)
            connections.append(connection)
    except (OSError, IndexError, ValueError):
        # As above; the program connects for itself.
        return connections
    return connections


def send_early_requests(
    connections: list[socket], paths: Mapping[_Kind, str]
) -> dict[_Kind, socket]:
    """Send a request on each connection that is up by now; never waits.

    Load pattern: all instances start at once with slow links.  Asked for before the
    rest is loaded, the lists arrive meanwhile.

    Parameters
    ----------
    connections : list of socket
        Connections to the store that were begun before.
    paths : mapping of str
        Path and query to ask for, by kind.

    Returns
    -------
    dict of socket
        By kind, connections on which the request is under way.
    """
    asked = {}
    for (kind, path), connection in zip(paths.items(), connections, strict=False):
        try:
            host, port = connection.getpeername()
            request = f"GET {path} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n"
            connection.send(request.encode())
            asked[kind] = connection
        except OSError:
            # Not up yet, or refused: the store is slow, away or out of reach.
            connection.close()
    return asked


def _address_in(path: str, key: str) -> tuple[str, int]:
    with open(path, encoding="utf-8") as file:
        value = file.read().partition(key)[2].split('"', 2)[1]
    host, _, port = value.rpartition(":")
    return host, int(port)


def install_early_signal_handlers() -> None:
    """Let no signal end the process abruptly before its own handlers are in place.

    A process that is asked to stop while it loads has no flow to look after and ends
    at once, as planned.  It ends inside the handler: an exception, raised into a
    library that is being loaded, can crash it.
    One that is told of new settings has not read them yet.
    """
    signal(SIGTERM, lambda *_: _exit(0))
    signal(SIGHUP, SIG_IGN)

"""Work of a forwarder before the rest of the program is loaded.

It binds the data socket, installs early signal handlers and requests the lists of the
store.

Scenario: all instances start at once, and callers retransmit lost packets after
fractions of a second. Packets that arrive while libraries are loaded wait in the socket
instead of being lost. Therefore this module imports only sockets and signals.
"""

from __future__ import annotations

from _signal import SIG_IGN, SIGHUP, SIGTERM, signal
from _socket import AF_INET, SO_RCVBUF, SOCK_DGRAM, SOCK_STREAM, SOL_SOCKET
from os import _exit
from socket import socket

TYPE_CHECKING = False
if TYPE_CHECKING:
    # Type checkers treat this as true; loading these modules would delay the socket.
    from collections.abc import Mapping
    from typing import TypeVar

    _Kind = TypeVar("_Kind")

__all__ = [
    "RECEIVE_BUFFER_BYTES",
    "send_early_requests",
    "bind_early",
    "connect_early",
    "has_evacuations",
    "new_datagram_socket",
    "install_early_signal_handlers",
]

RECEIVE_BUFFER_BYTES = 1 << 20
"""Packets of about a second at the highest load of one instance."""
_DATA_KEY = '"data_address"'
_STORE_KEY = '"store_address"'
_EVACUATIONS_KEY = '"evacuation_in_force_ms"'


def new_datagram_socket(address: tuple[str, int]) -> socket:
    """Return a bound, non-blocking datagram socket."""
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
        Settings file. It is validated later, where errors are reported; here it is only
        searched for the address.

    Returns
    -------
    socket or None
        None if it contains no address that can be bound now.
    """
    try:
        return new_datagram_socket(_address_in(path, _DATA_KEY))
    except (OSError, IndexError, ValueError):
        # The settings are invalid or the address is in use; the program reports this
        # when it reads the settings and binds the address itself.
        return None


def connect_early(path: str, count: int) -> list[socket]:
    """Start connections to the store of a settings file; never blocks.

    Parameters
    ----------
    path : str
        Settings file.
    count : int
        Number of connections.
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
        # As above; the program connects by itself.
        return connections
    return connections


def send_early_requests(
    connections: list[socket], paths: Mapping[_Kind, str]
) -> dict[_Kind, socket]:
    """Send a request on each established connection; never blocks.

    Scenario: all instances start at once with slow links. The lists arrive while
    the rest of the program is loaded.

    Parameters
    ----------
    connections : list of socket
        Connections to the store that were started before.
    paths : mapping of str
        Path and query to request, by kind.

    Returns
    -------
    dict of socket
        Connections with a pending request, by kind.
    """
    requested = {}
    for (kind, path), connection in zip(paths.items(), connections, strict=False):
        try:
            host, port = connection.getpeername()
            request = f"GET {path} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n"
            connection.send(request.encode())
            requested[kind] = connection
        except OSError:
            # Not established yet or refused: the store is slow, stopped or unreachable.
            connection.close()
    return requested


def has_evacuations(path: str) -> bool:
    """Return whether a settings file gives a time for evacuations of zones."""
    try:
        with open(path, encoding="utf-8") as file:
            value = file.read().partition(_EVACUATIONS_KEY)[2]
    except (OSError, ValueError):
        # As above; the program reports the error.
        return False
    return value.lstrip(" :\t\n")[:1].isdigit()


def _address_in(path: str, key: str) -> tuple[str, int]:
    with open(path, encoding="utf-8") as file:
        value = file.read().partition(key)[2].split('"', 2)[1]
    host, _, port = value.rpartition(":")
    return host, int(port)


def install_early_signal_handlers() -> None:
    """Install signal handlers for the time until the program's own are installed.

    A process that receives SIGTERM while it loads has no flows and exits at once, as in
    a planned stop. It exits inside the handler, because an exception raised into a
    library during its import can crash the process. SIGHUP is ignored, because the
    settings have not been read yet.
    """
    signal(SIGTERM, lambda *_: _exit(0))
    signal(SIGHUP, SIG_IGN)

"""Blocks of loopback addresses, each used by one installation at a time.

Installations run in parallel on one machine.  If they shared addresses, the
system could assign the port of a killed process of one installation to a process
of another, while peers in the first installation still send to that port.
"""

import socket
from collections.abc import Iterator
from contextlib import contextmanager

__all__ = ["BLOCK_COUNT", "AddressBlockError", "address_block", "host_in_block"]

BLOCK_COUNT = 48
"""Number of blocks; the second bytes of their addresses are 1 to 192."""
_ZONES = 4
_LOCK_PORT = 47_001


class AddressBlockError(Exception):
    """All address blocks are in use until another installation ends."""


def host_in_block(host: str, block: int) -> str:
    """Translate an address of the first block to another block.

    Parameters
    ----------
    host : str
        Address ``127.k.x.y`` of zone ``k``, from 1 to 4.
    block : int
        Number of the block, from 0.

    Examples
    --------
    >>> host_in_block("127.2.0.1", 3)
    '127.14.0.1'
    """
    network, zone, *rest = host.split(".")
    return ".".join([network, str(int(zone) + _ZONES * block), *rest])


@contextmanager
def address_block(count: int = BLOCK_COUNT) -> Iterator[int]:
    """Reserve a block that no other process uses; yields its number.

    Parameters
    ----------
    count : int
        Number of blocks to choose from.

    Raises
    ------
    AddressBlockError
        If all blocks are in use.
    """
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as lock:
        yield _lock_free_block(lock, count)


def _lock_free_block(lock: socket.socket, count: int) -> int:
    """Bind the lock socket in the first free block.

    The system allows only one socket to bind the address, which makes it a lock.
    """
    for block in range(count):
        try:
            lock.bind((host_in_block("127.1.255.254", block), _LOCK_PORT))
        except OSError:
            continue
        return block
    raise AddressBlockError(
        f"all {count} blocks of addresses are in use; end other installations first"
    )

"""Whether an entry of the registry can be used, whoever wrote or told it.

The registry may hold entries of other writers, and an instance of another build may
pass on what this one would not take.  Each value is checked for what it is used for: an
entry that was taken unchecked could not be put before a packet, or drew all flows.
"""

from endivepick.addresses import ipv4_to_int
from endivepick.forwarding.model import Target

__all__ = ["check_target", "parse_target_number"]

LONGEST_NAME = 128
"""Characters; names are written into paths and log lines."""
MOST_SLOTS = 65_536
"""A server with more would draw nearly all flows of its service."""
LONGEST_COLD_S = 3600.0
LATEST_BORN_MS = 1 << 53
"""Largest whole number that every JSON library reads exactly."""
_NUMBER_DIGITS = 16
_PORTS = range(1, 65536)
_HOSTS = range(1 << 24, 224 << 24)
"""Addresses of single machines: above "this network", below multicast."""
_NAME_CHARACTERS = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_."
)
_HEX_DIGITS = frozenset("0123456789abcdefABCDEF")


def parse_target_number(name: str) -> int:
    """Return the 64-bit number that packets name a target by: its name's hex digits.

    Raises
    ------
    ValueError
        If the name has no such number; 0 would mean any target.

    Examples
    --------
    >>> hex(parse_target_number("i-7f3a91c2"))
    '0x7f3a91c2'
    """
    prefix, _, digits = name.partition("-")
    if not prefix or not digits or not _HEX_DIGITS.issuperset(digits):
        raise ValueError("name it like i-7f3a91c2, with hexadecimal digits")
    if len(digits) > _NUMBER_DIGITS or not int(digits, 16):
        raise ValueError("use a number from 1 to 2**64 - 1 in the name")
    return int(digits, 16)


def check_target(target: Target) -> None:
    """Refuse an entry with a value that cannot be used.

    Parameters
    ----------
    target : Target
        The entry; its types are right.

    Raises
    ------
    ValueError
        If a value is out of its range; the message says which one is allowed.

    Examples
    --------
    >>> check_target(Target("i-1", 1, "notes", "10.0.0.1", 80, "hall", 0))
    Traceback (most recent call last):
    ...
    ValueError: use 1 to 65536 slots
    """
    if len(target.name) > LONGEST_NAME or not _NAME_CHARACTERS.issuperset(target.name):
        raise ValueError(f"use a name of {LONGEST_NAME} letters, digits, '-', '_', '.'")
    if target.number != parse_target_number(target.name):
        raise ValueError("use the number that the name ends with")
    if not target.service or not target.zone:
        raise ValueError("name a service and a zone")
    if ipv4_to_int(target.host) not in _HOSTS or target.port not in _PORTS:
        raise ValueError("use the address of one machine and a port from 1 to 65535")
    if not 1 <= target.slots <= MOST_SLOTS:
        raise ValueError(f"use 1 to {MOST_SLOTS} slots")
    if not 0.0 <= target.cold_s <= LONGEST_COLD_S:
        raise ValueError(f"use a cold start of 0 to {LONGEST_COLD_S:.0f} s")
    if not 0 <= target.born_ms <= LATEST_BORN_MS:
        raise ValueError("use a time of start in Unix milliseconds")

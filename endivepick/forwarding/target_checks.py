"""Validation of registry entries, from whatever source.

Other writers may have written entries of the registry, and an instance of another
build may pass on entries that this build refuses.  Each value is checked against its
use: without the check, a target's number might not fit into the packet header, or a
target with an excessive number of slots would attract all flows.
"""

from endivepick.addresses import ipv4_to_int
from endivepick.forwarding.message_fields import MAX_REVISION
from endivepick.forwarding.model import Target

__all__ = ["MAX_BORN_MS", "check_target", "parse_target_number"]

MAX_NAME_LENGTH = 128
"""Characters; names are written into paths and log lines."""
MAX_SLOTS = 65_536
"""A target with more slots would get nearly all flows of its service."""
MAX_COLD_S = 3600.0
MAX_BORN_MS = 1 << 53
"""Largest integer that every JSON library reads exactly."""
_NUMBER_DIGITS = 16
_PORTS = range(1, 65536)
_HOSTS = range(1 << 24, 224 << 24)
"""Unicast addresses: above the "this network" block, below multicast."""
_NAME_CHARACTERS = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_."
)
_HEX_DIGITS = frozenset("0123456789abcdefABCDEF")


def parse_target_number(name: str) -> int:
    """Return the 64-bit number that identifies a target in packets.

    It is given by the hexadecimal digits of the target's name.

    Raises
    ------
    ValueError
        If the name has no such number.  0 is refused, since it means any target.

    Examples
    --------
    >>> hex(parse_target_number("i-7f3a91c2"))
    '0x7f3a91c2'
    """
    prefix, _, digits = name.partition("-")
    if not prefix or not digits or not _HEX_DIGITS.issuperset(digits):
        raise ValueError("name must look like i-7f3a91c2, with hexadecimal digits")
    if len(digits) > _NUMBER_DIGITS or not int(digits, 16):
        raise ValueError("number in the name must be from 1 to 2**64 - 1")
    return int(digits, 16)


def check_target(target: Target) -> None:
    """Refuse an entry with a value that cannot be used.

    Parameters
    ----------
    target : Target
        The entry; its types are already validated.

    Raises
    ------
    ValueError
        If a value is out of range; the message names the allowed range.

    Examples
    --------
    >>> check_target(Target("i-1", 1, "notes", "10.0.0.1", 80, "hall", 0))
    Traceback (most recent call last):
    ...
    ValueError: slots must be from 1 to 65536
    """
    if len(target.name) > MAX_NAME_LENGTH or not _NAME_CHARACTERS.issuperset(
        target.name
    ):
        raise ValueError(
            f"name must be at most {MAX_NAME_LENGTH} letters, digits, '-', '_' or '.'"
        )
    if target.number != parse_target_number(target.name):
        raise ValueError("number must be the one that the name ends with")
    if not target.service or not target.zone:
        raise ValueError("service and zone must not be empty")
    if ipv4_to_int(target.host) not in _HOSTS or target.port not in _PORTS:
        raise ValueError("host must be a unicast address and port from 1 to 65535")
    if not 1 <= target.slots <= MAX_SLOTS:
        raise ValueError(f"slots must be from 1 to {MAX_SLOTS}")
    if not 0.0 <= target.cold_s <= MAX_COLD_S:
        raise ValueError(f"cold_s must be from 0 to {MAX_COLD_S:.0f} s")
    revisions = (target.created, target.revision)
    if not all(0 <= revision <= MAX_REVISION for revision in revisions):
        raise ValueError(f"created and revision must be from 0 to {MAX_REVISION}")
    if not 0 <= target.born_ms <= MAX_BORN_MS:
        raise ValueError("born_ms must be a time in Unix milliseconds")

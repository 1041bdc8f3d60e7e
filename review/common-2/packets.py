"""Packets of the platform: a head of 36 bytes and up to 1,200 bytes of data."""

import zlib
from struct import Struct
from typing import NamedTuple

HEAD = Struct(">IIIIIHHIB5xH")
SYN, ACK, FIN, RST = 8, 32, 1, 128
MAX_DATA_BYTES = 1200
_KEY = b"key of the two ends"
_MODULUS = 1 << 32


class Packet(NamedTuple):
    """Fields of a packet."""

    echo: int
    total: int
    seq: int
    ack: int
    src: int
    sport: int
    dport: int
    dst: int
    flags: int
    data: bytes = b""

    @property
    def is_genuine(self):
        """Whether its sender wrote it so: the sum covers all but the echo."""
        return self.total == compute_sum(self)


def compute_sum(packet):
    """Return the keyed sum of a packet."""
    fields = repr((*packet[2:9], packet.data)).encode()
    return zlib.crc32(_KEY + fields) or 1


def encode(packet, own_sum=True):
    """Return the bytes of a packet, with its sum."""
    total = compute_sum(packet) if own_sum else 0
    head = HEAD.pack(packet.echo, total, *packet[2:9], len(packet.data))
    return head + packet.data


def decode(datagram):
    """Return the packet of a datagram; None if its length is wrong."""
    if len(datagram) < HEAD.size:
        return None
    *fields, size = HEAD.unpack_from(datagram)
    data = datagram[HEAD.size :]
    return Packet(*fields, data) if len(data) == size else None


def advance(number, count):
    """Return a 32-bit sequence number that is some bytes later."""
    return (number + count) % _MODULUS


def distance(number, other):
    """Return how far a sequence number is ahead of another, negative if behind."""
    ahead = (number - other) % _MODULUS
    return ahead if ahead < _MODULUS // 2 else ahead - _MODULUS


def to_int(host):
    """Return an IPv4 address as a number."""
    parts = [int(each) for each in host.split(".")]
    return int.from_bytes(bytes(parts), "big")


def to_text(number):
    """Return a number as an IPv4 address."""
    return ".".join(str(each) for each in number.to_bytes(4, "big"))

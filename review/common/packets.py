"""Packets of clients and targets, as the users' protocol page describes them."""

import zlib
from dataclasses import dataclass, replace
from ipaddress import IPv4Address
from struct import Struct

__all__ = ["ACK", "FIN", "RST", "SYN", "Packet", "decode", "encode", "is_genuine"]

FIN, BOUNCED, SYN, ACK, RST = 1, 4, 8, 32, 128
_HEAD = Struct(">IIII4sHH4sB5sH")
HEAD_BYTES = 36
_KEY = b"known to clients and targets only"


@dataclass(frozen=True)
class Packet:
    """One packet; hosts are texts."""

    src: str
    sport: int
    dst: str
    dport: int
    flags: int
    seq: int = 0
    ack: int = 0
    echo: int = 0
    data: bytes = b""
    sum: int = 0


def encode(packet):
    """Return a packet's bytes with the sum of its sender."""
    return _pack(replace(packet, sum=_compute_sum(packet)))


def decode(raw):
    """Return the packet that bytes hold."""
    echo, total, seq, ack, src, sport, dport, dst, flags, _, size = _HEAD.unpack_from(
        raw
    )
    return Packet(
        str(IPv4Address(src)),
        sport,
        str(IPv4Address(dst)),
        dport,
        flags,
        seq,
        ack,
        echo,
        raw[HEAD_BYTES : HEAD_BYTES + size],
        total,
    )


def is_genuine(packet):
    """Return whether an end of a flow wrote a packet so."""
    return packet.sum == _compute_sum(packet)


def _compute_sum(packet):
    return zlib.crc32(_KEY + _pack(replace(packet, echo=0, sum=0))) or 1


def _pack(packet):
    return (
        _HEAD.pack(
            packet.echo,
            packet.sum,
            packet.seq % 2**32,
            packet.ack % 2**32,
            IPv4Address(packet.src).packed,
            packet.sport,
            packet.dport,
            IPv4Address(packet.dst).packed,
            packet.flags,
            bytes(5),
            len(packet.data),
        )
        + packet.data
    )

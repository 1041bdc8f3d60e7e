"""Encoding of packets: a version byte, then a MessagePack message."""

from typing import Any, TypeVar

import msgspec

from endivepick.core.messages import (
    MAX_DATAGRAM_BYTES,
    PROTOCOL_VERSION,
    CallerPacket,
    InstancePacket,
)
from endivepick.errors import PacketInvalidError

__all__ = [
    "decode_caller_packet",
    "decode_instance_packet",
    "decode_struct",
    "encode_packet",
    "encode_struct",
]

_VERSION_BYTE = bytes([PROTOCOL_VERSION])
_encoder = msgspec.msgpack.Encoder()
_caller_decoder = msgspec.msgpack.Decoder(CallerPacket)
_instance_decoder = msgspec.msgpack.Decoder(InstancePacket)

T = TypeVar("T")


def encode_packet(packet: CallerPacket | InstancePacket) -> bytes:
    """Encode a packet into one datagram."""
    return _VERSION_BYTE + _encoder.encode(packet)


def _decode(decoder: msgspec.msgpack.Decoder, datagram: bytes) -> Any:
    if len(datagram) > MAX_DATAGRAM_BYTES:
        raise PacketInvalidError("too_long", "Send at most 1452 bytes in a datagram.")
    if datagram[:1] != _VERSION_BYTE:
        raise PacketInvalidError(
            "unknown_version", "Update the caller library to this protocol version."
        )
    try:
        return decoder.decode(memoryview(datagram)[1:])
    except (msgspec.DecodeError, RecursionError) as error:
        raise PacketInvalidError(
            "malformed", f"Send a packet of this protocol: {error}."
        ) from error


def decode_caller_packet(datagram: bytes) -> CallerPacket:
    """Decode a datagram that a caller sent.

    Raises
    ------
    PacketInvalidError
        If it is too long, of an unknown version or malformed.
    """
    return _decode(_caller_decoder, datagram)


def decode_instance_packet(datagram: bytes) -> InstancePacket:
    """Decode a datagram that an instance sent.

    Raises
    ------
    PacketInvalidError
        If it is too long, of an unknown version or malformed.
    """
    return _decode(_instance_decoder, datagram)


def encode_struct(value: Any) -> bytes:
    """Encode a structure without a version byte."""
    return _encoder.encode(value)


def decode_struct(data: bytes, kind: type[T]) -> T:
    """Decode a structure that ``encode_struct`` made.

    Raises
    ------
    PacketInvalidError
        If the bytes are not a value of this type.
    """
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except (msgspec.DecodeError, RecursionError) as error:
        raise PacketInvalidError(
            "malformed", f"Send a {kind.__name__}: {error}."
        ) from error

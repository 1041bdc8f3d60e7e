"""Structures that are sent over the network, with example values of each."""

from collections.abc import Callable
from dataclasses import dataclass
from itertools import count
from typing import Any, get_args

import msgspec

from endivepick.core.messages import (
    AnswerHead,
    CallerPacket,
    InstancePacket,
    RequestHead,
)
from endivepick.core.packet_codec import (
    decode_caller_packet,
    decode_instance_packet,
    decode_struct,
    encode_packet,
    encode_struct,
)
from endivepick.core.peer_envelope import (
    AnyPeerMessage,
    Envelope,
    decode_envelope,
    encode_envelope,
)
from endivepick.core.token import FlowToken, TokenCodec

CLOCK = 2**60
NOW_S = 0.0


class FixedMacKeys:
    """Keys with a constant authentication code, so that samples need no secret."""

    def sign(self, data):
        return 1, bytes(16)

    def verify(self, key_id, data, mac):
        return True

    def has_key(self, key_id):
        return True


TOKENS = TokenCodec(FixedMacKeys(), lifetime_s=1e9)


@dataclass(frozen=True)
class MessageFamily:
    """Encoding and decoding of one family of structures.

    ``encode_arrays`` encodes plain lists in place of structures. Tests use it for
    content that no structure of this build can hold.
    """

    kinds: tuple[type, ...]
    encode: Callable[[Any], bytes]
    decode: Callable[[bytes, type], Any]
    encode_arrays: Callable[[Any], bytes]


def _encode_peer_arrays(message):
    return msgspec.msgpack.encode(["a", 1, CLOCK, message])


def _encode_packet_arrays(packet):
    return encode_packet(packet)


def _encode_token_arrays(token):
    return bytes([0, 0, 0, 1]) + msgspec.msgpack.encode(token) + bytes(16)


MESSAGE_FAMILIES = {
    "caller": MessageFamily(
        get_args(CallerPacket),
        encode_packet,
        lambda data, kind: decode_caller_packet(data),
        _encode_packet_arrays,
    ),
    "instance": MessageFamily(
        get_args(InstancePacket),
        encode_packet,
        lambda data, kind: decode_instance_packet(data),
        _encode_packet_arrays,
    ),
    "peer": MessageFamily(
        get_args(AnyPeerMessage),
        lambda message: encode_envelope(Envelope("a", 1, CLOCK, message)),
        lambda data, kind: decode_envelope(data).message,
        _encode_peer_arrays,
    ),
    "token": MessageFamily(
        (FlowToken,),
        TOKENS.seal,
        lambda data, kind: TOKENS.unseal(data, NOW_S),
        _encode_token_arrays,
    ),
    # Sent within the parts of requests and answers, or in pieces during a handover.
    "part": MessageFamily(
        (RequestHead, AnswerHead)
        + tuple(k for k in get_args(AnyPeerMessage) if k.__name__ == "HandOver"),
        encode_struct,
        decode_struct,
        msgspec.msgpack.encode,
    ),
}


def make_example(kind):
    """Return an instance of a structure in which no field has its default value."""
    return _make_value(msgspec.inspect.type_info(kind), count(1))


def _make_value(info, numbers):
    match info:
        case msgspec.inspect.StructType(cls=cls, fields=fields):
            return cls(*(_make_value(field.type, numbers) for field in fields))
        case msgspec.inspect.UnionType(types=types):
            return _make_value(types[0], numbers)
        case msgspec.inspect.ListType(item_type=item):
            return [_make_value(item, numbers), _make_value(item, numbers)]
        case msgspec.inspect.VarTupleType(item_type=item):
            return (_make_value(item, numbers), _make_value(item, numbers))
        case msgspec.inspect.TupleType(item_types=items):
            return tuple(_make_value(item, numbers) for item in items)
        case msgspec.inspect.DictType(key_type=key, value_type=value):
            return {_make_value(key, numbers): _make_value(value, numbers)}
        case msgspec.inspect.EnumType(cls=cls):
            return list(cls)[-1]
        case msgspec.inspect.BoolType():
            return True
        case msgspec.inspect.IntType():
            return next(numbers)
        case msgspec.inspect.FloatType():
            return next(numbers) + 0.5
        case msgspec.inspect.StrType():
            return f"text {next(numbers)}"
        case msgspec.inspect.BytesType():
            return f"bytes {next(numbers)}".encode()
    raise TypeError(f"no example value is defined for type {info}")


def to_json_value(value):
    """Return a JSON-compatible form of a value, with field names."""
    match value:
        case msgspec.Struct():
            fields = {name: getattr(value, name) for name in value.__struct_fields__}
            return {
                "kind": type(value).__name__,
                "fields": {
                    name: to_json_value(field) for name, field in fields.items()
                },
            }
        case list() | tuple():
            return [to_json_value(item) for item in value]
        case dict():
            return {key: to_json_value(item) for key, item in value.items()}
        case bytes():
            return value.hex()
    return value


def to_arrays(value, more):
    """Return the arrays that encode a structure, each extended by ``more``."""
    match value:
        case msgspec.Struct():
            tag = value.__struct_config__.tag
            fields = [getattr(value, name) for name in value.__struct_fields__]
            head = [] if tag is None else [tag]
            return head + [to_arrays(field, more) for field in fields] + list(more)
        case list() | tuple():
            return [to_arrays(item, more) for item in value]
        case dict():
            return {key: to_arrays(item, more) for key, item in value.items()}
    return value

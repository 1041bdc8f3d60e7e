"""Every structure that goes over the wire, and example values of it."""

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


class PlainKeys:
    """Keys whose code says nothing, so that samples need no secret."""

    def sign(self, data):
        return 1, bytes(16)

    def verify(self, key_id, data, mac):
        return True

    def holds(self, key_id):
        return True


TOKENS = TokenCodec(PlainKeys(), lifetime_s=1e9)


@dataclass(frozen=True)
class Wire:
    """How one family of structures is encoded and decoded.

    ``pack`` encodes plain lists in place of structures, to test with what no
    present structure holds.
    """

    kinds: tuple[type, ...]
    encode: Callable[[Any], bytes]
    decode: Callable[[bytes, type], Any]
    pack: Callable[[Any], bytes]


def _peer_list(message):
    return msgspec.msgpack.encode(["a", 1, CLOCK, message])


def _packet_list(packet):
    return encode_packet(packet)


def _token_list(token):
    return bytes([0, 0, 0, 1]) + msgspec.msgpack.encode(token) + bytes(16)


WIRES = {
    "caller": Wire(
        get_args(CallerPacket),
        encode_packet,
        lambda data, kind: decode_caller_packet(data),
        _packet_list,
    ),
    "instance": Wire(
        get_args(InstancePacket),
        encode_packet,
        lambda data, kind: decode_instance_packet(data),
        _packet_list,
    ),
    "peer": Wire(
        get_args(AnyPeerMessage),
        lambda message: encode_envelope(Envelope("a", 1, CLOCK, message)),
        lambda data, kind: decode_envelope(data).message,
        _peer_list,
    ),
    "token": Wire(
        (FlowToken,),
        TOKENS.seal,
        lambda data, kind: TOKENS.unseal(data, NOW_S),
        _token_list,
    ),
    # Travel within parts of requests and answers, or as pieces of a hand-over.
    "part": Wire(
        (RequestHead, AnswerHead)
        + tuple(k for k in get_args(AnyPeerMessage) if k.__name__ == "HandOver"),
        encode_struct,
        decode_struct,
        msgspec.msgpack.encode,
    ),
}


def example(kind):
    """Return a value of a structure in which no field has its default."""
    return _value(msgspec.inspect.type_info(kind), count(1))


def _value(info, numbers):
    match info:
        case msgspec.inspect.StructType(cls=cls, fields=fields):
            return cls(*(_value(field.type, numbers) for field in fields))
        case msgspec.inspect.UnionType(types=types):
            return _value(types[0], numbers)
        case msgspec.inspect.ListType(item_type=item):
            return [_value(item, numbers), _value(item, numbers)]
        case msgspec.inspect.VarTupleType(item_type=item):
            return (_value(item, numbers), _value(item, numbers))
        case msgspec.inspect.TupleType(item_types=items):
            return tuple(_value(item, numbers) for item in items)
        case msgspec.inspect.DictType(key_type=key, value_type=value):
            return {_value(key, numbers): _value(value, numbers)}
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
    raise TypeError(f"say here how to make an example of {info}")


def named(value):
    """Return a value as JSON can hold it, with the names of fields."""
    match value:
        case msgspec.Struct():
            fields = {name: getattr(value, name) for name in value.__struct_fields__}
            return {
                "kind": type(value).__name__,
                "fields": {name: named(field) for name, field in fields.items()},
            }
        case list() | tuple():
            return [named(item) for item in value]
        case dict():
            return {key: named(item) for key, item in value.items()}
        case bytes():
            return value.hex()
    return value


def as_lists(value, more):
    """Return the arrays that a structure is encoded as, each with ``more``."""
    match value:
        case msgspec.Struct():
            tag = value.__struct_config__.tag
            fields = [getattr(value, name) for name in value.__struct_fields__]
            head = [] if tag is None else [tag]
            return head + [as_lists(field, more) for field in fields] + list(more)
        case list() | tuple():
            return [as_lists(item, more) for item in value]
        case dict():
            return {key: as_lists(item, more) for key, item in value.items()}
    return value

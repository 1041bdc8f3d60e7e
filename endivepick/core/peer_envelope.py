"""Envelope of the messages between instances."""

from typing import get_args

import msgspec

from endivepick.core.peer_messages import (
    Forwarded,
    HandOverMessage,
    InFlightReport,
    RelayedPacket,
    TargetDraining,
)
from endivepick.errors import PacketInvalidError
from endivepick.membership import MembershipMessage
from endivepick.records.peer_messages import RecordsMessage

__all__ = [
    "UNKNOWN_KIND",
    "AnyPeerMessage",
    "Envelope",
    "FlowMessage",
    "decode_envelope",
    "encode_envelope",
]

FlowMessage = (
    RelayedPacket | HandOverMessage | Forwarded | InFlightReport | TargetDraining
)

AnyPeerMessage = FlowMessage | MembershipMessage | RecordsMessage

UNKNOWN_KIND = "unknown_kind"
"""Reason of a message of a kind that this build does not know."""


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message and who sent it.

    Attributes
    ----------
    sender : str
        Name of the sending instance.
    incarnation : int
        Incarnation of the sender.
    clock : int
        Stamp of the sender's hybrid logical clock.
    message : FlowMessage or MembershipMessage
        The message.
    """

    sender: str
    incarnation: int
    clock: int
    message: AnyPeerMessage


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)
_KNOWN_TAGS = frozenset(kind.__struct_config__.tag for kind in get_args(AnyPeerMessage))


class _Tagged(msgspec.Struct, array_like=True):
    """The first item of a message; the others are passed over."""

    tag: int


class _TaggedEnvelope(msgspec.Struct, array_like=True):
    """An envelope around a message of any kind."""

    sender: str
    incarnation: int
    clock: int
    message: _Tagged


_tag_decoder = msgspec.msgpack.Decoder(_TaggedEnvelope)


def encode_envelope(envelope: Envelope) -> bytes:
    """Encode an envelope with its message."""
    return _encoder.encode(envelope)


def decode_envelope(data: bytes) -> Envelope:
    """Decode an envelope.

    Raises
    ------
    PacketInvalidError
        If the bytes are no envelope, or hold a message of an unknown kind, which
        a newer build may send.
    """
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        if _is_of_unknown_kind(data):
            remedy = "Finish the upgrade: a newer build sends it."
            raise PacketInvalidError(UNKNOWN_KIND, remedy) from error
        raise PacketInvalidError(
            "malformed_peer_message",
            f"Run builds together that the upgrade page allows: {error}.",
        ) from error


def _is_of_unknown_kind(data: bytes) -> bool:
    try:
        return _tag_decoder.decode(data).message.tag not in _KNOWN_TAGS
    except (msgspec.DecodeError, RecursionError):
        return False

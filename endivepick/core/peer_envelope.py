"""Envelopes of the messages between instances and their encoding."""

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
"""Reason for rejecting a message whose type this build does not know."""


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Message with its sender.

    Attributes
    ----------
    sender : str
        Name of the sending instance.
    incarnation : int
        Incarnation of the sender.
    clock : int
        Timestamp of the sender's hybrid logical clock.
    message : AnyPeerMessage
        Enclosed message.
    """

    sender: str
    incarnation: int
    clock: int
    message: AnyPeerMessage


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)
_KNOWN_TAGS = frozenset(kind.__struct_config__.tag for kind in get_args(AnyPeerMessage))


class _Tagged(msgspec.Struct, array_like=True):
    """First item of a message; the other items are ignored."""

    tag: int


class _TaggedEnvelope(msgspec.Struct, array_like=True):
    """Envelope of a message of any type, known or not."""

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
        If the bytes are not an envelope, or if the type of the message is unknown.
        A newer build may send such messages.
    """
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        if _has_unknown_kind(data):
            remedy = "Finish the upgrade: a newer build sent the message."
            raise PacketInvalidError(UNKNOWN_KIND, remedy) from error
        raise PacketInvalidError(
            "malformed_peer_message",
            f"Run only builds that the upgrade page allows together: {error}.",
        ) from error


def _has_unknown_kind(data: bytes) -> bool:
    try:
        return _tag_decoder.decode(data).message.tag not in _KNOWN_TAGS
    except (msgspec.DecodeError, RecursionError):
        return False

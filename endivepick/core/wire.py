"""Envelope of the messages between instances."""

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


def encode_envelope(envelope: Envelope) -> bytes:
    """Encode an envelope with its message."""
    return _encoder.encode(envelope)


def decode_envelope(data: bytes) -> Envelope:
    """Decode an envelope.

    Raises
    ------
    PacketInvalidError
        If the bytes are no envelope, or hold a message of an unknown type.
    """
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise PacketInvalidError(
            "malformed_peer_message", f"Run one version everywhere: {error}."
        ) from error

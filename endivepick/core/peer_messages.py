"""Messages between instances about flows, with tags 80 to 95."""

import msgspec

from endivepick.core.messages import (
    CallerAddress,
    Outcome,
    Refused,
    RequestHead,
)
from endivepick.core.replay_window import WindowSnapshot

__all__ = [
    "AnswerSnapshot",
    "FlowSnapshot",
    "Forwarded",
    "HandOver",
    "HandOverAccepted",
    "HandOverMessage",
    "HandOverPiece",
    "HandOverPieceTaken",
    "HandOverRefused",
    "InFlightReport",
    "RelayedPacket",
    "RequestSnapshot",
    "TargetDraining",
]


class RelayedPacket(msgspec.Struct, frozen=True, array_like=True, tag=80):
    """Datagram of a caller, relayed to the owner of its flow.

    Attributes
    ----------
    caller : tuple
        Address to which answers are sent.
    hops : int
        Number of instances that have relayed the datagram.
    datagram : bytes
        Packet as the caller sent it.
    """

    caller: CallerAddress
    hops: int
    datagram: bytes


class AnswerSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """Parts of an answer that the caller has not acknowledged."""

    base_index: int
    final: bool
    parts: list[bytes]


class RequestSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """Unfinished or unacknowledged request.

    ``time_left_ms`` is the time until its deadline, in milliseconds.
    """

    seq: int
    idempotent: bool
    time_left_ms: int
    state: str
    attempt: int
    may_have_run: bool
    last_event_id: str
    head: RequestHead | None
    answer: AnswerSnapshot | None
    verdict: Refused | Outcome | None


class FlowSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """State of a flow that is transferred to the successor of its owner."""

    flow_id: int
    binding: int
    service: str
    target: str
    closed: bool
    caller: CallerAddress
    window: WindowSnapshot
    requests: list[RequestSnapshot]


class HandOver(msgspec.Struct, frozen=True, array_like=True, tag=81):
    """Transfer of permanently frozen flows, retransmitted until answered.

    Attributes
    ----------
    transfer_id : int
        Number of the transfer.
    successor_incarnation : int
        The only incarnation that may accept the flows.
    flows : list of FlowSnapshot
        Flows of the transfer.
    """

    transfer_id: int
    successor_incarnation: int
    flows: list[FlowSnapshot]


class HandOverAccepted(msgspec.Struct, frozen=True, array_like=True, tag=82):
    """Answer that the successor holds the flows of this transfer."""

    transfer_id: int


class HandOverRefused(msgspec.Struct, frozen=True, array_like=True, tag=83):
    """Answer that the successor holds no flow of this transfer and never will."""

    transfer_id: int


class InFlightReport(msgspec.Struct, frozen=True, array_like=True, tag=84):
    """Numbers of requests that the sender has in progress at a service's targets."""

    service: str
    in_flight: dict[str, int]


class TargetDraining(msgspec.Struct, frozen=True, array_like=True, tag=85):
    """Notice that a target reported that it is draining.

    Attributes
    ----------
    service, target : str
        Service and name of the target.
    target_incarnation : int
        Incarnation of the target.
    passed_on : bool
        Whether the sender received the notice from a peer; it is then not forwarded
        again.
    """

    service: str
    target: str
    target_incarnation: int
    passed_on: bool = False


class HandOverPiece(msgspec.Struct, frozen=True, array_like=True, tag=86):
    """Piece of an encoded `HandOver` that is too large for one message.

    Attributes
    ----------
    transfer_id : int
        Number of the transfer.
    successor_incarnation : int
        The only incarnation that may accept the flows.
    index : int
        Number of this piece, from 0.
    count : int
        Number of pieces.
    data : bytes
        Bytes of this piece.
    """

    transfer_id: int
    successor_incarnation: int
    index: int
    count: int
    data: bytes


class HandOverPieceTaken(msgspec.Struct, frozen=True, array_like=True, tag=87):
    """Acknowledgement of a piece; the transfer may still be refused."""

    transfer_id: int
    index: int


HandOverMessage = (
    HandOver | HandOverAccepted | HandOverRefused | HandOverPiece | HandOverPieceTaken
)


class Forwarded(msgspec.Struct, frozen=True, array_like=True, tag=88):
    """Handover message sent through a third instance because the link seems cut.

    The instance that receives it forwards it to ``to_name``, which answers through
    the same instance.

    Attributes
    ----------
    sender : str
        Name of the instance that sent the message.
    incarnation : int
        Incarnation of the sender.
    to_name : str
        Name of the instance that the message is addressed to.
    message : HandOverMessage
        Forwarded message.
    """

    sender: str
    incarnation: int
    to_name: str
    message: HandOverMessage

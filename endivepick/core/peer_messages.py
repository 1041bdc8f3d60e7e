"""Messages between instances about flows; tags 80 to 95."""

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
    """A caller's datagram on its way to the owner of its flow.

    Attributes
    ----------
    caller : tuple
        Where answers go.
    hops : int
        How many instances it passed.
    datagram : bytes
        The packet as the caller sent it.
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
    """A request whose answer is not acknowledged, or a suspended stream.

    ``time_left_ms`` is what remains of its deadline, in milliseconds.
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
    """Everything that the successor of a flow's owner needs."""

    flow_id: int
    binding: int
    service: str
    target: str
    closed: bool
    caller: CallerAddress
    window: WindowSnapshot
    requests: list[RequestSnapshot]


class HandOver(msgspec.Struct, frozen=True, array_like=True, tag=81):
    """Flows that the sender has frozen for good; sent again until answered.

    Attributes
    ----------
    transfer_id : int
        Number of the transfer.
    successor_incarnation : int
        The one incarnation that may take the flows.
    flows : list of FlowSnapshot
        The flows.
    """

    transfer_id: int
    successor_incarnation: int
    flows: list[FlowSnapshot]


class HandOverAccepted(msgspec.Struct, frozen=True, array_like=True, tag=82):
    """The receiver holds the flows of this transfer."""

    transfer_id: int


class HandOverRefused(msgspec.Struct, frozen=True, array_like=True, tag=83):
    """The receiver holds nothing of this transfer and never will."""

    transfer_id: int


class InFlightReport(msgspec.Struct, frozen=True, array_like=True, tag=84):
    """Requests that the sender has in progress at a service's targets."""

    service: str
    in_flight: dict[str, int]


class TargetDraining(msgspec.Struct, frozen=True, array_like=True, tag=85):
    """A target said by itself that it is leaving.

    Attributes
    ----------
    service, target : str
        The target.
    target_incarnation : int
        Its incarnation.
    passed_on : bool
        The sender has it from a peer; it is not passed on again.
    """

    service: str
    target: str
    target_incarnation: int
    passed_on: bool = False


class HandOverPiece(msgspec.Struct, frozen=True, array_like=True, tag=86):
    """Piece of a `HandOver` that is too large for one message.

    Attributes
    ----------
    transfer_id : int
        Number of the transfer.
    successor_incarnation : int
        The one incarnation that may take the flows.
    index : int
        Number of this piece, from 0.
    count : int
        Number of pieces.
    data : bytes
        Part of the encoded message.
    """

    transfer_id: int
    successor_incarnation: int
    index: int
    count: int
    data: bytes


class HandOverPieceTaken(msgspec.Struct, frozen=True, array_like=True, tag=87):
    """The receiver holds a piece; says nothing about the transfer."""

    transfer_id: int
    index: int


HandOverMessage = (
    HandOver | HandOverAccepted | HandOverRefused | HandOverPiece | HandOverPieceTaken
)


class Forwarded(msgspec.Struct, frozen=True, array_like=True, tag=88):
    """A message about a hand-over whose direct way seems to be cut.

    The instance that gets it sends it on to ``to_name``, which answers the same way.

    Attributes
    ----------
    sender : str
        Name of the instance that it comes from.
    incarnation : int
        Its incarnation.
    to_name : str
        Instance that it is for.
    message : HandOverMessage
        The message.
    """

    sender: str
    incarnation: int
    to_name: str
    message: HandOverMessage

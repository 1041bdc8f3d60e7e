"""Packets between callers and instances.

Packets are single datagrams between a caller and any instance, encoded as MessagePack
arrays whose first item is the tag of the type.  Peer messages, encoded in the same
way, are in ``peer_messages``.
"""

import msgspec

__all__ = [
    "ANSWER_BYTES_MAX",
    "REQUEST_BYTES_MAX",
    "Acknowledge",
    "Accepted",
    "AnswerPart",
    "Cancel",
    "CallerPacket",
    "CallerAddress",
    "FlowClosed",
    "InstancePacket",
    "Open",
    "OpenRefused",
    "Opened",
    "Outcome",
    "Refused",
    "Reissued",
    "Renew",
    "RequestHead",
    "RequestPart",
    "RequestProgress",
    "Unreachable",
    "AnswerHead",
    "PART_SIZE_BYTES",
    "MAX_DATAGRAM_BYTES",
    "PROTOCOL_VERSION",
]

PROTOCOL_VERSION = 1
MAX_DATAGRAM_BYTES = 1452
"""Largest datagram that callers and instances send or accept, in bytes."""
PART_SIZE_BYTES = 1024
"""Payload of one request or answer part, in bytes."""

REQUEST_BYTES_MAX = 2 << 20
"""Default limit on the size of an encoded request, in bytes."""
ANSWER_BYTES_MAX = 32 << 20
"""Default limit on the size of an answer, in bytes."""

CallerAddress = tuple[str, int]
"""IPv4 address and UDP port of a caller."""


class Open(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Request to open a flow, sent to any instance; carries no application request.

    Attributes
    ----------
    open_id : int
        Random number that identifies the answer.
    service : str
        Name of the service.
    """

    open_id: int
    service: str


class RequestPart(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """One part of a request.

    The concatenated ``data`` of all parts is a MessagePack ``RequestHead``.

    Attributes
    ----------
    token : bytes
        Flow token.
    seq : int
        Request number within the flow, from 1, never reused.
    index : int
        Number of this part, from 0.
    count : int
        Number of parts.
    idempotent : bool
        Whether the request may run more than once.
    deadline_ms : int
        Time until the caller's deadline, in milliseconds.
    data : bytes
        At most ``PART_SIZE_BYTES`` bytes.
    """

    token: bytes
    seq: int
    index: int
    count: int
    idempotent: bool
    deadline_ms: int
    data: bytes


class Acknowledge(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Acknowledgement of answer parts and request for the missing ones.

    Attributes
    ----------
    token : bytes
        Flow token.
    seq : int
        Request number.
    next_index : int
        All parts below this number arrived.
    missing : list of int
        Parts from ``next_index`` on that are missing although later ones arrived.
    window : int
        Number of parts beyond ``next_index`` that the caller accepts.
    done : bool
        Whether the whole answer arrived, so that the owner may discard it.
    """

    token: bytes
    seq: int
    next_index: int
    missing: list[int]
    window: int
    done: bool


class Cancel(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Cancellation of a request, also at the target if it runs there."""

    token: bytes
    seq: int


class Renew(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Request for a token under the current key; keeps an idle flow established."""

    token: bytes


class FlowClosed(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Notice to the owner that the caller closed the flow."""

    token: bytes


class Opened(msgspec.Struct, frozen=True, array_like=True, tag=32):
    """Answer to ``Open`` with the flow, its token and the token's binding."""

    open_id: int
    flow_id: int
    token: bytes
    renew_after_s: float
    binding: int


class OpenRefused(msgspec.Struct, frozen=True, array_like=True, tag=33):
    """Refusal of an ``Open`` with the time after which to retry."""

    open_id: int
    reason: str
    retry_after_ms: int


class Accepted(msgspec.Struct, frozen=True, array_like=True, tag=34):
    """Notice that the owner holds the whole request; it may or may not run."""

    flow_id: int
    binding: int
    seq: int


class RequestProgress(msgspec.Struct, frozen=True, array_like=True, tag=35):
    """Parts of a long request that the owner has not received yet."""

    flow_id: int
    binding: int
    seq: int
    next_index: int
    missing: list[int]


class AnswerPart(msgspec.Struct, frozen=True, array_like=True, tag=36):
    """One part of an answer.

    Part 0 holds a MessagePack ``AnswerHead``; the later parts hold the body in
    order.  ``final`` marks the last part.
    """

    flow_id: int
    binding: int
    seq: int
    index: int
    final: bool
    data: bytes


class Refused(msgspec.Struct, frozen=True, array_like=True, tag=37):
    """Guarantee by the owner that this request did not run and never will."""

    flow_id: int
    binding: int
    seq: int
    reason: str
    retry_after_ms: int


class Outcome(msgspec.Struct, frozen=True, array_like=True, tag=38):
    """Notice that the request was sent to a target and may or may not have run."""

    flow_id: int
    binding: int
    seq: int
    reason: str
    retry_after_ms: int


class Unreachable(msgspec.Struct, frozen=True, array_like=True, tag=39):
    """Notice that a relay cannot reach the owner; the request may have run."""

    flow_id: int
    binding: int
    seq: int
    retry_after_ms: int


class Reissued(msgspec.Struct, frozen=True, array_like=True, tag=40):
    """A new token for an established flow.

    Attributes
    ----------
    flow_id : int
        Number of the flow, the same for all its tokens.
    old_binding : int
        Binding of the token that the caller used.
    token : bytes
        New token.
    binding : int
        Binding of the new token.
    continues : bool
        True if the new owner holds the replay window of ``old_binding``, so that
        unanswered requests continue.  False after the loss of the owner, when
        unanswered non-idempotent requests have an unknown outcome.
    renew_after_s : float
        Time after which to request the next token, in seconds.
    """

    flow_id: int
    old_binding: int
    token: bytes
    binding: int
    continues: bool
    renew_after_s: float


class RequestHead(msgspec.Struct, frozen=True, array_like=True):
    """Request as the target receives it.

    Attributes
    ----------
    method : str
        HTTP method.
    path : str
        Path with query.
    headers : list of tuple of str
        Headers, in order.
    body : bytes
        Body, empty if there is none.
    stream : bool
        Whether the answer is an event stream that can be resumed after an event id.
    """

    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    stream: bool = False


class AnswerHead(msgspec.Struct, frozen=True, array_like=True):
    """Status and headers of an answer."""

    status: int
    headers: list[tuple[str, str]]


CallerPacket = Open | RequestPart | Acknowledge | Cancel | Renew | FlowClosed
InstancePacket = (
    Opened
    | OpenRefused
    | Accepted
    | RequestProgress
    | AnswerPart
    | Refused
    | Outcome
    | Unreachable
    | Reissued
)

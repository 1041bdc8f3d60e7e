"""State of the flow model: instances, network, targets and one caller."""

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from endivepick.core.actions import RequestId
from endivepick.core.flow_table import Identity
from endivepick.core.messages import InstancePacket, RequestHead, RequestPart
from endivepick.core.packet_codec import encode_packet, encode_struct
from endivepick.model._environment import Placement
from endivepick.model._events import ToPeer
from endivepick.model._flow_node import Parts

__all__ = ["Attempt", "Bounds", "Caller", "CallerRules", "Outcome", "World", "request"]

DEADLINE_MS = 30_000


class Outcome(Enum):
    """What the caller library told its program about the request."""

    WAITING = "waiting"
    ANSWERED = "answered"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class CallerRules:
    """Rules of the caller library; a mutation breaks one.

    Attributes
    ----------
    resends_non_idempotent : bool
        It sends a non-idempotent request again under a re-issued binding.
    believes_last_refusal : bool
        It reports "not run" although an earlier attempt may have run.
    """

    resends_non_idempotent: bool = False
    believes_last_refusal: bool = False


@dataclass(frozen=True)
class Bounds:
    """How much may happen in one run of the flow model.

    Attributes
    ----------
    names : tuple of str
        Instances; the first one opens the flow.
    idempotent, stream : bool
        Kind of the one request.
    crashes : int
        Crashes of instances.
    restarts : int
        Starts of an instance that crashed or left, with a new incarnation.
    reissues : int
        Tokens with a new binding.
    attempts : int
        Attempts at targets.
    new_numbers : int
        Further numbers that the program may use after "not run".
    stops : tuple of str
        Instances that are stopped as planned, at any moment.
    in_turn : bool
        The successor is always the next instance, to keep a chain of planned
        stops within bounds.
    placements : tuple of Placement
        What a dispatcher may do, beside starting a request.
    breaks : bool
        Attempts may be shed or break, and not only be answered.
    gives_up : bool
        A giver may believe that its successor died, rightly or not.
    time_up : bool
        A planned stop may come to its time limit while a request runs.
    forgets : bool
        Flows that were closed or never used may be forgotten.
    closes : bool
        The caller may close the flow, before or after its request has ended.
    next_request : bool
        After the loss of the owner the program sends another request.
    acknowledges : bool
        The caller acknowledges the end, after which the owner forgets it.
    renews : bool
        The caller hears of new tokens of the same binding.
    cancels : bool
        The caller may give up.
    """

    names: tuple[str, ...] = ("a", "b", "c")
    idempotent: bool = False
    stream: bool = False
    crashes: int = 0
    restarts: int = 0
    reissues: int = 0
    attempts: int = 1
    new_numbers: int = 0
    stops: tuple[str, ...] = ()
    in_turn: bool = False
    placements: tuple[Placement, ...] = (Placement.QUEUE, Placement.REFUSE)
    breaks: bool = True
    gives_up: bool = True
    time_up: bool = False
    forgets: bool = False
    closes: bool = False
    next_request: bool = False
    acknowledges: bool = False
    renews: bool = True
    cancels: bool = False
    parts: Parts = Parts()
    caller: CallerRules = CallerRules()


class Attempt(NamedTuple):
    """A request on its way to a target, or there.

    Attributes
    ----------
    sender : Identity
        Instance that sent it.
    request_id : tuple of int
        Binding, number and submission.
    number : int
        Number of the attempt.
    ran : bool
        The target has run it.
    open : bool
        The sender still waits for its end.
    """

    sender: Identity
    request_id: RequestId
    number: int
    ran: bool
    open: bool


class Caller(NamedTuple):
    """The caller library's view of its one request.

    ``next_seq`` is the number of another request, sent after the first one ended,
    or 0.
    """

    token: bytes
    binding: int
    seq: int
    outcome: Outcome
    may_have_run: bool
    new_numbers: int
    next_seq: int = 0


class Left(NamedTuple):
    """What the bounds still allow."""

    crashes: int
    restarts: int
    reissues: int
    attempts: int


class World(NamedTuple):
    """One state of the flow model.

    Messages are never taken out of the network: any of them may arrive late, more
    than once, in any order or not at all.

    Attributes
    ----------
    nodes : tuple of int or None
        State number of each instance; None while it is down.
    incarnations : tuple of int
        Last incarnation of each instance.
    packets : frozenset of bytes
        Datagrams that the caller sent.
    told : frozenset
        What instances sent to the caller.
    peer : frozenset
        Hand-over messages with their senders.
    attempts : frozenset of Attempt
        What is on its way to targets.
    ran : frozenset
        Requests, by binding and number, that a target ran at least once.
    runs : int
        How often targets ran the one request, under whatever number; 2 also if
        another request ran twice.
    caller : Caller
        The caller.
    heirs : frozenset
        Pairs of an incarnation and its successor, as peers can hear it.
    cut : bool
        A planned stop has cut a request in progress.
    left : Left
        What the bounds still allow.
    """

    nodes: tuple[int | None, ...]
    incarnations: tuple[int, ...]
    packets: frozenset[bytes]
    told: frozenset[InstancePacket]
    peer: frozenset[tuple[Identity, ToPeer]]
    attempts: frozenset[Attempt]
    ran: frozenset[tuple[int, int]]
    runs: int
    caller: Caller
    heirs: frozenset[tuple[Identity, Identity]]
    cut: bool
    left: Left


def request(token: bytes, seq: int, bounds: Bounds) -> bytes:
    """Build the datagram of the one request."""
    head = RequestHead("POST", "/", [], b"", bounds.stream)
    data = encode_struct(head)
    return encode_packet(
        RequestPart(token, seq, 0, 1, bounds.idempotent, DEADLINE_MS, data)
    )

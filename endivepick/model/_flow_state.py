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
    """Outcome of the request that the caller library reported to its program."""

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
        The caller resends a non-idempotent request under a re-issued binding.
    trusts_last_refusal : bool
        The caller reports "not run" although an earlier attempt may have run.
    """

    resends_non_idempotent: bool = False
    trusts_last_refusal: bool = False


@dataclass(frozen=True)
class Bounds:
    """Limits on the events in one run of the flow model.

    Attributes
    ----------
    names : tuple of str
        Names of the instances; the first one opens the flow.
    idempotent, stream : bool
        Kind of the request.
    crashes : int
        Maximum number of instance crashes.
    restarts : int
        Maximum number of restarts of an instance that crashed or left; each has a
        new incarnation.
    reissues : int
        Maximum number of tokens with a new binding.
    attempts : int
        Maximum number of attempts at targets.
    new_numbers : int
        Additional request numbers that the program may use after "not run".
    stops : tuple of str
        Instances with a planned stop, which may begin at any time.
    fixed_successor : bool
        The successor is always the next instance, which keeps a chain of planned
        stops small enough to check.
    placements : tuple of Placement
        Decisions of a dispatcher other than starting a request.
    attempts_fail : bool
        Attempts may also be shed or break, not only succeed.
    may_declare_dead : bool
        A giver may declare its successor dead, rightly or wrongly.
    may_time_out : bool
        A planned stop may reach its deadline while a request runs.
    expires_flows : bool
        Flows that were closed or never used may expire.
    closes_flow : bool
        The caller may close the flow before or after its request has ended.
    next_request : bool
        The program sends another request after the loss of the owner.
    acknowledges : bool
        The caller acknowledges the end of the answer, after which the owner
        discards it.
    receives_renewals : bool
        The caller receives new tokens of the same binding.
    cancels : bool
        The caller may cancel the request.
    parts : Parts
        Classes that an instance consists of.
    caller : CallerRules
        Rules of the caller library.
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
    fixed_successor: bool = False
    placements: tuple[Placement, ...] = (Placement.QUEUE, Placement.REFUSE)
    attempts_fail: bool = True
    may_declare_dead: bool = True
    may_time_out: bool = False
    expires_flows: bool = False
    closes_flow: bool = False
    next_request: bool = False
    acknowledges: bool = False
    receives_renewals: bool = True
    cancels: bool = False
    parts: Parts = Parts()
    caller: CallerRules = CallerRules()


class Attempt(NamedTuple):
    """Attempt to run a request at a target.

    Attributes
    ----------
    sender : Identity
        Instance that sent the request.
    request_id : tuple of int
        Binding, request number and submission.
    number : int
        Number of the attempt.
    ran : bool
        Whether the target has run the request.
    open : bool
        Whether the sender still waits for the result.
    """

    sender: Identity
    request_id: RequestId
    number: int
    ran: bool
    open: bool


class Caller(NamedTuple):
    """State of the caller library for its request.

    ``next_seq`` is the number of a second request, sent after the first one ended,
    or 0 if there is none.
    """

    token: bytes
    binding: int
    seq: int
    outcome: Outcome
    may_have_run: bool
    new_numbers: int
    next_seq: int = 0


class Remaining(NamedTuple):
    """Events that the bounds still allow."""

    crashes: int
    restarts: int
    reissues: int
    attempts: int


class World(NamedTuple):
    """One state of the flow model.

    Messages are never removed from the network: each may be delayed, duplicated,
    reordered or lost.

    Attributes
    ----------
    nodes : tuple of int or None
        State number of each instance; None while it is down.
    incarnations : tuple of int
        Latest incarnation of each instance.
    packets : frozenset of bytes
        Datagrams sent by the caller.
    caller_packets : frozenset
        Packets that instances sent to the caller.
    handover_messages : frozenset
        Hand-over messages with their senders.
    attempts : frozenset of Attempt
        Attempts that are open or have not run yet.
    ran : frozenset
        Requests, by binding and number, that a target ran at least once.
    runs : int
        Number of runs of the request under any number, at most 2; also 2 if
        another request ran twice.
    caller : Caller
        State of the caller.
    successions : frozenset
        Pairs of an incarnation and its successor, as announced to peers.
    stop_cut_request : bool
        Whether a planned stop has cut a request in progress.
    remaining : Remaining
        Events that the bounds still allow.
    """

    nodes: tuple[int | None, ...]
    incarnations: tuple[int, ...]
    packets: frozenset[bytes]
    caller_packets: frozenset[InstancePacket]
    handover_messages: frozenset[tuple[Identity, ToPeer]]
    attempts: frozenset[Attempt]
    ran: frozenset[tuple[int, int]]
    runs: int
    caller: Caller
    successions: frozenset[tuple[Identity, Identity]]
    stop_cut_request: bool
    remaining: Remaining


def request(token: bytes, seq: int, bounds: Bounds) -> bytes:
    """Build the datagram of a request."""
    head = RequestHead("POST", "/", [], b"", bounds.stream)
    data = encode_struct(head)
    return encode_packet(
        RequestPart(token, seq, 0, 1, bounds.idempotent, DEADLINE_MS, data)
    )

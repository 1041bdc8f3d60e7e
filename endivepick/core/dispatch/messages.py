"""Events that a dispatcher takes and decisions that it returns."""

from collections.abc import Hashable
from dataclasses import dataclass, field
from enum import Enum

from endivepick.core.dispatch.flow_activity import FlowActivity

__all__ = [
    "CancelRunning",
    "CostClass",
    "Decision",
    "Fail",
    "FailReason",
    "FinishKind",
    "ProbeFailed",
    "ProbeOutcome",
    "ProbeResult",
    "Queued",
    "RefusalReason",
    "Refuse",
    "Repin",
    "RequestIntent",
    "Start",
    "TargetHealth",
]


class CostClass(Enum):
    """How long a request is expected to hold its slot."""

    SHORT = "short"
    LONG = "long"


class FinishKind(Enum):
    """How one attempt at a target ended."""

    OK = "ok"
    """The whole answer arrived."""
    SHED = "shed"
    """The target answered that it did not run the request."""
    CONNECT_FAILED = "connect_failed"
    """No connection, and no byte of the request was sent."""
    MISDIRECTED = "misdirected"
    """The target is of another service or incarnation and ran nothing."""
    BROKEN = "broken"
    """The connection broke after the send; it may have run."""
    CANCELLED = "cancelled"
    """The caller gave up; nobody waits for an outcome."""
    LATE = "late"
    """No answer until the deadline; it may have run."""
    EXPIRED = "expired"
    """The target answered that the deadline passed before it ran anything."""


class RefusalReason(Enum):
    """Why a request did not run."""

    DEADLINE_PASSED = "deadline_passed"
    """The deadline had passed before a target could take it."""
    WAIT_TOO_LONG = "wait_too_long"
    """It would have waited beyond its deadline."""
    QUEUE_FULL = "queue_full"
    """As many requests wait as the record allows."""
    INSTANCE_FULL = "instance_full"
    """As many requests wait as the instance allows for all its services."""
    NO_TARGET = "no_target"
    """The record names no target that can take it."""
    TARGETS_SHED = "targets_shed"
    """Targets refused it, and the retry budget is used up."""
    TARGETS_UNREACHABLE = "targets_unreachable"
    """No connection to a target, and the retry budget is used up."""
    CONNECTIONS_FULL = "connections_full"
    """All connections that the record allows are in use."""
    CANCELLED = "cancelled"
    """The caller gave it up before it started."""


class FailReason(Enum):
    """Why the outcome of a request is unknown."""

    BROKEN = "broken"
    """The connection to the target broke after the send."""
    LATE = "late"
    """The target did not answer before the deadline."""
    RETRY_REFUSED = "retry_refused"
    """An earlier attempt may have run and no further one could."""


class TargetHealth(Enum):
    """What the health endpoint of a target says."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True)
class RequestIntent:
    """A request that asks for a target.

    Attributes
    ----------
    request_id : Hashable
        Names the request in all further events and decisions.
    pinned_target : str
        Target of its flow; empty if any target may run it.
    deadline_at_s : float
        Time after which nobody waits for the answer, in seconds.
    idempotent : bool
        Whether it may run more than once.
    stream : bool
        It holds a connection of the target and no slot.
    established : bool
        Its flow has had a request before.
    cost_class : CostClass
        Expected cost.
    movable : bool
        Its flow has no other request in progress and so may change its target.
        A flow whose target leaves is moved in any case.
    may_have_run : bool
        An attempt before this submission may have run: it is never refused as
        not run.
    activity : FlowActivity
        Activity of its flow, kept by the flow's holder.
    """

    request_id: Hashable
    pinned_target: str
    deadline_at_s: float
    idempotent: bool
    stream: bool = False
    established: bool = True
    cost_class: CostClass = CostClass.SHORT
    movable: bool = True
    may_have_run: bool = False
    activity: FlowActivity = field(default_factory=FlowActivity, repr=False)


@dataclass(frozen=True)
class ProbeResult:
    """What a target said about itself.

    Attributes
    ----------
    state : TargetHealth
        State from its health endpoint.
    service : str
        Service that it serves.
    incarnation : int
        Its incarnation.
    in_progress : int
        Requests that it runs.
    waiting : int
        Requests that wait at the target.
    slots : int
        Slots that it reports.
    age_ms : int
        Age of the load figures, in milliseconds.
    """

    state: TargetHealth
    service: str
    incarnation: int
    in_progress: int = 0
    waiting: int = 0
    slots: int = 0
    age_ms: int = 0


@dataclass(frozen=True)
class ProbeFailed:
    """A probe got no proper answer."""


ProbeOutcome = ProbeResult | ProbeFailed


@dataclass(frozen=True)
class Start:
    """Send the request to this target now.

    Attributes
    ----------
    request_id : Hashable
        The request.
    target : str
        Name of the target; its flow is pinned to it from now on.
    target_incarnation : int
        Incarnation to name in the request.
    address : str
        ``host:port``.
    timeout_s : float
        Time left until the deadline, in seconds.
    attempt : int
        Number of this attempt, from 1.
    """

    request_id: Hashable
    target: str
    target_incarnation: int
    address: str
    timeout_s: float
    attempt: int = 1


@dataclass(frozen=True)
class Queued:
    """The request waits; a later decision ends its wait."""

    request_id: Hashable


@dataclass(frozen=True)
class Refuse:
    """The request did not run and will not; come back after a while."""

    request_id: Hashable
    reason: RefusalReason
    retry_after_ms: int


@dataclass(frozen=True)
class Fail:
    """Nobody knows whether the request ran."""

    request_id: Hashable
    reason: FailReason
    retry_after_ms: int


@dataclass(frozen=True)
class Repin:
    """The request's flow moves; the ``Start`` that follows names the target too."""

    request_id: Hashable
    old_target: str
    new_target: str


@dataclass(frozen=True)
class CancelRunning:
    """Cancel the request at its target, then report ``CANCELLED``."""

    request_id: Hashable
    target: str
    address: str


Decision = Start | Queued | Refuse | Fail | Repin | CancelRunning

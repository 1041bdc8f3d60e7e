"""Events that a dispatcher processes and decisions that it returns."""

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
    """Expected service time class of a request."""

    SHORT = "short"
    LONG = "long"


class FinishKind(Enum):
    """Outcome of one attempt at a target."""

    OK = "ok"
    """The complete answer arrived."""
    SHED = "shed"
    """The target shed the request and reported that it did not run it."""
    CONNECT_FAILED = "connect_failed"
    """The connection failed before any byte of the request was sent."""
    MISDIRECTED = "misdirected"
    """The target belongs to another service or incarnation and did not run it."""
    BROKEN = "broken"
    """The connection broke after the request was sent; it may have run."""
    CANCELLED = "cancelled"
    """The caller cancelled the request and no longer needs an outcome."""
    LATE = "late"
    """No answer arrived before the deadline; it may have run."""
    EXPIRED = "expired"
    """The target reported that the deadline passed before it ran the request."""


class RefusalReason(Enum):
    """Reason why a request did not run."""

    DEADLINE_PASSED = "deadline_passed"
    """The deadline passed before a target could run it, or would pass while it runs."""
    WAIT_TOO_LONG = "wait_too_long"
    """Its predicted completion time is after its deadline."""
    QUEUE_FULL = "queue_full"
    """The queue has reached the limit of the service record."""
    INSTANCE_FULL = "instance_full"
    """The limit on waiting requests of all services of the instance is reached."""
    NO_TARGET = "no_target"
    """The service record has no target that can run it."""
    TARGETS_SHED = "targets_shed"
    """Targets shed it, and its attempts or the retry budget are exhausted."""
    TARGETS_UNREACHABLE = "targets_unreachable"
    """Connections failed, and its attempts or the retry budget are exhausted."""
    CONNECTIONS_FULL = "connections_full"
    """All connections that the service record permits are in use."""
    CANCELLED = "cancelled"
    """The caller cancelled it before it started."""


class FailReason(Enum):
    """Reason why the outcome of a request is unknown."""

    BROKEN = "broken"
    """The connection to the target broke after the request was sent."""
    LATE = "late"
    """The target did not answer before the deadline."""
    RETRY_REFUSED = "retry_refused"
    """An earlier attempt may have run and no further attempt was possible."""


class TargetHealth(Enum):
    """State that the health endpoint of a target reports."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True)
class RequestIntent:
    """A request to be dispatched to a target.

    Attributes
    ----------
    request_id : Hashable
        Identifies the request in all later events and decisions.
    pinned_target : str
        Target that its flow is pinned to; empty if any target may run it.
    deadline_at_s : float
        Time after which the answer is no longer needed, in seconds.
    idempotent : bool
        Whether it may run more than once.
    stream : bool
        Whether it is an event stream, which uses a connection but no slot.
    established : bool
        Whether its flow has sent a request before.
    cost_class : CostClass
        Expected service time class.
    movable : bool
        Whether its flow may change its target, having no other request in
        progress.  A flow whose target leaves is moved in any case.
    may_have_run : bool
        Whether an attempt before this submission may have run.  If so, the request
        is never reported as not run.
    activity : FlowActivity
        Request rate of its flow, stored by the holder of the flow.
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
    """Health and load report of a target.

    Attributes
    ----------
    state : TargetHealth
        State reported by its health endpoint.
    service : str
        Service that it belongs to.
    incarnation : int
        Its incarnation.
    in_progress : int
        Number of requests that it is running.
    waiting : int
        Number of requests that wait at the target.
    slots : int
        Number of slots that it reports.
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
    """A probe that received no valid answer."""


ProbeOutcome = ProbeResult | ProbeFailed


@dataclass(frozen=True)
class Start:
    """Decision to send a request to a target now.

    Attributes
    ----------
    request_id : Hashable
        Id of the request.
    target : str
        Name of the target; the flow of the request is pinned to it from now on.
    target_incarnation : int
        Incarnation of the target, to be sent with the request.
    address : str
        Address of the target as ``host:port``.
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
    """The request was queued; a later decision starts or refuses it."""

    request_id: Hashable


@dataclass(frozen=True)
class Refuse:
    """The request did not run and will not; the caller may retry after a delay."""

    request_id: Hashable
    reason: RefusalReason
    retry_after_ms: int


@dataclass(frozen=True)
class Fail:
    """It is unknown whether the request ran."""

    request_id: Hashable
    reason: FailReason
    retry_after_ms: int


@dataclass(frozen=True)
class Repin:
    """The flow of a request moves to the target of the ``Start`` that follows."""

    request_id: Hashable
    old_target: str
    new_target: str


@dataclass(frozen=True)
class CancelRunning:
    """Cancel the request at its target, then report ``FinishKind.CANCELLED``."""

    request_id: Hashable
    target: str
    address: str


Decision = Start | Queued | Refuse | Fail | Repin | CancelRunning

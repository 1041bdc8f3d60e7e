"""What the forwarding core asks for, and what it decided, as typed messages."""

from enum import Enum

from msgspec import Struct

from endivepick.forwarding.belief import BeliefChange, TargetBelief
from endivepick.forwarding.fault_confirmation import ConfirmedFault
from endivepick.forwarding.model import FlowKey, Target

__all__ = [
    "Drop",
    "DropReason",
    "Effect",
    "FaultConfirmed",
    "Forward",
    "Hold",
    "DecisionRecord",
    "ProbeOutcome",
    "ProbeResult",
    "ProbeTarget",
    "ReadRegistry",
    "Release",
    "Reset",
    "ResetReason",
    "Verdict",
]


class ResetReason(Enum):
    """Why a flow is reset."""

    NO_ROUTE = "no_route"
    ROUTE_REMOVED = "route_removed"
    NO_TARGET = "no_target"
    TARGET_DEAD = "target_dead"
    TARGET_SILENT = "target_silent"
    TARGET_GONE = "target_gone"
    TARGET_RESTARTED = "target_restarted"
    TARGET_IMPAIRED = "target_impaired"


class DropReason(Enum):
    """Why a packet goes nowhere."""

    NOT_READY = "not_ready"
    NO_COOKIE = "no_cookie"
    UNKNOWN_COOKIE = "unknown_cookie"
    MALFORMED = "malformed"


class Forward(Struct, frozen=True):
    """Send the packet to a target, with the target's cookie."""

    belief: TargetBelief


class Reset(Struct, frozen=True):
    """Tell the caller that the flow is over.

    Attributes
    ----------
    flow : FlowKey
        The flow.
    sequence : int
        Sequence number that the caller takes.
    reason : ResetReason
        Why.
    target : str
        Its target, "" if it has none.
    """

    flow: FlowKey
    sequence: int
    reason: ResetReason
    target: str = ""


class Drop(Struct, frozen=True):
    """Forget the packet."""

    reason: DropReason


class Hold(Struct, frozen=True):
    """The packet is kept until more is known."""


Verdict = Forward | Reset | Drop | Hold


class ProbeTarget(Struct, frozen=True):
    """Find out whether a target lives.

    Attributes
    ----------
    target : Target
        The target.
    path : str
        What it is asked for.
    control : Target or None
        Another target that made progress of late.  While it accepts connections, it is
        not this instance's link that keeps answers back.
    """

    target: Target
    path: str
    control: Target | None = None


class ReadRegistry(Struct, frozen=True):
    """Read the registry now.

    A packet names a target that is not known, or entries have to be given up that
    might have returned.
    """


class Release(Struct, frozen=True):
    """Carry out the verdict about a packet that was held."""

    data: bytes
    verdict: Verdict


class DecisionRecord(Struct, frozen=True):
    """A decision about a flow, for the log.

    Attributes
    ----------
    name : str
        Stable name of the event.
    flow : FlowKey
        The flow.
    target : str
        Target concerned, "" if none.
    reason : str
        Outcome in a word.
    candidates, load : int, float
        What a placement chose from, and the load of the chosen one.
    copy : int
        Copies of the opening packet before this one.
    version : int
        Version of the configuration that decided.
    age_s : float
        Age of the belief that decided, in seconds.
    """

    name: str
    flow: FlowKey
    target: str
    reason: str
    candidates: int = 0
    load: float = 0.0
    copy: int = 0
    version: int = 0
    age_s: float = 0.0


class FaultConfirmed(Struct, frozen=True):
    """A target's fault is confirmed well enough to reset flows, for the log.

    Attributes
    ----------
    target, service : str
        The target and its service.
    fault : ConfirmedFault
        What is confirmed.
    reason : str
        What was seen of its requests, here and in the zone.
    told_before_s : float or None
        How old the zone's word is, in seconds; None if nothing was told.
    """

    target: str
    service: str
    fault: ConfirmedFault
    reason: str
    told_before_s: float | None


Effect = (
    ProbeTarget
    | ReadRegistry
    | Release
    | Reset
    | DecisionRecord
    | BeliefChange
    | FaultConfirmed
)


class ProbeOutcome(Enum):
    """How a probe ended."""

    ALIVE = "alive"
    REFUSED = "refused"
    REPLACED = "replaced"
    SILENT = "silent"


class ProbeResult(Struct, frozen=True):
    """Outcome of a probe of a target.

    Attributes
    ----------
    target : str
        Name of the target.
    outcome : ProbeOutcome
        How it ended.
    probed_born_ms : int
        Start of the incarnation that was to be probed, in Unix milliseconds; 0 if its
        entry does not say.
    shown_born_ms : int
        Start that the answer shows, in Unix milliseconds; 0 if it does not say.
    """

    target: str
    outcome: ProbeOutcome
    probed_born_ms: int = 0
    shown_born_ms: int = 0

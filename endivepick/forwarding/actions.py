"""Verdicts and effects of the forwarding core, as typed messages."""

from enum import Enum

from msgspec import Struct

from endivepick.forwarding.admission.decisions import Rejected
from endivepick.forwarding.admission.overload_state import OverloadState
from endivepick.forwarding.belief import BeliefChange, TargetBelief
from endivepick.forwarding.fault_confirmation import ConfirmedFault
from endivepick.forwarding.model import FlowKey, Target

__all__ = [
    "Decision",
    "Drop",
    "DropReason",
    "Effect",
    "FaultConfirmed",
    "Forward",
    "Hold",
    "DecisionRecord",
    "OpeningRejected",
    "OverloadChanged",
    "ProbeCause",
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
    ZONES_EVACUATED = "zones_evacuated"
    TARGETS_COLD = "targets_cold"
    OVERLOADED = "overloaded"
    TARGET_DEAD = "target_dead"
    TARGET_SILENT = "target_silent"
    TARGET_GONE = "target_gone"
    TARGET_RESTARTED = "target_restarted"
    TARGET_IMPAIRED = "target_impaired"


class DropReason(Enum):
    """Why a packet is dropped."""

    NOT_READY = "not_ready"
    NO_COOKIE = "no_cookie"
    UNKNOWN_COOKIE = "unknown_cookie"
    MALFORMED = "malformed"


class Forward(Struct, frozen=True):
    """Send the packet to a target, with the target's cookie."""

    belief: TargetBelief


class Reset(Struct, frozen=True):
    """Send the caller a reset for the flow.

    Attributes
    ----------
    flow : FlowKey
        The flow.
    sequence : int
        Sequence number that the caller accepts.
    reason : ResetReason
        Why the flow is reset.
    target : str
        Target of the flow, "" if it has none.
    quiet_s : float or None
        Time since the flow's last packet here, in seconds; None if the reset answers a
        packet.
    evidence_age_s : float or None
        Time since the evidence against the target was obtained, in seconds; None if the
        reset answers a packet.
    """

    flow: FlowKey
    sequence: int
    reason: ResetReason
    target: str = ""
    quiet_s: float | None = None
    evidence_age_s: float | None = None


class Drop(Struct, frozen=True):
    """Drop the packet."""

    reason: DropReason


class Hold(Struct, frozen=True):
    """Hold the packet until its target or the routes are known."""


Verdict = Forward | Reset | Drop | Hold


class ProbeCause(Enum):
    """Why a target is probed.

    Attributes
    ----------
    CALLERS_REPEAT
        A caller retransmits data that the target should have acknowledged.
    OPENING_UNANSWERED
        No packet has followed an opening.
    ENTRY_REMOVED
        Its registry entry was removed or cannot be read any more.
    PEER_HINT
        A peer found it dead.
    ZONE_REPORT
        Another instance of the zone found it silent.
    SILENT_NEIGHBOUR
        Another target of its zone is silent.
    CONFIRMATION
        It left the probe before unanswered.
    RETRY
        It was found silent or dead before.
    """

    CALLERS_REPEAT = "callers_repeat"
    OPENING_UNANSWERED = "opening_unanswered"
    ENTRY_REMOVED = "entry_removed"
    PEER_HINT = "peer_hint"
    ZONE_REPORT = "zone_report"
    SILENT_NEIGHBOUR = "silent_neighbour"
    CONFIRMATION = "confirmation"
    RETRY = "retry"


class ProbeTarget(Struct, frozen=True):
    """Probe a target to find out whether it is alive.

    Attributes
    ----------
    target : Target
        The target.
    path : str
        Path of the health check.
    control : Target or None
        Another target that made progress recently.  If it answers (accepts or refuses
        a connection), the silence of the probed target is not caused by this instance's
        own link.
    cause : ProbeCause
        Why it is probed.
    spread_s : float
        The probe begins at a random time within this, in seconds.
    """

    target: Target
    path: str
    control: Target | None = None
    cause: ProbeCause = ProbeCause.RETRY
    spread_s: float = 0.0


class ReadRegistry(Struct, frozen=True):
    """Read the registry now.

    A packet names an unknown target, or lapsed entries are about to be given up that
    may have returned.
    """


class Release(Struct, frozen=True):
    """Carry out the verdict on a held packet."""

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
        Short reason for the decision.
    candidates, load : int, float
        Number of candidates of a placement, and the load of the chosen target.
    copy : int
        Number of earlier copies of the opening packet.
    version : int
        Version of the configuration that the decision is based on.
    age_s : float
        Age of the information that the decision is based on, in seconds.
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
        The confirmed fault.
    reason : str
        Request counts that confirmed it, of this instance and of the zone.
    told_before_s : float or None
        Age of the zone's report, in seconds; None if there is none.
    overdue_routes : str
        Routes of the flows with overdue requests that this instance counted, with the
        number of these flows.
    """

    target: str
    service: str
    fault: ConfirmedFault
    reason: str
    told_before_s: float | None
    overdue_routes: str = ""


class OpeningRejected(Struct, frozen=True):
    """An opening is rejected and its flow reset, for the log.

    Attributes
    ----------
    flow : FlowKey
        The flow.
    decision : Rejected
        Why it is rejected.
    version : int
        Version of the configuration that gives the priority.
    """

    flow: FlowKey
    decision: Rejected
    version: int


class OverloadChanged(Struct, frozen=True):
    """The overload state of a service has changed, for the log.

    Attributes
    ----------
    service : str
        The service.
    state : OverloadState
        Its new state.
    short_share : float
        Share of short answers among all answers of the service.
    busy_per_slot : float
        Requests in progress per slot of the service.
    age_s : float
        Time since these were known, in seconds.
    """

    service: str
    state: OverloadState
    short_share: float
    busy_per_slot: float
    age_s: float


Effect = (
    ProbeTarget
    | ReadRegistry
    | Release
    | Reset
    | DecisionRecord
    | BeliefChange
    | FaultConfirmed
    | OpeningRejected
    | OverloadChanged
)


class Decision(Struct, frozen=True):
    """What to do with a packet, and what follows from it.

    Attributes
    ----------
    verdict : Verdict
        What to do with the packet.
    effects : list of Effect
        What to carry out besides.
    """

    verdict: Verdict
    effects: list[Effect]


class ProbeOutcome(Enum):
    """Outcome of a probe.

    Attributes
    ----------
    ALIVE
        The target accepted the connection.
    REFUSED
        Its address refused the connection.
    REPLACED
        Another target answered at its address.
    SILENT
        Nothing answered in time.
    NOT_MADE
        This instance lacked the resources for a connection, such as descriptors, which
        says nothing of the target.
    """

    ALIVE = "alive"
    REFUSED = "refused"
    REPLACED = "replaced"
    SILENT = "silent"
    NOT_MADE = "not_made"


class ProbeResult(Struct, frozen=True):
    """Result of a probe of a target.

    Attributes
    ----------
    target : str
        Name of the target.
    outcome : ProbeOutcome
        Outcome of the probe.
    probed_born_ms : int
        Start time of the incarnation to be probed, in Unix milliseconds; 0 if its
        entry has none.
    shown_born_ms : int
        Start time in the answer, in Unix milliseconds; 0 if the answer has none.
    cause : ProbeCause
        Why it was probed.
    took_s : float
        Duration of the probe, in seconds.
    compared : bool
        Whether a control target was contacted in parallel, if it was silent at first.
    """

    target: str
    outcome: ProbeOutcome
    probed_born_ms: int = 0
    shown_born_ms: int = 0
    cause: ProbeCause = ProbeCause.RETRY
    took_s: float = 0.0
    compared: bool = False

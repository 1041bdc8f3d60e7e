"""Bounds and states of the evidence model."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from endivepick.forwarding import ForwardingCore, ProbeOutcome, ResetReason

__all__ = [
    "Breach",
    "Condition",
    "EvidenceBounds",
    "EvidenceWorld",
    "FlowProgress",
    "FlowReset",
]


class Condition(Enum):
    """Condition of the target."""

    SERVES = "serves"
    SILENT = "silent"
    FINISHES = "finishes"
    ENDED = "ended"


class Breach(Enum):
    """Step of the instance that a rule forbids.

    Attributes
    ----------
    RESET_IN_STOP
        A stopping instance reset a flow other than in answer to a packet of it.
    PROBE_IN_STOP
        A stopping instance started a probe for what becomes of its flows.
    PROGRESS_IGNORED
        A silent probe changed the reachability of a target that had made progress
        since the probe began.
    """

    RESET_IN_STOP = "reset in stop"
    PROBE_IN_STOP = "probe in stop"
    PROGRESS_IGNORED = "progress ignored"


@dataclass(frozen=True)
class EvidenceBounds:
    """Limits on the events in one run of the evidence model.

    Attributes
    ----------
    steps : int
        Number of time steps.
    requests : int
        Number of requests of each active flow.
    active_flows : int
        Number of flows with requests; the other flow is open and idle.
    with_alternative : bool
        Another target of the service accepts flows.
    removal : bool
        The entry of the target may be removed.
    drains : bool
        The target drains and ends as planned.
    hints : int
        Number of reports of peers that the target does not answer, true or not; each
        lets the instance probe it.
    lost_probes : int
        Number of probes of a target that serves which may be reported as silent.  The
        detector counts a caller's retransmission and a silent probe as two signs of a
        failure, so a lost packet of a caller and a lost probe together may reset a flow
        of a target that serves.  If probes may be lost, the model therefore presumes
        that packets of callers are not: callers retransmit only if the target did not
        serve at the time of the request or does not at that of its retransmission.
    stops : bool
        The instance may begin a planned stop, after which packets of callers reach the
        target through this instance or through another one.
    mutate : callable
        Modifies the core before the run; a mutation breaks one of its rules.
    """

    steps: int = 2
    requests: int = 1
    active_flows: int = 2
    with_alternative: bool = True
    removal: bool = False
    drains: bool = False
    hints: int = 0
    lost_probes: int = 0
    stops: bool = False
    mutate: Callable[[ForwardingCore], object] = lambda core: None


class FlowProgress(NamedTuple):
    """Progress of the requests on a flow, at the caller and at the target."""

    requests: int = 0
    answered: int = 0
    running: bool = False


class FlowReset(NamedTuple):
    """Reset of a flow, and whether a request may be running on it."""

    flow: int
    reason: ResetReason
    running: bool


class EvidenceWorld(NamedTuple):
    """One state of the evidence model.

    Attributes
    ----------
    core : int
        State number of the instance.
    progress : tuple of FlowProgress
        Progress of each flow.
    step : int
        Number of time steps so far.
    condition : Condition
        Current condition of the target.
    past_conditions : frozenset of Condition
        All conditions of the target so far.
    removed : bool
        Whether the entry of the target was removed.
    probes : frozenset of ProbeOutcome
        Outcomes that the probes in progress will report unless they are lost.
    resets : frozenset of FlowReset
        Resets so far.
    hints : int
        Number of peers' reports so far.
    lost_probes : int
        Number of lost probes so far.
    stopping : bool
        Whether the instance has begun its planned stop.
    breaches : frozenset of Breach
        Forbidden steps so far.
    """

    core: int
    progress: tuple[FlowProgress, ...]
    step: int = 0
    condition: Condition = Condition.SERVES
    past_conditions: frozenset[Condition] = frozenset({Condition.SERVES})
    removed: bool = False
    probes: frozenset[ProbeOutcome] = frozenset()
    resets: frozenset[FlowReset] = frozenset()
    hints: int = 0
    lost_probes: int = 0
    stopping: bool = False
    breaches: frozenset[Breach] = frozenset()

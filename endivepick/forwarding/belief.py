"""Beliefs: the state of a target as known to this instance.

A belief is about one incarnation of a target and has its registry state, reachability
and fitness.  Instances may differ in their beliefs.
"""

from enum import Enum

from msgspec import Struct, field

from endivepick.forwarding._charts import FITNESS, REACHABILITY, REGISTERED_TARGET
from endivepick.forwarding.model import Target
from endivepick.forwarding.request_sums import RequestSums

__all__ = [
    "BeliefChange",
    "Fitness",
    "FitnessEvent",
    "Reachability",
    "ReachabilityEvent",
    "RequestCounts",
    "TargetBelief",
    "TargetEvent",
    "TargetRestart",
    "TargetState",
]


class TargetState(Enum):
    """State of a target by its registry entry.

    Attributes
    ----------
    READY, DRAINING
        Phase in the entry.
    UNREADABLE
        The entry cannot be decoded any more.  It names no usable target, so new flows
        avoid it; the target may be alive, so open flows are kept.
    LAPSED
        The entry was removed while the target was ready; it may return, as after an
        outage of the store.
    GONE
        The target left, or its entry did not return in time.
    """

    READY = "ready"
    DRAINING = "draining"
    UNREADABLE = "unreadable"
    LAPSED = "lapsed"
    GONE = "gone"

    def after(self, event: "TargetEvent") -> "TargetState":
        """Return the state that follows; the same if the chart has no transition."""
        return _TARGET_STATES.get((self, event), self)


class TargetEvent(Enum):
    """Event that changes the state of a target."""

    ENTRY_READY = "entry_ready"
    ENTRY_DRAINING = "entry_draining"
    ENTRY_UNREADABLE = "entry_unreadable"
    ENTRY_REMOVED = "entry_removed"
    DEAD_ENTRY_REMOVED = "dead_entry_removed"
    FOUND_DEAD = "found_dead"
    GRACE_OVER = "grace_over"


class Reachability(Enum):
    """Reachability of a target by packets and probes.

    Attributes
    ----------
    REACHABLE
        No sign of a failure.
    SUSPECT
        Callers retransmit data that it should have acknowledged and a probe is running,
        or it left one probe unanswered.
    SILENT
        It neither accepts nor refuses connections, by two signs: power loss or a
        partition.
    DEAD
        Its address refuses connections or belongs to another incarnation.
    """

    REACHABLE = "reachable"
    SUSPECT = "suspect"
    SILENT = "silent"
    DEAD = "dead"

    def after(self, event: "ReachabilityEvent") -> "Reachability":
        """Return the state that follows; the same if the chart has no transition."""
        return _REACHABILITIES.get((self, event), self)


class ReachabilityEvent(Enum):
    """Event that changes the reachability of a target."""

    CALLERS_REPEAT = "callers_repeat"
    PROGRESS = "progress"
    PROBE_ALIVE = "probe_alive"
    PROBE_SILENT = "probe_silent"
    PROBE_REFUSED = "probe_refused"


class Fitness(Enum):
    """Result of outlier detection for a target.

    An impaired target is ejected, a returning one is on probation; the names of the
    states are those of the state chart, the log and the status.

    Attributes
    ----------
    SOUND
        It serves requests as well as the others of its service.
    IMPAIRED
        Ejected: it fails far more of its requests than the others, and new flows avoid
        it.
    RETURNING
        On probation: it may have recovered, and a small share of new flows tests it.
    """

    SOUND = "sound"
    IMPAIRED = "impaired"
    RETURNING = "returning"

    def after(self, event: "FitnessEvent") -> "Fitness":
        """Return the state that follows; the same if the chart has no transition."""
        return _FITNESSES.get((self, event), self)


class FitnessEvent(Enum):
    """Event that changes the fitness of a target."""

    CONDEMNED = "condemned"
    RESTED = "rested"
    PROVED = "proved"


_FITNESSES = {
    (Fitness(state), FitnessEvent(event)): Fitness(after)
    for (state, event), after in FITNESS.items()
}
_TARGET_STATES = {
    (TargetState(state), TargetEvent(event)): TargetState(after)
    for (state, event), after in REGISTERED_TARGET.items()
}
_REACHABILITIES = {
    (Reachability(state), ReachabilityEvent(event)): Reachability(after)
    for (state, event), after in REACHABILITY.items()
}


class RequestCounts(RequestSums, Struct):
    """Outcomes of recent requests, with exponential decay.

    Attributes
    ----------
    good, failed, poor, late : float
        As in `RequestSums`.
    at_s : float
        Time up to which the decay was applied, in seconds.
    last_failed_s, last_poor_s : float
        When the last request of the kind was counted, in seconds.
    """

    good: float = 0.0
    failed: float = 0.0
    poor: float = 0.0
    late: float = 0.0
    at_s: float = 0.0
    last_failed_s: float = float("-inf")
    last_poor_s: float = float("-inf")

    @property
    def last_bad_s(self) -> float:
        """When the last request failed or had a short answer, in seconds.

        A late request set `last_failed_s` when it became overdue; its count in `failed`
        was taken back when its answer began.
        """
        return max(self.last_failed_s, self.last_poor_s)


class TargetBelief(Struct):
    """State of one incarnation of a target as known to this instance.

    Attributes
    ----------
    target : Target
        Its newest registry entry.
    cookie : int
        Cookie of its flows.
    state : TargetState
        State by its registry entry.
    state_since_s : float
        Start of that state, in seconds of this process's clock.
    reachability : Reachability
        Reachability by packets and probes.
    reachability_since_s : float
        Start of that reachability, in seconds.
    replaced : bool
        Another incarnation answered at its address, so it has ended.
    revision : int
        Revision of the store up to which its entry, or its removal, is known.
    cold_until_s : float
        End of its cold start, in seconds.
    flows : int
        Flows to it that this instance observes.
    busy_flows : int
        Those of them with a request in progress.
    stalled_flows : int
        Those of the busy ones whose request is overdue.
    progress_s : float
        When a caller last acknowledged new data from it, in seconds.
    probed_s : float
        Latest start of the last probe, in seconds.
    probe_ended_s : float
        End of the last probe, in seconds.
    hinted_s : float
        When a peer last reported that it does not answer, in seconds.
    fitness : Fitness
        Result of outlier detection.
    fitness_since_s : float
        Start of that fitness, in seconds.
    requests : RequestCounts
        Outcomes of its requests as observed here.
    """

    target: Target
    cookie: int
    state: TargetState
    state_since_s: float
    reachability: Reachability = Reachability.REACHABLE
    reachability_since_s: float = 0.0
    replaced: bool = False
    revision: int = 0
    cold_until_s: float = 0.0
    flows: int = 0
    busy_flows: int = 0
    stalled_flows: int = 0
    progress_s: float = float("-inf")
    probed_s: float = float("-inf")
    probe_ended_s: float = float("-inf")
    hinted_s: float = float("-inf")
    fitness: Fitness = Fitness.SOUND
    fitness_since_s: float = 0.0
    requests: RequestCounts = field(default_factory=RequestCounts)

    @property
    def name(self) -> str:
        """Name of the target."""
        return self.target.name

    @property
    def degraded_reason(self) -> str:
        """State, reachability or fitness that degrades the target, "" if none does."""
        if self.state is not TargetState.READY:
            return self.state.value
        if self.reachability is not Reachability.REACHABLE:
            return self.reachability.value
        if self.fitness is Fitness.IMPAIRED:
            return self.fitness.value
        return ""

    @property
    def degraded_since_s(self) -> float:
        """Start of the degrading state, reachability or fitness, in seconds."""
        if self.state is not TargetState.READY:
            return self.state_since_s
        if self.reachability is not Reachability.REACHABLE:
            return self.reachability_since_s
        return self.fitness_since_s

    @property
    def takes_flows(self) -> bool:
        """Whether its registry state allows new flows."""
        return self.state in (TargetState.READY, TargetState.LAPSED)


class TargetRestart(Struct, frozen=True):
    """Restart of a target under the same name.

    Attributes
    ----------
    before, after : TargetBelief
        Beliefs about the previous and the new incarnation.
    """

    before: TargetBelief
    after: TargetBelief


class BeliefChange(Struct, frozen=True):
    """Change of a belief about a target, for logs and the timeline.

    Attributes
    ----------
    target : str
        Name of the target.
    service : str
        Service of the target.
    before, after : str
        State, reachability or fitness before and after; "" before the first entry.
    reason : str
        Cause of the change.
    age_s : float
        How long the former belief held, in seconds.
    revision : int
        Revision of the entry on which the change is based.
    """

    target: str
    service: str
    before: str
    after: str
    reason: str
    age_s: float
    revision: int

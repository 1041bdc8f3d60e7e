"""What an instance believes of one target, and since when."""

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
    """What the registry says of a target, with the doubt that an outage adds.

    Attributes
    ----------
    READY, DRAINING
        As the entry says.
    UNREADABLE
        The entry cannot be read any more.  It names no target to use, so no new flow
        goes there; the target may live, so open flows go on.
    LAPSED
        The entry vanished while the target was ready; it may return.
    GONE
        It left, or did not return in time.
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
    """What changes what the registry says of a target."""

    ENTRY_READY = "entry_ready"
    ENTRY_DRAINING = "entry_draining"
    ENTRY_UNREADABLE = "entry_unreadable"
    ENTRY_REMOVED = "entry_removed"
    DEAD_ENTRY_REMOVED = "dead_entry_removed"
    FOUND_DEAD = "found_dead"
    GRACE_OVER = "grace_over"


class Reachability(Enum):
    """What packets and probes say of a target.

    Attributes
    ----------
    REACHABLE
        Nothing speaks against it.
    SUSPECT
        Callers repeat what it should have acknowledged; a probe is under way.
    SILENT
        It accepts no connection, nor refuses any: lost power or a partition.
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
    """What speaks for or against a target."""

    CALLERS_REPEAT = "callers_repeat"
    PROGRESS = "progress"
    PROBE_ALIVE = "probe_alive"
    PROBE_SILENT = "probe_silent"
    PROBE_REFUSED = "probe_refused"


class Fitness(Enum):
    """Whether a target serves the requests that reach it.

    Attributes
    ----------
    SOUND
        As well as the others of its service.
    IMPAIRED
        It fails far more of its requests than the others; new flows pass it over.
    RETURNING
        It may have recovered; a trickle of new flows shows whether it has.
    """

    SOUND = "sound"
    IMPAIRED = "impaired"
    RETURNING = "returning"

    def after(self, event: "FitnessEvent") -> "Fitness":
        """Return the state that follows; the same if the chart has no transition."""
        return _FITNESSES.get((self, event), self)


class FitnessEvent(Enum):
    """What speaks for or against the fitness of a target."""

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
    """What became of requests of late, fading with time.

    Attributes
    ----------
    good, failed, poor, late : float
        As in `RequestSums`.
    at_s : float
        Up to when they have faded, in seconds.
    failed_s, poor_s : float
        When the last one of the kind was noted, in seconds.
    """

    good: float = 0.0
    failed: float = 0.0
    poor: float = 0.0
    late: float = 0.0
    at_s: float = 0.0
    failed_s: float = float("-inf")
    poor_s: float = float("-inf")

    @property
    def bad_s(self) -> float:
        """When the last one failed or was answered poorly, in seconds.

        One that was late had failed before.
        """
        return max(self.failed_s, self.poor_s)


class TargetBelief(Struct):
    """What is believed of one incarnation of a target.

    Attributes
    ----------
    target : Target
        Its newest entry.
    cookie : int
        Cookie of its flows.
    state : TargetState
        What the registry says.
    state_since_s : float
        When that began, in seconds of this process.
    reachability : Reachability
        What packets and probes say.
    reachability_since_s : float
        When that began, in seconds.
    replaced : bool
        Another incarnation answered at its address, so it has ended.
    revision : int
        Revision of the store up to which its entry, or its removal, is known.
    cold_until_s : float
        End of its cold start, in seconds.
    flows : int
        Flows that this instance sees there.
    busy_flows : int
        Those of them with a request in progress.
    progress_s : float
        When a caller last acknowledged something new of it, in seconds.
    probed_s : float
        When the last probe began, in seconds.
    hinted_s : float
        When a peer last said that it does not answer, in seconds.
    fitness : Fitness
        Whether it serves the requests that reach it.
    fitness_since_s : float
        When that began, in seconds.
    requests : RequestCounts
        What became of its requests, as seen here.
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
    progress_s: float = float("-inf")
    probed_s: float = float("-inf")
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
        """What speaks against sending packets there, "" if nothing does."""
        if self.state is not TargetState.READY:
            return self.state.value
        if self.reachability is not Reachability.REACHABLE:
            return self.reachability.value
        if self.fitness is Fitness.IMPAIRED:
            return self.fitness.value
        return ""

    @property
    def degraded_since_s(self) -> float:
        """When the belief behind the doubt began, in seconds."""
        if self.state is not TargetState.READY:
            return self.state_since_s
        if self.reachability is not Reachability.REACHABLE:
            return self.reachability_since_s
        return self.fitness_since_s

    @property
    def takes_flows(self) -> bool:
        """Whether the registry lets it take new flows."""
        return self.state in (TargetState.READY, TargetState.LAPSED)


class TargetRestart(Struct, frozen=True):
    """A target has started again under its name.

    Attributes
    ----------
    before, after : TargetBelief
        What is believed of the incarnation that has ended, and of the new one.
    """

    before: TargetBelief
    after: TargetBelief


class BeliefChange(Struct, frozen=True):
    """A change of what is believed of a target, for logs and the time line.

    Attributes
    ----------
    target : str
        Its name.
    service : str
        Its service.
    before, after : str
        State or reachability before and after; "" before the first entry.
    reason : str
        What changed it.
    age_s : float
        How long the former belief held, in seconds.
    revision : int
        Revision of the entry that it rests on.
    """

    target: str
    service: str
    before: str
    after: str
    reason: str
    age_s: float
    revision: int

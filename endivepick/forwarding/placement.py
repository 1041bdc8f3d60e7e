"""Which target a new flow goes to.

Load pattern: many flows that live long and work seldom, beside flows of one request.
Each instance sees only its own share of both.  Counting flows keeps long ones even;
counting requests in progress keeps short ones from queueing behind each other.

A zone's own targets go first: flows that cross zones break when zones are cut off
from each other.  How much stays in the zone follows from where the slots are, which
all instances know alike, and not from load, which an instance cannot see for targets
that mostly serve other instances.
"""

from collections.abc import Callable, Sequence

from msgspec import Struct

from endivepick.forwarding.belief import Fitness, Reachability, TargetBelief
from endivepick.forwarding.settings import ForwardingSettings

__all__ = ["Candidates", "Placement", "choose_target", "local_share"]

TRICKLE = 0.05
"""Share of new flows that targets are considered for that may have recovered; without
flows of its own, one that has not would get all of them."""


class Candidates(Struct, frozen=True):
    """Targets of a service that the registry lets take new flows, sorted for a zone.

    They are sorted when one of them changes, not for each opening, so that an opening
    costs no more with each target.

    Attributes
    ----------
    every : list of TargetBelief
        All of them.
    own, others : list of TargetBelief
        Those that are reachable and not impaired, in the zone and elsewhere.
    all_slots : int
        Slots of these.
    impaired : list of TargetBelief
        Those that are reachable and impaired.
    returning : bool
        Some of the zone's may have recovered and are on trial.
    """

    every: list[TargetBelief]
    own: list[TargetBelief]
    others: list[TargetBelief]
    all_slots: int
    impaired: list[TargetBelief]
    returning: bool

    @classmethod
    def of_zone(cls, zone: str, beliefs: Sequence[TargetBelief]) -> "Candidates":
        """Sort beliefs of targets for instances of a zone."""
        reachable = [b for b in beliefs if b.reachability is Reachability.REACHABLE]
        fit = [b for b in reachable if b.fitness is not Fitness.IMPAIRED]
        own = [b for b in fit if b.target.zone == zone]
        return cls(
            list(beliefs),
            own,
            [b for b in fit if b.target.zone != zone],
            sum(b.target.slots for b in fit),
            [b for b in reachable if b.fitness is Fitness.IMPAIRED],
            any(b.fitness is Fitness.RETURNING for b in own),
        )

    def without(self, tried: Sequence[str]) -> "Candidates":
        """Return what is left when some targets are not to be chosen again."""
        own = [b for b in self.own if b.name not in tried]
        others = [b for b in self.others if b.name not in tried]
        slots = sum(b.target.slots for b in (*own, *others))
        return Candidates(self.every, own, others, slots, self.impaired, self.returning)

    def without_returning(self) -> "Candidates":
        """Return what is left when targets that return have had their trickle."""
        own = [b for b in self.own if b.fitness is Fitness.SOUND]
        if not own:
            return self
        slots = sum(b.target.slots for b in (*own, *self.others))
        return Candidates(self.every, own, self.others, slots, self.impaired, False)


class Placement(Struct, frozen=True):
    """The target of a new flow, and what decided.

    Attributes
    ----------
    belief : TargetBelief
        The target.
    candidates : int
        Targets that it was chosen from.
    load : float
        Its load per slot at that time.
    reason : str
        ``"zone"``, ``"spill"``, ``"busy"``, ``"any"``, ``"retried"``,
        ``"impaired"`` or ``"doubtful"``.
    """

    belief: TargetBelief
    candidates: int
    load: float
    reason: str


def choose_target(
    settings: ForwardingSettings,
    candidates: Candidates,
    tried: Sequence[str],
    random_share: Callable[[], float],
    now_s: float,
    repeatable: bool = True,
) -> Placement | None:
    """Choose the target of a new flow.

    Parameters
    ----------
    settings : ForwardingSettings
        Zone and weights.
    candidates : Candidates
        Targets that the registry lets take new flows, sorted for the zone.
    tried : sequence of str
        Targets that got earlier copies of the opening packet.
    random_share : callable
        Returns random numbers from 0 to 1.
    now_s : float
        Present time, in seconds.
    repeatable : bool
        The flow's requests may be tried again elsewhere.  Only such show whether a
        target has recovered.

    Returns
    -------
    Placement or None
        None if no target is left that may be alive.
    """
    fresh = candidates.without(tried) if tried else candidates
    if fresh.returning and settings.mechanisms.trickle:
        tried_out = repeatable and random_share() < TRICKLE
        fresh = fresh if tried_out else fresh.without_returning()
    pool: Sequence[TargetBelief]
    if fresh.own or fresh.others:
        pool, reason = _zone_pool(settings, fresh, random_share)
    elif candidates.own or candidates.others:
        pool, reason = [*candidates.own, *candidates.others], "retried"
    elif candidates.impaired:
        pool, reason = candidates.impaired, "impaired"
    else:
        alive = [b for b in candidates.every if b.reachability is not Reachability.DEAD]
        pool, reason = [b for b in alive if b.name not in tried] or alive, "doubtful"
    if not pool:
        return None
    pool = _sample(settings, pool, random_share)
    loads = [_load(settings, belief, now_s) for belief in pool]
    least = min(loads)
    ties = [b for b, load in zip(pool, loads, strict=True) if load <= least]
    chosen = ties[int(random_share() * len(ties)) % len(ties)]
    return Placement(chosen, len(candidates.every), least, reason)


def local_share(
    settings: ForwardingSettings, own: Sequence[TargetBelief], all_slots: int
) -> float:
    """Return the share of a zone's new flows that its own targets take.

    All of them while the zone has its part of the slots, or ``zone_headroom`` times
    less; below that the rest is spread over the other zones.
    """
    own_slots = sum(belief.target.slots for belief in own)
    if not all_slots:
        return 0.0
    fair = own_slots * settings.zones / all_slots
    return min(1.0, fair * settings.zone_headroom)


def _zone_pool(
    settings: ForwardingSettings,
    candidates: Candidates,
    random_share: Callable[[], float],
) -> tuple[Sequence[TargetBelief], str]:
    own, others = candidates.own, candidates.others
    if not settings.mechanisms.own_zone_first:
        return [*own, *others], "any"
    if not others:
        return own, "zone"
    if not own:
        return others, "spill"
    if settings.mechanisms.spill_when_busy and all(
        _busy_per_slot(belief) >= settings.spill_busy for belief in own
    ):
        return [*own, *others], "busy"
    if random_share() < local_share(settings, own, candidates.all_slots):
        return own, "zone"
    return others, "spill"


def _sample(
    settings: ForwardingSettings,
    pool: Sequence[TargetBelief],
    random_share: Callable[[], float],
) -> Sequence[TargetBelief]:
    """Return some neighbours of a large pool; the least loaded of many is enough."""
    if len(pool) <= settings.compared_targets:
        return pool
    begin = int(random_share() * len(pool))
    neighbours = pool[begin : begin + settings.compared_targets]
    missing = settings.compared_targets - len(neighbours)
    return [*neighbours, *pool[:missing]]


def _busy_per_slot(belief: TargetBelief) -> float:
    return belief.busy_flows / max(1, belief.target.slots)


def _load(settings: ForwardingSettings, belief: TargetBelief, now_s: float) -> float:
    slots = float(max(1, belief.target.slots))
    if now_s < belief.cold_until_s:
        slots *= settings.cold_capacity
    return (belief.flows + settings.busy_weight * belief.busy_flows) / slots

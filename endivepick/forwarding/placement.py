"""Selection of the target of a new flow.

Load pattern: many long-lived flows with few requests, beside flows of a single request.
Each instance sees only its own share of both.  Counting flows balances the long ones;
counting requests in progress keeps short ones from queueing behind each other.

Targets of the own zone are preferred: flows that cross zones break when zones are
partitioned.  The share of flows that stays in the zone is computed from the slots per
zone, which all instances know alike, and not from load, which an instance cannot
observe for targets that mostly serve other instances.
"""

from collections.abc import Callable, Collection, Sequence

from msgspec import Struct
from msgspec.structs import replace

from endivepick.forwarding.belief import Fitness, Reachability, TargetBelief
from endivepick.forwarding.settings import ForwardingSettings

__all__ = [
    "Candidates",
    "Placement",
    "choose_target",
    "compute_own_zone_share",
    "select_eligible",
]

TRIAL_FLOW_SHARE = 0.05
"""Share of new flows for which targets on probation are considered.  Such a target has
no flows, so without this limit it would get all new flows even if it has not
recovered."""


class Candidates(Struct, frozen=True):
    """Targets of a service that may take new flows by the registry, grouped for a zone.

    They are grouped when one of them changes and not for each opening, so that the cost
    of an opening does not grow with the number of targets.

    Attributes
    ----------
    every : list of TargetBelief
        All of them.
    own, others : list of TargetBelief
        Reachable targets that are not ejected, in the own zone and in others.
    all_slots : int
        Sum of the slots of `own` and `others`.
    impaired : list of TargetBelief
        Reachable targets that are ejected.
    returning : bool
        Some targets of the own zone are on probation.
    own_evacuated : bool
        The own zone is evacuated, so none of its targets is a candidate.
    all_evacuated : bool
        There are targets, and the zones of all of them are evacuated.
    """

    every: list[TargetBelief]
    own: list[TargetBelief]
    others: list[TargetBelief]
    all_slots: int
    impaired: list[TargetBelief]
    returning: bool
    own_evacuated: bool = False
    all_evacuated: bool = False

    @classmethod
    def of_zone(
        cls,
        zone: str,
        beliefs: Sequence[TargetBelief],
        own_evacuated: bool = False,
        all_evacuated: bool = False,
    ) -> "Candidates":
        """Group targets for the instances of a zone."""
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
            own_evacuated,
            all_evacuated,
        )

    def exclude(self, tried: Sequence[str]) -> "Candidates":
        """Return the candidates without targets that were already tried.

        Only `own` and `others` lose them.  `every` and `impaired` keep them, so a flow
        for which only ejected targets are left may go to a tried one again.
        """
        own = [b for b in self.own if b.name not in tried]
        others = [b for b in self.others if b.name not in tried]
        slots = sum(b.target.slots for b in (*own, *others))
        return replace(self, own=own, others=others, all_slots=slots)

    def without(self, names: Collection[str]) -> "Candidates":
        """Return the candidates without some targets, in every group."""
        return Candidates(
            [b for b in self.every if b.name not in names],
            own := [b for b in self.own if b.name not in names],
            others := [b for b in self.others if b.name not in names],
            sum(b.target.slots for b in (*own, *others)),
            [b for b in self.impaired if b.name not in names],
            self.returning,
            self.own_evacuated,
            self.all_evacuated,
        )

    def exclude_returning(self) -> "Candidates":
        """Return the candidates without own targets on probation, if any are left."""
        own = [b for b in self.own if b.fitness is Fitness.SOUND]
        if not own:
            return self
        slots = sum(b.target.slots for b in (*own, *self.others))
        return replace(self, own=own, all_slots=slots, returning=False)


class Placement(Struct, frozen=True):
    """The target of a new flow, and why it was chosen.

    Attributes
    ----------
    belief : TargetBelief
        State of the target.
    candidates : int
        Number of targets of the service that accept new flows by their registry state,
        whether or not they are reachable, ejected or already tried.
    load : float
        Its load per slot at that time.
    reason : str
        ``"zone"``, ``"spill"``, ``"evacuated"``, ``"busy"``, ``"any"``,
        ``"retried"``, ``"impaired"`` or ``"doubtful"``; by shared load ``"zone_load"``
        or ``"other_zone_load"``.
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
        Targets that may take new flows by the registry, grouped for the zone.
    tried : sequence of str
        Targets that got earlier copies of the opening packet.
    random_share : callable
        Returns random numbers from 0 to 1.
    now_s : float
        Current time, in seconds.
    repeatable : bool
        The flow's requests may be retried elsewhere.  Only such flows may go to
        targets on probation while the own zone has others.

    Returns
    -------
    Placement or None
        None if no target is left that may be alive.
    """
    eligible = select_eligible(settings, candidates, tried, random_share, repeatable)
    pool: Sequence[TargetBelief]
    if eligible.own or eligible.others:
        pool, reason = _select_pool(settings, eligible, random_share)
    elif candidates.own or candidates.others:
        pool, reason = [*candidates.own, *candidates.others], "retried"
    elif candidates.impaired:
        pool, reason = candidates.impaired, "impaired"
    else:
        alive = [b for b in candidates.every if b.reachability is not Reachability.DEAD]
        pool, reason = [b for b in alive if b.name not in tried] or alive, "doubtful"
    if not pool:
        return None
    pool = _sample_pool(settings, pool, random_share)
    loads = [_compute_load(settings, belief, now_s) for belief in pool]
    least = min(loads)
    ties = [b for b, load in zip(pool, loads, strict=True) if load <= least]
    chosen = ties[int(random_share() * len(ties)) % len(ties)]
    return Placement(chosen, len(candidates.every), least, reason)


def select_eligible(
    settings: ForwardingSettings,
    candidates: Candidates,
    tried: Sequence[str],
    random_share: Callable[[], float],
    repeatable: bool,
) -> Candidates:
    """Return the candidates without tried targets, and mostly without returning ones.

    A small share of repeatable flows may go to targets on probation; the result then
    has `returning` set.
    """
    eligible = candidates.exclude(tried) if tried else candidates
    if eligible.returning and settings.mechanisms.trickle:
        is_trial = repeatable and random_share() < TRIAL_FLOW_SHARE
        eligible = eligible if is_trial else eligible.exclude_returning()
    return eligible


def compute_own_zone_share(
    settings: ForwardingSettings, own: Sequence[TargetBelief], all_slots: int
) -> float:
    """Compute the share of a zone's new flows that its own targets take.

    It is 1 while the zone has at least its share of the slots divided by
    ``zone_headroom``; below that, the remaining flows go to the other zones.
    """
    own_slots = sum(belief.target.slots for belief in own)
    if not all_slots:
        return 0.0
    fair = own_slots * settings.zones / all_slots
    return min(1.0, fair * settings.zone_headroom)


def _select_pool(
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
        return others, "evacuated" if candidates.own_evacuated else "spill"
    if settings.mechanisms.spill_when_busy and all(
        _busy_per_slot(belief) >= settings.spill_busy for belief in own
    ):
        return [*own, *others], "busy"
    if random_share() < compute_own_zone_share(settings, own, candidates.all_slots):
        return own, "zone"
    return others, "spill"


def _sample_pool(
    settings: ForwardingSettings,
    pool: Sequence[TargetBelief],
    random_share: Callable[[], float],
) -> Sequence[TargetBelief]:
    """Return adjacent targets of a large pool; a sample is enough to balance load."""
    if len(pool) <= settings.compared_targets:
        return pool
    start = int(random_share() * len(pool))
    neighbours = pool[start : start + settings.compared_targets]
    missing = settings.compared_targets - len(neighbours)
    return [*neighbours, *pool[:missing]]


def _busy_per_slot(belief: TargetBelief) -> float:
    return belief.busy_flows / max(1, belief.target.slots)


def _compute_load(
    settings: ForwardingSettings, belief: TargetBelief, now_s: float
) -> float:
    slots = float(max(1, belief.target.slots))
    if now_s < belief.cold_until_s:
        slots *= settings.cold_capacity
    return (belief.flows + settings.busy_weight * belief.busy_flows) / slots

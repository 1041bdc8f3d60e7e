"""Selection of the target of an opening by load that the instances of a zone share.

Load pattern: many instances, each of which sees a hundredth of a target's requests, so
its own counts say little about the load there.  Shared load is up to 0.7 s old, and all
instances of a zone read the same one: if each chose the least loaded target, all would
choose the same one until the next news.

Of two random targets the less loaded is preferred, the more so the more they differ.
If it always won, small differences of old load, which are mostly chance, would move as
many openings as large ones, and targets would swing between idle and full.
"""

from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

from endivepick.forwarding.belief import Fitness, TargetBelief
from endivepick.forwarding.placement import Candidates, Placement, select_eligible
from endivepick.forwarding.settings import ForwardingSettings

__all__ = ["LoadSource", "choose_by_load", "count_slots"]

FULL_PER_SLOT = 5.0
"""Difference of requests in progress per slot at which the less loaded target always
wins: that between an idle and a full one, with two slots and a queue of eight."""

OWN_LOAD_WEIGHT = 0.25
"""Weight of the load that this instance sees itself, per idle flow and slot, where 1
lets the less loaded target always win.  That load is exact: with few instances it is
most of the load, with many it is mostly 0 at both targets."""


class LoadSource(Protocol):
    """Shared load as known to an instance."""

    def target_load(self, belief: TargetBelief, now_s: float) -> float | None:
        """Return the requests in progress at a target from callers of the own zone.

        Openings that this instance has placed since the news are added, and idle flows
        may count with a small weight.  None if the load is unknown or too old; a target
        without load has 0.
        """

    def zone_busy(self, service: str, target_zone: str, now_s: float) -> float | None:
        """Return the requests in progress of all zones' callers at a zone's targets.

        None if the load is unknown or too old.
        """

    def record_placement(self, belief: TargetBelief, now_s: float) -> None:
        """Record that this instance has placed an opening at a target."""


def choose_by_load(
    settings: ForwardingSettings,
    candidates: Candidates,
    load: LoadSource,
    tried: Sequence[str],
    random_share: Callable[[], float],
    now_s: float,
    *,
    shares: Mapping[str, float],
    cold_s: float = 0.0,
    repeatable: bool = True,
) -> Placement | None:
    """Choose the target of a new flow by shared load.

    Parameters
    ----------
    settings : ForwardingSettings
        Zone and weights.
    candidates : Candidates
        Targets that may take new flows by the registry, grouped for the zone.
    load : LoadSource
        Shared load.
    tried : sequence of str
        Targets that got earlier copies of the opening packet.
    random_share : callable
        Returns random numbers from 0 to 1.
    now_s : float
        Current time, in seconds.
    shares : mapping of str to float
        Share of the openings that the targets of each zone take.
    cold_s : float
        Duration of a cold start by the configuration, in seconds.
    repeatable : bool
        The flow's requests may be retried elsewhere; see `choose_target`.

    Returns
    -------
    Placement or None
        None if the load is unknown, or if only targets are left that were already tried
        or may not be alive; `choose_target` then decides.
    """
    eligible = select_eligible(settings, candidates, tried, random_share, repeatable)
    pool, reason = _select_zone(settings, eligible, shares, random_share)
    if not pool:
        return None
    sample = _sample_pool(pool, random_share)
    sample = [
        _redraw_cold(settings, belief, pool, random_share, cold_s, now_s)
        for belief in sample
    ]
    if settings.mechanisms.trickle and eligible.returning and pool is eligible.own:
        sample[0] = _draw_returning(pool, random_share) or sample[0]
    busy = [load.target_load(belief, now_s) for belief in sample]
    slots = [count_slots(settings, belief, cold_s, now_s) for belief in sample]
    pressures = [
        _compute_pressure(settings, belief, requests, of_target)
        for belief, requests, of_target in zip(sample, busy, slots, strict=True)
    ]
    chosen = _draw_less_loaded(pressures, random_share)
    if chosen is None:
        return None
    per_slot = (busy[chosen] or 0.0) / slots[chosen]
    return Placement(sample[chosen], len(candidates.every), per_slot, reason)


def count_slots(
    settings: ForwardingSettings, belief: TargetBelief, cold_s: float, now_s: float
) -> float:
    """Return the slots that a target counts with.

    A cold target counts with `cold_capacity` of its slots at its start, and with all of
    them at the end of its cold start, in proportion to the time between.

    Parameters
    ----------
    settings : ForwardingSettings
        Capacity of cold targets.
    belief : TargetBelief
        State of the target.
    cold_s : float
        Duration of a cold start by the configuration, in seconds; if the target's entry
        gives a longer one, that is used.
    now_s : float
        Current time, in seconds.
    """
    slots = float(max(1, belief.target.slots))
    left_s = belief.cold_until_s - now_s
    if left_s <= 0:
        return slots
    duration_s = max(cold_s, belief.target.cold_s, left_s)
    risen = 1.0 - left_s / duration_s
    return slots * (settings.cold_capacity + (1.0 - settings.cold_capacity) * risen)


def _select_zone(
    settings: ForwardingSettings,
    candidates: Candidates,
    shares: Mapping[str, float],
    random_share: Callable[[], float],
) -> tuple[Sequence[TargetBelief], str]:
    own, others = candidates.own, candidates.others
    if not others:
        return own, "zone_load"
    position = random_share()
    if own:
        position -= shares.get(settings.zone, 0.0)
        if position < 0:
            return own, "zone_load"
    else:
        position *= 1.0 - shares.get(settings.zone, 0.0)
    by_zone: dict[str, list[TargetBelief]] = {}
    for belief in others:
        by_zone.setdefault(belief.target.zone, []).append(belief)
    for zone, pool in by_zone.items():
        position -= shares.get(zone, 0.0)
        if position < 0:
            return pool, "other_zone_load"
    # The zone that was drawn has no target left for this opening.
    return (own, "zone_load") if own else (others, "other_zone_load")


def _sample_pool(
    pool: Sequence[TargetBelief], random_share: Callable[[], float]
) -> list[TargetBelief]:
    """Return two random targets; their order is random too."""
    if len(pool) == 1:
        return [pool[0]]
    first = _draw_index(len(pool), random_share)
    second = _draw_index(len(pool) - 1, random_share)
    return [pool[first], pool[second + (second >= first)]]


def _redraw_cold(
    settings: ForwardingSettings,
    belief: TargetBelief,
    pool: Sequence[TargetBelief],
    random_share: Callable[[], float],
    cold_s: float,
    now_s: float,
) -> TargetBelief:
    """Replace a cold target in a sample in proportion to the slots that it lacks.

    A new target shows no load yet, so it wins each comparison: drawn like the others,
    it would get twice its share.
    """
    if now_s >= belief.cold_until_s:
        return belief
    slots = count_slots(settings, belief, cold_s, now_s)
    if random_share() * max(1, belief.target.slots) < slots:
        return belief
    return pool[_draw_index(len(pool), random_share)]


def _draw_returning(
    pool: Sequence[TargetBelief], random_share: Callable[[], float]
) -> TargetBelief | None:
    returning = [b for b in pool if b.fitness is Fitness.RETURNING]
    if not returning:
        return None
    return returning[_draw_index(len(returning), random_share)]


def _draw_index(length: int, random_share: Callable[[], float]) -> int:
    return int(random_share() * length) % length


def _compute_pressure(
    settings: ForwardingSettings,
    belief: TargetBelief,
    busy: float | None,
    slots: float,
) -> float | None:
    """Return the load of a target; a difference of 1 is decisive."""
    if busy is None:
        return None
    seen_here = belief.flows + settings.busy_weight * belief.busy_flows
    return (busy / FULL_PER_SLOT + OWN_LOAD_WEIGHT * seen_here) / slots


def _draw_less_loaded(
    pressures: Sequence[float | None], random_share: Callable[[], float]
) -> int | None:
    """Return the index of the chosen target; None if a load is unknown."""
    if any(each is None for each in pressures):
        return None
    if len(pressures) == 1:
        return 0
    first, second = (each or 0.0 for each in pressures)
    second_share = 0.5 + 0.5 * (first - second)
    return int(random_share() < second_share)

"""Target selection rules."""

from collections.abc import Sequence

from endivepick.core.dispatch.target import TargetState

__all__ = ["ZoneSpillLimiter", "choose_flow_target", "choose_target"]

_SPILL_SHARE_DECAY = 0.99
_RATE_WEIGHT = 4.0


class ZoneSpillLimiter:
    """Limits the share of requests that are sent to other availability zones.

    The share is a moving average.  It covers only requests for which a slot was
    free in the owner's zone.

    Parameters
    ----------
    own_zone : str
        Availability zone of the owner.
    """

    def __init__(self, own_zone: str) -> None:
        self._own_zone = own_zone
        self._share = 0.0

    def allowed_targets(
        self, targets: Sequence[TargetState], share_limit: float
    ) -> Sequence[TargetState]:
        """Return the targets that the limit permits.

        Parameters
        ----------
        targets : sequence of TargetState
            Targets with a free slot.
        share_limit : float
            Largest share of requests sent to other zones, from 0 to 1.
        """
        if share_limit >= 1.0:
            return targets
        own = [t for t in targets if t.record.zone == self._own_zone]
        if not own or self._share < share_limit:
            return targets
        return own

    def record_choice(
        self, targets: Sequence[TargetState], chosen: TargetState
    ) -> None:
        """Update the share with the target chosen among these targets."""
        if all(t.record.zone != self._own_zone for t in targets):
            return
        left_zone = chosen.record.zone != self._own_zone
        self._share = (
            _SPILL_SHARE_DECAY * self._share + (1 - _SPILL_SHARE_DECAY) * left_zone
        )


def choose_target(
    targets: Sequence[TargetState], tried: set[str], tie_breaker: float, now_s: float
) -> TargetState:
    """Return the least loaded of several targets with a free slot.

    Targets of earlier attempts are ranked last, and among the others those whose
    health endpoint fails.

    Parameters
    ----------
    targets : sequence of TargetState
        At least one.
    tried : set of str
        Targets of earlier attempts.
    tie_breaker : float
        Number from 0 to 1 that breaks ties.
    now_s : float
        Current time, in seconds.
    """

    def rank(target: TargetState) -> tuple[bool, bool, float]:
        load = (target.used_slots(now_s) + 1) / target.record.slots
        return (target.name in tried, not target.healthy, load)

    return _select_lowest([(rank(target), target) for target in targets], tie_breaker)


def choose_flow_target(
    targets: Sequence[TargetState], tie_breaker: float, now_s: float
) -> TargetState:
    """Return the target with the least expected work for a new flow.

    Running and waiting requests measure the current work of a target; the request
    rate of its flows predicts its future work.  The rate is weighted by the total
    work of all targets, so that the rule suits both busy and quiet services.

    Parameters
    ----------
    targets : sequence of TargetState
        At least one.
    tie_breaker : float
        Number from 0 to 1 that breaks ties.
    now_s : float
        Current time, in seconds.
    """
    work = {t.name: t.used_slots(now_s) + len(t.queue) for t in targets}
    rates_per_s = {t.name: t.activity.rate_per_s(now_s) for t in targets}
    total_work = sum(work.values()) + 1
    total_rate_per_s = sum(rates_per_s.values()) or 1.0

    def rank(target: TargetState) -> tuple[bool, float, float]:
        rate_share = rates_per_s[target.name] / total_rate_per_s
        expected_work = work[target.name] + _RATE_WEIGHT * total_work * rate_share
        slots = target.record.slots
        return (not target.healthy, expected_work / slots, target.flows / slots)

    return _select_lowest([(rank(target), target) for target in targets], tie_breaker)


def _select_lowest(
    ranked: list[tuple[tuple, TargetState]], tie_breaker: float
) -> TargetState:
    best = min(rank for rank, _ in ranked)
    tied = [target for rank, target in ranked if rank == best]
    return tied[int(tie_breaker * len(tied)) % len(tied)]

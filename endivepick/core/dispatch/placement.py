"""Choice of a target."""

from collections.abc import Sequence

from endivepick.core.dispatch.target import TargetState

__all__ = ["SpillCounter", "choose_flow_target", "choose_target"]

_SPILL_MEMORY = 0.99
_RATE_WEIGHT = 4.0


class SpillCounter:
    """Keeps the share of requests that leave their zone under a cap.

    Only requests that could have had a free slot in the own zone count.

    Parameters
    ----------
    own_zone : str
        Availability zone of the owner.
    """

    def __init__(self, own_zone: str) -> None:
        self._own_zone = own_zone
        self._share = 0.0

    def allowed(
        self, targets: Sequence[TargetState], share_limit: float
    ) -> Sequence[TargetState]:
        """Return the targets that a request may take.

        Parameters
        ----------
        targets : sequence of TargetState
            Targets with a free slot.
        share_limit : float
            Largest share that leaves its zone, from 0 to 1.
        """
        if share_limit >= 1.0:
            return targets
        own = [t for t in targets if t.record.zone == self._own_zone]
        if not own or self._share < share_limit:
            return targets
        return own

    def count(self, targets: Sequence[TargetState], chosen: TargetState) -> None:
        """Take in a choice among these targets."""
        if all(t.record.zone != self._own_zone for t in targets):
            return
        left = chosen.record.zone != self._own_zone
        self._share = _SPILL_MEMORY * self._share + (1 - _SPILL_MEMORY) * left


def choose_target(
    targets: Sequence[TargetState], tried: set[str], tie: float, now_s: float
) -> TargetState:
    """Choose among targets with a free slot: the least loaded one.

    Targets that an earlier attempt went to, and ones whose health endpoint
    fails, come last.

    Parameters
    ----------
    targets : sequence of TargetState
        At least one.
    tried : set of str
        Targets of earlier attempts.
    tie : float
        Number from 0 to 1 that decides between equals.
    now_s : float
        Present time, in seconds.
    """

    def rank(target: TargetState) -> tuple[bool, bool, float]:
        load = (target.in_use(now_s) + 1) / target.record.slots
        return (target.name in tried, not target.healthy, load)

    return _lowest([(rank(target), target) for target in targets], tie)


def choose_flow_target(
    targets: Sequence[TargetState], tie: float, now_s: float
) -> TargetState:
    """Choose the target of a new flow: the one with the least expected work.

    The requests that run and wait there say how much work a target has now; the
    rate at which its flows send says how much will come.  Both are weighed as
    shares of all targets' work, so that the rule fits busy and quiet services.

    Parameters
    ----------
    targets : sequence of TargetState
        At least one.
    tie : float
        Number from 0 to 1 that decides between equals.
    now_s : float
        Present time, in seconds.
    """
    work = {t.name: t.in_use(now_s) + len(t.queue) for t in targets}
    rates_per_s = {t.name: t.activity.rate_per_s(now_s) for t in targets}
    work_all = sum(work.values()) + 1
    rate_all_per_s = sum(rates_per_s.values()) or 1.0

    def rank(target: TargetState) -> tuple[bool, float, float]:
        rate_share = rates_per_s[target.name] / rate_all_per_s
        expected = work[target.name] + _RATE_WEIGHT * work_all * rate_share
        slots = target.record.slots
        return (not target.healthy, expected / slots, target.flows / slots)

    return _lowest([(rank(target), target) for target in targets], tie)


def _lowest(ranked: list[tuple[tuple, TargetState]], tie: float) -> TargetState:
    best = min(rank for rank, _ in ranked)
    equals = [target for rank, target in ranked if rank == best]
    return equals[int(tie * len(equals)) % len(equals)]

"""Which targets a request may run on, and which of them it gets."""

from collections.abc import Sequence

from endivepick.core.dispatch.placement import (
    SpillCounter,
    choose_flow_target,
    choose_target,
)
from endivepick.core.dispatch.settings import DispatchSettings
from endivepick.core.dispatch.target import TargetState
from endivepick.core.dispatch.target_set import TargetSet
from endivepick.core.dispatch.waiting import PendingRequest
from endivepick.records.model import Affinity, ServiceRecord

__all__ = ["TargetSelector", "suits"]


class TargetSelector:
    """Finds a target for a request; changes nothing but the spill count.

    Parameters
    ----------
    settings : DispatchSettings
        Settings of the dispatcher.
    targets : TargetSet
        Targets of the service.
    own_zone : str
        Availability zone of the owner.
    """

    def __init__(
        self, settings: DispatchSettings, targets: TargetSet, own_zone: str
    ) -> None:
        self._settings = settings
        self._targets = targets
        self._spill = SpillCounter(own_zone)

    def pinned(
        self, request: PendingRequest, record: ServiceRecord, now_s: float
    ) -> TargetState | None:
        """Return the target that a request has to run on; ``None`` if any may."""
        if record.affinity is Affinity.REQUEST or request.unpinned:
            return None
        target = self._targets.get(request.intent.pinned_target)
        if target is None or not target.keeps_flows:
            return None
        backoff_s = target.backoff_until_s - now_s
        if request.intent.movable and backoff_s > self._settings.pin_patience_s:
            return None
        return target

    def free(
        self,
        request: PendingRequest,
        candidates: Sequence[TargetState],
        record: ServiceRecord,
        tie: float,
        now_s: float,
    ) -> TargetState | None:
        """Return the best target that can start a request now, if there is one.

        Parameters
        ----------
        request : PendingRequest
            The request.
        candidates : sequence of TargetState
            Targets that it may run on; a single one is not passed over for its
            health.
        record : ServiceRecord
            Record in force.
        tie : float
            Number from 0 to 1 that decides between equals.
        now_s : float
            Present time, in seconds.
        """
        others = len(candidates) > 1
        free = [
            target
            for target in candidates
            if target.can_start(now_s, others and self.is_reduced(target))
            and suits(request, target, now_s)
        ]
        if not free:
            return None
        allowed = self._spill.allowed(free, record.spill_share)
        target = choose_target(allowed, request.tried, tie, now_s)
        self._spill.count(free, target)
        return target

    def for_flow(
        self, record: ServiceRecord, tie: float, now_s: float
    ) -> TargetState | None:
        """Return the best target for a new flow; ``None`` if none serves.

        While targets of the own zone have a free slot, the cap on requests that
        leave their zone holds for flows too.
        """
        serving = [target for target in self._targets if target.serving]
        rested = [target for target in serving if now_s >= target.backoff_until_s]
        free = [target for target in rested if target.can_start(now_s)]
        allowed = self._spill.allowed(free, record.spill_share)
        if len(allowed) == len(free):
            allowed = rested or serving
        if not allowed:
            return None
        target = choose_flow_target(allowed, tie, now_s)
        self._spill.count(free, target)
        return target

    def for_stream(self, serving: Sequence[TargetState]) -> TargetState | None:
        """Return the target with the fewest streams that can hold one more."""
        able = [target for target in serving if target.free_connections() > 0]
        return min(
            able,
            key=lambda target: len(target.streams) / target.record.slots,
            default=None,
        )

    def is_reduced(self, target: TargetState) -> bool:
        """Tell whether requests that could run elsewhere mostly should."""
        return not target.healthy and not self._targets.ignore_health


def suits(request: PendingRequest, target: TargetState, now_s: float) -> bool:
    """Tell whether a target may run a request, slots left aside."""
    return request.intent.idempotent or target.takes_any(now_s)

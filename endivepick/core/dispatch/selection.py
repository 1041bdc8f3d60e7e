"""Selection of a target for a request, a stream or a flow."""

from collections.abc import Sequence

from endivepick.core.dispatch.placement import (
    ZoneSpillLimiter,
    choose_flow_target,
    choose_target,
)
from endivepick.core.dispatch.settings import DispatchSettings
from endivepick.core.dispatch.target import TargetState
from endivepick.core.dispatch.target_set import TargetSet
from endivepick.core.dispatch.waiting import PendingRequest
from endivepick.records.model import Affinity, ServiceRecord

__all__ = ["TargetSelector", "can_run"]


class TargetSelector:
    """Selects targets; its only state is the share of requests sent to other zones.

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
        self._spill_limiter = ZoneSpillLimiter(own_zone)

    def find_pinned_target(
        self, request: PendingRequest, record: ServiceRecord, now_s: float
    ) -> TargetState | None:
        """Return the target that a request is pinned to; ``None`` if any may run it."""
        if record.affinity is Affinity.REQUEST or request.ignores_pin:
            return None
        target = self._targets.get(request.intent.pinned_target)
        if target is None or not target.keeps_flows:
            return None
        backoff_s = target.backoff_until_s - now_s
        if request.intent.movable and backoff_s > self._settings.pin_patience_s:
            return None
        return target

    def select_target(
        self,
        request: PendingRequest,
        candidates: Sequence[TargetState],
        record: ServiceRecord,
        tie_breaker: float,
        now_s: float,
    ) -> TargetState | None:
        """Return the best target that can start a request now; ``None`` if none can.

        Parameters
        ----------
        request : PendingRequest
            Request to start.
        candidates : sequence of TargetState
            Targets that it may run on; a single one keeps all its slots even if its
            health endpoint fails.
        record : ServiceRecord
            Current version of the service record.
        tie_breaker : float
            Number from 0 to 1 that breaks ties.
        now_s : float
            Current time, in seconds.
        """
        others = len(candidates) > 1
        free = [
            target
            for target in candidates
            if target.can_start(now_s, others and self.has_reduced_slots(target))
            and can_run(request, target, now_s)
        ]
        if not free:
            return None
        allowed = self._spill_limiter.allowed_targets(free, record.spill_share)
        target = choose_target(allowed, request.tried, tie_breaker, now_s)
        self._spill_limiter.record_choice(free, target)
        return target

    def select_for_flow(
        self, record: ServiceRecord, tie_breaker: float, now_s: float
    ) -> TargetState | None:
        """Return the best target for a new flow; ``None`` if none is serving.

        While targets in the owner's zone have a free slot, the limit on requests
        sent to other zones applies to flows too.
        """
        serving = [target for target in self._targets if target.serving]
        without_backoff = [
            target for target in serving if now_s >= target.backoff_until_s
        ]
        free = [target for target in without_backoff if target.can_start(now_s)]
        allowed = self._spill_limiter.allowed_targets(free, record.spill_share)
        if len(allowed) == len(free):
            # The zone limit excluded nothing, so targets without a free slot are
            # considered too.
            allowed = without_backoff or serving
        if not allowed:
            return None
        target = choose_flow_target(allowed, tie_breaker, now_s)
        self._spill_limiter.record_choice(free, target)
        return target

    def select_for_stream(self, serving: Sequence[TargetState]) -> TargetState | None:
        """Return the target with the fewest streams per slot and a free connection."""
        with_capacity = [target for target in serving if target.free_connections() > 0]
        return min(
            with_capacity,
            key=lambda target: len(target.streams) / target.record.slots,
            default=None,
        )

    def has_reduced_slots(self, target: TargetState) -> bool:
        """Return whether only a share of its slots may serve unpinned requests."""
        return not target.healthy and not self._targets.ignores_health


def can_run(request: PendingRequest, target: TargetState, now_s: float) -> bool:
    """Return whether a target may run a request, regardless of free slots."""
    return request.intent.idempotent or target.accepts_non_idempotent(now_s)

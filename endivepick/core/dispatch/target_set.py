"""Targets of a service: record updates, flows and outlier ejection."""

from collections.abc import Iterator

from endivepick.core.dispatch.flow_activity import FlowActivity
from endivepick.core.dispatch.service_time import ServiceTimeEstimate
from endivepick.core.dispatch.settings import DispatchSettings
from endivepick.core.dispatch.target import TargetState
from endivepick.records.model import ServiceRecord

__all__ = ["TargetSet"]

_ADVANCE_PERIOD_S = 0.02


class TargetSet:
    """Targets of the service record, and removed targets that are still in use.

    Parameters
    ----------
    settings : DispatchSettings
        Settings of the dispatcher.
    record : ServiceRecord
        Initial service record.
    estimate : ServiceTimeEstimate
        Estimated service times, used to detect stalls.
    now_s : float
        Current time, in seconds.

    Attributes
    ----------
    ignores_health : bool
        Whether health endpoints are ignored because too many of them fail.
    """

    def __init__(
        self,
        settings: DispatchSettings,
        record: ServiceRecord,
        estimate: ServiceTimeEstimate,
        now_s: float,
    ) -> None:
        self._settings = settings
        self._estimate = estimate
        self._targets: dict[str, TargetState] = {}
        self._advanced_s = now_s
        self.ignores_health = False
        self._apply_record(record, starts_cold=False, now_s=now_s)

    def __iter__(self) -> Iterator[TargetState]:
        return iter(list(self._targets.values()))

    def __getitem__(self, name: str) -> TargetState:
        return self._targets[name]

    def get(self, name: str) -> TargetState | None:
        """Return a target, or ``None`` if its name is unknown."""
        return self._targets.get(name)

    def update_record(self, record: ServiceRecord, now_s: float) -> None:
        """Apply a newer record; added targets begin with slow start."""
        self._apply_record(record, starts_cold=True, now_s=now_s)

    def add_flow(self, target: TargetState, flow: FlowActivity, now_s: float) -> None:
        """Add a flow that is pinned to a target from now on."""
        target.activity.join(flow, self._mean_flow_rate_per_s(now_s), now_s)
        target.flows += 1

    def remove_flow(
        self, target: TargetState, flow: FlowActivity, now_s: float
    ) -> None:
        """Remove a flow from its target."""
        if target.flows == 0:
            return
        target.activity.leave(flow, now_s)
        target.flows -= 1

    def move_flow(
        self, old_name: str, target: TargetState, flow: FlowActivity, now_s: float
    ) -> None:
        """Move a flow from one target, which may be unknown, to another."""
        old = self._targets.get(old_name)
        if old is not None:
            self.remove_flow(old, flow, now_s)
        self.add_flow(target, flow, now_s)

    def _mean_flow_rate_per_s(self, now_s: float) -> float:
        """Return the mean request rate of an active flow, over all targets."""
        parts = [target.activity for target in self._targets.values()]
        flows = sum(part.active_flows(now_s) for part in parts)
        rate_per_s = sum(part.rate_per_s(now_s) for part in parts)
        return rate_per_s / max(1.0, flows)

    def remaining(self) -> list[TargetState]:
        """Return the targets that are not leaving."""
        return [target for target in self._targets.values() if not target.leaving]

    def advance(self, now_s: float) -> None:
        """Update target states, eject failing targets and evaluate overall health."""
        self._advanced_s = now_s
        for target in self._targets.values():
            target.advance(now_s)
            self.eject_if_failing(target, now_s)
        serving = [target for target in self._targets.values() if target.serving]
        failing = sum(not target.healthy for target in serving)
        limit = self._settings.ejected_share_limit * len(serving)
        self.ignores_health = failing > limit

    def advance_if_due(self, now_s: float) -> None:
        """Call `advance` at most once in each ``_ADVANCE_PERIOD_S``."""
        if now_s >= self._advanced_s + _ADVANCE_PERIOD_S:
            self.advance(now_s)

    def eject_if_failing(self, target: TargetState, now_s: float) -> None:
        """Eject a failing target unless the limit on ejected targets is reached."""
        if not target.serving or not target.is_failing(
            self._stall_after_s(target), now_s
        ):
            return
        remaining = self.remaining()
        others = [other for other in remaining if other is not target]
        out = sum(other.state in ("ejected", "trial") for other in others)
        if out + 1 <= self._settings.ejected_share_limit * len(remaining):
            target.eject(now_s)

    def min_blocked_s(self, now_s: float) -> float:
        """Return the time until the first target may accept requests, in seconds."""
        ends_s = [target.blocked_until_s() for target in self.remaining()]
        return max(0.0, min(ends_s, default=now_s) - now_s)

    def remove_gone(self) -> None:
        """Remove targets that left the record and have no running requests."""
        for target in self:
            if target.state == "gone" and not target.running and not target.streams:
                del self._targets[target.name]

    def _apply_record(
        self, record: ServiceRecord, starts_cold: bool, now_s: float
    ) -> None:
        named = {target.name: target for target in record.targets}
        for name, target_record in named.items():
            if name not in self._targets:
                self._targets[name] = TargetState(
                    self._settings, target_record, record.name, starts_cold
                )
            self._targets[name].update_record(target_record, now_s)
        for name in self._targets.keys() - named.keys():
            self._targets[name].remove(now_s)

    def _stall_after_s(self, target: TargetState) -> float:
        if not target.running:
            return self._settings.stall_min_s
        classes = {request.intent.cost_class for request in target.running.values()}
        service_time_s = max(self._estimate.mean_s(c) for c in classes)
        return max(
            self._settings.stall_min_s, self._settings.stall_factor * service_time_s
        )

"""All targets of a service: joining, leaving, ejection with a floor."""

from collections.abc import Iterator

from endivepick.core.dispatch.flow_activity import FlowActivity
from endivepick.core.dispatch.service_time import ServiceTimeEstimate
from endivepick.core.dispatch.settings import DispatchSettings
from endivepick.core.dispatch.target import TargetState
from endivepick.records.model import ServiceRecord

__all__ = ["TargetSet"]

_ADVANCE_PERIOD_S = 0.02


class TargetSet:
    """The targets that a service's record names, and those still in use.

    Parameters
    ----------
    settings : DispatchSettings
        Settings of the dispatcher.
    record : ServiceRecord
        First record in force.
    estimate : ServiceTimeEstimate
        Usual service times, from which a stall is told.
    now_s : float
        Present time, in seconds.

    Attributes
    ----------
    ignore_health : bool
        So many health endpoints fail that none is believed.
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
        self.ignore_health = False
        self._take(record, new=False, now_s=now_s)

    def __iter__(self) -> Iterator[TargetState]:
        return iter(list(self._targets.values()))

    def __getitem__(self, name: str) -> TargetState:
        return self._targets[name]

    def get(self, name: str) -> TargetState | None:
        """Return a target; ``None`` if there is no such one."""
        return self._targets.get(name)

    def update_record(self, record: ServiceRecord, now_s: float) -> None:
        """Take in a newer record; its new targets start slowly."""
        self._take(record, new=True, now_s=now_s)

    def add_flow(self, target: TargetState, flow: FlowActivity, now_s: float) -> None:
        """Count a flow in that is pinned to a target from now on."""
        target.activity.join(flow, self._usual_rate_per_s(now_s), now_s)
        target.flows += 1

    def remove_flow(
        self, target: TargetState, flow: FlowActivity, now_s: float
    ) -> None:
        """Count a flow out that a target had."""
        if target.flows == 0:
            return
        target.activity.leave(flow, now_s)
        target.flows -= 1

    def move_flow(
        self, old_name: str, target: TargetState, flow: FlowActivity, now_s: float
    ) -> None:
        """Count a flow over from one target, which may be unknown, to another."""
        old = self._targets.get(old_name)
        if old is not None:
            self.remove_flow(old, flow, now_s)
        self.add_flow(target, flow, now_s)

    def _usual_rate_per_s(self, now_s: float) -> float:
        """Return how fast a flow sends that is not silent, over all targets."""
        parts = [target.activity for target in self._targets.values()]
        flows = sum(part.active_flows(now_s) for part in parts)
        rate_per_s = sum(part.rate_per_s(now_s) for part in parts)
        return rate_per_s / max(1.0, flows)

    def staying(self) -> list[TargetState]:
        """Return the targets that are not leaving."""
        return [target for target in self._targets.values() if not target.leaving]

    def advance(self, now_s: float) -> None:
        """Follow the passing of time and eject targets that fail."""
        self._advanced_s = now_s
        for target in self._targets.values():
            target.advance(now_s)
            self.check(target, now_s)
        serving = [target for target in self._targets.values() if target.serving]
        failing = sum(not target.healthy for target in serving)
        limit = self._settings.ejected_share_limit * len(serving)
        self.ignore_health = failing > limit

    def advance_if_due(self, now_s: float) -> None:
        """Follow the passing of time, at most once in each short period."""
        if now_s >= self._advanced_s + _ADVANCE_PERIOD_S:
            self.advance(now_s)

    def check(self, target: TargetState, now_s: float) -> None:
        """Eject a target if it fails and the floor allows it."""
        if not target.serving or not target.failing(self._stall_after_s(target), now_s):
            return
        staying = self.staying()
        others = [other for other in staying if other is not target]
        out = sum(other.state in ("ejected", "trial") for other in others)
        if out + 1 <= self._settings.ejected_share_limit * len(staying):
            target.eject(now_s)

    def blocked_s(self, now_s: float) -> float:
        """Return the time until a target ends its back-off, in seconds."""
        ends_s = [target.blocked_until_s() for target in self.staying()]
        return max(0.0, min(ends_s, default=now_s) - now_s)

    def forget_gone(self) -> None:
        """Drop targets that the record names no more and that run nothing."""
        for target in self:
            if target.state == "gone" and not target.running and not target.streams:
                del self._targets[target.name]

    def _take(self, record: ServiceRecord, new: bool, now_s: float) -> None:
        named = {target.name: target for target in record.targets}
        for name, target_record in named.items():
            if name not in self._targets:
                self._targets[name] = TargetState(
                    self._settings, target_record, record.name, new
                )
            self._targets[name].update_record(target_record, now_s)
        for name in self._targets.keys() - named.keys():
            self._targets[name].remove(now_s)

    def _stall_after_s(self, target: TargetState) -> float:
        if not target.running:
            return self._settings.stall_min_s
        classes = {request.intent.cost_class for request in target.running.values()}
        usual_s = max(self._estimate.mean_s(c) for c in classes)
        return max(self._settings.stall_min_s, self._settings.stall_factor * usual_s)

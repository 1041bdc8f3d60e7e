"""Choice of targets from reports of their owners and from what was just placed."""

from dataclasses import dataclass

from endivepick.core.dispatch import DispatchSettings, FlowActivity
from endivepick.core.dispatch.placement import choose_flow_target, choose_target
from endivepick.core.dispatch.service_time import ServiceTimeEstimate
from endivepick.core.dispatch.target import TargetState
from endivepick.core.dispatch.target_set import TargetSet
from endivepick.records.model import ServiceRecord

__all__ = ["Placer", "TargetReport"]

_OWNER = "owner"


@dataclass(frozen=True)
class TargetReport:
    """What the owner of a target tells the placer.

    Attributes
    ----------
    target : str
        Name of the target.
    sent_s : float
        When the owner counted, in seconds.
    delay_s : float
        One way between the owner and the placer, in seconds.
    work : int
        Requests that run there or wait for it.
    rate_per_s : float
        Rate at which its flows send requests.
    flows : int
        Flows that are pinned to it.
    serves, healthy : bool
        Whether it takes requests, and whether its last probe succeeded.
    """

    target: str
    sent_s: float
    delay_s: float
    work: int
    rate_per_s: float
    flows: int
    serves: bool
    healthy: bool


class Placer:
    """Chooses targets by the product's rules, from reports instead of own counts.

    Parameters
    ----------
    settings : DispatchSettings
        Settings of the dispatcher.
    record : ServiceRecord
        Record in force.
    now_s : float
        Present time, in seconds.
    """

    def __init__(
        self, settings: DispatchSettings, record: ServiceRecord, now_s: float
    ) -> None:
        estimate = ServiceTimeEstimate(settings)
        self._targets = TargetSet(settings, record, estimate, now_s)
        self._serving = {target.name for target in record.targets}
        self._work = dict.fromkeys(self._serving, 0)
        self._placed_s: dict[str, list[float]] = {n: [] for n in self._serving}

    def update_record(self, record: ServiceRecord, now_s: float) -> None:
        """Take a newer record into force."""
        self._targets.update_record(record, now_s)
        leaving = {target.name for target in record.targets if target.draining}
        self._serving -= leaving

    def on_report(self, report: TargetReport) -> None:
        """Take in what an owner reports; what it has not seen yet is kept."""
        target = self._targets[report.target]
        arrived_s = report.sent_s - report.delay_s
        placed_s = [at_s for at_s in self._placed_s[target.name] if at_s > arrived_s]
        self._placed_s[target.name] = placed_s
        self._work[target.name] = report.work
        target.healthy = report.healthy
        target.flows = report.flows
        now_s = report.sent_s + report.delay_s
        target.activity.set_totals(report.rate_per_s, report.flows, now_s)
        if report.serves and not target.record.draining:
            self._serving.add(target.name)
        else:
            self._serving.discard(target.name)

    def place_flow(self, tried: set[str], tie: float, now_s: float) -> str:
        """Return the target of a new flow; empty if none serves."""
        targets = self._known(tried, now_s)
        if not targets:
            return ""
        chosen = choose_flow_target(targets, tie, now_s)
        self._targets.add_flow(chosen, FlowActivity(), now_s)
        return chosen.name

    def place_request(self, tried: set[str], tie: float, now_s: float) -> str:
        """Return the target of a single request; empty if none is left."""
        targets = self._known(tried, now_s)
        if not targets:
            return ""
        chosen = choose_target(targets, tried, tie, now_s)
        self._placed_s[chosen.name].append(now_s)
        return chosen.name

    def mean_pace_per_s(self, now_s: float) -> float:
        """Return how fast a flow sends on average, in requests per second."""
        flows = sum(target.flows for target in self._targets)
        rate_per_s = sum(target.activity.rate_per_s(now_s) for target in self._targets)
        return rate_per_s / max(1, flows)

    def _known(self, tried: set[str], now_s: float) -> list[TargetState]:
        """Return the targets that are left, with their work as known now."""
        targets = [
            target
            for target in self._targets
            if target.name in self._serving and target.name not in tried
        ]
        for target in targets:
            work = self._work[target.name] + len(self._placed_s[target.name])
            target.load.set_peer_count(_OWNER, work, now_s)
        return targets

"""Measures the load that the callers of this instance put on targets.

The requests in progress of a target are sampled at each tick and averaged with
exponential decay.  A tick visits the targets that have flows here, or had some in the
last seconds, so its cost does not grow with the number of targets of the installation.
"""

from collections.abc import Iterable
from math import exp

from msgspec import Struct

from endivepick.forwarding.belief import TargetBelief
from endivepick.forwarding.flows import FlowTable
from endivepick.forwarding.load.reports import (
    MAX_REPORT_TARGETS,
    MAX_SERVICE_SUMS,
    LoadReport,
    ServiceLoad,
    TargetLoad,
    list_busiest,
)
from endivepick.forwarding.registry import TargetRegistry
from endivepick.forwarding.service_counts import DECAY_TIME_S, decay

__all__ = ["LoadMeter"]

MEAN_TIME_S = 1.0
"""Time constant of the mean of the requests in progress, in seconds."""
MIN_MEAN = 0.005
"""Mean and rate below which a target without flows is forgotten; reports round to two
decimals."""


class _MeasuredTarget(Struct):
    """Mean load of a target.

    Attributes
    ----------
    belief : TargetBelief
        State of the target.
    busy : float
        Mean number of requests in progress.
    """

    belief: TargetBelief
    busy: float = 0.0


class LoadMeter:
    """Mean load of the targets that this instance forwards to.

    Parameters
    ----------
    flows : FlowTable
        Flows of this instance.
    registry : TargetRegistry
        All known targets.
    """

    def __init__(self, flows: FlowTable, registry: TargetRegistry) -> None:
        self._flows = flows
        self._registry = registry
        self._measured: dict[int, _MeasuredTarget] = {}
        self._sampled_s = float("-inf")

    def tick(self, now_s: float) -> None:
        """Sample the requests in progress."""
        for belief in self._flows.list_used_targets():
            if id(belief) not in self._measured:
                self._measured[id(belief)] = _MeasuredTarget(belief)
        gained = 1.0 - exp(-max(0.0, now_s - self._sampled_s) / MEAN_TIME_S)
        self._sampled_s = now_s
        for each in self._measured.values():
            each.busy += (_count_busy(each.belief) - each.busy) * gained
        self._forget_idle_targets(now_s)

    def report(self, now_s: float) -> LoadReport:
        """Return the load as of the last tick, and the answers per second."""
        targets = [
            _make_target_load(each)
            for each in self._measured.values()
            if each.belief.flows
        ]
        return LoadReport(
            list_busiest(targets, MAX_REPORT_TARGETS),
            _sum_services(self._measured.values(), now_s),
        )

    def _forget_idle_targets(self, now_s: float) -> None:
        idle = [
            key
            for key, each in self._measured.items()
            if not each.belief.flows and self._is_negligible(each, now_s)
        ]
        for key in idle:
            del self._measured[key]

    def _is_negligible(self, measured: _MeasuredTarget, now_s: float) -> bool:
        """Whether nothing of a target without flows would show in a report."""
        known = self._registry.get(measured.belief.name)
        if known is not measured.belief:
            return True
        rates_per_s = _compute_answer_rates_per_s(measured.belief, now_s)
        return max(measured.busy, *rates_per_s) < MIN_MEAN


def _count_busy(belief: TargetBelief) -> int:
    """Return the requests in progress that a target may be working on."""
    return belief.busy_flows - belief.stalled_flows


def _make_target_load(measured: _MeasuredTarget) -> TargetLoad:
    belief = measured.belief
    busy = round(measured.busy, 2)
    return TargetLoad(belief.name, belief.target.born_ms, busy, belief.flows)


def _sum_services(
    measured: Iterable[_MeasuredTarget], now_s: float
) -> list[ServiceLoad]:
    sums: dict[tuple[str, str], list[float]] = {}
    for each in measured:
        target = each.belief.target
        values = (each.busy, *_compute_answer_rates_per_s(each.belief, now_s))
        known = sums.setdefault((target.service, target.zone), [0.0] * len(values))
        for index, value in enumerate(values):
            known[index] += value
    loads = [
        ServiceLoad(*key, *(round(value, 2) for value in values))
        for key, values in sums.items()
    ]
    return sorted(loads, key=lambda load: -load.busy)[:MAX_SERVICE_SUMS]


def _compute_answer_rates_per_s(
    belief: TargetBelief, now_s: float
) -> tuple[float, float]:
    """Return all answers and the short ones, per second."""
    counts = decay(belief.requests, now_s)
    answered = counts.good + counts.poor + counts.late
    return answered / DECAY_TIME_S, counts.poor / DECAY_TIME_S

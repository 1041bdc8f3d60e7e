"""Load imbalance of the targets of a service, from callers' and targets' logs."""

import statistics
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass

from standins.evidence import Evidence

__all__ = ["Imbalance", "measure_imbalance"]

WINDOW_S = 1.0


@dataclass(frozen=True)
class Imbalance:
    """Ratio of peak to mean of requests in progress and waiting per slot.

    Attributes
    ----------
    median, maximum : float
        Over the windows with work; 1 means balanced, 0 means no such window.
    windows : int
        Number of windows with work.
    """

    median: float
    maximum: float
    windows: int


def measure_imbalance(evidence: Evidence, slots: Mapping[str, int]) -> Imbalance:
    """Measure the imbalance of one service.

    A request counts from sending to its end for the target that ran it, which
    includes the wait for a slot at any place.

    Parameters
    ----------
    evidence : Evidence
        Contents of the logs.
    slots : mapping of str to int
        Slots of each target of the service that served during the whole run.
    """
    busy_s: dict[int, dict[str, float]] = defaultdict(lambda: defaultdict(float))
    for echo, runs in evidence.runs_by_echo().items():
        request = evidence.requests.get(echo)
        for run in runs:
            if run.target not in slots or request is None:
                continue
            end_s = min(run.ended_s, request.ended_s)
            if end_s == float("inf"):
                continue
            _add_span(busy_s, run.target, request.sent_s, end_s)
    ratios = [_ratio(window, slots) for window in busy_s.values()]
    if not ratios:
        return Imbalance(0.0, 0.0, 0)
    return Imbalance(statistics.median(ratios), max(ratios), len(ratios))


def _add_span(
    busy_s: dict[int, dict[str, float]], target: str, from_s: float, until_s: float
) -> None:
    window = int(from_s / WINDOW_S)
    while from_s < until_s:
        window_end_s = (window + 1) * WINDOW_S
        busy_s[window][target] += min(until_s, window_end_s) - from_s
        from_s = window_end_s
        window += 1


def _ratio(busy_s: Mapping[str, float], slots: Mapping[str, int]) -> float:
    per_slot = [busy_s.get(target, 0.0) / count for target, count in slots.items()]
    mean = sum(busy_s.values()) / sum(slots.values())
    return max(per_slot) / mean

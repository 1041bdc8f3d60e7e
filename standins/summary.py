"""Steps and results of a demonstration and their summary."""

import time
from dataclasses import dataclass, field

from standins.checker import Promise, Report, UnplannedFailure, Violation
from standins.evidence import Evidence
from standins.imbalance import Imbalance, measure_imbalance
from standins.shapes import ServicePlan, Shape

__all__ = ["Scenario", "print_summary"]


@dataclass
class Scenario:
    """Steps and results of a demonstration.

    Attributes
    ----------
    started_s : float
        Monotonic time of the start.
    unplanned_failures : list of UnplannedFailure
        Unplanned failures.
    violations : list of Violation
        Broken promises that the logs do not show.
    in_force_s : list of float
        Time until each change was in force on all instances.
    drained : str
        Target that was drained.
    """

    started_s: float
    unplanned_failures: list[UnplannedFailure] = field(default_factory=list)
    violations: list[Violation] = field(default_factory=list)
    in_force_s: list[float] = field(default_factory=list)
    drained: str = ""

    def print_step(self, step: str) -> None:
        """Print a step with the time since the start."""
        print(f"{time.monotonic() - self.started_s:5.1f} s  {step}", flush=True)


def _measure_service(
    evidence: Evidence, service: ServicePlan, drained: str
) -> Imbalance:
    slots = {t.name: t.slots for t in service.targets if t.name != drained}
    return measure_imbalance(evidence, slots)


def print_summary(
    shape: Shape, scenario: Scenario, evidence: Evidence, report: Report
) -> None:
    """Print the counts of a demonstration."""
    counts = report.counts
    broken = {promise: len(report.broken(promise)) for promise in Promise}
    rows = [
        ("requests sent", counts["requests"]),
        ("whole answers", counts["answer_whole"]),
        ("refused as not run", counts["not_run"]),
        ("outcome unknown", counts["unknown"] + counts["gave_up"]),
        ("non-idempotent requests run twice", broken[Promise.ONCE]),
        ("packets that reached a wrong service", broken[Promise.SERVICE]),
        ("flows opened", counts["flows"]),
        ("streams held, events received", _format_streams(counts)),
        ("flows broken by planned changes", broken[Promise.FLOWS]),
        ("requests cut by planned changes", broken[Promise.GRACEFUL]),
    ]
    rows += [
        (f"imbalance of {service.name}", _format_imbalance(evidence, service, scenario))
        for service in shape.services
    ]
    in_force = ", ".join(f"{seconds:.2f}" for seconds in scenario.in_force_s)
    rows.append(("seconds until changes were in force everywhere", in_force))
    print()
    for name, value in rows:
        print(f"{name:<50} {value}")


def _format_streams(counts: dict[str, int]) -> str:
    return f"{counts['streams']}, {counts['stream_events']}"


def _format_imbalance(
    evidence: Evidence, service: ServicePlan, scenario: Scenario
) -> str:
    imbalance = _measure_service(evidence, service, scenario.drained)
    return f"{imbalance.median:.2f} (median of {imbalance.windows} seconds)"

"""Load reports with one rule broken, and the checks of their model."""

from collections.abc import Callable
from dataclasses import replace

from endivepick.forwarding.load.reports import LoadReport, ReportedLoad
from endivepick.forwarding.load.zone_sums import ZoneSums, merge_loads
from endivepick.model.checker import Specification
from endivepick.model.load_reports import (
    LoadReportBounds,
    load_report_specification,
)

__all__ = ["LOAD_REPORT_MUTATIONS", "LOAD_REPORT_SCENARIOS"]


class IgnoresNumbers(ZoneSums):
    """Sums in which the report received last counts."""

    def _supersedes(self, *_: object) -> bool:
        return True


class TellsSums(ZoneSums):
    """Sums that are told as one report, so that both feeders count an instance."""

    def list_reports(
        self, own_report: LoadReport, own_number: int, now_s: float
    ) -> list[ReportedLoad]:
        """Return the sum of all reports as that of this instance."""
        self._forget_expired(now_s)
        held = [each.report for each in self._held.values()]
        summed = merge_loads([own_report, *held])
        return [ReportedLoad(self.own_address, own_number, 0.0, summed)]


class KeepsExpired(ZoneSums):
    """Sums in which a report counts until the next one."""

    def _is_expired(self, *_: object) -> bool:
        return False


class TellsNoAge(ZoneSums):
    """Sums that tell reports as if they had just been received."""

    def list_reports(
        self, own_report: LoadReport, own_number: int, now_s: float
    ) -> list[ReportedLoad]:
        """Return the reports without their age."""
        reports = super().list_reports(own_report, own_number, now_s)
        return [
            ReportedLoad(each.reporter, each.number, 0.0, each.report)
            for each in reports
        ]


def _start_at_zero(last_number: int) -> int:
    return 0


def _load_reports(bounds: LoadReportBounds) -> Callable[[str], Specification]:
    return lambda name: load_report_specification(name, bounds)


_DEFAULT_BOUNDS = LoadReportBounds()
_RESTART_BOUNDS = LoadReportBounds(reports=3, seconds=1, restarts=1)
LOAD_REPORT_SCENARIOS: dict[str, Callable[[str], Specification]] = {
    "load reports": _load_reports(_DEFAULT_BOUNDS),
    "load reports, a restart": _load_reports(_RESTART_BOUNDS),
}
"""Factories of the specifications to check, by name."""

LOAD_REPORT_MUTATIONS: dict[str, Callable[[str], Specification]] = {
    "numbers of load reports are ignored": _load_reports(
        replace(_DEFAULT_BOUNDS, sums=IgnoresNumbers)
    ),
    "feeders tell each other sums": _load_reports(
        replace(_DEFAULT_BOUNDS, sums=TellsSums)
    ),
    "a restarted instance numbers its reports from zero": _load_reports(
        replace(_RESTART_BOUNDS, restart_number=_start_at_zero)
    ),
    "an expired load report counts": _load_reports(
        replace(_DEFAULT_BOUNDS, sums=KeepsExpired)
    ),
    "a load report is told without its age": _load_reports(
        replace(_DEFAULT_BOUNDS, sums=TellsNoAge)
    ),
}
"""Factories of the specifications with one broken rule, by name."""

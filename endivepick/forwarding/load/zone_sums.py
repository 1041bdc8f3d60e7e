"""Sums the load reports of a zone's instances, as a feeder keeps them.

Of each instance one report counts: the newest of those that it sent to this feeder or
to other feeders of the zone.  So an instance that changes feeders is counted once,
whichever of the two forgets its report first.
"""

from collections.abc import Iterable
from typing import TypeVar

from msgspec import Struct

from endivepick.forwarding.load.reports import (
    MAX_SERVICE_SUMS,
    MAX_ZONE_TARGETS,
    LoadReport,
    ReportedLoad,
    ServiceLoad,
    TargetLoad,
    ZoneLoad,
    ZoneTotals,
    list_busiest,
    sanitize_load,
    sanitize_totals,
)

__all__ = ["ZoneSums", "merge_loads"]

LOAD_REPORT_VALID_S = 2.0
"""How long a report counts, in seconds; an instance sends one at each poll, and it
leaves a feeder that does not answer within 1.2 s."""
RELAYED_VALID_S = 3.0
"""The same for a report that another feeder received, in seconds; feeders exchange
reports each second."""
TOTALS_VALID_S = 3.0
"""How long the totals of another zone count, in seconds; they are asked for each
second."""
MAX_NUMBER = 2**53
"""Largest valid number of a report; each instance counts from the time of its start, in
Unix milliseconds."""
MAX_REPORTERS = 2048
"""Maximum number of instances of a zone whose reports are kept."""
MAX_RELAYED_TARGETS = 1024
"""Maximum number of targets in all reports that one feeder sends to another."""


_Key = TypeVar("_Key")


class _HeldReport(Struct):
    """Newest report of an instance.

    Attributes
    ----------
    number : int
        Number of the report.
    feeder : str
        Address of the feeder that the instance sent it to.
    received_s : float
        When that feeder received it, in seconds.
    report : LoadReport
        The report.
    """

    number: int
    feeder: str
    received_s: float
    report: LoadReport


class ZoneSums:
    """Newest reports of the instances of a zone, and the totals of other zones.

    Parameters
    ----------
    zone : str
        Availability zone of this instance.
    """

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._held: dict[str, _HeldReport] = {}
        self._totals: dict[str, tuple[float, ZoneTotals]] = {}
        self.own_address = ""
        """Address at which peers reach this instance."""

    def record(
        self, reporter: str, number: int, report: LoadReport, now_s: float
    ) -> None:
        """Record the report that an instance sent to this feeder.

        Parameters
        ----------
        reporter : str
            Address of the instance.
        number : int
            Number of the report.
        report : LoadReport
            The report.
        now_s : float
            Current time, in seconds.
        """
        received = _HeldReport(number, self.own_address, now_s, report)
        self._record(reporter, received, now_s)

    def record_relayed(
        self, feeder: str, reports: Iterable[ReportedLoad], now_s: float
    ) -> None:
        """Record the reports that instances sent to another feeder of the zone.

        Parameters
        ----------
        feeder : str
            Address of the other feeder.
        reports : iterable of ReportedLoad
            Its reports.
        now_s : float
            Current time, in seconds.
        """
        for each in reports:
            if not 0.0 <= each.age_s <= RELAYED_VALID_S:
                continue
            received_s = now_s - each.age_s
            received = _HeldReport(each.number, feeder, received_s, each.report)
            self._record(each.reporter, received, now_s)

    def record_totals(self, totals: ZoneTotals, now_s: float) -> None:
        """Record the totals of another zone unless newer ones are known."""
        valid = sanitize_totals(totals)
        if valid is None or valid.zone == self._zone:
            return
        made_s = now_s - valid.age_s
        known = self._totals.get(valid.zone)
        if known is None or made_s > known[0]:
            self._totals[valid.zone] = (made_s, valid)

    def zone_load(self, own_report: LoadReport, now_s: float) -> ZoneLoad:
        """Return the load of the zone and the totals of the others.

        Parameters
        ----------
        own_report : LoadReport
            Load that the callers of this instance put on targets.
        now_s : float
            Current time, in seconds.
        """
        self._forget_expired(now_s)
        held = [
            each.report
            for reporter, each in self._held.items()
            if reporter != self.own_address
        ]
        others = [
            ZoneTotals(zone, round(max(0.0, now_s - made_s), 2), totals.services)
            for zone, (made_s, totals) in self._totals.items()
        ]
        load = ZoneLoad(merge_loads([own_report, *held]), others)
        return load.shortened(MAX_ZONE_TARGETS)

    def list_reports(
        self, own_report: LoadReport, own_number: int, now_s: float
    ) -> list[ReportedLoad]:
        """Return the report of this instance and those that were sent to it."""
        self._forget_expired(now_s)
        reports = [ReportedLoad(self.own_address, own_number, 0.0, own_report)]
        for reporter, each in self._held.items():
            if each.feeder == self.own_address != reporter:
                age_s = round(max(0.0, now_s - each.received_s), 3)
                reports.append(ReportedLoad(reporter, each.number, age_s, each.report))
        quota = MAX_RELAYED_TARGETS // len(reports)
        return [_truncate_targets(each, quota) for each in reports]

    def _record(self, reporter: str, received: _HeldReport, now_s: float) -> None:
        if not 0 <= received.number <= MAX_NUMBER:
            return
        known = self._held.get(reporter)
        if known is None and len(self._held) >= MAX_REPORTERS:
            return
        if known is not None and not self._supersedes(received, known, now_s):
            return
        received.report = sanitize_load(received.report)
        self._held[reporter] = received

    def _forget_expired(self, now_s: float) -> None:
        self._held = {
            reporter: each
            for reporter, each in self._held.items()
            if not self._is_expired(each, now_s)
        }
        self._totals = {
            zone: known
            for zone, known in self._totals.items()
            if now_s - known[0] <= TOTALS_VALID_S
        }

    def _supersedes(
        self, received: _HeldReport, known: _HeldReport, now_s: float
    ) -> bool:
        """Whether a received report counts in place of the known one."""
        if self._is_expired(known, now_s) or received.number > known.number:
            return True
        return received.number == known.number and received.feeder < known.feeder

    def _is_expired(self, held: _HeldReport, now_s: float) -> bool:
        relayed = held.feeder != self.own_address
        valid_s = RELAYED_VALID_S if relayed else LOAD_REPORT_VALID_S
        return now_s - held.received_s > valid_s


def merge_loads(reports: Iterable[LoadReport]) -> LoadReport:
    """Return the sum of the reports of several instances."""
    targets: dict[tuple[str, int], list[float]] = {}
    services: dict[tuple[str, str], list[float]] = {}
    instances = 0
    for report in reports:
        instances += report.instances
        for target in report.targets:
            _add(targets, target.key, (target.busy, target.open_flows))
        for load in report.services:
            rates_per_s = (load.answered_per_s, load.short_per_s)
            _add(services, load.key, (load.busy, *rates_per_s))
    summed = [
        TargetLoad(*key, round(busy, 2), int(open_flows))
        for key, (busy, open_flows) in targets.items()
    ]
    sums = [
        ServiceLoad(*key, *(round(value, 2) for value in values))
        for key, values in services.items()
    ]
    return LoadReport(
        list_busiest(summed, len(summed)),
        sorted(sums, key=lambda load: -load.busy)[:MAX_SERVICE_SUMS],
        instances,
    )


def _add(sums: dict[_Key, list[float]], key: _Key, values: tuple[float, ...]) -> None:
    known = sums.get(key)
    if known is None:
        sums[key] = list(values)
        return
    for index, value in enumerate(values):
        known[index] += value


def _truncate_targets(reported: ReportedLoad, quota: int) -> ReportedLoad:
    report = reported.report
    if len(report.targets) <= quota:
        return reported
    shown = LoadReport(report.targets[:quota], report.services, report.instances)
    return ReportedLoad(reported.reporter, reported.number, reported.age_s, shown)

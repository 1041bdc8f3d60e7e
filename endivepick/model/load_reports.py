"""Specification of load reports: each instance counts once in the sums of a feeder.

Two feeders run the production sums and tell each other their reports.  An instance
sends numbered reports to either of them, or to both; within a second they may arrive
late, in any order, several times or not at all.  The instance may restart, with higher
numbers.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import NamedTuple

from endivepick.forwarding.load.reports import LoadReport, ReportedLoad, TargetLoad
from endivepick.forwarding.load.zone_sums import (
    LOAD_REPORT_VALID_S,
    RELAYED_VALID_S,
    ZoneSums,
)
from endivepick.model._freeze import freeze
from endivepick.model._transition_cache import TransitionCache
from endivepick.model.checker import Specification

__all__ = ["LoadReportBounds", "load_report_specification"]

_FEEDERS = ("a", "b")
_REPORTER = "c"
_NONE = -1
Step = tuple[str, "LoadReportWorld"]
Counted = tuple[tuple[str, int], ...]
"""Reports in the sums of a feeder, and how often each of them counts."""


def _start_numbers_higher(last_number: int) -> int:
    return last_number + 10


@dataclass(frozen=True)
class LoadReportBounds:
    """Limits on the events in one run of the model.

    Attributes
    ----------
    reports : int
        Maximum number of reports.
    seconds : int
        Seconds that pass.
    restarts : int
        Maximum number of restarts of the instance.
    sums : callable
        Creates the sums of a feeder; a mutation replaces it.
    restart_number : callable
        Returns the number before the first one of a restarted instance, from the last
        one of its former process; a mutation replaces it.
    """

    reports: int = 2
    seconds: int = 4
    restarts: int = 0
    sums: Callable[[str], ZoneSums] = ZoneSums
    restart_number: Callable[[int], int] = _start_numbers_higher


class LoadReportWorld(NamedTuple):
    """One state of the model.

    Attributes
    ----------
    feeders : tuple of int
        State number of the sums of each feeder.
    now_s : int
        Seconds that have passed.
    sent : tuple of (int, int)
        Number and time of each report, in the order in which they were made.
    last_number : int
        Number from which the instance counts its next report.
    newest : tuple of int
        Index of the newest report that each feeder has received; -1 if none.
    restarts : int
        Restarts that the bounds still allow.
    """

    feeders: tuple[int, ...]
    now_s: int
    sent: tuple[tuple[int, int], ...]
    last_number: int
    newest: tuple[int, ...]
    restarts: int


def load_report_specification(name: str, bounds: LoadReportBounds) -> Specification:
    """Build the specification of load reports within given bounds."""
    model = _LoadReportModel(bounds)
    return Specification(
        name=name,
        initial=model.initial(),
        steps=model.steps,
        invariants={
            "no instance counts twice": model.counts_once,
            "no report older than the newest received counts": model.counts_newest,
            "no expired report counts": model.counts_valid,
            "the newest received counts until it expires": model.counts_received,
        },
    )


class _LoadReportModel:
    def __init__(self, bounds: LoadReportBounds) -> None:
        self._bounds = bounds
        self._sums: TransitionCache[ZoneSums] = TransitionCache(freeze)

    def initial(self) -> LoadReportWorld:
        """Return the state in which nothing was reported."""
        feeders = tuple(self._fresh(index) for index in range(len(_FEEDERS)))
        newest = (_NONE,) * len(_FEEDERS)
        return LoadReportWorld(feeders, 0, (), 0, newest, self._bounds.restarts)

    def _fresh(self, index: int) -> int:
        sums = self._bounds.sums("zone")
        sums.own_address = _FEEDERS[index]
        return self._sums.number_of(sums)

    def steps(self, world: LoadReportWorld) -> Iterator[Step]:
        """Yield every step out of a state, with its label."""
        if world.now_s < self._bounds.seconds:
            yield "a second passes", world._replace(now_s=world.now_s + 1)
        yield from self._report_steps(world)
        for index in range(len(_FEEDERS)):
            yield self._relay(world, index)
        if world.restarts:
            started = world._replace(
                last_number=self._bounds.restart_number(world.last_number),
                restarts=world.restarts - 1,
            )
            yield "instance starts again", started

    def _report_steps(self, world: LoadReportWorld) -> Iterator[Step]:
        if len(world.sent) < self._bounds.reports:
            number = world.last_number + 1
            sent = (*world.sent, (number, world.now_s))
            reported = world._replace(sent=sent, last_number=number)
            yield f"instance makes report {len(world.sent)}", reported
        for report, (_, sent_s) in enumerate(world.sent):
            if sent_s == world.now_s:
                for index in range(len(_FEEDERS)):
                    yield self._deliver(world, report, index)

    def _deliver(self, world: LoadReportWorld, report: int, index: int) -> Step:
        number, _ = world.sent[report]
        now_s = float(world.now_s)

        def act(sums: ZoneSums) -> None:
            sums.record(_REPORTER, number, _make_report(f"report {report}"), now_s)

        event = ("report", report, number, now_s)
        state, _ = self._sums.apply_event(world.feeders[index], event, act)
        label = f"feeder {_FEEDERS[index]} receives report {report}"
        return label, _receive(world, index, state, report)

    def _relay(self, world: LoadReportWorld, index: int) -> Step:
        """Tell the reports of one feeder to the other one."""
        feeder, now_s = _FEEDERS[index], float(world.now_s)

        def tell(sums: ZoneSums) -> list[ReportedLoad]:
            return sums.list_reports(_make_report(feeder), world.now_s, now_s)

        told_state, told = self._sums.apply_event(
            world.feeders[index], ("tells", now_s), tell
        )
        other = 1 - index
        state, _ = self._sums.apply_event(
            world.feeders[other],
            ("is told", freeze(told), now_s),
            lambda sums: sums.record_relayed(feeder, told, now_s),
        )
        relayed = [each for each in told if each.reporter == _REPORTER]
        newest = max((_find_report(each) for each in relayed), default=_NONE)
        telling = _receive(world, index, told_state, _NONE)
        label = f"feeder {feeder} tells the other its reports"
        return label, _receive(telling, other, state, newest)

    def _count(self, world: LoadReportWorld, index: int) -> Counted:
        """Return how often each report counts in the sums of a feeder."""
        feeder, now_s = _FEEDERS[index], float(world.now_s)

        def act(sums: ZoneSums) -> Counted:
            load = sums.zone_load(_make_report(feeder), now_s)
            return tuple((each.name, each.open_flows) for each in load.own.targets)

        _, counted = self._sums.apply_event(world.feeders[index], ("sums", now_s), act)
        return counted

    def _list_counted(self, world: LoadReportWorld, index: int) -> list[int]:
        """Return the indexes of the instance's reports that count at a feeder."""
        names = {name for name, _ in self._count(world, index)}
        made = range(len(world.sent))
        return [report for report in made if f"report {report}" in names]

    def counts_once(self, world: LoadReportWorld) -> bool:
        """Tell whether each instance counts once at most at each feeder."""
        for index in range(len(_FEEDERS)):
            counts = dict.fromkeys((*_FEEDERS, _REPORTER), 0)
            for name, times in self._count(world, index):
                counts[name if name in _FEEDERS else _REPORTER] += times
            if max(counts.values()) > 1:
                return False
        return True

    def counts_newest(self, world: LoadReportWorld) -> bool:
        """Tell whether nothing older than the newest received report counts."""
        return all(
            report >= newest
            for index, newest in enumerate(world.newest)
            for report in self._list_counted(world, index)
        )

    def counts_valid(self, world: LoadReportWorld) -> bool:
        """Tell whether all reports that count are recent."""
        return all(
            world.now_s - world.sent[report][1] <= RELAYED_VALID_S
            for index in range(len(_FEEDERS))
            for report in self._list_counted(world, index)
        )

    def counts_received(self, world: LoadReportWorld) -> bool:
        """Tell whether the newest report of each feeder counts while it is recent."""
        return all(
            newest == _NONE
            or world.now_s - world.sent[newest][1] > LOAD_REPORT_VALID_S
            or newest in self._list_counted(world, index)
            for index, newest in enumerate(world.newest)
        )


def _make_report(name: str) -> LoadReport:
    """Return a report that is recognised in the sums by its only target."""
    return LoadReport([TargetLoad(name, 0, 1.0, 1)])


def _find_report(reported: ReportedLoad) -> int:
    return int(reported.report.targets[0].name.split()[-1])


def _receive(
    world: LoadReportWorld, index: int, state: int, report: int
) -> LoadReportWorld:
    feeders, newest = list(world.feeders), list(world.newest)
    feeders[index] = state
    newest[index] = max(newest[index], report)
    return world._replace(feeders=tuple(feeders), newest=tuple(newest))

"""One ordered list of events out of the logs of all processes."""

import heapq
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from graphlib import CycleError, TopologicalSorter
from itertools import pairwise
from pathlib import Path

from endivepick.timeline.causes import Edge, cross_edges, order_edges
from endivepick.timeline.events import LogEvent, read_log
from endivepick.timeline.offsets import estimate_times_s

__all__ = ["Timeline", "TimelineEvent", "merge_events", "merge_logs"]


@dataclass(frozen=True)
class TimelineEvent:
    """An event with its place.

    Attributes
    ----------
    time_s : float
        Time on the instances' common scale, in seconds since 1970.
    log : LogEvent
        The event.
    causes : tuple of int
        Positions in the time line of events in other logs that came before.
    """

    time_s: float
    log: LogEvent
    causes: tuple[int, ...] = ()


@dataclass(frozen=True)
class Timeline:
    """Events in an order that respects causes.

    Attributes
    ----------
    events : tuple of TimelineEvent
        In order.
    contradictions : int
        Edges that were left out because the logs contradict each other, for
        example after a log was edited or two runs share a file.
    """

    events: tuple[TimelineEvent, ...]
    contradictions: int = 0


def merge_logs(paths: Iterable[str | Path]) -> Timeline:
    """Merge log files.

    Parameters
    ----------
    paths : iterable of str or Path
        One file per process, in any order.

    Returns
    -------
    Timeline
        All events.

    Raises
    ------
    OSError
        If a file cannot be read.
    """
    return merge_events([event for path in paths for event in read_log(path)])


def merge_events(events: Sequence[LogEvent]) -> Timeline:
    """Order events that were read from any number of logs."""
    between = list(cross_edges(events))
    times_s = estimate_times_s(events, between)
    order, used = _sort(times_s, list(order_edges(events)), between)
    positions = {index: position for position, index in enumerate(order)}
    causes: dict[int, list[int]] = {}
    for edge in used:
        causes.setdefault(edge.effect, []).append(positions[edge.cause])
    merged = tuple(
        TimelineEvent(times_s[index], events[index], tuple(causes.get(index, ())))
        for index in order
    )
    return Timeline(merged, len(between) - len(used))


def _sort(
    times_s: Sequence[float], fixed: Sequence[Edge], between: Sequence[Edge]
) -> tuple[list[int], list[Edge]]:
    """Sort by cause, then by time; drop edges between logs that form a cycle."""
    used = list(between)
    while True:
        sorter = TopologicalSorter({index: () for index in range(len(times_s))})
        for edge in (*fixed, *used):
            sorter.add(edge.effect, edge.cause)
        try:
            sorter.prepare()
        except CycleError as error:
            cycle = {Edge(cause, effect) for cause, effect in pairwise(error.args[1])}
            used = [edge for edge in used if edge not in cycle]
            continue
        return _earliest_first(sorter, times_s), used


def _earliest_first(sorter: TopologicalSorter, times_s: Sequence[float]) -> list[int]:
    order = []
    ready: list[tuple[float, int]] = []
    while sorter.is_active():
        for index in sorter.get_ready():
            heapq.heappush(ready, (times_s[index], index))
        _, earliest = heapq.heappop(ready)
        sorter.done(earliest)
        order.append(earliest)
    return order

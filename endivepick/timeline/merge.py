"""Merge of the logs of all processes into one ordered list of events."""

import heapq
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from graphlib import CycleError, TopologicalSorter
from itertools import pairwise
from pathlib import Path

from endivepick.timeline.causes import Edge, find_cross_log_edges, find_log_edges
from endivepick.timeline.events import LogEvent, read_log
from endivepick.timeline.offsets import estimate_times_s

__all__ = ["Timeline", "TimelineEvent", "merge_events", "merge_logs"]


@dataclass(frozen=True)
class TimelineEvent:
    """An event with its estimated time and its causes.

    Attributes
    ----------
    time_s : float
        Time on the common time scale of the instances, in seconds since 1970.
    log : LogEvent
        The event.
    causes : tuple of int
        Timeline positions of events in other logs that happened before.
    """

    time_s: float
    log: LogEvent
    causes: tuple[int, ...] = ()


@dataclass(frozen=True)
class Timeline:
    """Events in causal order.

    Attributes
    ----------
    events : tuple of TimelineEvent
        Ordered events.
    contradictions : int
        Number of edges that were ignored because the logs contradict each other, for
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
        Events of all logs.

    Raises
    ------
    OSError
        If a file cannot be read.
    """
    return merge_events([event for path in paths for event in read_log(path)])


def merge_events(events: Sequence[LogEvent]) -> Timeline:
    """Order events of any number of logs."""
    cross_edges = list(find_cross_log_edges(events))
    times_s = estimate_times_s(events, cross_edges)
    order, accepted_edges = _sort_events(
        times_s, list(find_log_edges(events)), cross_edges
    )
    positions = {index: position for position, index in enumerate(order)}
    causes: dict[int, list[int]] = {}
    for edge in accepted_edges:
        causes.setdefault(edge.effect, []).append(positions[edge.cause])
    merged = tuple(
        TimelineEvent(times_s[index], events[index], tuple(causes.get(index, ())))
        for index in order
    )
    return Timeline(merged, len(cross_edges) - len(accepted_edges))


def _sort_events(
    times_s: Sequence[float], log_edges: Sequence[Edge], cross_edges: Sequence[Edge]
) -> tuple[list[int], list[Edge]]:
    """Sort by causal order, then by time; ignore cross-log edges that form a cycle."""
    accepted_edges = list(cross_edges)
    while True:
        sorter = TopologicalSorter({index: () for index in range(len(times_s))})
        for edge in (*log_edges, *accepted_edges):
            sorter.add(edge.effect, edge.cause)
        try:
            sorter.prepare()
        except CycleError as error:
            cycle = {Edge(cause, effect) for cause, effect in pairwise(error.args[1])}
            accepted_edges = [edge for edge in accepted_edges if edge not in cycle]
            continue
        return _order_by_time(sorter, times_s), accepted_edges


def _order_by_time(sorter: TopologicalSorter, times_s: Sequence[float]) -> list[int]:
    order = []
    ready: list[tuple[float, int]] = []
    while sorter.is_active():
        for index in sorter.get_ready():
            heapq.heappush(ready, (times_s[index], index))
        _, earliest = heapq.heappop(ready)
        sorter.done(earliest)
        order.append(earliest)
    return order

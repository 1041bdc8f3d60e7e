"""Happened-before relation between the events of all processes.

Instances share a hybrid logical clock, which orders their events totally.  Events in
logs without that clock (callers, targets, platform) are related to them by request key
and by record version.  Every process logs an event before it sends the message, so
that each edge is certain.
"""

from collections import defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from itertools import pairwise

from endivepick.timeline.events import LogEvent

__all__ = [
    "ANSWER_RECEIVED",
    "ATTEMPT_STARTED",
    "REQUEST_ANSWERED",
    "REQUEST_SENT",
    "Edge",
    "find_cross_log_edges",
    "find_log_edges",
]

REQUEST_SENT = "request_sent"
"""Caller: the first part of a request is about to be sent."""
ATTEMPT_STARTED = "attempt_started"
"""Owner: the request is about to be sent to ``target``."""
REQUEST_ANSWERED = "request_answered"
"""Owner: the complete answer of the target has been received."""
ANSWER_RECEIVED = "answer_received"
"""Caller: the complete answer has been received."""
_TARGET_START_EVENTS = frozenset({"start", "stream_start"})
_TARGET_END_EVENTS = frozenset({"end"})
_RECORD_WRITE_EVENT = "write"


@dataclass(frozen=True)
class Edge:
    """The event at index ``cause`` happened before the event at index ``effect``."""

    cause: int
    effect: int


def find_log_edges(events: Sequence[LogEvent]) -> Iterator[Edge]:
    """Yield the order of all events with a hybrid clock, and of each other log."""
    clocked = [i for i, event in enumerate(events) if event.clock is not None]
    clocked.sort(key=lambda i: (events[i].clock, events[i].source, events[i].line))
    chains = defaultdict(list)
    for index, event in enumerate(events):
        if event.clock is None:
            chains[event.source].append(index)
    for chain in chains.values():
        chain.sort(key=lambda i: events[i].line)
    for chain in [clocked, *chains.values()]:
        for cause, effect in pairwise(chain):
            yield Edge(cause, effect)


def find_cross_log_edges(events: Sequence[LogEvent]) -> Iterator[Edge]:
    """Yield edges between logs without a hybrid clock and logs with one."""
    requests = defaultdict(list)
    for index, event in enumerate(events):
        if event.request is not None:
            requests[event.request].append(index)
    for indices in requests.values():
        yield from _find_request_edges(events, indices)
    yield from _find_record_edges(events)


def _find_request_edges(
    events: Sequence[LogEvent], indices: Sequence[int]
) -> Iterator[Edge]:
    sent = _find_first_event(events, indices, REQUEST_SENT)
    answered = _find_first_event(events, indices, REQUEST_ANSWERED)
    received = _find_first_event(events, indices, ANSWER_RECEIVED)
    first_clocked = _find_first_clocked_event(events, indices)
    if sent is not None and first_clocked not in (None, sent):
        yield Edge(sent, first_clocked)  # type: ignore[arg-type]
    if answered is not None and received is not None:
        yield Edge(answered, received)
    yield from _find_target_edges(events, indices, answered)


def _find_target_edges(
    events: Sequence[LogEvent], indices: Sequence[int], answered: int | None
) -> Iterator[Edge]:
    answering = _find_answering_target(events, indices, answered)
    for index in indices:
        event = events[index]
        if event.clock is not None or event.target is None:
            continue
        if event.event in _TARGET_START_EVENTS:
            started = _find_first_event(events, indices, ATTEMPT_STARTED, event.target)
            if started is not None:
                yield Edge(started, index)
        is_end = event.event in _TARGET_END_EVENTS and event.target == answering
        if is_end and answered is not None:
            yield Edge(index, answered)


def _find_answering_target(
    events: Sequence[LogEvent], indices: Sequence[int], answered: int | None
) -> str | None:
    """Return the target of the last attempt before the answer."""
    if answered is None:
        return None
    until = events[answered].clock or 0
    attempts = [
        events[index]
        for index in indices
        if events[index].event == ATTEMPT_STARTED and (events[index].clock or 0) < until
    ]
    last = max(attempts, key=lambda event: event.clock or 0, default=None)
    return last.target if last else None


def _find_record_edges(events: Sequence[LogEvent]) -> Iterator[Edge]:
    written = {
        (event.record, event.fields.get("version")): index
        for index, event in enumerate(events)
        if event.event == _RECORD_WRITE_EVENT and event.clock is None
    }
    readers = defaultdict(list)
    for index, event in enumerate(events):
        version = (event.record, event.fields.get("version"))
        if event.clock is not None and version in written:
            readers[version].append(index)
    for version, indices in readers.items():
        first = _find_first_clocked_event(events, indices)
        if first is not None:
            yield Edge(written[version], first)


def _find_first_event(
    events: Sequence[LogEvent],
    indices: Sequence[int],
    name: str,
    target: str | None = None,
) -> int | None:
    """Return the first event of a name by clock, or by line if it has no clock."""
    found = [
        index
        for index in indices
        if events[index].event == name
        and (target is None or events[index].target == target)
    ]
    return min(
        found, key=lambda i: (events[i].clock or 0, events[i].line), default=None
    )


def _find_first_clocked_event(
    events: Sequence[LogEvent], indices: Sequence[int]
) -> int | None:
    clocked = [index for index in indices if events[index].clock is not None]
    return min(clocked, key=lambda i: events[i].clock or 0, default=None)

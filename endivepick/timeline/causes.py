"""Which event can have caused which, across processes.

Instances share a hybrid logical clock, so their events are one chain.  Logs
without that clock (callers, targets, platform) are tied to it by the request key
and by the version of a record.  Every process logs before it sends, which makes
each edge below certain and not a guess.
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
    "cross_edges",
    "order_edges",
]

REQUEST_SENT = "request_sent"
"""Caller: the first part of a request is about to leave."""
ATTEMPT_STARTED = "attempt_started"
"""Owner: the request is about to go to ``target``."""
REQUEST_ANSWERED = "request_answered"
"""Owner: the target's whole answer has come."""
ANSWER_RECEIVED = "answer_received"
"""Caller: the whole answer has come."""
_TARGET_FIRST = frozenset({"start", "stream_start"})
_TARGET_LAST = frozenset({"end"})
_RECORD_WRITTEN = "write"


@dataclass(frozen=True)
class Edge:
    """The event at index ``cause`` came before the one at index ``effect``."""

    cause: int
    effect: int


def order_edges(events: Sequence[LogEvent]) -> Iterator[Edge]:
    """Chain the events with a hybrid clock, and those of each other log."""
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


def cross_edges(events: Sequence[LogEvent]) -> Iterator[Edge]:
    """Tie logs without a hybrid clock to the others."""
    requests = defaultdict(list)
    for index, event in enumerate(events):
        if event.request is not None:
            requests[event.request].append(index)
    for indices in requests.values():
        yield from _request_edges(events, indices)
    yield from _record_edges(events)


def _request_edges(
    events: Sequence[LogEvent], indices: Sequence[int]
) -> Iterator[Edge]:
    sent = _first(events, indices, REQUEST_SENT)
    answered = _first(events, indices, REQUEST_ANSWERED)
    received = _first(events, indices, ANSWER_RECEIVED)
    first_clocked = _first_clocked(events, indices)
    if sent is not None and first_clocked not in (None, sent):
        yield Edge(sent, first_clocked)  # type: ignore[arg-type]
    if answered is not None and received is not None:
        yield Edge(answered, received)
    yield from _target_edges(events, indices, answered)


def _target_edges(
    events: Sequence[LogEvent], indices: Sequence[int], answered: int | None
) -> Iterator[Edge]:
    answering = _answering_target(events, indices, answered)
    for index in indices:
        event = events[index]
        if event.clock is not None or event.target is None:
            continue
        if event.event in _TARGET_FIRST:
            started = _first(events, indices, ATTEMPT_STARTED, event.target)
            if started is not None:
                yield Edge(started, index)
        is_end = event.event in _TARGET_LAST and event.target == answering
        if is_end and answered is not None:
            yield Edge(index, answered)


def _answering_target(
    events: Sequence[LogEvent], indices: Sequence[int], answered: int | None
) -> str | None:
    """Find the target of the last attempt before the answer."""
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


def _record_edges(events: Sequence[LogEvent]) -> Iterator[Edge]:
    written = {
        (event.record, event.fields.get("version")): index
        for index, event in enumerate(events)
        if event.event == _RECORD_WRITTEN and event.clock is None
    }
    readers = defaultdict(list)
    for index, event in enumerate(events):
        version = (event.record, event.fields.get("version"))
        if event.clock is not None and version in written:
            readers[version].append(index)
    for version, indices in readers.items():
        first = _first_clocked(events, indices)
        if first is not None:
            yield Edge(written[version], first)


def _first(
    events: Sequence[LogEvent],
    indices: Sequence[int],
    name: str,
    target: str | None = None,
) -> int | None:
    """Find the first event of a name; for unclocked ones in the log's order."""
    found = [
        index
        for index in indices
        if events[index].event == name
        and (target is None or events[index].target == target)
    ]
    return min(
        found, key=lambda i: (events[i].clock or 0, events[i].line), default=None
    )


def _first_clocked(events: Sequence[LogEvent], indices: Sequence[int]) -> int | None:
    clocked = [index for index in indices if events[index].clock is not None]
    return min(clocked, key=lambda i: events[i].clock or 0, default=None)

"""Filter of timeline events."""

from collections.abc import Sequence
from dataclasses import dataclass

from endivepick.timeline.events import RequestKey
from endivepick.timeline.flows import find_flow_scope
from endivepick.timeline.merge import Timeline, TimelineEvent

__all__ = ["EventFilter", "select_events"]


@dataclass(frozen=True)
class EventFilter:
    """Criteria for events; empty fields match everything.

    Attributes
    ----------
    flow : int or None
        Flow id.
    request : RequestKey or None
        Key of a request.
    target : str or None
        Name of a target.
    record : str or None
        Name of a service record.
    since_s, until_s : float or None
        Time bounds, in seconds since 1970.
    flow_key : str
        Addresses of a forwarder flow, or a substring of them; events of its targets,
        services and processes around that time match as well.
    """

    flow: int | None = None
    request: RequestKey | None = None
    target: str | None = None
    record: str | None = None
    since_s: float | None = None
    until_s: float | None = None
    flow_key: str = ""

    def matches(self, event: TimelineEvent) -> bool:
        """Return whether an event matches all criteria except ``flow_key``."""
        log = event.log
        return (
            (self.flow is None or log.flow == self.flow)
            and (self.request is None or log.request == self.request)
            and (self.target is None or log.target == self.target)
            and (self.record is None or log.record == self.record)
            and (self.since_s is None or event.time_s >= self.since_s)
            and (self.until_s is None or event.time_s <= self.until_s)
        )


def select_events(timeline: Timeline, event_filter: EventFilter) -> Timeline:
    """Keep the matching events and the causes among them."""
    events = timeline.events
    scope = None
    if event_filter.flow_key:
        scope = find_flow_scope([event.log for event in events], event_filter.flow_key)
        if scope is None:
            return Timeline((), timeline.contradictions)
    kept = [
        index
        for index, event in enumerate(events)
        if event_filter.matches(event) and (scope is None or scope.contains(event.log))
    ]
    new_indices = {old: new for new, old in enumerate(kept)}
    renumbered = tuple(_renumber_causes(events[old], new_indices) for old in kept)
    return Timeline(renumbered, timeline.contradictions)


def _renumber_causes(
    event: TimelineEvent, new_indices: dict[int, int]
) -> TimelineEvent:
    causes: Sequence[int] = [
        new_indices[old] for old in event.causes if old in new_indices
    ]
    return TimelineEvent(event.time_s, event.log, tuple(causes))

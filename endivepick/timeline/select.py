"""Choice of events of a time line."""

from collections.abc import Sequence
from dataclasses import dataclass

from endivepick.timeline.events import RequestKey
from endivepick.timeline.flows import scope_of_flow
from endivepick.timeline.merge import Timeline, TimelineEvent

__all__ = ["EventFilter", "select_events"]


@dataclass(frozen=True)
class EventFilter:
    """What to keep; empty fields keep everything.

    Attributes
    ----------
    flow : int or None
        Flow id.
    request : RequestKey or None
        One request.
    target : str or None
        Name of a target.
    record : str or None
        Name of a service record.
    since_s, until_s : float or None
        Bounds of the time, in seconds since 1970.
    flow_key : str
        Addresses of a flow of forwarders, or a part of them; events of its targets
        and processes around it are kept as well.
    """

    flow: int | None = None
    request: RequestKey | None = None
    target: str | None = None
    record: str | None = None
    since_s: float | None = None
    until_s: float | None = None
    flow_key: str = ""

    def keeps(self, event: TimelineEvent) -> bool:
        """Tell whether an event is wanted."""
        log = event.log
        return (
            (self.flow is None or log.flow == self.flow)
            and (self.request is None or log.request == self.request)
            and (self.target is None or log.target == self.target)
            and (self.record is None or log.record == self.record)
            and (self.since_s is None or event.time_s >= self.since_s)
            and (self.until_s is None or event.time_s <= self.until_s)
        )


def select_events(timeline: Timeline, wanted: EventFilter) -> Timeline:
    """Keep the wanted events, with causes among them."""
    events = timeline.events
    scope = None
    if wanted.flow_key:
        scope = scope_of_flow([event.log for event in events], wanted.flow_key)
        if scope is None:
            return Timeline((), timeline.contradictions)
    kept = [
        place
        for place, event in enumerate(events)
        if wanted.keeps(event) and (scope is None or scope.holds(event.log))
    ]
    places = {old: new for new, old in enumerate(kept)}
    moved = tuple(_moved(events[old], places) for old in kept)
    return Timeline(moved, timeline.contradictions)


def _moved(event: TimelineEvent, places: dict[int, int]) -> TimelineEvent:
    causes: Sequence[int] = [places[old] for old in event.causes if old in places]
    return TimelineEvent(event.time_s, event.log, tuple(causes))

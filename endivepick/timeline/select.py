"""Choice of events of a time line."""

from collections.abc import Sequence
from dataclasses import dataclass

from endivepick.timeline.events import RequestKey
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
    """

    flow: int | None = None
    request: RequestKey | None = None
    target: str | None = None
    record: str | None = None
    since_s: float | None = None
    until_s: float | None = None

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
    kept = [i for i, event in enumerate(timeline.events) if wanted.keeps(event)]
    places = {old: new for new, old in enumerate(kept)}
    events = tuple(_moved(timeline.events[old], places) for old in kept)
    return Timeline(events, timeline.contradictions)


def _moved(event: TimelineEvent, places: dict[int, int]) -> TimelineEvent:
    causes: Sequence[int] = [places[old] for old in event.causes if old in places]
    return TimelineEvent(event.time_s, event.log, tuple(causes))

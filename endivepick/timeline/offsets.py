"""Estimation of clock offsets of logs without a hybrid clock.

An edge from an instance's event to an event of such a log is a lower bound of the
log's offset; an edge in the other direction is an upper bound.
"""

import math
from collections import defaultdict
from collections.abc import Iterable, Sequence

from endivepick.timeline.causes import Edge
from endivepick.timeline.clock import stamp_to_s
from endivepick.timeline.events import LogEvent

__all__ = ["estimate_offsets_s", "estimate_times_s"]


def estimate_offsets_s(
    events: Sequence[LogEvent], edges: Iterable[Edge]
) -> dict[str, float]:
    """Estimate the offset of the wall time of each log without a hybrid clock.

    Parameters
    ----------
    events : sequence of LogEvent
        All events.
    edges : iterable of Edge
        Edges between logs.

    Returns
    -------
    dict of str to float
        Seconds to add by log file; zero if the bounds allow it.
    """
    lows: dict[str, float] = defaultdict(lambda: -math.inf)
    highs: dict[str, float] = defaultdict(lambda: math.inf)
    for edge in edges:
        cause, effect = events[edge.cause], events[edge.effect]
        if cause.clock is not None and effect.clock is None:
            bound_s = stamp_to_s(cause.clock) - effect.at_s
            lows[effect.source] = max(lows[effect.source], bound_s)
        if cause.clock is None and effect.clock is not None:
            bound_s = stamp_to_s(effect.clock) - cause.at_s
            highs[cause.source] = min(highs[cause.source], bound_s)
    return {
        source: _choose_offset_s(lows[source], highs[source])
        for source in lows.keys() | highs.keys()
    }


def _choose_offset_s(low_s: float, high_s: float) -> float:
    if low_s <= 0 <= high_s:
        return 0.0
    if math.isinf(low_s):
        return high_s
    if math.isinf(high_s):
        return low_s
    return (low_s + high_s) / 2


def estimate_times_s(events: Sequence[LogEvent], edges: Iterable[Edge]) -> list[float]:
    """Return the time of each event on the instances' common scale, in seconds."""
    offsets_s = estimate_offsets_s(events, edges)
    return [
        event.at_s + offsets_s.get(event.source, 0.0)
        if event.clock is None
        else stamp_to_s(event.clock)
        for event in events
    ]

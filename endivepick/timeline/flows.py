"""Events related to one flow in the logs of forwarders.

Events of a flow name its target.  Related events are those about the state of that
target, and about the processes that forwarded the flow.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from endivepick.timeline.events import LogEvent

__all__ = [
    "SCOPE_AFTER_S",
    "SCOPE_BEFORE_S",
    "FlowScope",
    "find_flow_scope",
    "trace_flow",
]

SCOPE_BEFORE_S = 10.0
"""Time before a flow for events of its targets and processes; longer than the store
keeps the entry of a target that has ended."""
SCOPE_AFTER_S = 2.0
"""Time after a flow for the same; the evidence that the loss of a flow gives about its
target has been evaluated by then."""
_PROCESS_PARTS = frozenset({"start", "stop", "store", "config", "settings", "clock"})
"""Parts whose events refer to a process and not to a flow or target."""


@dataclass(frozen=True)
class FlowScope:
    """Criteria for events related to a flow.

    Attributes
    ----------
    flow_key : str
        ``caller:port>host:port`` or a part of it.
    targets, processes : frozenset of str
        Targets that received packets of the flow, and forwarders that handled it.
    from_s, until_s : float
        Time bounds for events of these targets and processes, in seconds since 1970.
    """

    flow_key: str
    targets: frozenset[str]
    processes: frozenset[str]
    from_s: float
    until_s: float

    def contains(self, event: LogEvent) -> bool:
        """Return whether an event is related to the flow."""
        if event.flow_key:
            return self.flow_key in event.flow_key
        if event.process not in self.processes:
            return False
        if not self.from_s <= event.at_s <= self.until_s:
            return False
        is_process_event = event.fields.get("part") in _PROCESS_PARTS
        return is_process_event or event.target in self.targets


def find_flow_scope(
    events: Sequence[LogEvent],
    flow_key: str,
    before_s: float = SCOPE_BEFORE_S,
    after_s: float = SCOPE_AFTER_S,
) -> FlowScope | None:
    """Return the scope of a flow; None if no event names the flow.

    Parameters
    ----------
    events : sequence of LogEvent
        Events of all processes.
    flow_key : str
        ``caller:port>host:port``; a substring, such as ``caller:port``, selects all
        flows that contain it.
    before_s, after_s : float
        Time before the first and after the last event of the flow in which events of
        its targets and processes are included, in seconds.
    """
    flow_events = [event for event in events if flow_key in event.flow_key]
    if not flow_events:
        return None
    times_s = [event.at_s for event in flow_events]
    targets = {event.target for event in flow_events if event.target}
    processes = {event.process for event in flow_events}
    return FlowScope(
        flow_key,
        frozenset(targets),
        frozenset(processes),
        min(times_s) - before_s,
        max(times_s) + after_s,
    )


def trace_flow(
    events: Sequence[LogEvent],
    flow_key: str,
    before_s: float = SCOPE_BEFORE_S,
    after_s: float = SCOPE_AFTER_S,
) -> list[LogEvent]:
    """Return the events related to a flow, ordered by time."""
    scope = find_flow_scope(events, flow_key, before_s, after_s)
    if scope is None:
        return []
    return sorted(filter(scope.contains, events), key=lambda event: event.at_s)

"""Events related to one flow in the logs of forwarders.

Events of a flow name its target.  Related events are those about the state of that
target, about overload of its service, and about the processes that forwarded the flow.
"""

from collections.abc import Collection, Sequence
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
_OVERLOAD_CHANGED = "overload_changed"
"""A service became overloaded at an instance, recovers, or is normal again."""


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
        Time bounds for events of these targets, services and processes, in seconds
        since 1970.
    services : frozenset of str
        Services of the flow; if no event tells them, overload of any service is
        related.
    overload_lines : frozenset of (str, int)
        Log and line of the last change of overload before the flow, for each process
        and service.  The state that it tells holds at the flow, however old it is.
    """

    flow_key: str
    targets: frozenset[str]
    processes: frozenset[str]
    from_s: float
    until_s: float
    services: frozenset[str] = frozenset()
    overload_lines: frozenset[tuple[str, int]] = frozenset()

    def contains(self, event: LogEvent) -> bool:
        """Return whether an event is related to the flow."""
        if event.flow_key:
            return self.flow_key in event.flow_key
        if event.process not in self.processes:
            return False
        if (event.source, event.line) in self.overload_lines:
            return True
        if not self.from_s <= event.at_s <= self.until_s:
            return False
        if event.event == _OVERLOAD_CHANGED:
            return not self.services or _service_of(event) in self.services
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
        its targets, services and processes are included, in seconds.
    """
    flow_events = [event for event in events if flow_key in event.flow_key]
    if not flow_events:
        return None
    times_s = [event.at_s for event in flow_events]
    targets = {event.target for event in flow_events if event.target}
    processes = {event.process for event in flow_events}
    services = _find_services(events, flow_key, targets)
    return FlowScope(
        flow_key,
        frozenset(targets),
        frozenset(processes),
        min(times_s) - before_s,
        max(times_s) + after_s,
        services,
        _find_overload_lines(events, processes, services, min(times_s)),
    )


def _find_services(
    events: Sequence[LogEvent], flow_key: str, targets: Collection[str]
) -> frozenset[str]:
    """Return the services that events of a flow, or of its targets, name."""
    services = {
        _service_of(event)
        for event in events
        if flow_key in event.flow_key or event.target in targets
    }
    return frozenset(services - {""})


def _find_overload_lines(
    events: Sequence[LogEvent],
    processes: Collection[str],
    services: Collection[str],
    before_s: float,
) -> frozenset[tuple[str, int]]:
    """Return the last change of overload before a time, by process and service."""
    last: dict[tuple[str, str], LogEvent] = {}
    for event in events:
        if event.event != _OVERLOAD_CHANGED or event.at_s > before_s:
            continue
        service = _service_of(event)
        if event.process not in processes or (services and service not in services):
            continue
        known = last.setdefault((event.process, service), event)
        if event.at_s >= known.at_s:
            last[event.process, service] = event
    return frozenset((event.source, event.line) for event in last.values())


def _service_of(event: LogEvent) -> str:
    service = event.fields.get("service", "")
    return service if isinstance(service, str) else ""


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

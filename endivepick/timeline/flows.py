"""What concerns one flow in the logs of forwarders.

The lines of a flow name its target; what was believed of that target, and what
happened to the processes that saw the flow, stands in other lines.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from endivepick.timeline.events import LogEvent

__all__ = ["AFTER_S", "BEFORE_S", "FlowScope", "scope_of_flow", "trace_flow"]

BEFORE_S = 10.0
"""How long before a flow its targets and processes are shown: longer than the store
keeps the entry of a target that has ended."""
AFTER_S = 2.0
"""How long after it: what a flow's loss told of its target is known by then."""
_PROCESS_PARTS = frozenset({"start", "stop", "store", "config", "settings", "clock"})
"""Parts whose lines are about a process and not about a flow or target."""


@dataclass(frozen=True)
class FlowScope:
    """Events that concern a flow.

    Attributes
    ----------
    flow_key : str
        ``caller:port>host:port`` or a part of it.
    targets, processes : frozenset of str
        Targets that got its packets, and forwarders that saw it.
    from_s, until_s : float
        Bounds for events of these, in seconds since 1970.
    """

    flow_key: str
    targets: frozenset[str]
    processes: frozenset[str]
    from_s: float
    until_s: float

    def holds(self, event: LogEvent) -> bool:
        """Tell whether an event concerns the flow."""
        if event.flow_key:
            return self.flow_key in event.flow_key
        if event.process not in self.processes:
            return False
        if not self.from_s <= event.at_s <= self.until_s:
            return False
        about_process = event.fields.get("part") in _PROCESS_PARTS
        return about_process or event.target in self.targets


def scope_of_flow(
    events: Sequence[LogEvent],
    flow_key: str,
    before_s: float = BEFORE_S,
    after_s: float = AFTER_S,
) -> FlowScope | None:
    """Return what concerns a flow, None if no event names it.

    Parameters
    ----------
    events : sequence of LogEvent
        Events of all processes.
    flow_key : str
        ``caller:port>host:port``; a part of it, such as ``caller:port``, finds all
        flows that hold it.
    before_s, after_s : float
        How long before the flow's first and after its last event the events of its
        targets and processes are wanted, in seconds.
    """
    own = [event for event in events if flow_key in event.flow_key]
    if not own:
        return None
    times_s = [event.at_s for event in own]
    targets = {event.target for event in own if event.target}
    processes = {event.process for event in own}
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
    before_s: float = BEFORE_S,
    after_s: float = AFTER_S,
) -> list[LogEvent]:
    """Return the events that concern a flow, in order of their time."""
    scope = scope_of_flow(events, flow_key, before_s, after_s)
    if scope is None:
        return []
    return sorted(filter(scope.holds, events), key=lambda event: event.at_s)

"""Logs of all processes merged into one time line."""

from endivepick.timeline.clock import HybridClock, stamp_to_s
from endivepick.timeline.events import LogEvent, RequestKey, read_log
from endivepick.timeline.flows import FlowScope, scope_of_flow, trace_flow
from endivepick.timeline.merge import (
    Timeline,
    TimelineEvent,
    merge_events,
    merge_logs,
)
from endivepick.timeline.render import (
    fields_text,
    render_html,
    render_json,
    render_text,
)
from endivepick.timeline.select import EventFilter, select_events

__all__ = [
    "EventFilter",
    "FlowScope",
    "HybridClock",
    "LogEvent",
    "RequestKey",
    "Timeline",
    "TimelineEvent",
    "fields_text",
    "merge_events",
    "merge_logs",
    "read_log",
    "render_html",
    "render_json",
    "render_text",
    "scope_of_flow",
    "select_events",
    "stamp_to_s",
    "trace_flow",
]

"""Merge of the logs of all processes into one timeline."""

from endivepick.timeline.clock import HybridClock, stamp_to_s
from endivepick.timeline.events import LogEvent, RequestKey, read_log
from endivepick.timeline.flows import FlowScope, find_flow_scope, trace_flow
from endivepick.timeline.merge import (
    Timeline,
    TimelineEvent,
    merge_events,
    merge_logs,
)
from endivepick.timeline.render import (
    format_fields,
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
    "format_fields",
    "merge_events",
    "merge_logs",
    "read_log",
    "render_html",
    "render_json",
    "render_text",
    "find_flow_scope",
    "select_events",
    "stamp_to_s",
    "trace_flow",
]

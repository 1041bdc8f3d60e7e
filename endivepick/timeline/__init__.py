"""Logs of all processes merged into one time line."""

from endivepick.timeline.clock import HybridClock, stamp_to_s
from endivepick.timeline.events import LogEvent, RequestKey, read_log
from endivepick.timeline.merge import (
    Timeline,
    TimelineEvent,
    merge_events,
    merge_logs,
)
from endivepick.timeline.render import render_html, render_json, render_text
from endivepick.timeline.select import EventFilter, select_events

__all__ = [
    "EventFilter",
    "HybridClock",
    "LogEvent",
    "RequestKey",
    "Timeline",
    "TimelineEvent",
    "merge_events",
    "merge_logs",
    "read_log",
    "render_html",
    "render_json",
    "render_text",
    "select_events",
    "stamp_to_s",
]

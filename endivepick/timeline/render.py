"""Rendering of a timeline as text, JSON lines or an HTML page."""

import html
from collections.abc import Iterator
from datetime import UTC, datetime
from importlib.resources import files
from string import Template
from typing import Any

import msgspec

from endivepick.timeline.events import LogEvent
from endivepick.timeline.merge import Timeline, TimelineEvent

__all__ = ["format_fields", "render_html", "render_json", "render_text"]

_ROW_PX = 28
_COLUMN_PX = 16
_LABEL_PX = 190
_AXIS_PX = 26
_MARKER_RADIUS_PX = 5
_LABEL_EVERY = 12
_LEVEL_CLASSES = {"warning": "warning", "error": "error"}
_HIDDEN_IN_TEXT = frozenset({"part", "level", "body"})
_FIELDS_IN_KEY = frozenset({"flow", "binding", "seq"})


def _format_time(time_s: float) -> str:
    moment = datetime.fromtimestamp(time_s, UTC)
    return moment.isoformat(timespec="milliseconds").replace("+00:00", "Z")


def format_fields(event: LogEvent) -> str:
    """Format the fields that identify the subject of an event."""
    fields = event.fields
    hidden = _HIDDEN_IN_TEXT | (_FIELDS_IN_KEY if "key" in fields else frozenset())
    shown = fields.items()
    return " ".join(f"{name}={value}" for name, value in shown if name not in hidden)


def render_text(timeline: Timeline) -> str:
    """Render one line per event with time, process, message and fields."""
    width = max((len(event.log.process) for event in timeline.events), default=0)
    lines = [
        f"{_format_time(event.time_s)}  {event.log.process:<{width}}  "
        f"{event.log.message}  {format_fields(event.log)}".rstrip()
        for event in timeline.events
    ]
    return "\n".join(lines)


def render_json(timeline: Timeline) -> str:
    """Render one JSON object per line and event."""
    lines = (msgspec.json.encode(_to_entry(event)) for event in timeline.events)
    return b"\n".join(lines).decode()


def _to_entry(event: TimelineEvent) -> dict[str, Any]:
    log = event.log
    entry = {"time_s": event.time_s, "at_s": log.at_s, "process": log.process}
    if log.clock is not None:
        entry["clock"] = log.clock
    entry |= {"event": log.event, "message": log.message}
    return entry | dict(log.fields) | {"causes": event.causes}


def render_html(timeline: Timeline, title: str = "Time line") -> str:
    """Render one self-contained HTML page with a row per process.

    Events are spaced by position and not by time, so that bursts stay readable and
    idle periods take no space.
    """
    events = timeline.events
    rows = sorted({event.log.process for event in events})
    row_ys = {name: _AXIS_PX + _ROW_PX * i for i, name in enumerate(rows)}
    template = Template((files(__package__) / "page.html").read_text(encoding="utf-8"))
    return template.substitute(
        title=html.escape(title),
        width=_LABEL_PX + _COLUMN_PX * (len(events) + 1),
        height=_AXIS_PX + _ROW_PX * len(rows) + _ROW_PX,
        count=len(events),
        contradictions=timeline.contradictions,
        drawing="\n".join(_draw_events(timeline, row_ys)),
        table="\n".join(_render_table_rows(timeline)),
    )


def _column_x(position: int) -> int:
    return _LABEL_PX + _COLUMN_PX * position


def _draw_events(timeline: Timeline, row_ys: dict[str, int]) -> Iterator[str]:
    events = timeline.events
    right = _column_x(len(events))
    for name, y in row_ys.items():
        yield f'<line class="row" x1="{_LABEL_PX}" y1="{y}" x2="{right}" y2="{y}"/>'
        yield f'<text x="4" y="{y + 4}">{html.escape(name)}</text>'
    for position, event in enumerate(events):
        y = row_ys[event.log.process]
        yield from _draw_causes(timeline, row_ys, position, y)
        yield _draw_event(event, position, y)
        if position % _LABEL_EVERY == 0:
            label = _format_time(event.time_s)[11:]
            yield f'<text class="time" x="{_column_x(position)}" y="12">{label}</text>'


def _draw_causes(
    timeline: Timeline, row_ys: dict[str, int], position: int, y: int
) -> Iterator[str]:
    for cause in timeline.events[position].causes:
        cause_y = row_ys[timeline.events[cause].log.process]
        yield (
            f'<line class="cause" x1="{_column_x(cause)}" y1="{cause_y}" '
            f'x2="{_column_x(position)}" y2="{y}" marker-end="url(#arrow)"/>'
        )


def _draw_event(event: TimelineEvent, position: int, y: int) -> str:
    level = _LEVEL_CLASSES.get(str(event.log.fields.get("level")), "info")
    note = html.escape(
        f"{_format_time(event.time_s)} {event.log.message} {format_fields(event.log)}"
    )
    return (
        f'<circle class="{level}" data-row="{position}" cx="{_column_x(position)}" '
        f'cy="{y}" r="{_MARKER_RADIUS_PX}"><title>{note}</title></circle>'
    )


def _render_table_rows(timeline: Timeline) -> Iterator[str]:
    for position, event in enumerate(timeline.events):
        cells = (
            _format_time(event.time_s),
            event.log.process,
            event.log.message,
            format_fields(event.log),
        )
        columns = "".join(f"<td>{html.escape(cell)}</td>" for cell in cells)
        yield f'<tr id="e{position}">{columns}</tr>'

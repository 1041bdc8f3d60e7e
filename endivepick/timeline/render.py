"""Time line as text, as JSON lines and as one HTML page."""

import html
from collections.abc import Iterator
from datetime import UTC, datetime
from importlib.resources import files
from string import Template
from typing import Any

import msgspec

from endivepick.timeline.events import LogEvent
from endivepick.timeline.merge import Timeline, TimelineEvent

__all__ = ["fields_text", "render_html", "render_json", "render_text"]

_ROW_PX = 28
_COLUMN_PX = 16
_LABEL_PX = 190
_AXIS_PX = 26
_DOT_PX = 5
_LABEL_EVERY = 12
_LEVEL_CLASSES = {"warning": "warning", "error": "error"}
_HIDDEN_IN_TEXT = frozenset({"part", "level", "body"})
_NAMED_BY_KEY = frozenset({"flow", "binding", "seq"})


def _clock_text(time_s: float) -> str:
    moment = datetime.fromtimestamp(time_s, UTC)
    return moment.isoformat(timespec="milliseconds").replace("+00:00", "Z")


def fields_text(event: LogEvent) -> str:
    """Return the fields of an event that say what it is about."""
    fields = event.fields
    hidden = _HIDDEN_IN_TEXT | (_NAMED_BY_KEY if "key" in fields else frozenset())
    shown = fields.items()
    return " ".join(f"{name}={value}" for name, value in shown if name not in hidden)


def render_text(timeline: Timeline) -> str:
    """Write one line per event: time, process, sentence and ids."""
    width = max((len(event.log.process) for event in timeline.events), default=0)
    lines = [
        f"{_clock_text(event.time_s)}  {event.log.process:<{width}}  "
        f"{event.log.message}  {fields_text(event.log)}".rstrip()
        for event in timeline.events
    ]
    return "\n".join(lines)


def render_json(timeline: Timeline) -> str:
    """Write one JSON object per event and line."""
    lines = (msgspec.json.encode(_entry(event)) for event in timeline.events)
    return b"\n".join(lines).decode()


def _entry(event: TimelineEvent) -> dict[str, Any]:
    log = event.log
    entry = {"time_s": event.time_s, "at_s": log.at_s, "process": log.process}
    if log.clock is not None:
        entry["clock"] = log.clock
    entry |= {"event": log.event, "message": log.message}
    return entry | dict(log.fields) | {"causes": event.causes}


def render_html(timeline: Timeline, title: str = "Time line") -> str:
    """Draw one self-contained page with a row per process.

    Columns are events in order, not time to scale: a burst of events stays
    readable and a quiet night takes no room.
    """
    events = timeline.events
    rows = sorted({event.log.process for event in events})
    places = {name: _AXIS_PX + _ROW_PX * i for i, name in enumerate(rows)}
    template = Template((files(__package__) / "page.html").read_text(encoding="utf-8"))
    return template.substitute(
        title=html.escape(title),
        width=_LABEL_PX + _COLUMN_PX * (len(events) + 1),
        height=_AXIS_PX + _ROW_PX * len(rows) + _ROW_PX,
        count=len(events),
        contradictions=timeline.contradictions,
        drawing="\n".join(_drawing(timeline, places)),
        table="\n".join(_table(timeline)),
    )


def _x(position: int) -> int:
    return _LABEL_PX + _COLUMN_PX * position


def _drawing(timeline: Timeline, places: dict[str, int]) -> Iterator[str]:
    events = timeline.events
    right = _x(len(events))
    for name, y in places.items():
        yield f'<line class="row" x1="{_LABEL_PX}" y1="{y}" x2="{right}" y2="{y}"/>'
        yield f'<text x="4" y="{y + 4}">{html.escape(name)}</text>'
    for position, event in enumerate(events):
        y = places[event.log.process]
        yield from _arrows(timeline, places, position, y)
        yield _dot(event, position, y)
        if position % _LABEL_EVERY == 0:
            label = _clock_text(event.time_s)[11:]
            yield f'<text class="time" x="{_x(position)}" y="12">{label}</text>'


def _arrows(
    timeline: Timeline, places: dict[str, int], position: int, y: int
) -> Iterator[str]:
    for cause in timeline.events[position].causes:
        cause_y = places[timeline.events[cause].log.process]
        yield (
            f'<line class="cause" x1="{_x(cause)}" y1="{cause_y}" '
            f'x2="{_x(position)}" y2="{y}" marker-end="url(#arrow)"/>'
        )


def _dot(event: TimelineEvent, position: int, y: int) -> str:
    level = _LEVEL_CLASSES.get(str(event.log.fields.get("level")), "info")
    note = html.escape(
        f"{_clock_text(event.time_s)} {event.log.message} {fields_text(event.log)}"
    )
    return (
        f'<circle class="{level}" data-row="{position}" cx="{_x(position)}" '
        f'cy="{y}" r="{_DOT_PX}"><title>{note}</title></circle>'
    )


def _table(timeline: Timeline) -> Iterator[str]:
    for position, event in enumerate(timeline.events):
        cells = (
            _clock_text(event.time_s),
            event.log.process,
            event.log.message,
            fields_text(event.log),
        )
        columns = "".join(f"<td>{html.escape(cell)}</td>" for cell in cells)
        yield f'<tr id="e{position}">{columns}</tr>'

"""Command that merges the logs of all processes."""

from collections.abc import Iterator
from datetime import UTC, datetime
from pathlib import Path

from endivepick.cli.command_errors import CommandError, option_values
from endivepick.cli.exit_codes import ExitCode
from endivepick.cli.output import print_line
from endivepick.timeline import (
    EventFilter,
    RequestKey,
    Timeline,
    merge_logs,
    render_html,
    render_json,
    render_text,
    select_events,
)

__all__ = ["TimelineOptions", "show_timeline"]

_LOG_PATTERN = "*.jsonl"
_FORMATS = ("text", "json", "html")


class TimelineOptions:
    """Filter and format as given on the command line, all as text."""

    def __init__(
        self,
        flow: str = "",
        request: str = "",
        target: str = "",
        record: str = "",
        since: str = "",
        until: str = "",
        format: str = "text",
    ) -> None:
        if format not in _FORMATS:
            message = f"--format: use one of {', '.join(_FORMATS)}."
            raise CommandError(message, ExitCode.USAGE)
        self.format = format
        # Flows of forwarders go by their addresses.
        flow_key = flow if "." in flow else ""
        with option_values("--flow"):
            flow_id = None if flow_key else _flow_id(flow)
        with option_values("--request"):
            key = RequestKey.parse(request) if request else None
        with option_values("--since or --until"):
            since_s, until_s = _time_s(since), _time_s(until)
        self.filter = EventFilter(
            *(flow_id, key, target or None, record or None, since_s, until_s),
            flow_key,
        )


def _flow_id(text: str) -> int | None:
    try:
        return int(text, 16) if text else None
    except ValueError:
        message = "write a flow in hexadecimal digits or as its caller's address:port"
        raise ValueError(message) from None


def _time_s(text: str) -> float | None:
    """Read seconds since 1970 or an ISO time, which is UTC unless it says else."""
    if not text:
        return None
    try:
        return float(text)
    except ValueError:
        moment = _moment(text)
    zoned = moment if moment.tzinfo else moment.replace(tzinfo=UTC)
    return zoned.timestamp()


def _moment(text: str) -> datetime:
    try:
        return datetime.fromisoformat(text)
    except ValueError:
        raise ValueError("write seconds or a time as 2026-07-01T02:00:00") from None


def show_timeline(paths: tuple[str, ...], options: TimelineOptions, out: str) -> None:
    """Merge logs and print them, or write them to a file."""
    logs = list(_log_files(paths))
    if not logs:
        message = f"No logs found. Name log files, or folders with {_LOG_PATTERN}."
        raise CommandError(message, ExitCode.USAGE)
    try:
        timeline = select_events(merge_logs(logs), options.filter)
        text = _render(timeline, options.format)
        if out:
            Path(out).write_text(text + "\n", encoding="utf-8")
        else:
            print_line(text)
    except OSError as error:
        raise CommandError(f"{error}. Check the path.", ExitCode.FAILURE) from error


def _log_files(paths: tuple[str, ...]) -> Iterator[Path]:
    for path in map(Path, paths):
        if path.is_dir():
            yield from sorted(path.rglob(_LOG_PATTERN))
        else:
            yield path


def _render(timeline: Timeline, format: str) -> str:
    match format:
        case "json":
            return render_json(timeline)
        case "html":
            return render_html(timeline)
    return render_text(timeline)

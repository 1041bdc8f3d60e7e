"""Benchmark of log events and the merge: ``python -m endivepick.timeline.measure``."""

import statistics
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

import eliot

from endivepick.daemon.logs import PartLog, process_log
from endivepick.settings.model import LogLevel, LogSettings
from endivepick.timeline.clock import HybridClock
from endivepick.timeline.events import LogEvent, RequestKey
from endivepick.timeline.merge import merge_events

_EVENTS = 20_000
_RUNS = 5
_MERGED_REQUESTS = (1_000, 10_000, 30_000)
_US_PER_S = 1e6


def _measure_event_costs_us(
    level: LogLevel, write: Callable[[int], None]
) -> list[float]:
    """Measure the cost of a log event in microseconds, once per run."""
    costs = []
    with tempfile.TemporaryDirectory() as folder:
        settings = LogSettings(path=str(Path(folder) / "log.jsonl"), level=level)
        with process_log(settings, "entry-1", HybridClock()):
            for _ in range(_RUNS):
                start_s = time.perf_counter()
                for number in range(_EVENTS):
                    write(number)
                costs.append((time.perf_counter() - start_s) / _EVENTS * _US_PER_S)
    return costs


def _make_request_events(count: int) -> list[LogEvent]:
    """Create the events of requests at a caller, an owner and a target."""
    clock = HybridClock()
    events = []
    steps = (
        ("caller", "request_sent", -5.0),
        ("entry-1", "request_accepted", 0.0),
        ("entry-1", "attempt_started", 0.0),
        ("a", "start", 90.0),
        ("a", "end", 90.0),
        ("entry-1", "request_answered", 0.0),
        ("caller", "answer_received", -5.0),
    )
    for seq in range(1, count + 1):
        for number, (process, name, skew_s) in enumerate(steps):
            at_s = 1e9 + seq + number / len(steps) + skew_s
            stamp = clock.tick(at_s) if process == "entry-1" else None
            location = (process, seq * len(steps) + number, process, at_s, stamp)
            key = RequestKey(1, 1, seq)
            events.append(LogEvent(*location, name, name, {"target": "a"}, key))
    return events


def _print_costs(name: str, costs_us: list[float]) -> None:
    low, high = min(costs_us), max(costs_us)
    middle = statistics.median(costs_us)
    print(f"{name}: {low:.1f} / {middle:.1f} / {high:.1f} microseconds")


def main() -> None:
    """Print minimum, median and maximum of each cost."""
    log = PartLog("owner")

    def write(number: int) -> None:
        log.debug("request_accepted", "request is complete", flow=number, seq=number)

    def write_action(number: int) -> None:
        eliot.log_message("request_accepted", flow=number, seq=number)

    _print_costs("event written", _measure_event_costs_us("debug", write))
    _print_costs("event below the level", _measure_event_costs_us("info", write))
    _print_costs(
        "eliot message with an action", _measure_event_costs_us("debug", write_action)
    )
    for count in _MERGED_REQUESTS:
        events = _make_request_events(count)
        start_s = time.perf_counter()
        merge_events(events)
        cost_us = (time.perf_counter() - start_s) / len(events) * _US_PER_S
        print(f"merge of {len(events)} events: {cost_us:.1f} microseconds an event")


if __name__ == "__main__":
    main()

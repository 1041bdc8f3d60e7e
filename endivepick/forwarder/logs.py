"""Log lines of a forwarder, limited in number and written without blocking.

The lines have the format of the other daemons' logs, so that the timeline tool can
parse both.
They are encoded here and not by eliot: importing eliot would delay each start, and no
packet is forwarded until the start is complete.
"""

import os
import sys
import time
from collections import Counter, defaultdict
from collections.abc import Callable
from math import isfinite
from typing import Any

import msgspec

__all__ = ["BoundedLog", "open_log", "truncate_number"]

LINES_PER_S = 40
"""Maximum number of lines of one event per second; a forwarder places about ten flows
per second."""
BUFFER_BYTES = 65536
"""Size of the buffer for a reader that does not read; a pipe holds as much."""

PARTS_PER_UNIT = 1000
"""Default precision of numbers in lines: thousandths."""

_TIME_PARTS = 1_000_000
"""Precision of times in lines: microseconds."""

_encoder = msgspec.json.Encoder(enc_hook=str)


def truncate_number(number: float, parts: int = PARTS_PER_UNIT) -> float:
    """Return a number truncated to a multiple of a fraction of a unit, for a line.

    It is several times as fast as ``round``, and each line needs about three calls.
    Infinity, the age of an event that never occurred, is returned as it is, and so is
    a number so large that its multiple is infinite.

    Examples
    --------
    >>> truncate_number(0.12345), truncate_number(1.5), truncate_number(float("inf"))
    (0.123, 1.5, inf)
    """
    multiple = number * parts
    return int(multiple) / parts if isfinite(multiple) else number


class BoundedLog:
    """Writes events as lines of JSON.

    Parameters
    ----------
    process : str
        Name of the instance.
    write : callable
        Writes bytes without blocking and returns how many were accepted; raises
        ``BlockingIOError`` if none were.
    wall_time_s, steady_s : callable
        Seconds since 1970, and seconds of a monotonic clock.

    Examples
    --------
    >>> lines = []
    >>> log = BoundedLog("a", lambda data: lines.append(data) or len(data))
    >>> log.event("store", "store_lost", "store lost", since_s=2)
    >>> log.flush()
    >>> b'"message":"store: store lost"' in lines[0]
    True
    """

    def __init__(
        self,
        process: str,
        write: Callable[[bytes], int],
        wall_time_s: Callable[[], float] = time.time,
        steady_s: Callable[[], float] = time.monotonic,
    ) -> None:
        self._process = process
        self._write = write
        self._wall_time_s = wall_time_s
        self._steady_s = steady_s
        self._buffer = bytearray()
        self._second = -1
        self._written: defaultdict[str, int] = defaultdict(int)
        self._suppressed: Counter[str] = Counter()
        self.lines_dropped = 0
        """Number of lines dropped because of the rate limit or a full buffer."""

    def event(self, part: str, name: str, message: str, **fields: Any) -> None:
        """Log a line at level info."""
        self._line("info", part, name, message, fields)

    def warning(self, part: str, name: str, message: str, **fields: Any) -> None:
        """Log an event that an operator may need to examine."""
        self._line("warning", part, name, message, fields)

    def flush(self) -> None:
        """Write as many buffered lines as the reader accepts."""
        if not self._buffer:
            return
        try:
            accepted = self._write(bytes(self._buffer))
        except BlockingIOError:
            return
        except OSError:
            # The reader is gone; there is no other place to report it.
            accepted = len(self._buffer)
        del self._buffer[:accepted]

    def _line(
        self, level: str, part: str, name: str, message: str, fields: dict[str, Any]
    ) -> None:
        second = int(self._steady_s())
        if second != self._second:
            self._start_second(second)
        self._written[name] = written = self._written[name] + 1
        if written > LINES_PER_S:
            self._suppressed[name] += 1
            self.lines_dropped += 1
            return
        self._append(level, part, name, message, fields)

    def _start_second(self, second: int) -> None:
        self._second = second
        self._written.clear()
        if not self._suppressed:
            return
        dropped = dict(self._suppressed)
        self._suppressed.clear()
        message = "dropped lines above the rate limit"
        self._append("warning", "log", "lines_left_out", message, {"lines": dropped})

    def _append(
        self, level: str, part: str, name: str, message: str, fields: dict[str, Any]
    ) -> None:
        content = {
            "at_s": truncate_number(self._wall_time_s(), _TIME_PARTS),
            "process": self._process,
            "part": part,
            "event": name,
            "level": level,
            "message": f"{part}: {message}",
            **fields,
        }
        line = _encoder.encode(content) + b"\n"
        if len(self._buffer) + len(line) > BUFFER_BYTES:
            self.lines_dropped += 1
            return
        self._buffer += line


def open_log(process: str) -> BoundedLog:
    """Return a log that writes to standard output without blocking."""
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    return BoundedLog(process, lambda data: os.write(descriptor, data))

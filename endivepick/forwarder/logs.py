"""Log lines of a forwarder: bounded in number, never waiting for their reader.

The lines have the form of the other daemons' logs, so that the time line reads both.
They are encoded here and not by eliot: loading it would make each start longer, and no
packet is forwarded until then.
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
"""Lines of one event a second; a forwarder places some ten flows a second."""
BUFFER_BYTES = 65536
"""Lines kept for a reader that does not read: what a pipe holds."""

PARTS_PER_UNIT = 1000
"""Numbers in lines are whole thousandths unless told otherwise."""

_TIME_PARTS = 1_000_000
"""Times are written in whole microseconds."""

_encoder = msgspec.json.Encoder(enc_hook=str)


def truncate_number(number: float, parts: int = PARTS_PER_UNIT) -> float:
    """Return a number cut to whole parts of a unit, for a line.

    It is several times as fast as ``round``, which each line would call three times.
    Infinity, the age of what never was, stays as it is.

    Examples
    --------
    >>> truncate_number(0.12345), truncate_number(1.5), truncate_number(float("inf"))
    (0.123, 1.5, inf)
    """
    if not isfinite(number):
        return number
    return int(number * parts) / parts


class BoundedLog:
    """Writes events as lines of JSON.

    Parameters
    ----------
    process : str
        Name of the instance.
    write : callable
        Writes bytes without waiting and returns how many it took; raises
        ``BlockingIOError`` if it takes none.
    wall_time_s, steady_s : callable
        Seconds since 1970, and of a clock that never jumps.

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
        """Lines left out over budget or for a reader that did not read."""

    def event(self, part: str, name: str, message: str, **fields: Any) -> None:
        """Write what changed a belief or touched a flow."""
        self._line("info", part, name, message, fields)

    def warning(self, part: str, name: str, message: str, **fields: Any) -> None:
        """Write what an operator may want to look at."""
        self._line("warning", part, name, message, fields)

    def flush(self) -> None:
        """Hand over buffered lines as far as the reader takes them."""
        if not self._buffer:
            return
        try:
            taken = self._write(bytes(self._buffer))
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads any more; there is no other place to say so.
            taken = len(self._buffer)
        del self._buffer[:taken]

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
        left_out = dict(self._suppressed)
        self._suppressed.clear()
        message = "lines over budget left out"
        self._append("warning", "log", "lines_left_out", message, {"lines": left_out})

    def _append(
        self, level: str, part: str, name: str, message: str, fields: dict[str, Any]
    ) -> None:
        whole = {
            "at_s": truncate_number(self._wall_time_s(), _TIME_PARTS),
            "process": self._process,
            "part": part,
            "event": name,
            "level": level,
            "message": f"{part}: {message}",
            **fields,
        }
        line = _encoder.encode(whole) + b"\n"
        if len(self._buffer) + len(line) > BUFFER_BYTES:
            self.lines_dropped += 1
            return
        self._buffer += line


def open_log(process: str) -> BoundedLog:
    """Return a log that writes to standard output without waiting."""
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    return BoundedLog(process, lambda data: os.write(descriptor, data))

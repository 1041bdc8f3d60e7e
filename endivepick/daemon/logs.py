"""Log of one process as JSON lines, written through eliot.

Each line has ``at_s`` (wall time), ``clock`` (hybrid logical clock),
``process``, ``part``, ``event``, ``level``, ``message`` (short sentence that
starts with the prefix of the part) and the ids of the objects concerned.  Events
are passed to eliot's logger directly and not to its actions, which would draw a
random id for each event; the request key correlates the events of one request.
"""

import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, BinaryIO

import eliot
import msgspec

from endivepick.settings.model import LogLevel, LogSettings
from endivepick.timeline.clock import HybridClock

__all__ = ["PartLog", "process_log", "request_key"]

_SEVERITY: dict[LogLevel, int] = {"debug": 0, "info": 1, "warning": 2, "error": 3}
_SEVERITY_OFF = len(_SEVERITY)
_HEX_FIELDS = frozenset({"flow", "binding", "incarnation", "successor"})
"""64-bit ids, written in hexadecimal.

Many JSON parsers read numbers as doubles and round 64-bit values.
"""

_eliot_logger = eliot.Logger()
_encoder = msgspec.json.Encoder(enc_hook=str)


class _Threshold:
    """Lowest severity that is written, shared by all parts of the process.

    Nothing is written before ``process_log`` opens, because eliot would buffer such
    events and pass them to the first destination, whatever its level.
    """

    severity = _SEVERITY_OFF


def request_key(flow: int, binding: int, seq: int) -> str:
    """Return the key of a request in logs and in requests to targets.

    Examples
    --------
    >>> request_key(255, 16, 1)
    '00000000000000ff-0000000000000010-1'
    """
    return f"{flow:016x}-{binding:016x}-{seq}"


class PartLog:
    """Log of one part of a process.

    Parameters
    ----------
    prefix : str
        Name of the part, for example ``"owner"``.

    Examples
    --------
    >>> log = PartLog("owner")
    >>> log.event("request_accepted", "request accepted", flow=1, seq=2)
    """

    def __init__(self, prefix: str) -> None:
        self.prefix = prefix

    def debug(self, name: str, message: str, **ids: Any) -> None:
        """Write an event that occurs for each request or packet."""
        if _Threshold.severity <= _SEVERITY["debug"]:
            self._write("debug", name, message, ids)

    def event(self, name: str, message: str, **ids: Any) -> None:
        """Write a change of a role, a record, a flow or the state of a peer.

        Parameters
        ----------
        name : str
            Stable name for filters, for example ``"flow_opened"``.
        message : str
            Short sentence without the prefix.
        **ids
            Objects concerned: ``flow``, ``binding``, ``seq``, ``request``,
            ``target``, ``service``, ``record``, ``version``, ``peer``,
            ``incarnation`` and others; JSON values or objects with a ``str`` form.
        """
        if _Threshold.severity <= _SEVERITY["info"]:
            self._write("info", name, message, ids)

    def warning(self, name: str, message: str, **ids: Any) -> None:
        """Write an event that may need attention by an operator."""
        if _Threshold.severity <= _SEVERITY["warning"]:
            self._write("warning", name, message, ids)

    def error(self, name: str, message: str, **ids: Any) -> None:
        """Write a failure that needs attention by an operator."""
        if _Threshold.severity <= _SEVERITY["error"]:
            self._write("error", name, message, ids)

    def _write(
        self, level: LogLevel, name: str, message: str, ids: dict[str, Any]
    ) -> None:
        for key in _HEX_FIELDS & ids.keys():
            if isinstance(ids[key], int):
                ids[key] = f"{ids[key]:016x}"
        fields = {
            "part": self.prefix,
            "event": name,
            "level": level,
            "message": f"{self.prefix}: {message}",
        }
        _eliot_logger.write(fields | ids)


class _LineWriter:
    """Eliot destination that adds time stamps and writes one line per event."""

    def __init__(
        self,
        stream: BinaryIO,
        process: str,
        clock: HybridClock | None,
        wall_time: Callable[[], float],
    ) -> None:
        self._stream = stream
        self._process = process
        self._clock = clock
        self._wall_time = wall_time

    def __call__(self, message: dict[str, Any]) -> None:
        now_s = self._wall_time()
        stamp: dict[str, Any] = {"at_s": round(now_s, 6), "process": self._process}
        if self._clock is not None:
            stamp["clock"] = self._clock.tick(now_s)
        self._stream.write(_encoder.encode(stamp | message) + b"\n")


@contextmanager
def process_log(
    settings: LogSettings,
    process: str,
    clock: HybridClock | None = None,
    wall_time: Callable[[], float] = time.time,
) -> Iterator[None]:
    """Write the events of this process while the context is open.

    Parameters
    ----------
    settings : LogSettings
        Path and level.
    process : str
        Name of the instance or caller.
    clock : HybridClock or None
        Clock whose time stamps are also sent in peer messages; None in callers,
        whose packets carry no time stamps.
    wall_time : callable
        Returns seconds since 1970.

    Raises
    ------
    OSError
        If the file cannot be opened.
    """
    with _open_stream(settings.path) as stream:
        writer = _LineWriter(stream, process, clock, wall_time)
        severity_before = _Threshold.severity
        _Threshold.severity = _SEVERITY[settings.level]
        eliot.add_destinations(writer)
        try:
            yield
        finally:
            eliot.remove_destination(writer)
            _Threshold.severity = severity_before


@contextmanager
def _open_stream(path: str) -> Iterator[BinaryIO]:
    """Open the log unbuffered, so that no line is lost if the process is killed."""
    if not path:
        yield sys.stderr.buffer
        return
    with open(path, "ab", buffering=0) as stream:
        yield stream

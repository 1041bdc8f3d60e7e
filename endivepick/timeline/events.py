"""Events in the log files of instances, callers, targets and the platform."""

import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

__all__ = ["LogEvent", "RequestKey", "read_log"]

_KEY_PATTERN = re.compile(r"([0-9a-fA-F]{1,16})-([0-9a-fA-F]{1,16})-(\d{1,19})")
_KEY_FIELDS = ("request", "key", "idempotency_key")
_STAMP_FIELDS = frozenset({"at_s", "clock", "process", "event", "message"})
_decoder = msgspec.json.Decoder(dict[str, Any])


@dataclass(frozen=True, order=True)
class RequestKey:
    """Flow, binding and sequence number, which identify a request in all processes.

    Examples
    --------
    >>> str(RequestKey.parse("ff-10-1"))
    '00000000000000ff-0000000000000010-1'
    """

    flow: int
    binding: int
    seq: int

    def __str__(self) -> str:
        return f"{self.flow:016x}-{self.binding:016x}-{self.seq}"

    @classmethod
    def parse(cls, text: str) -> "RequestKey":
        """Parse ``<flow hex>-<binding hex>-<seq>``.

        Raises
        ------
        ValueError
            If the text is not a valid request key.
        """
        match = _KEY_PATTERN.fullmatch(text)
        if match is None:
            raise ValueError("write a request as <flow hex>-<binding hex>-<number>")
        flow, binding, seq = match.groups()
        return cls(int(flow, 16), int(binding, 16), int(seq))


@dataclass(frozen=True)
class LogEvent:
    """One event of a log file.

    Attributes
    ----------
    source : str
        Path of the log file.
    line : int
        Line number in the file, from 1.
    process : str
        Name of the instance, caller, target or platform.
    at_s : float
        Wall time of the process, in seconds since 1970.
    clock : int or None
        Hybrid logical timestamp; None in logs of processes without that clock.
    event, message : str
        Name of the event and its description.
    fields : mapping of str to object
        All other fields.
    request : RequestKey or None
        Request that the event refers to.
    """

    source: str
    line: int
    process: str
    at_s: float
    clock: int | None
    event: str
    message: str
    fields: Mapping[str, Any] = field(default_factory=dict)
    request: RequestKey | None = None

    @property
    def flow(self) -> int | None:
        """Flow that the event refers to."""
        if self.request is not None:
            return self.request.flow
        return _parse_hex_id(self.fields.get("flow"))

    @property
    def flow_key(self) -> str:
        """Addresses of the forwarder flow that the event refers to; empty if none."""
        key = self.fields.get("flow_key", "")
        return key if isinstance(key, str) else ""

    @property
    def record(self) -> str | None:
        """Name of the service record or other object that the event refers to."""
        if "kind" in self.fields and "name" in self.fields:
            return self.fields["name"]
        return self.fields.get("record", self.fields.get("service"))

    @property
    def target(self) -> str | None:
        """Target that the event refers to."""
        return self.fields.get("target")


def read_log(path: str | Path) -> Iterator[LogEvent]:
    """Read the events of one log; other lines are ignored.

    Parameters
    ----------
    path : str or Path
        File with one JSON object per line.  A prefix added by a log collector is
        skipped.  The last line may be incomplete if the process was killed.

    Yields
    ------
    LogEvent
        In the order of the file.

    Raises
    ------
    OSError
        If the file cannot be read.
    """
    with open(path, "rb") as lines:
        for number, line in enumerate(lines, start=1):
            entry = _decode_line(line)
            if entry is not None:
                yield _to_event(Path(path), number, entry)


def _decode_line(line: bytes) -> dict[str, Any] | None:
    _, brace, rest = line.partition(b"{")
    try:
        entry = _decoder.decode(brace + rest)
    except msgspec.DecodeError:
        return None
    if isinstance(entry.get("at_s"), int | float) and "event" in entry:
        return entry
    return None


def _to_event(path: Path, number: int, entry: dict[str, Any]) -> LogEvent:
    clock = entry.get("clock")
    return LogEvent(
        source=str(path),
        line=number,
        process=str(entry.get("process", path.stem)),
        at_s=float(entry["at_s"]),
        clock=clock if isinstance(clock, int) else None,
        event=str(entry["event"]),
        message=str(entry.get("message", entry["event"])),
        fields={k: v for k, v in entry.items() if k not in _STAMP_FIELDS},
        request=_find_request_key(entry),
    )


def _find_request_key(entry: dict[str, Any]) -> RequestKey | None:
    for name in _KEY_FIELDS:
        text = entry.get(name)
        if isinstance(text, str) and _KEY_PATTERN.fullmatch(text):
            return RequestKey.parse(text)
    flow, binding = (
        _parse_hex_id(entry.get("flow")),
        _parse_hex_id(entry.get("binding")),
    )
    seq = entry.get("seq")
    if flow is not None and binding is not None and isinstance(seq, int):
        return RequestKey(flow, binding, seq)
    return None


def _parse_hex_id(value: Any) -> int | None:
    match value:
        case int():
            return value
        case str() if re.fullmatch("[0-9a-fA-F]{1,16}", value):
            return int(value, 16)
    return None

"""Events read from the log files of instances, callers, targets and the platform."""

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
    """Flow, binding and number: the name of one request in every process.

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
        """Read ``<flow hex>-<binding hex>-<seq>``.

        Raises
        ------
        ValueError
            If the text has another form.
        """
        match = _KEY_PATTERN.fullmatch(text)
        if match is None:
            raise ValueError("write a request as <flow hex>-<binding hex>-<number>")
        flow, binding, seq = match.groups()
        return cls(int(flow, 16), int(binding, 16), int(seq))


@dataclass(frozen=True)
class LogEvent:
    """One line of a log.

    Attributes
    ----------
    source : str
        Log file that it stood in.
    line : int
        Its line there, from 1.
    process : str
        Instance, caller, target or platform.
    at_s : float
        Wall time of that process, in seconds since 1970.
    clock : int or None
        Hybrid logical clock, None in logs of processes that have none.
    event, message : str
        Name and sentence.
    fields : mapping of str to object
        All other fields.
    request : RequestKey or None
        Request that it is about.
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
        """Flow that it is about."""
        if self.request is not None:
            return self.request.flow
        return _hex_id(self.fields.get("flow"))

    @property
    def flow_key(self) -> str:
        """Addresses of the forwarders' flow that it is about, if any."""
        key = self.fields.get("flow_key", "")
        return key if isinstance(key, str) else ""

    @property
    def record(self) -> str | None:
        """Record that it is about: a service's, or another object's name."""
        if "kind" in self.fields and "name" in self.fields:
            return self.fields["name"]
        return self.fields.get("record", self.fields.get("service"))

    @property
    def target(self) -> str | None:
        """Target that it is about."""
        return self.fields.get("target")


def read_log(path: str | Path) -> Iterator[LogEvent]:
    """Read the events of one log; lines that are no events are left out.

    Parameters
    ----------
    path : str or Path
        File with one JSON object per line; what a collector of logs writes before it
        is passed over.  A torn last line is normal after a process was killed.

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
            entry = _decode(line)
            if entry is not None:
                yield _to_event(Path(path), number, entry)


def _decode(line: bytes) -> dict[str, Any] | None:
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
        request=_request_of(entry),
    )


def _request_of(entry: dict[str, Any]) -> RequestKey | None:
    for name in _KEY_FIELDS:
        text = entry.get(name)
        if isinstance(text, str) and _KEY_PATTERN.fullmatch(text):
            return RequestKey.parse(text)
    flow, binding = _hex_id(entry.get("flow")), _hex_id(entry.get("binding"))
    seq = entry.get("seq")
    if flow is not None and binding is not None and isinstance(seq, int):
        return RequestKey(flow, binding, seq)
    return None


def _hex_id(value: Any) -> int | None:
    match value:
        case int():
            return value
        case str() if re.fullmatch("[0-9a-fA-F]{1,16}", value):
            return int(value, 16)
    return None

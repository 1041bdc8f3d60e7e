"""Data classes with the contents of the logs of callers, targets and platform."""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from standins.jsonlines import read_lines

__all__ = ["Evidence", "LeavingPeriod", "Request", "Run", "Stream", "read_evidence"]

_ANSWER_ENDS = frozenset({"answer", "status"})


@dataclass
class Request:
    """Request of a caller.

    Attributes
    ----------
    end : str
        ``"answer"``, ``"status"`` (a status other than 200), ``"not_run"``,
        ``"unknown"``, ``"gave_up"``, or empty if the log of the caller contains no
        end of the request.
    verdict : str
        ``"whole"``, ``"torn"`` (corrupt) or ``"crossed"`` (answer to another
        request) if the end is an answer.
    """

    echo: str
    service: str
    flow: str
    idempotent: bool
    sent_s: float
    ended_s: float = float("inf")
    end: str = ""
    verdict: str = ""
    reason: str = ""

    @property
    def is_answered(self) -> bool:
        """Whether the caller received an answer of a target."""
        return self.end in _ANSWER_ENDS


@dataclass
class Stream:
    """Event stream of a caller.

    Attributes
    ----------
    events, wrong : int
        Received events, and those that were corrupt, duplicate or out of order.
    by_caller : bool
        Whether the caller ended the stream.
    error : str
        Cause of the end, if the caller did not end the stream.
    longest_gap_s : tuple of float
        Start and end of the longest time without an event.
    """

    echo: str
    service: str
    flow: str
    sent_s: float
    ended_s: float
    events: int
    wrong: int
    by_caller: bool
    error: str
    longest_gap_s: tuple[float, float]


@dataclass
class Run:
    """Run of a request or stream on a target."""

    echo: str
    key: str
    service: str
    target: str
    idempotent: bool
    started_s: float
    ended_s: float = float("inf")
    is_stream: bool = False


@dataclass(frozen=True)
class LeavingPeriod:
    """Period in which a target leaves, from the write that announced it."""

    service: str
    target: str
    from_s: float
    until_s: float = float("inf")


@dataclass
class Evidence:
    """Contents of all logs."""

    requests: dict[str, Request] = field(default_factory=dict)
    streams: list[Stream] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    misdirected: list[dict[str, Any]] = field(default_factory=list)
    shed: int = 0
    opens: int = 0
    opens_failed: int = 0
    leaving: list[LeavingPeriod] = field(default_factory=list)
    writes: list[dict[str, Any]] = field(default_factory=list)

    def runs_by_echo(self) -> dict[str, list[Run]]:
        """Return the runs of requests, without streams, by ``echo``."""
        found: dict[str, list[Run]] = defaultdict(list)
        for run in self.runs:
            if run.echo and not run.is_stream:
                found[run.echo].append(run)
        return found


def read_evidence(
    callers: Iterable[Path], targets: Iterable[Path], platform: Iterable[Path]
) -> Evidence:
    """Read the logs of one run.

    Parameters
    ----------
    callers, targets, platform : iterable of pathlib.Path
        Logs of ``standins.load``, ``standins.target`` and ``standins.platform``.
    """
    evidence = Evidence()
    for path in callers:
        _read_caller(path, evidence)
    for path in targets:
        _read_target(path, evidence)
    for path in platform:
        _read_platform(path, evidence)
    return evidence


def _read_caller(path: Path, evidence: Evidence) -> None:
    for line in read_lines(path):
        match line["event"]:
            case "open" if line["opened"]:
                evidence.opens += 1
            case "open":
                evidence.opens_failed += 1
            case "sent":
                request = Request(
                    echo=line["echo"],
                    service=line["service"],
                    flow=line["flow"],
                    idempotent=line["idempotent"],
                    sent_s=line["at_s"],
                )
                evidence.requests[request.echo] = request
            case "ended":
                _end_request(evidence.requests[line["echo"]], line)
            case "stream_ended":
                evidence.streams.append(_make_stream(line))


def _end_request(request: Request, line: dict[str, Any]) -> None:
    request.ended_s = line["at_s"]
    request.end = line["end"]
    request.verdict = line.get("verdict", "")
    request.reason = line.get("reason", "")


def _make_stream(line: dict[str, Any]) -> Stream:
    return Stream(
        echo=line["echo"],
        service=line["service"],
        flow=line["flow"],
        sent_s=line["sent_s"],
        ended_s=line["at_s"],
        events=line["events"],
        wrong=line["wrong"],
        by_caller=line["by_caller"],
        error=line["error"],
        longest_gap_s=tuple(line["longest_gap_s"]),
    )


def _read_target(path: Path, evidence: Evidence) -> None:
    open_runs: dict[tuple[str, bool], list[Run]] = defaultdict(list)
    for line in read_lines(path):
        match line["event"]:
            case "start" | "stream_start":
                run = _make_run(line)
                evidence.runs.append(run)
                open_runs[run.key, run.is_stream].append(run)
            case "end" | "cancelled" | "stream_end":
                is_stream = line["event"] == "stream_end"
                for run in open_runs.pop((line["key"], is_stream), []):
                    run.ended_s = line["at_s"]
            case "misdirected":
                evidence.misdirected.append(line)
            case "shed":
                evidence.shed += 1
            case "control" if line["change"].get("drain"):
                leaving = LeavingPeriod(line["service"], line["target"], line["at_s"])
                evidence.leaving.append(leaving)


def _make_run(line: dict[str, Any]) -> Run:
    return Run(
        echo=line["echo"],
        key=line["key"],
        service=line["service"],
        target=line["target"],
        idempotent=line["idempotent"],
        started_s=line["at_s"],
        is_stream=line["event"] == "stream_start",
    )


def _read_platform(path: Path, evidence: Evidence) -> None:
    writes = [line for line in read_lines(path) if line["event"] == "write"]
    evidence.writes += writes
    names = {line["name"] for line in writes if line["kind"] == "service"}
    for name in sorted(names):
        versions = [w for w in writes if (w["kind"], w["name"]) == ("service", name)]
        evidence.leaving += _find_leaving_periods(name, versions)


def _find_leaving_periods(
    service: str, versions: list[dict[str, Any]]
) -> Iterator[LeavingPeriod]:
    """Yield periods in which a target was draining or absent from its record."""
    names: dict[str, str] = {}
    serving: set[str] = set()
    left_s: dict[str, float] = {}
    for write in versions:
        serving_now = _find_serving_targets(write, names)
        for target in serving - serving_now:
            left_s[target] = write["at_s"]
        for target in serving_now & left_s.keys():
            yield LeavingPeriod(service, target, left_s.pop(target), write["at_s"])
        serving = serving_now
    for target, from_s in left_s.items():
        yield LeavingPeriod(service, target, from_s)


def _find_serving_targets(write: dict[str, Any], names: dict[str, str]) -> set[str]:
    """Return the targets that may get work; ``names`` maps addresses to names.

    Schema 1 identifies a target by its address, as do records converted from it.
    """
    if write["type"] == "delete":
        return set()
    body = write["body"]
    targets = body.get("targets", [])
    if body.get("schema_version") == 1:
        return {names.get(a, a) for a in targets if a not in body.get("drain", [])}
    named = [entry for entry in targets if entry["name"] != entry.get("address")]
    names |= {entry.get("address", ""): entry["name"] for entry in named}
    serving = {entry["name"] for entry in targets if not entry.get("draining")}
    return {names.get(name, name) for name in serving}

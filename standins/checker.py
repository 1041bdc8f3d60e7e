"""Independent checker that finds broken promises in the logs.

It reads only the logs of callers, targets and platform, not those of instances.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum

from standins.evidence import Evidence, Request, Run, Stream

__all__ = ["Promise", "Report", "UnplannedFailure", "Violation", "check"]

LEAVING_GRACE_S = 3.0
"""Time after which a leaving target must not get new work."""
RECOVERY_S = 10.0
"""Time after an unplanned failure in which requests may still fail."""
STALL_LIMIT_S = 5.0
"""Longest allowed gap between events; stream intervals are far shorter."""


class Promise(Enum):
    """Guarantees of the system; the values name them in reports."""

    FLOWS = "established flows survive planned changes"
    SERVICE = "no request reaches another service"
    WHOLE = "each caller gets the whole answer to its own request"
    NOT_RUN = "what was refused as not run did not run"
    ONCE = "a non-idempotent request runs at most once"
    LEAVING = "a leaving target gets no new work"
    GRACEFUL = "a planned stop cuts no request"
    IN_FORCE = "an accepted configuration is in force within seconds"


@dataclass(frozen=True)
class Violation:
    """Broken promise found in the logs."""

    promise: Promise
    detail: str

    def __str__(self) -> str:
        return f"{self.promise.value}: {self.detail}"


@dataclass(frozen=True)
class UnplannedFailure:
    """Period of an injected failure; it may end after the logs do."""

    from_s: float
    until_s: float

    def covers(self, sent_s: float, ended_s: float) -> bool:
        """Return whether the failure may have affected work in this period."""
        return ended_s >= self.from_s and sent_s <= self.until_s + RECOVERY_S

    def overlap_s(self, from_s: float, until_s: float) -> float:
        """Return how long a period overlaps with the failure and the recovery."""
        begin_s = max(from_s, self.from_s)
        end_s = min(until_s, self.until_s + RECOVERY_S)
        return max(0.0, end_s - begin_s)


@dataclass
class Report:
    """Counts and violations of one run."""

    counts: Counter[str] = field(default_factory=Counter)
    violations: list[Violation] = field(default_factory=list)

    def broken(self, promise: Promise) -> list[Violation]:
        """Return the violations of one promise."""
        return [v for v in self.violations if v.promise is promise]


def check(
    evidence: Evidence, unplanned_failures: Iterable[UnplannedFailure] = ()
) -> Report:
    """Check the logs against all promises.

    Parameters
    ----------
    evidence : Evidence
        Contents of the logs.
    unplanned_failures : iterable of UnplannedFailure
        Unplanned failures; only requests and streams in progress during one may
        end with an unknown outcome.
    """
    failures = list(unplanned_failures)
    violations = [
        *_find_wrong_services(evidence),
        *_find_repeated_runs(evidence),
        *_find_refused_runs(evidence),
        *_find_wrong_answers(evidence),
        *_find_cut_requests(evidence, failures),
        *_find_broken_streams(evidence, failures),
        *_find_lost_flows(evidence),
        *_find_work_while_leaving(evidence),
    ]
    return Report(_count(evidence), violations)


def _count(evidence: Evidence) -> Counter[str]:
    counts: Counter[str] = Counter()
    for request in evidence.requests.values():
        counts["requests"] += 1
        counts[request.end or "without_end"] += 1
        counts[f"answer_{request.verdict}"] += bool(request.verdict)
    counts["flows"] = evidence.opens
    counts["opens_failed"] = evidence.opens_failed
    counts["streams"] = len(evidence.streams)
    counts["stream_events"] = sum(stream.events for stream in evidence.streams)
    counts["runs"] = sum(not run.is_stream for run in evidence.runs)
    counts["shed_by_targets"] = evidence.shed
    return counts


def _find_wrong_services(evidence: Evidence) -> Iterator[Violation]:
    for line in evidence.misdirected:
        if line["named_service"] != line["service"]:
            yield Violation(
                Promise.SERVICE,
                f"{line['target']} of {line['service']} got a request for "
                f"{line['named_service'] or 'no service'}",
            )
    for echo, runs in evidence.runs_by_echo().items():
        request = evidence.requests.get(echo)
        for run in runs:
            if request is not None and run.service != request.service:
                detail = f"{echo} for {request.service} ran on {run.target}"
                yield Violation(Promise.SERVICE, detail)


def _find_repeated_runs(evidence: Evidence) -> Iterator[Violation]:
    for echo, runs in evidence.runs_by_echo().items():
        if len(runs) > 1 and not _is_idempotent(evidence, echo, runs):
            yield Violation(Promise.ONCE, f"{echo} ran {_describe_runs(runs)}")


def _is_idempotent(evidence: Evidence, echo: str, runs: list[Run]) -> bool:
    request = evidence.requests.get(echo)
    if request is not None:
        return request.idempotent
    return all(run.idempotent for run in runs)


def _find_refused_runs(evidence: Evidence) -> Iterator[Violation]:
    by_echo = evidence.runs_by_echo()
    for request in evidence.requests.values():
        runs = by_echo.get(request.echo, [])
        if request.end == "not_run" and runs:
            detail = f"{request.echo} ({request.reason}) ran {_describe_runs(runs)}"
            yield Violation(Promise.NOT_RUN, detail)


def _describe_runs(runs: list[Run]) -> str:
    places = ", ".join(f"{run.target} as {run.key}" for run in runs)
    return f"{len(runs)} times: {places}"


def _find_wrong_answers(evidence: Evidence) -> Iterator[Violation]:
    by_echo = evidence.runs_by_echo()
    for request in evidence.requests.values():
        if request.end == "answer" and request.verdict != "whole":
            detail = f"{request.echo} got a {request.verdict} answer"
            yield Violation(Promise.WHOLE, detail)
        elif request.end == "answer" and not by_echo.get(request.echo):
            detail = f"{request.echo} got an answer but ran on no target"
            yield Violation(Promise.WHOLE, detail)
    for stream in evidence.streams:
        if stream.wrong:
            detail = f"stream {stream.echo} had {stream.wrong} wrong events"
            yield Violation(Promise.WHOLE, detail)


def _is_excused(
    item: Request | Stream, unplanned_failures: Iterable[UnplannedFailure]
) -> bool:
    return any(d.covers(item.sent_s, item.ended_s) for d in unplanned_failures)


def _find_cut_requests(
    evidence: Evidence, unplanned_failures: list[UnplannedFailure]
) -> Iterator[Violation]:
    for request in evidence.requests.values():
        ended_badly = request.end in ("unknown", "gave_up", "status")
        if ended_badly and not _is_excused(request, unplanned_failures):
            detail = f"{request.echo} ended as {request.end} ({request.reason})"
            yield Violation(Promise.GRACEFUL, detail)


def _find_broken_streams(
    evidence: Evidence, unplanned_failures: list[UnplannedFailure]
) -> Iterator[Violation]:
    for stream in evidence.streams:
        if not stream.by_caller and not _is_excused(stream, unplanned_failures):
            detail = f"stream {stream.echo} ended after {stream.events} events"
            yield Violation(Promise.FLOWS, f"{detail} ({stream.error})")
        stalled_s = _stalled_s(stream, unplanned_failures)
        if stalled_s > STALL_LIMIT_S:
            detail = f"stream {stream.echo} stalled for {stalled_s:.1f} s"
            yield Violation(Promise.FLOWS, detail)


def _stalled_s(stream: Stream, unplanned_failures: list[UnplannedFailure]) -> float:
    from_s, until_s = stream.longest_gap_s
    excused_s = sum(d.overlap_s(from_s, until_s) for d in unplanned_failures)
    return until_s - from_s - excused_s


def _find_lost_flows(evidence: Evidence) -> Iterator[Violation]:
    """Yield flows whose last two requests got no answer, for any cause."""
    by_flow: dict[str, list[Request]] = defaultdict(list)
    for request in evidence.requests.values():
        if request.end:
            by_flow[request.flow].append(request)
    for flow, requests in by_flow.items():
        requests.sort(key=lambda request: request.ended_s)
        last = requests[-2:]
        if len(last) == 2 and all(r.end in ("unknown", "gave_up") for r in last):
            detail = f"flow {flow} of {last[0].service} got no more answers"
            yield Violation(Promise.FLOWS, detail)


def _find_work_while_leaving(evidence: Evidence) -> Iterator[Violation]:
    for leaving in evidence.leaving:
        late = [
            run.started_s - leaving.from_s
            for run in evidence.runs
            if (run.service, run.target) == (leaving.service, leaving.target)
            and leaving.from_s + LEAVING_GRACE_S < run.started_s < leaving.until_s
        ]
        if late:
            detail = f"{leaving.target} got {len(late)} up to {max(late):.1f} s after"
            yield Violation(Promise.LEAVING, detail)

"""Conditional writes whose lost answers are followed up."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from returns.result import Failure, Result, Success

from endivepick.backoff import Backoff
from endivepick.errors import (
    EndivepickError,
    PlatformAnswerError,
    PlatformUnavailableError,
    RecordConflictError,
    WriteOutcomeUnknownError,
)
from endivepick.platform._http import HttpCaller
from endivepick.platform.answers import WatchResult, read_conflict, read_object
from endivepick.platform.settings import PlatformSettings
from endivepick.records.difference import compare_bodies
from endivepick.records.objects import StoredObject
from endivepick.store import (
    Answer,
    AnswerLost,
    CallOutcome,
    NotSent,
    call_error,
)

__all__ = ["ConditionalWrite", "ConditionalWriter", "WriteError"]

WriteError = (
    PlatformUnavailableError
    | PlatformAnswerError
    | RecordConflictError
    | WriteOutcomeUnknownError
)
WriteResult = Result[StoredObject, EndivepickError]
HistoryCall = Callable[[Iterable[str], int, float], Result[WatchResult, Any]]


@dataclass(frozen=True)
class ConditionalWrite:
    """One write.

    Attributes
    ----------
    kind, name : str
        The object.
    body : mapping
        New content with a unique ``write_id``.
    if_version : int
        Version that must stand; 0 if there must be no object.
    base : mapping or None
        Content that the writer read.
    """

    kind: str
    name: str
    body: Mapping[str, Any]
    if_version: int
    base: Mapping[str, Any] | None

    def made(self, stored: StoredObject | None) -> bool:
        """Tell whether this write made a version, by the write id."""
        body = stored.body if stored is not None else None
        return body is not None and body.get("write_id") == self.body["write_id"]

    @property
    def path(self) -> list[str]:
        """Path of the object."""
        return ["objects", self.kind, self.name]


class ConditionalWriter:
    """Send a write until its outcome is known or the attempts are used up.

    A write sent again under the same condition takes effect at most once: the
    condition no longer holds afterwards.  Only a create needs a look first,
    since somebody may have deleted what the first attempt made.

    Parameters
    ----------
    http : HttpCaller
        Connections to the object API.
    settings : PlatformSettings
        Attempts and back-off.
    history : callable
        Returns the changes of some kinds after a revision without waiting.
    pause : callable
        Waits a number of seconds.
    random_share : callable
        Returns random numbers from 0 to 1.
    """

    def __init__(
        self,
        http: HttpCaller,
        settings: PlatformSettings,
        history: HistoryCall,
        pause: Callable[[float], object],
        random_share: Callable[[], float],
    ) -> None:
        self._http = http
        self._settings = settings
        self._history = history
        self._pause = pause
        self._random_share = random_share

    def put(self, write: ConditionalWrite) -> WriteResult:
        """Make a write; see ``PlatformClient.put``."""
        content = {"body": dict(write.body), "if_version": write.if_version}
        outcome = self._http.call("PUT", write.path, body=content)
        if not _effect_unknown(outcome):
            return self._first_result(write, outcome)
        backoff = Backoff(self._settings.backoff)
        for _ in range(self._settings.write_attempts - 1):
            backoff = backoff.failed(self._random_share())
            self._pause(backoff.wait_s)
            result = self._follow_up(write, content)
            if result is not None:
                return result
        return _unknown(write, "the platform did not answer since")

    def _first_result(
        self, write: ConditionalWrite, outcome: CallOutcome
    ) -> WriteResult:
        match outcome:
            case Answer(status=200, data=data):
                return _read(read_object, data)
            case Answer(status=409, data=data):
                return _read(read_conflict, data).bind(
                    lambda current: _conflict(write, current)
                )
            case _:
                return Failure(call_error(outcome))

    def _follow_up(
        self, write: ConditionalWrite, content: dict[str, Any]
    ) -> WriteResult | None:
        if write.if_version == 0:
            match self._http.call("GET", write.path):
                case Answer(status=200, data=data):
                    return _read(read_object, data).bind(
                        lambda current: self._judge(write, current)
                    )
                case Answer(status=404):
                    pass
                case _:
                    return None
        match self._http.call("PUT", write.path, body=content):
            case Answer(status=200, data=data):
                return _read(read_object, data)
            case Answer(status=409, data=data):
                return _read(read_conflict, data).bind(
                    lambda current: self._judge(write, current)
                )
            case _:
                return None

    def _judge(
        self, write: ConditionalWrite, current: StoredObject | None
    ) -> WriteResult:
        """Find out from what stands now whether the write took effect."""
        if current is not None and write.made(current):
            return Success(current)
        match self._history([write.kind], write.if_version, 0.0):
            case Success(WatchResult(events=events)):
                for event in events:
                    if event.name == write.name and write.made(event):
                        return Success(event)
        return _unknown(write, "another writer has changed it since")


def _effect_unknown(outcome: CallOutcome) -> bool:
    match outcome:
        case AnswerLost() | Answer(status=500 | 502 | 504):
            return True
        case Answer() | NotSent():
            return False


def _read(read: Callable[[bytes], Any], data: bytes) -> Result[Any, EndivepickError]:
    try:
        return Success(read(data))
    except PlatformAnswerError as error:
        return Failure(error)


def _conflict(write: ConditionalWrite, current: StoredObject | None) -> WriteResult:
    if current is not None and write.made(current):
        return Success(current)
    differences = compare_bodies(write.base, current.body if current else None)
    changed = "; ".join(map(str, differences)) or "nothing but its version"
    now = f"version {current.version}" if current else "deleted"
    return Failure(
        RecordConflictError(
            f"{write.kind} {write.name} is {now}, not version {write.if_version}. "
            f"Changed meanwhile: {changed}. Read it and apply your change again.",
            current,
            differences,
        )
    )


def _unknown(write: ConditionalWrite, reason: str) -> WriteResult:
    return Failure(
        WriteOutcomeUnknownError(
            f"The answer to write {write.body['write_id']} of {write.kind} "
            f"{write.name} was lost and {reason}. Read the record; write again only "
            "if your change is not in it."
        )
    )

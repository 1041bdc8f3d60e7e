"""Conditional writes that are retried after a lost answer."""

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
from endivepick.platform._http import HttpTransport
from endivepick.platform.answers import WatchResult, decode_conflict, decode_object
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
    """A write that takes effect only at a given version of the object.

    Attributes
    ----------
    kind, name : str
        Kind and name of the object.
    body : mapping
        New content with a unique ``write_id``.
    if_version : int
        Required current version; 0 if the object must not exist.
    base : mapping or None
        Content that the writer read.
    """

    kind: str
    name: str
    body: Mapping[str, Any]
    if_version: int
    base: Mapping[str, Any] | None

    def is_author_of(self, stored: StoredObject | None) -> bool:
        """Return whether this write created a version, by its write id."""
        body = stored.body if stored is not None else None
        return body is not None and body.get("write_id") == self.body["write_id"]

    @property
    def path(self) -> list[str]:
        """Path segments of the object."""
        return ["objects", self.kind, self.name]


class ConditionalWriter:
    """Sends a write until its outcome is known or the attempts are exhausted.

    A retry under the same condition takes effect at most once, because the first
    success changes the version.  Before a create is retried, the object is read:
    another writer may have deleted what the first attempt created, and then the
    condition would hold again.

    Parameters
    ----------
    http : HttpCaller
        Transport of the object API.
    settings : PlatformSettings
        Number of attempts and backoff.
    history : callable
        Returns the changes of given kinds after a revision without waiting.
    pause : callable
        Waits a number of seconds.
    random_share : callable
        Returns random numbers from 0 to 1.
    """

    def __init__(
        self,
        http: HttpTransport,
        settings: PlatformSettings,
        history: HistoryCall,
        sleep: Callable[[float], object],
        random_share: Callable[[], float],
    ) -> None:
        self._http = http
        self._settings = settings
        self._history = history
        self._sleep = sleep
        self._random_share = random_share

    def put(self, write: ConditionalWrite) -> WriteResult:
        """Send a write; see ``PlatformClient.put``."""
        content = {"body": dict(write.body), "if_version": write.if_version}
        outcome = self._http.call("PUT", write.path, body=content)
        if not _is_outcome_unknown(outcome):
            return self._to_result(write, outcome)
        backoff = Backoff(self._settings.backoff)
        for _ in range(self._settings.write_attempts - 1):
            backoff = backoff.failed(self._random_share())
            self._sleep(backoff.wait_s)
            result = self._retry_write(write, content)
            if result is not None:
                return result
        return _unknown_result(write, "the platform has not answered since then")

    def _to_result(self, write: ConditionalWrite, outcome: CallOutcome) -> WriteResult:
        match outcome:
            case Answer(status=200, data=data):
                return _decode_answer(decode_object, data)
            case Answer(status=409, data=data):
                return _decode_answer(decode_conflict, data).bind(
                    lambda current: _conflict_result(write, current)
                )
            case _:
                return Failure(call_error(outcome))

    def _retry_write(
        self, write: ConditionalWrite, content: dict[str, Any]
    ) -> WriteResult | None:
        if write.if_version == 0:
            match self._http.call("GET", write.path):
                case Answer(status=200, data=data):
                    return _decode_answer(decode_object, data).bind(
                        lambda current: self._resolve_conflict(write, current)
                    )
                case Answer(status=404):
                    pass
                case _:
                    return None
        match self._http.call("PUT", write.path, body=content):
            case Answer(status=200, data=data):
                return _decode_answer(decode_object, data)
            case Answer(status=409, data=data):
                return _decode_answer(decode_conflict, data).bind(
                    lambda current: self._resolve_conflict(write, current)
                )
            case _:
                return None

    def _resolve_conflict(
        self, write: ConditionalWrite, current: StoredObject | None
    ) -> WriteResult:
        """Determine from the stored object and history whether the write succeeded."""
        if current is not None and write.is_author_of(current):
            return Success(current)
        match self._history([write.kind], write.if_version, 0.0):
            case Success(WatchResult(events=events)):
                for event in events:
                    if event.name == write.name and write.is_author_of(event):
                        return Success(event)
        return _unknown_result(
            write, "another writer has changed the object since then"
        )


def _is_outcome_unknown(outcome: CallOutcome) -> bool:
    match outcome:
        case AnswerLost() | Answer(status=500 | 502 | 504):
            return True
        case Answer() | NotSent():
            return False


def _decode_answer(
    decode: Callable[[bytes], Any], data: bytes
) -> Result[Any, EndivepickError]:
    try:
        return Success(decode(data))
    except PlatformAnswerError as error:
        return Failure(error)


def _conflict_result(
    write: ConditionalWrite, current: StoredObject | None
) -> WriteResult:
    if current is not None and write.is_author_of(current):
        return Success(current)
    differences = compare_bodies(write.base, current.body if current else None)
    changed = "; ".join(map(str, differences)) or "only its version"
    now = f"version {current.version}" if current else "deleted"
    return Failure(
        RecordConflictError(
            f"{write.kind} {write.name} is {now}, not version {write.if_version}. "
            f"Changed fields: {changed}. Read it and apply your change again.",
            current,
            differences,
        )
    )


def _unknown_result(write: ConditionalWrite, reason: str) -> WriteResult:
    return Failure(
        WriteOutcomeUnknownError(
            f"The answer to write {write.body['write_id']} of {write.kind} "
            f"{write.name} was lost and {reason}. Read the record; write again only "
            "if it does not contain your change."
        )
    )

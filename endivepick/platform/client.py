"""Client of the platform's object API."""

from collections.abc import Callable, Iterable, Mapping
from typing import Any, TypeVar

from returns.result import Failure, Result, Success

from endivepick.errors import (
    EndivepickError,
    PlatformAnswerError,
    PlatformUnavailableError,
    RecordConflictError,
    WatchExpiredError,
    WriteOutcomeUnknownError,
)
from endivepick.platform._http import HttpTransport
from endivepick.platform.answers import (
    InstanceList,
    ObjectList,
    WatchResult,
    decode_conflict,
    decode_instances,
    decode_list,
    decode_object,
    decode_watch,
)
from endivepick.platform.settings import PlatformSettings
from endivepick.platform.writes import ConditionalWrite, ConditionalWriter, WriteError
from endivepick.records.objects import StoredObject
from endivepick.store import Answer, AnswerLost, CallOutcome, call_error

__all__ = ["PlatformClient", "ReadError", "WatchError", "WriteError"]

ReadError = PlatformUnavailableError | PlatformAnswerError
WatchError = ReadError | WatchExpiredError

T = TypeVar("T")


class PlatformClient:
    """Typed calls to the object API.

    The client retries only writes whose answer was lost.  Calls block; run them in a
    separate gevent task.

    Parameters
    ----------
    settings : PlatformSettings
        Address and timeouts.
    pause : callable
        Waits a number of seconds between two attempts of a write; ``gevent.sleep`` in a
        daemon.
    random_share : callable
        Returns random numbers from 0 to 1 for the jitter of the backoff.
    """

    def __init__(
        self,
        settings: PlatformSettings,
        sleep: Callable[[float], object],
        random_share: Callable[[], float],
    ) -> None:
        self._settings = settings
        self._http = HttpTransport(settings)
        self._writer = ConditionalWriter(
            self._http, settings, self.watch, sleep, random_share
        )

    def close(self) -> None:
        """Close all connections."""
        self._http.close()

    def get(self, kind: str, name: str) -> Result[StoredObject | None, ReadError]:
        """Read one object; return Success(None) if it does not exist."""
        outcome = self._http.call("GET", ["objects", kind, name])
        match outcome:
            case Answer(status=404):
                return Success(None)
            case _:
                return _decode_answer(outcome, decode_object)

    def list(self, kind: str) -> Result[ObjectList, ReadError]:
        """Read all objects of a kind."""
        outcome = self._http.call("GET", ["objects", kind])
        return _decode_answer(outcome, lambda data: decode_list(kind, data))

    def instances(self) -> Result[InstanceList, ReadError]:
        """Read the list of instances, which may be out of date."""
        return _decode_answer(self._http.call("GET", ["instances"]), decode_instances)

    def watch(
        self, kinds: Iterable[str], after: int, wait_s: float | None = None
    ) -> Result[WatchResult, WatchError]:
        """Wait for changes after a revision.

        Parameters
        ----------
        kinds : iterable of str
            Kinds to watch.
        after : int
            Revision up to which the changes are already known.
        wait_s : float, default=None
            How long the platform may delay its answer while nothing changes, in
            seconds; ``settings.watch_wait_s`` by default.

        Returns
        -------
        Result of WatchResult
            The events may be empty.  After WatchExpiredError, list again.
        """
        hold_s = self._settings.watch_wait_s if wait_s is None else wait_s
        query = {"kinds": ",".join(kinds), "after": after, "wait_s": hold_s}
        outcome = self._http.call("GET", ["watch"], query, wait_s=hold_s)
        match outcome:
            case Answer(status=410):
                return Failure(
                    WatchExpiredError(
                        f"Changes after revision {after} are gone. List again."
                    )
                )
            case _:
                return _decode_answer(outcome, lambda data: decode_watch(after, data))

    def put(
        self,
        kind: str,
        name: str,
        body: Mapping[str, Any],
        if_version: int,
        base: Mapping[str, Any] | None = None,
    ) -> Result[StoredObject, EndivepickError]:
        """Write an object if its version is still the one that was read.

        After a lost answer the write is retried until its outcome is known.  The
        version condition makes the retry idempotent, and the write id identifies the
        versions that this write created.

        Parameters
        ----------
        kind, name : str
            Kind and name of the object.
        body : mapping
            New content with a ``write_id`` that is unique to this write.
        if_version : int
            Version that the writer read; 0 if there was no object.
        base : mapping, default=None
            Content that the writer read; used to report the changes in a conflict.

        Returns
        -------
        Result of StoredObject
            The version that this write created, or RecordConflictError,
            PlatformUnavailableError (nothing was written) or
            WriteOutcomeUnknownError.

        Raises
        ------
        ValueError
            If the body has no write id.
        """
        if not body.get("write_id"):
            raise ValueError(
                "the body has no write_id; add a unique one for each write"
            )
        write = ConditionalWrite(kind, name, body, if_version, base)
        return self._writer.put(write)

    def delete(
        self, kind: str, name: str, if_version: int
    ) -> Result[None, EndivepickError]:
        """Delete an object if its version is still the one that was read.

        After a lost answer the object is read back; if it does not exist, the deletion
        counts as successful.
        """
        path = ["objects", kind, name]
        outcome = self._http.call("DELETE", path, {"if_version": if_version})
        match outcome:
            case Answer(status=200 | 404):
                return Success(None)
            case Answer(status=409, data=data):
                return _to_deletion_conflict(kind, name, data)
            case AnswerLost() | Answer(status=500 | 502 | 504):
                return self._resolve_deletion(kind, name, if_version)
            case _:
                return Failure(call_error(outcome))

    def _resolve_deletion(
        self, kind: str, name: str, if_version: int
    ) -> Result[None, EndivepickError]:
        match self.get(kind, name):
            case Success(None):
                return Success(None)
            case _:
                return Failure(
                    WriteOutcomeUnknownError(
                        f"The answer to the deletion of {kind} {name} at version "
                        f"{if_version} was lost. Read it and delete it again if it "
                        "still exists."
                    )
                )


def _to_deletion_conflict(
    kind: str, name: str, data: bytes
) -> Result[None, EndivepickError]:
    try:
        current = decode_conflict(data)
    except PlatformAnswerError as error:
        return Failure(error)
    if current is None:
        return Success(None)
    return Failure(
        RecordConflictError(
            f"{kind} {name} has been changed to version {current.version}. "
            "Read it and repeat the deletion if it still applies.",
            current,
        )
    )


def _decode_answer(
    outcome: CallOutcome, decode: Callable[[bytes], T]
) -> Result[T, Any]:
    match outcome:
        case Answer(status=200, data=data):
            try:
                return Success(decode(data))
            except PlatformAnswerError as error:
                return Failure(error)
        case _:
            return Failure(call_error(outcome))

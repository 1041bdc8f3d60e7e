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
from endivepick.platform._http import HttpCaller
from endivepick.platform.answers import (
    InstanceList,
    ObjectList,
    WatchResult,
    decode_instances,
    read_conflict,
    read_list,
    read_object,
    read_watch,
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

    It never repeats a call by itself, but for a write whose answer was lost.
    The caller runs it in a gevent task of its own.

    Parameters
    ----------
    settings : PlatformSettings
        Address and limits.
    pause : callable
        Called with a number of seconds between two attempts of a write; give
        ``gevent.sleep`` in a daemon.
    random_share : callable
        Returns random numbers from 0 to 1 that spread the attempts.
    """

    def __init__(
        self,
        settings: PlatformSettings,
        pause: Callable[[float], object],
        random_share: Callable[[], float],
    ) -> None:
        self._settings = settings
        self._http = HttpCaller(settings)
        self._writer = ConditionalWriter(
            self._http, settings, self.watch, pause, random_share
        )

    def close(self) -> None:
        """Close all connections."""
        self._http.close()

    def get(self, kind: str, name: str) -> Result[StoredObject | None, ReadError]:
        """Read one object; Success(None) if there is none."""
        outcome = self._http.call("GET", ["objects", kind, name])
        match outcome:
            case Answer(status=404):
                return Success(None)
            case _:
                return _read(outcome, read_object)

    def list(self, kind: str) -> Result[ObjectList, ReadError]:
        """Read all objects of a kind."""
        outcome = self._http.call("GET", ["objects", kind])
        return _read(outcome, lambda data: read_list(kind, data))

    def instances(self) -> Result[InstanceList, ReadError]:
        """Read the lagging list of instances."""
        return _read(self._http.call("GET", ["instances"]), decode_instances)

    def watch(
        self, kinds: Iterable[str], after: int, wait_s: float | None = None
    ) -> Result[WatchResult, WatchError]:
        """Wait until something is newer than a revision.

        Parameters
        ----------
        kinds : iterable of str
            Kinds to watch.
        after : int
            Revision that the caller already knows.
        wait_s : float, default=None
            How long the platform may hold the call, in seconds;
            ``settings.watch_wait_s`` by default.

        Returns
        -------
        Result of WatchResult
            The events may be empty.  WatchExpiredError means: list again.
        """
        held_s = self._settings.watch_wait_s if wait_s is None else wait_s
        query = {"kinds": ",".join(kinds), "after": after, "wait_s": held_s}
        outcome = self._http.call("GET", ["watch"], query, wait_s=held_s)
        match outcome:
            case Answer(status=410):
                return Failure(
                    WatchExpiredError(
                        f"Changes after revision {after} are gone. List again."
                    )
                )
            case _:
                return _read(outcome, lambda data: read_watch(after, data))

    def put(
        self,
        kind: str,
        name: str,
        body: Mapping[str, Any],
        if_version: int,
        base: Mapping[str, Any] | None = None,
    ) -> Result[StoredObject, EndivepickError]:
        """Write an object if its version is still the one that was read.

        A lost answer is followed up until the outcome is known: sent again
        under the same condition, a write takes effect at most once, and its
        write id tells it from the writes of others.

        Parameters
        ----------
        kind, name : str
            The object.
        body : mapping
            New content; ``write_id`` has to be unique to this write.
        if_version : int
            Version that the writer read; 0 if there was no object.
        base : mapping, default=None
            Content that the writer read, to show what changed in a conflict.

        Returns
        -------
        Result of StoredObject
            The version that this write made, or RecordConflictError,
            PlatformUnavailableError (nothing was written) or
            WriteOutcomeUnknownError.

        Raises
        ------
        ValueError
            If the body has no write id.
        """
        if not body.get("write_id"):
            raise ValueError("Put a unique write_id into the body of each write.")
        write = ConditionalWrite(kind, name, body, if_version, base)
        return self._writer.put(write)

    def delete(
        self, kind: str, name: str, if_version: int
    ) -> Result[None, EndivepickError]:
        """Delete an object if its version is still the one that was read.

        After a lost answer it reads back: if there is no object, the deletion
        counts as done.
        """
        path = ["objects", kind, name]
        outcome = self._http.call("DELETE", path, {"if_version": if_version})
        match outcome:
            case Answer(status=200 | 404):
                return Success(None)
            case Answer(status=409, data=data):
                return _delete_conflict(kind, name, data)
            case AnswerLost() | Answer(status=500 | 502 | 504):
                return self._delete_outcome(kind, name, if_version)
            case _:
                return Failure(call_error(outcome))

    def _delete_outcome(
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
                        "still stands."
                    )
                )


def _delete_conflict(
    kind: str, name: str, data: bytes
) -> Result[None, EndivepickError]:
    try:
        current = read_conflict(data)
    except PlatformAnswerError as error:
        return Failure(error)
    if current is None:
        return Success(None)
    return Failure(
        RecordConflictError(
            f"{kind} {name} was changed to version {current.version} meanwhile. "
            "Read it and decide again.",
            current,
        )
    )


def _read(outcome: CallOutcome, read: Callable[[bytes], T]) -> Result[T, Any]:
    match outcome:
        case Answer(status=200, data=data):
            try:
                return Success(read(data))
            except PlatformAnswerError as error:
                return Failure(error)
        case _:
            return Failure(call_error(outcome))

"""Exit codes of the command line."""

from enum import IntEnum

from endivepick.errors import (
    EndivepickError,
    PlatformAnswerError,
    PlatformUnavailableError,
    RecordConflictError,
    RecordInvalidError,
    SettingsInvalidError,
    WatchExpiredError,
    WriteOutcomeUnknownError,
)

__all__ = ["ExitCode", "exit_code_of"]


class ExitCode(IntEnum):
    """What a script can tell from the exit status."""

    OK = 0
    FAILURE = 1
    """Any failure without a code of its own."""
    USAGE = 2
    """Unknown command, flag or value."""
    INVALID_SETTINGS = 3
    """The settings file is refused."""
    INVALID_RECORD = 4
    """The record is refused; nothing was written."""
    CONFLICT = 5
    """Somebody else changed the record first; nothing was written."""
    PLATFORM_UNREACHABLE = 6
    """The object API did not take the call; nothing was written."""
    OUTCOME_UNKNOWN = 7
    """The write may or may not have taken effect: read the record."""
    NOT_FOUND = 8
    """There is no such record, target or instance."""
    DIFFERENT = 9
    """``records diff`` found differences."""
    ERROR_STATUS = 10
    """``call``: the target answered with a status of 400 or more."""
    NOT_RUN = 11
    """``call``: the request did not run."""
    REQUEST_OUTCOME_UNKNOWN = 12
    """``call``: the request may have run."""
    NOT_OPENED = 13
    """``call``: no flow was opened."""


def exit_code_of(error: EndivepickError) -> ExitCode:
    """Choose the exit code of an error."""
    match error:
        case SettingsInvalidError():
            return ExitCode.INVALID_SETTINGS
        case RecordInvalidError():
            return ExitCode.INVALID_RECORD
        case RecordConflictError():
            return ExitCode.CONFLICT
        case PlatformUnavailableError() | PlatformAnswerError() | WatchExpiredError():
            return ExitCode.PLATFORM_UNREACHABLE
        case WriteOutcomeUnknownError():
            return ExitCode.OUTCOME_UNKNOWN
    return ExitCode.FAILURE

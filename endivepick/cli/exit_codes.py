"""Exit codes of the command-line interface."""

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
    """Exit status of a command."""

    OK = 0
    FAILURE = 1
    """Any failure without a specific code."""
    USAGE = 2
    """Unknown command or option, or invalid value."""
    INVALID_SETTINGS = 3
    """The settings file is invalid."""
    INVALID_RECORD = 4
    """The record is invalid; nothing was written."""
    CONFLICT = 5
    """Another writer changed the record first; nothing was written."""
    PLATFORM_UNREACHABLE = 6
    """The object API did not accept the call; nothing was written."""
    OUTCOME_UNKNOWN = 7
    """The write may have taken effect; read the record to find out."""
    NOT_FOUND = 8
    """The record, target or instance does not exist."""
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
    """Return the exit code of an error."""
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

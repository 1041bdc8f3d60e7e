"""Exceptions of the package; each message states the remedy."""

__all__ = [
    "AnswerDamagedError",
    "ChartError",
    "EndivepickError",
    "MessageInvalidError",
    "PacketInvalidError",
    "PlatformAnswerError",
    "PlatformUnavailableError",
    "RecordConflictError",
    "RecordInvalidError",
    "SettingsInvalidError",
    "TokenInvalidError",
    "WatchExpiredError",
    "WriteOutcomeUnknownError",
]


class EndivepickError(Exception):
    """Base class of all exceptions of this package."""


class ChartError(EndivepickError):
    """A state chart is missing or lacks a transition."""


class MessageInvalidError(EndivepickError):
    """A message of another instance is invalid."""


class PacketInvalidError(EndivepickError):
    """A datagram is not a valid packet of this protocol.

    Parameters
    ----------
    reason : str
        Short name of the error, used as a metric label.
    remedy : str
        What the sender has to change.
    """

    def __init__(self, reason: str, remedy: str) -> None:
        super().__init__(f"Invalid packet ({reason}). {remedy}")
        self.reason = reason


class TokenInvalidError(EndivepickError):
    """A flow token is forged, expired or made with an unknown key.

    Parameters
    ----------
    reason : str
        Short name of the error, used as a metric label.
    remedy : str
        What the caller has to do.
    """

    def __init__(self, reason: str, remedy: str) -> None:
        super().__init__(f"Invalid flow token ({reason}). {remedy}")
        self.reason = reason


class SettingsInvalidError(EndivepickError):
    """A settings file is invalid; the message states line, key and remedy."""


class RecordInvalidError(EndivepickError):
    """A record is invalid; the message states the field and the remedy.

    Parameters
    ----------
    message : str
        Record, field and remedy.
    field : str, default=""
        Path of the field in the record; empty if the record as a whole is invalid.
    """

    def __init__(self, message: str, field: str = "") -> None:
        super().__init__(message)
        self.field = field


class RecordConflictError(EndivepickError):
    """A conditional write failed because another writer changed the record.

    Parameters
    ----------
    message : str
        What changed, and the remedy.
    current : object, default=None
        The currently stored ``StoredObject``; None if there is none.
    differences : tuple, default=()
        ``FieldDifference`` items between the version that the writer read and the
        current one.
    """

    def __init__(
        self, message: str, current: object = None, differences: tuple = ()
    ) -> None:
        super().__init__(message)
        self.current = current
        self.differences = differences


class PlatformUnavailableError(EndivepickError):
    """The object API did not accept the call; nothing was written.

    Parameters
    ----------
    message : str
        Cause and remedy.
    retry_after_s : float, default=None
        Delay before the next attempt that the platform requested, in seconds.
    """

    def __init__(self, message: str, retry_after_s: float | None = None) -> None:
        super().__init__(message)
        self.retry_after_s = retry_after_s


class PlatformAnswerError(EndivepickError):
    """The object API rejected a call or sent an answer that violates its contract."""


class AnswerDamagedError(PlatformAnswerError):
    """An answer contains an object of another writer that makes it unreadable."""


class WatchExpiredError(EndivepickError):
    """The platform no longer stores the changes after this revision: list again."""


class WriteOutcomeUnknownError(EndivepickError):
    """The answer to a write was lost and reading back did not show its outcome."""

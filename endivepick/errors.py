"""Errors and warnings of the package; each message names the remedy."""

__all__ = [
    "ChartError",
    "EndivepickError",
    "PacketInvalidError",
    "PlatformUnavailableError",
    "RecordConflictError",
    "RecordInvalidError",
    "SettingsInvalidError",
    "TokenInvalidError",
    "WriteOutcomeUnknownError",
]


class EndivepickError(Exception):
    """Base of all errors of this package."""


class ChartError(EndivepickError):
    """A state chart is missing or lacks a transition."""


class PacketInvalidError(EndivepickError):
    """A datagram is not a packet of this protocol.

    Parameters
    ----------
    reason : str
        Short name of the fault, used as a metric label.
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
        Short name of the fault, used as a metric label.
    remedy : str
        What the caller has to do.
    """

    def __init__(self, reason: str, remedy: str) -> None:
        super().__init__(f"Invalid flow token ({reason}). {remedy}")
        self.reason = reason


class SettingsInvalidError(EndivepickError):
    """A settings file is refused; the message names line, key and remedy."""


class RecordInvalidError(EndivepickError):
    """A record is refused; the message names field and remedy."""


class RecordConflictError(EndivepickError):
    """Another writer changed the record first."""


class PlatformUnavailableError(EndivepickError):
    """The object API did not take the call; nothing was written."""


class WriteOutcomeUnknownError(EndivepickError):
    """The answer to a write was lost and reading back failed as well."""

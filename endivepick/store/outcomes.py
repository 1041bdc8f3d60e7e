"""Outcomes of object API calls, and the typed errors of unsuccessful ones."""

from msgspec import Struct

from endivepick.errors import (
    EndivepickError,
    PlatformAnswerError,
    PlatformUnavailableError,
)

__all__ = [
    "Answer",
    "AnswerLost",
    "CallOutcome",
    "NotSent",
    "call_error",
    "retry_after_s",
]

MAX_RETRY_AFTER_S = 3600.0
"""Longest delay that is kept to: a number of hundreds of digits is an infinite float,
and a caller would never try again."""


class Answer(Struct, frozen=True):
    """The complete response of the platform."""

    status: int
    data: bytes
    retry_after_s: float | None


class NotSent(Struct, frozen=True):
    """The request was not sent: the call has no effect."""

    reason: str


class AnswerLost(Struct, frozen=True):
    """The request may have reached the platform: its effect is unknown."""

    reason: str


CallOutcome = Answer | NotSent | AnswerLost


def retry_after_s(header: str | None) -> float | None:
    """Return the delay of a ``Retry-After`` header in seconds.

    None if the header is absent or is no number of seconds; at most
    `MAX_RETRY_AFTER_S`.

    Examples
    --------
    >>> retry_after_s("3"), retry_after_s(None)
    (3.0, None)
    """
    # HTTP also allows a date; the platform's API specifies seconds.
    if header is None or not header.isascii() or not header.isdigit():
        return None
    return min(float(header), MAX_RETRY_AFTER_S)


def call_error(outcome: CallOutcome) -> EndivepickError:
    """Return the typed error of an unsuccessful call."""
    match outcome:
        case Answer(status=429 | 503 as status, retry_after_s=retry_after_s):
            return PlatformUnavailableError(
                f"The server responded with status {status}. Try again later.",
                retry_after_s,
            )
        case Answer(status=status) if status >= 500:
            return PlatformUnavailableError(
                f"The server responded with status {status}. Try again later."
            )
        case Answer(status=status, data=data):
            text = data[:200].decode(errors="replace")
            return PlatformAnswerError(
                f"The server rejected the call with status {status}: {text} "
                "Check the name and the size of the body (at most 1 MB)."
            )
        case NotSent(reason=reason) | AnswerLost(reason=reason):
            return PlatformUnavailableError(
                f"No response ({reason}). Check the address of the called server and "
                "the network, or try again later."
            )

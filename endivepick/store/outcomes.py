"""How calls to the object API end, and the typed errors of those without effect."""

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


class Answer(Struct, frozen=True):
    """The platform's whole answer."""

    status: int
    data: bytes
    retry_after_s: float | None


class NotSent(Struct, frozen=True):
    """The call did not reach the platform: it has no effect."""

    reason: str


class AnswerLost(Struct, frozen=True):
    """The call may have reached the platform: its effect is unknown."""

    reason: str


CallOutcome = Answer | NotSent | AnswerLost


def retry_after_s(header: str | None) -> float | None:
    """Return the seconds that a ``Retry-After`` header asks for, if it does.

    Examples
    --------
    >>> retry_after_s("3"), retry_after_s(None)
    (3.0, None)
    """
    # A date is allowed as well; the platform's contract gives seconds.
    if header is None or not header.isascii() or not header.isdigit():
        return None
    return float(header)


def call_error(outcome: CallOutcome) -> EndivepickError:
    """Return the typed error of a call that had no effect."""
    match outcome:
        case Answer(status=429 | 503 as status, retry_after_s=retry_after_s):
            return PlatformUnavailableError(
                f"The platform answered {status}. Try again later.", retry_after_s
            )
        case Answer(status=status) if status >= 500:
            return PlatformUnavailableError(
                f"The platform answered {status}. Try again later."
            )
        case Answer(status=status, data=data):
            text = data[:200].decode(errors="replace")
            return PlatformAnswerError(
                f"The platform refused the call with {status}: {text} "
                "Check the name and the size of the body (at most a megabyte)."
            )
        case NotSent(reason=reason) | AnswerLost(reason=reason):
            return PlatformUnavailableError(
                f"No answer from the platform ({reason}). Check its address in the "
                "settings and the network, or try again later."
            )

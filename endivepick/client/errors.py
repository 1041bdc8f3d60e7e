"""Errors of opening a flow and of sending a request."""

from endivepick.errors import EndivepickError

__all__ = [
    "CallerClosed",
    "GaveUp",
    "NotRun",
    "OpenError",
    "OpenRefused",
    "OpenTimedOut",
    "OutcomeUnknown",
    "RequestError",
    "StreamAnswerError",
]


class CallerClosed(EndivepickError):
    """The caller is closed."""

    def __init__(self) -> None:
        super().__init__("The caller is closed. Open a new caller.")


class OpenRefused(EndivepickError):
    """An instance refused to open the flow.

    Parameters
    ----------
    reason : str
        Reason that the instance gave.
    retry_after_ms : int
        Delay before the next attempt, in milliseconds.
    """

    def __init__(self, reason: str, retry_after_ms: int) -> None:
        super().__init__(
            f"The opening of the flow was refused ({reason}). "
            f"Open it again after {retry_after_ms} ms."
        )
        self.reason = reason
        self.retry_after_ms = retry_after_ms


class OpenTimedOut(EndivepickError):
    """No instance answered before the deadline.

    Parameters
    ----------
    service : str
        Name of the service.
    """

    def __init__(self, service: str) -> None:
        super().__init__(
            f"No instance answered the request to open a flow to {service!r}. "
            "Check the fabric's address and that instances run, then try again."
        )
        self.service = service


class RequestError(EndivepickError):
    """A request ended without a complete answer.

    Attributes
    ----------
    reason : str
        Short reason.
    retry_after_ms : int
        Delay before the next attempt, in milliseconds; 0 if none was given.
    """

    def __init__(self, message: str, reason: str, retry_after_ms: int = 0) -> None:
        super().__init__(message)
        self.reason = reason
        self.retry_after_ms = retry_after_ms


class NotRun(RequestError):
    """The request did not run and will not run."""

    def __init__(self, reason: str, retry_after_ms: int = 0) -> None:
        super().__init__(
            f"The request did not run ({reason}). "
            f"Send it again after {retry_after_ms} ms if it is still needed.",
            reason,
            retry_after_ms,
        )


class OutcomeUnknown(RequestError):
    """The request may have run, and no answer will arrive."""

    def __init__(self, reason: str, retry_after_ms: int = 0) -> None:
        super().__init__(
            f"It is unknown whether the request ran ({reason}). "
            "Check its effect before sending it again, unless it is idempotent.",
            reason,
            retry_after_ms,
        )


class GaveUp(OutcomeUnknown):
    """The deadline passed after at least one part of the request was sent."""

    def __init__(self) -> None:
        super().__init__("deadline passed")


class StreamAnswerError(EndivepickError):
    """The target answered the request for a stream without a stream.

    Parameters
    ----------
    status : int
        HTTP status of the answer.
    """

    def __init__(self, status: int) -> None:
        super().__init__(
            f"The target answered with status {status} instead of a stream. "
            "Check the path and the permissions of the request."
        )
        self.status = status


OpenError = OpenRefused | OpenTimedOut | CallerClosed
"""Errors of opening a flow."""

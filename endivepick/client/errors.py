"""Ways in which opening a flow or sending a request can end without an answer."""

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
    """The caller was closed before the call."""

    def __init__(self) -> None:
        super().__init__("The caller is closed. Open a new caller.")


class OpenRefused(EndivepickError):
    """No flow was opened.

    Parameters
    ----------
    reason : str
        Why, as the instance put it.
    retry_after_ms : int
        When to come back, in milliseconds.
    """

    def __init__(self, reason: str, retry_after_ms: int) -> None:
        super().__init__(
            f"The flow was refused ({reason}). Open it again after {retry_after_ms} ms."
        )
        self.reason = reason
        self.retry_after_ms = retry_after_ms


class OpenTimedOut(EndivepickError):
    """No instance answered before the deadline.

    Parameters
    ----------
    service : str
        Service that the flow was for.
    """

    def __init__(self, service: str) -> None:
        super().__init__(
            f"No instance answered the opening of a flow to {service!r}. "
            "Check the fabric's address and that instances run, then open again."
        )
        self.service = service


class RequestError(EndivepickError):
    """A request ended without a whole answer.

    Attributes
    ----------
    reason : str
        Why, in short.
    retry_after_ms : int
        When to come back, in milliseconds; 0 if nobody said.
    """

    def __init__(self, message: str, reason: str, retry_after_ms: int = 0) -> None:
        super().__init__(message)
        self.reason = reason
        self.retry_after_ms = retry_after_ms


class NotRun(RequestError):
    """The request did not run and never will."""

    def __init__(self, reason: str, retry_after_ms: int = 0) -> None:
        super().__init__(
            f"The request did not run ({reason}). "
            f"Send it again after {retry_after_ms} ms if it is still wanted.",
            reason,
            retry_after_ms,
        )


class OutcomeUnknown(RequestError):
    """The request may have run, and no answer will come."""

    def __init__(self, reason: str, retry_after_ms: int = 0) -> None:
        super().__init__(
            f"It is unknown whether the request ran ({reason}). "
            "Look its effect up before sending it again, unless it is idempotent.",
            reason,
            retry_after_ms,
        )


class GaveUp(OutcomeUnknown):
    """The deadline passed after a part of the request had been sent."""

    def __init__(self) -> None:
        super().__init__("deadline passed")


class StreamAnswerError(EndivepickError):
    """The target answered a stream's request without a stream.

    Parameters
    ----------
    status : int
        HTTP status of the answer.
    """

    def __init__(self, status: int) -> None:
        super().__init__(
            f"The target answered with status {status} in place of a stream. "
            "Check the path and the rights of the request."
        )
        self.status = status


OpenError = OpenRefused | OpenTimedOut | CallerClosed
"""Ways in which opening a flow can fail."""

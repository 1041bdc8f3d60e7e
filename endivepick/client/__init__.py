"""Caller library: open flows and send requests through the fabric."""

from endivepick.client.caller import Caller, Flow, PendingRequest, open_caller
from endivepick.client.errors import (
    CallerClosed,
    GaveUp,
    NotRun,
    OpenRefused,
    OpenTimedOut,
    OutcomeUnknown,
    RequestError,
    StreamAnswerError,
)
from endivepick.client.model import Answer, StreamEvent, StreamHead
from endivepick.client.retry import RetryPolicy, request_with_retry
from endivepick.client.settings import CallerSettings
from endivepick.client.stream import EventStream

__all__ = [
    "Answer",
    "Caller",
    "CallerClosed",
    "CallerSettings",
    "EventStream",
    "Flow",
    "GaveUp",
    "NotRun",
    "OpenRefused",
    "OpenTimedOut",
    "OutcomeUnknown",
    "PendingRequest",
    "RequestError",
    "RetryPolicy",
    "StreamAnswerError",
    "StreamEvent",
    "StreamHead",
    "open_caller",
    "request_with_retry",
]

"""HTTP connections to the platform's object API, and the outcomes of calls."""

from endivepick.store.connection import (
    CallLimits,
    StoreCall,
    StoreConnection,
    store_connection,
)
from endivepick.store.outcomes import (
    Answer,
    AnswerLost,
    CallOutcome,
    NotSent,
    call_error,
    retry_after_s,
)
from endivepick.store.pool import StorePool

__all__ = [
    "Answer",
    "AnswerLost",
    "CallLimits",
    "CallOutcome",
    "NotSent",
    "StoreCall",
    "StoreConnection",
    "StorePool",
    "call_error",
    "retry_after_s",
    "store_connection",
]

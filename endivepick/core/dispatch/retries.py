"""Classification of attempt outcomes for retries."""

from dataclasses import dataclass

from endivepick.core.dispatch.messages import FailReason, FinishKind, RefusalReason
from endivepick.core.dispatch.waiting import PendingRequest

__all__ = [
    "AttemptResult",
    "Done",
    "OutcomeUnknown",
    "Refused",
    "Retry",
    "classify_attempt",
]


@dataclass(frozen=True)
class Done:
    """The request needs no further decision."""


@dataclass(frozen=True)
class Retry:
    """The request may be retried within the budget, else it is refused."""

    reason: RefusalReason


@dataclass(frozen=True)
class Refused:
    """The request is refused without another attempt."""

    reason: RefusalReason


@dataclass(frozen=True)
class OutcomeUnknown:
    """The request may have run and must not be retried."""

    reason: FailReason


AttemptResult = Done | Retry | Refused | OutcomeUnknown


def classify_attempt(request: PendingRequest, kind: FinishKind) -> AttemptResult:
    """Classify the outcome of an attempt and update the flags of its request.

    An attempt is retried only if it certainly did not run or if its request is
    idempotent.

    Parameters
    ----------
    request : PendingRequest
        The request.
    kind : FinishKind
        Outcome of its attempt.
    """
    match kind:
        case FinishKind.OK | FinishKind.CANCELLED:
            return Done()
        case FinishKind.SHED:
            return Retry(RefusalReason.TARGETS_SHED)
        case FinishKind.MISDIRECTED:
            return Retry(RefusalReason.NO_TARGET)
        case FinishKind.CONNECT_FAILED:
            request.ignores_pin = request.intent.movable
            return Retry(RefusalReason.TARGETS_UNREACHABLE)
        case FinishKind.EXPIRED:
            return Refused(RefusalReason.DEADLINE_PASSED)
        case FinishKind.LATE:
            return OutcomeUnknown(FailReason.LATE)
        case FinishKind.BROKEN:
            return _classify_broken(request)


def _classify_broken(request: PendingRequest) -> AttemptResult:
    request.may_have_run = True
    if not request.intent.idempotent:
        return OutcomeUnknown(FailReason.BROKEN)
    request.ignores_pin = request.intent.movable
    return Retry(RefusalReason.TARGETS_UNREACHABLE)

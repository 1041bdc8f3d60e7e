"""What follows from the way in which an attempt ended."""

from dataclasses import dataclass

from endivepick.core.dispatch.messages import FailReason, FinishKind, RefusalReason
from endivepick.core.dispatch.waiting import PendingRequest

__all__ = ["AttemptVerdict", "Done", "Refused", "Retry", "Unknown", "judge_attempt"]


@dataclass(frozen=True)
class Done:
    """The request needs no further word."""


@dataclass(frozen=True)
class Retry:
    """It may run again, if the budget allows; else it ends for this reason."""

    reason: RefusalReason


@dataclass(frozen=True)
class Refused:
    """It ends without another attempt."""

    reason: RefusalReason


@dataclass(frozen=True)
class Unknown:
    """It may have run and must not run again."""

    reason: FailReason


AttemptVerdict = Done | Retry | Refused | Unknown


def judge_attempt(request: PendingRequest, kind: FinishKind) -> AttemptVerdict:
    """Return what follows, and note in the request what it has to remember.

    Only two kinds of attempt are followed by another: one that surely did not
    run, and one of an idempotent request.

    Parameters
    ----------
    request : PendingRequest
        The request.
    kind : FinishKind
        How its attempt ended.
    """
    match kind:
        case FinishKind.OK | FinishKind.CANCELLED:
            return Done()
        case FinishKind.SHED:
            return Retry(RefusalReason.TARGETS_SHED)
        case FinishKind.MISDIRECTED:
            return Retry(RefusalReason.NO_TARGET)
        case FinishKind.CONNECT_FAILED:
            request.unpinned = request.intent.movable
            return Retry(RefusalReason.TARGETS_UNREACHABLE)
        case FinishKind.EXPIRED:
            return Refused(RefusalReason.DEADLINE_PASSED)
        case FinishKind.LATE:
            return Unknown(FailReason.LATE)
        case FinishKind.BROKEN:
            return _judge_broken(request)


def _judge_broken(request: PendingRequest) -> AttemptVerdict:
    request.may_have_run = True
    if not request.intent.idempotent:
        return Unknown(FailReason.BROKEN)
    request.unpinned = request.intent.movable
    return Retry(RefusalReason.TARGETS_UNREACHABLE)

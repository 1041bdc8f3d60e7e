"""Final decisions for requests that no target answered."""

from endivepick.core.dispatch.messages import Fail, FailReason, RefusalReason, Refuse
from endivepick.core.dispatch.settings import DispatchSettings
from endivepick.core.dispatch.waiting import PendingRequest

__all__ = ["fail_request", "refuse_request"]


def refuse_request(
    settings: DispatchSettings,
    request: PendingRequest,
    reason: RefusalReason,
    wait_s: float,
    jitter: float,
) -> Refuse | Fail:
    """Return a refusal, or a failure if an attempt of the request may have run.

    Parameters
    ----------
    settings : DispatchSettings
        Minimum retry delay.
    request : PendingRequest
        The request.
    reason : RefusalReason
        Reason of the refusal.
    wait_s : float
        Predicted time until a target can run it, in seconds.
    jitter : float
        Number from 0 to 1 that randomizes the retry delay, so that callers do not
        retry at the same time.
    """
    if request.may_have_run:
        return fail_request(settings, request, FailReason.RETRY_REFUSED, wait_s, jitter)
    retry_after_ms = _retry_after_ms(settings, wait_s, jitter)
    return Refuse(request.intent.request_id, reason, retry_after_ms)


def fail_request(
    settings: DispatchSettings,
    request: PendingRequest,
    reason: FailReason,
    wait_s: float,
    jitter: float,
) -> Fail:
    """Return the decision for an unknown outcome; see `refuse_request`."""
    retry_after_ms = _retry_after_ms(settings, wait_s, jitter)
    return Fail(request.intent.request_id, reason, retry_after_ms)


def _retry_after_ms(settings: DispatchSettings, wait_s: float, jitter: float) -> int:
    factor = 1.0 + 0.5 * jitter
    return int(factor * max(settings.refused_wait_min_ms, 1000 * wait_s))

"""Final answers for requests that no target answered."""

from endivepick.core.dispatch.messages import Fail, FailReason, RefusalReason, Refuse
from endivepick.core.dispatch.settings import DispatchSettings
from endivepick.core.dispatch.waiting import PendingRequest

__all__ = ["fail_request", "refuse_request"]


def refuse_request(
    settings: DispatchSettings,
    request: PendingRequest,
    reason: RefusalReason,
    wait_s: float,
    spread: float,
) -> Refuse | Fail:
    """Say that a request did not run, unless one of its attempts may have.

    Parameters
    ----------
    settings : DispatchSettings
        Shortest time to come back.
    request : PendingRequest
        The request.
    reason : RefusalReason
        Why no target takes it.
    wait_s : float
        Predicted time until one could, in seconds.
    spread : float
        Number from 0 to 1 by which callers are kept from coming back at once.
    """
    if request.may_have_run:
        return fail_request(settings, request, FailReason.RETRY_REFUSED, wait_s, spread)
    retry_after_ms = _retry_after_ms(settings, wait_s, spread)
    return Refuse(request.intent.request_id, reason, retry_after_ms)


def fail_request(
    settings: DispatchSettings,
    request: PendingRequest,
    reason: FailReason,
    wait_s: float,
    spread: float,
) -> Fail:
    """Say that nobody knows whether a request ran; see `refuse_request`."""
    retry_after_ms = _retry_after_ms(settings, wait_s, spread)
    return Fail(request.intent.request_id, reason, retry_after_ms)


def _retry_after_ms(settings: DispatchSettings, wait_s: float, spread: float) -> int:
    factor = 1.0 + 0.5 * spread
    return int(factor * max(settings.refused_wait_min_ms, 1000 * wait_s))

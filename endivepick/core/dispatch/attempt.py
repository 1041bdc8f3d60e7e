"""Start of an attempt at a target."""

from endivepick.core.dispatch.messages import Start
from endivepick.core.dispatch.target import TargetState
from endivepick.core.dispatch.waiting import PendingRequest

__all__ = ["start_attempt"]


def start_attempt(request: PendingRequest, target: TargetState, now_s: float) -> Start:
    """Record a new attempt in the request and its target and return its decision."""
    request.target = target.name
    request.attempt += 1
    request.started_at_s = now_s
    request.tried.add(target.name)
    target.add(request)
    return Start(
        request_id=request.intent.request_id,
        target=target.name,
        target_incarnation=target.incarnation,
        address=target.record.address,
        timeout_s=request.intent.deadline_at_s - now_s,
        attempt=request.attempt,
    )

"""Prediction of waiting times and limits of the queues."""

from collections.abc import Iterable, Sequence

from endivepick.core.dispatch.messages import CostClass
from endivepick.core.dispatch.service_time import ServiceTimeEstimate
from endivepick.core.dispatch.target import TargetState
from endivepick.core.dispatch.waiting import PendingRequest, WaitingQueue

__all__ = ["predict_wait_s", "queue_limit"]


def queue_limit(targets: Iterable[TargetState], waiting_per_slot: int) -> int:
    """Return how many requests may wait for these targets."""
    return waiting_per_slot * sum(target.record.slots for target in targets)


def predict_wait_s(
    request: PendingRequest,
    targets: Sequence[TargetState],
    queues: Sequence[WaitingQueue],
    estimate: ServiceTimeEstimate,
    now_s: float,
) -> float:
    """Predict how long a request waits for a slot.

    The work ahead of it in the queues is shared by all slots; the first of
    these becomes free after the usual time over their number.

    Parameters
    ----------
    request : PendingRequest
        The request with its place in the queue.
    targets : sequence of TargetState
        Targets that could take it; at least one.
    queues : sequence of WaitingQueue
        Queues that these targets serve.
    estimate : ServiceTimeEstimate
        Usual service times.
    now_s : float
        Present time, in seconds.

    Returns
    -------
    float
        Waiting time, in seconds.
    """
    slots = sum(target.usable_slots(now_s) for target in targets)
    blocked_s = 0.0
    if slots == 0:
        blocked_s = min(target.blocked_until_s() for target in targets) - now_s
        slots = sum(target.record.slots for target in targets)
    work_s = _usual_s(targets, estimate)
    for cost_class in CostClass:
        ahead = sum(queue.count_ahead(request.order, cost_class) for queue in queues)
        work_s += ahead * estimate.mean_s(cost_class)
    return max(0.0, blocked_s) + work_s / slots


def _usual_s(targets: Sequence[TargetState], estimate: ServiceTimeEstimate) -> float:
    running = [request for target in targets for request in target.running.values()]
    if not running:
        return 0.0
    total_s = sum(estimate.mean_s(request.intent.cost_class) for request in running)
    return total_s / len(running)

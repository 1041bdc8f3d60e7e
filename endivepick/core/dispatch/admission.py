"""Prediction of waiting times and limits of the queues."""

from collections.abc import Sequence
from dataclasses import dataclass

from endivepick.core.dispatch.messages import CostClass, RefusalReason
from endivepick.core.dispatch.service_time import ServiceTimeEstimate
from endivepick.core.dispatch.settings import DispatchSettings
from endivepick.core.dispatch.target import TargetState
from endivepick.core.dispatch.waiting import PendingRequest, WaitingQueue

__all__ = [
    "AdmissionResult",
    "Admit",
    "Reject",
    "Replace",
    "admit",
    "predict_wait_s",
    "queue_limit",
]


@dataclass(frozen=True)
class Admit:
    """The request may wait."""


@dataclass(frozen=True)
class Replace:
    """The request may wait in place of another, which is refused."""

    other: PendingRequest
    wait_s: float


@dataclass(frozen=True)
class Reject:
    """The request may not wait; a place is expected after a time, in seconds."""

    reason: RefusalReason
    wait_s: float


AdmissionResult = Admit | Replace | Reject


def admit(
    settings: DispatchSettings,
    request: PendingRequest,
    queue: WaitingQueue,
    limit: int,
    wait_s: float,
    usual_s: float,
    now_s: float,
) -> AdmissionResult:
    """Decide whether a request may wait in a queue.

    A full queue takes a request only before its last one.  Requests of new
    flows, and long ones, may use only a share of the places, so that a rush
    leaves room to established flows and short requests.

    Parameters
    ----------
    settings : DispatchSettings
        Shares of the queue.
    request : PendingRequest
        The request with its place in the queue.
    queue : WaitingQueue
        The queue.
    limit : int
        Most requests in the queue.
    wait_s : float
        Predicted time until its start, in seconds.
    usual_s : float
        Usual time that it runs, in seconds.
    now_s : float
        Present time, in seconds.
    """
    if now_s + wait_s + usual_s > request.intent.deadline_at_s:
        return Reject(RefusalReason.WAIT_TOO_LONG, wait_s)
    if len(queue) < limit * _queue_share(settings, request):
        return Admit()
    last = queue.last()
    if len(queue) < limit or last is None or last.order < request.order:
        return Reject(RefusalReason.QUEUE_FULL, wait_s)
    return Replace(last, wait_s)


def _queue_share(settings: DispatchSettings, request: PendingRequest) -> float:
    share = 1.0
    if not request.intent.established:
        share *= settings.new_flow_queue_share
    if request.intent.cost_class is CostClass.LONG:
        share *= settings.long_request_queue_share
    return share


def queue_limit(
    targets: Sequence[TargetState], waiting_per_slot: int, now_s: float
) -> int:
    """Return how many requests may wait for these targets.

    Only slots in service count, or all slots if none is: what waits while no
    target takes anything is served when the first one comes back.
    """
    slots = sum(t.record.slots for t in targets if t.usable_slots(now_s) > 0)
    return waiting_per_slot * (slots or sum(t.record.slots for t in targets))


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

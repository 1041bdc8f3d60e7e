"""Admission control: predicted waiting times and queue limits."""

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
    """The request is admitted to the queue."""


@dataclass(frozen=True)
class Replace:
    """The request is admitted in place of a queued request, which is refused."""

    other: PendingRequest
    wait_s: float


@dataclass(frozen=True)
class Reject:
    """The request is refused; ``wait_s`` is its predicted waiting time, in seconds."""

    reason: RefusalReason
    wait_s: float


AdmissionResult = Admit | Replace | Reject


def admit(
    settings: DispatchSettings,
    request: PendingRequest,
    queue: WaitingQueue,
    limit: int,
    wait_s: float,
    service_time_s: float,
    now_s: float,
) -> AdmissionResult:
    """Decide whether a request is admitted to a queue.

    A full queue admits a request only if it is ordered before the last queued
    one.  Requests of new flows and long requests may fill only a share of the
    queue, so that a burst of them leaves capacity to established flows and short
    requests.

    Parameters
    ----------
    settings : DispatchSettings
        Queue shares of new flows and of long requests.
    request : PendingRequest
        The request with its queue order.
    queue : WaitingQueue
        Queue to wait in.
    limit : int
        Maximum length of the queue.
    wait_s : float
        Predicted time until its start, in seconds.
    service_time_s : float
        Mean service time of its cost class, in seconds.
    now_s : float
        Current time, in seconds.
    """
    if now_s + wait_s + service_time_s > request.intent.deadline_at_s:
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
    """Return the maximum number of requests that may wait for these targets.

    Only the slots of targets with usable slots count.  If no target has usable
    slots, all slots count, since the queue is served once a target recovers.
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

    The queued work ahead of it is divided among all slots.  The first slot is
    expected to become free after the mean service time of the running requests
    divided by the number of slots.

    Parameters
    ----------
    request : PendingRequest
        The request with its queue order.
    targets : sequence of TargetState
        Targets that can run it; at least one.
    queues : sequence of WaitingQueue
        Queues that these targets serve.
    estimate : ServiceTimeEstimate
        Estimated service times.
    now_s : float
        Current time, in seconds.

    Returns
    -------
    float
        Predicted waiting time, in seconds.
    """
    slots = sum(target.usable_slots(now_s) for target in targets)
    blocked_s = 0.0
    if slots == 0:
        blocked_s = min(target.blocked_until_s() for target in targets) - now_s
        slots = sum(target.record.slots for target in targets)
    work_s = _mean_service_time_s(targets, estimate)
    for cost_class in CostClass:
        ahead = sum(queue.count_ahead(request.order, cost_class) for queue in queues)
        work_s += ahead * estimate.mean_s(cost_class)
    return max(0.0, blocked_s) + work_s / slots


def _mean_service_time_s(
    targets: Sequence[TargetState], estimate: ServiceTimeEstimate
) -> float:
    running = [request for target in targets for request in target.running.values()]
    if not running:
        return 0.0
    total_s = sum(estimate.mean_s(request.intent.cost_class) for request in running)
    return total_s / len(running)

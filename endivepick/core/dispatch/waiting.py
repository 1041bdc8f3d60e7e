"""Priority queue of requests that wait for a slot."""

from bisect import bisect_left, insort
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from endivepick.core.dispatch.messages import CostClass, RequestIntent
from endivepick.core.dispatch.settings import DispatchSettings

__all__ = ["PendingRequest", "QueueOrder", "WaitingQueue", "queue_order"]

QueueOrder = tuple[float, int]
"""Sort key in a queue, lowest first: time in seconds and unique sequence number."""


@dataclass
class PendingRequest:
    """A request from its submission to its final decision.

    Attributes
    ----------
    intent : RequestIntent
        The request as submitted.
    order : QueueOrder
        Sort key in the queue.
    attempt : int
        Number of attempts started so far.
    may_have_run : bool
        Whether an attempt may have run.
    ignores_pin : bool
        Whether it may run on any target although its flow is pinned.
    tried : set of str
        Targets of earlier attempts and of the one in progress.
    target : str
        Target of the attempt in progress, or of the queue in which it waits.
    started_at_s : float
        Start time of the attempt in progress, in seconds.
    """

    intent: RequestIntent
    order: QueueOrder
    attempt: int = 0
    may_have_run: bool = False
    ignores_pin: bool = False
    tried: set[str] = field(default_factory=set)
    target: str = ""
    started_at_s: float = 0.0


def queue_order(
    settings: DispatchSettings,
    intent: RequestIntent,
    now_s: float,
    sequence_number: int,
) -> QueueOrder:
    """Return the sort key of a request: its arrival time plus a delay by class.

    Requests of the same class keep their order of arrival.  A request with a
    delay of ``d`` seconds is overtaken only by requests that arrive within ``d``
    seconds after it, so no request starves.
    """
    delay_s = 0.0
    if not intent.established:
        delay_s += settings.new_flow_delay_s
    if intent.cost_class is CostClass.LONG:
        delay_s += settings.long_request_delay_s
    return (now_s + delay_s, sequence_number)


class WaitingQueue:
    """Waiting requests, sorted by ``order`` within each cost class."""

    def __init__(self) -> None:
        self._requests: dict[QueueOrder, PendingRequest] = {}
        self._orders: dict[CostClass, list[QueueOrder]] = {c: [] for c in CostClass}

    def __len__(self) -> int:
        return len(self._requests)

    def __iter__(self) -> Iterator[PendingRequest]:
        return (self._requests[order] for order in sorted(self._requests))

    def push(self, request: PendingRequest) -> None:
        """Add a request."""
        self._requests[request.order] = request
        insort(self._orders[request.intent.cost_class], request.order)

    def remove(self, request: PendingRequest) -> None:
        """Remove a request; do nothing if it is not in this queue."""
        if self._requests.pop(request.order, None) is None:
            return
        orders = self._orders[request.intent.cost_class]
        del orders[bisect_left(orders, request.order)]

    def first(self) -> PendingRequest | None:
        """Return the next request without removing it."""
        firsts = [orders[0] for orders in self._orders.values() if orders]
        return self._requests[min(firsts)] if firsts else None

    def first_where(
        self, accepts: Callable[[PendingRequest], bool]
    ) -> PendingRequest | None:
        """Return the first request that satisfies a condition."""
        first = self.first()
        if first is None or accepts(first):
            return first
        return next(filter(accepts, self), None)

    def count_ahead(self, order: QueueOrder, cost_class: CostClass) -> int:
        """Return the number of requests of a class that precede a sort key."""
        return bisect_left(self._orders[cost_class], order)

    def last(self) -> PendingRequest | None:
        """Return the last request in order."""
        lasts = [orders[-1] for orders in self._orders.values() if orders]
        return self._requests[max(lasts)] if lasts else None

"""Ordered queue of requests that wait for a slot."""

from bisect import bisect_left, insort
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from endivepick.core.dispatch.messages import CostClass, RequestIntent
from endivepick.core.dispatch.settings import DispatchSettings

__all__ = ["Order", "PendingRequest", "WaitingQueue", "order_key"]

Order = tuple[float, int]
"""Place in a queue, lower first: a time in seconds, and a unique number."""


@dataclass
class PendingRequest:
    """A request between its submission and its end.

    Attributes
    ----------
    intent : RequestIntent
        What was asked for.
    order : Order
        Place in the queue.
    attempt : int
        Attempts started so far.
    may_have_run : bool
        Some attempt may have run.
    unpinned : bool
        It may run on any target, although its flow is pinned.
    tried : set of str
        Targets that an attempt went to.
    target : str
        Target of the attempt in progress, or whose queue it waits in.
    started_at_s : float
        Start of the attempt in progress, in seconds.
    """

    intent: RequestIntent
    order: Order
    attempt: int = 0
    may_have_run: bool = False
    unpinned: bool = False
    tried: set[str] = field(default_factory=set)
    target: str = ""
    started_at_s: float = 0.0


def order_key(
    settings: DispatchSettings, intent: RequestIntent, now_s: float, number: int
) -> Order:
    """Return a request's place: its arrival, put off by its class.

    Requests of one class keep their order of arrival.  A class that is put off
    by ``d`` seconds waits at most for requests that arrive within ``d`` seconds
    after it, so that none starves.
    """
    delay_s = 0.0
    if not intent.established:
        delay_s += settings.new_flow_delay_s
    if intent.cost_class is CostClass.LONG:
        delay_s += settings.long_request_delay_s
    return (now_s + delay_s, number)


class WaitingQueue:
    """Waiting requests, sorted by their ``order`` within each cost class."""

    def __init__(self) -> None:
        self._requests: dict[Order, PendingRequest] = {}
        self._orders: dict[CostClass, list[Order]] = {c: [] for c in CostClass}

    def __len__(self) -> int:
        return len(self._requests)

    def __iter__(self) -> Iterator[PendingRequest]:
        return (self._requests[order] for order in sorted(self._requests))

    def push(self, request: PendingRequest) -> None:
        """Add a request."""
        self._requests[request.order] = request
        insort(self._orders[request.intent.cost_class], request.order)

    def remove(self, request: PendingRequest) -> None:
        """Take a request out; nothing happens if it does not wait here."""
        if self._requests.pop(request.order, None) is None:
            return
        orders = self._orders[request.intent.cost_class]
        del orders[bisect_left(orders, request.order)]

    def first(self) -> PendingRequest | None:
        """Return the request that is next, without taking it out."""
        firsts = [orders[0] for orders in self._orders.values() if orders]
        return self._requests[min(firsts)] if firsts else None

    def first_where(
        self, accepts: Callable[[PendingRequest], bool]
    ) -> PendingRequest | None:
        """Return the first request that fulfils a condition."""
        first = self.first()
        if first is None or accepts(first):
            return first
        return next(filter(accepts, self), None)

    def count_ahead(self, order: Order, cost_class: CostClass) -> int:
        """Return how many requests of a class are served before a place."""
        return bisect_left(self._orders[cost_class], order)

    def last(self) -> PendingRequest | None:
        """Return the request that is last in order."""
        lasts = [orders[-1] for orders in self._orders.values() if orders]
        return self._requests[max(lasts)] if lasts else None

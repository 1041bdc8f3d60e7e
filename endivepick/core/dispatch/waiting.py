"""Ordered queue of requests that wait for a slot."""

import heapq
from collections.abc import Callable, Hashable, Iterator
from dataclasses import dataclass, field

from endivepick.core.dispatch.messages import CostClass, RequestIntent
from endivepick.core.dispatch.settings import DispatchSettings

__all__ = ["PendingRequest", "WaitingQueue", "order_key"]


@dataclass
class PendingRequest:
    """A request between its submission and its end.

    Attributes
    ----------
    intent : RequestIntent
        What was asked for.
    order : tuple of float and int
        Place in the queue: lower starts earlier.
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
    order: tuple[float, int]
    attempt: int = 0
    may_have_run: bool = False
    unpinned: bool = False
    tried: set[str] = field(default_factory=set)
    target: str = ""
    started_at_s: float = 0.0


def order_key(
    settings: DispatchSettings, intent: RequestIntent, now_s: float, number: int
) -> tuple[float, int]:
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


@dataclass(frozen=True, order=True)
class _Entry:
    order: tuple[float, int]
    request_id: Hashable = field(compare=False)


class WaitingQueue:
    """Requests in order of their ``order`` field, with cheap removal."""

    def __init__(self) -> None:
        self._heap: list[_Entry] = []
        self._waiting: dict[Hashable, PendingRequest] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def __iter__(self) -> Iterator[PendingRequest]:
        return iter(list(self._waiting.values()))

    def push(self, request: PendingRequest) -> None:
        """Add a request."""
        heapq.heappush(self._heap, _Entry(request.order, request.intent.request_id))
        self._waiting[request.intent.request_id] = request

    def remove(self, request_id: Hashable) -> PendingRequest | None:
        """Take a request out; ``None`` if it does not wait here."""
        return self._waiting.pop(request_id, None)

    def first(self) -> PendingRequest | None:
        """Return the request that is next, without taking it out."""
        while self._heap:
            entry = self._heap[0]
            request = self._waiting.get(entry.request_id)
            if request is not None and request.order == entry.order:
                return request
            heapq.heappop(self._heap)
        return None

    def first_where(
        self, accepts: Callable[[PendingRequest], bool]
    ) -> PendingRequest | None:
        """Return the first request that fulfils a condition."""
        first = self.first()
        if first is None or accepts(first):
            return first
        matching = [request for request in self._waiting.values() if accepts(request)]
        return min(matching, key=_order, default=None)

    def ahead_of(self, order: tuple[float, int]) -> Iterator[PendingRequest]:
        """Return the requests that are served before a place in the queue."""
        return (request for request in self._waiting.values() if request.order < order)

    def last(self) -> PendingRequest | None:
        """Return the request that is last in order."""
        if not self._waiting:
            return None
        return max(self._waiting.values(), key=_order)


def _order(request: PendingRequest) -> tuple[float, int]:
    return request.order

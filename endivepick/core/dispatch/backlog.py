"""All waiting requests of a service, by the targets that may take them."""

from collections.abc import Callable, Hashable

from endivepick.core.dispatch.target import TargetState
from endivepick.core.dispatch.target_set import TargetSet
from endivepick.core.dispatch.waiting import PendingRequest, WaitingQueue

__all__ = ["Backlog"]


class Backlog:
    """One queue for each target, and one that all targets serve.

    Parameters
    ----------
    targets : TargetSet
        Targets with their queues.
    """

    def __init__(self, targets: TargetSet) -> None:
        self._targets = targets
        self._waiting: dict[Hashable, PendingRequest] = {}
        self.unpinned = WaitingQueue()

    def __len__(self) -> int:
        return len(self._waiting)

    def get(self, request_id: Hashable) -> PendingRequest | None:
        """Return a waiting request."""
        return self._waiting.get(request_id)

    def queue_of(self, pinned: TargetState | None) -> WaitingQueue:
        """Return the queue of a target, or the one that all serve."""
        return self.unpinned if pinned is None else pinned.queue

    def push(self, request: PendingRequest, pinned: TargetState | None) -> None:
        """Let a request wait for one target, or for any."""
        request.target = "" if pinned is None else pinned.name
        self.queue_of(pinned).push(request)
        self._waiting[request.intent.request_id] = request

    def remove(self, request: PendingRequest) -> None:
        """End the wait of a request."""
        request_id = request.intent.request_id
        self._waiting.pop(request_id, None)
        pinned = self._targets[request.target] if request.target else None
        self.queue_of(pinned).remove(request_id)

    def take_expired(self, now_s: float) -> list[PendingRequest]:
        """Remove and return the requests whose deadline has passed."""
        expired = [
            request
            for request in self._waiting.values()
            if now_s >= request.intent.deadline_at_s
        ]
        for request in expired:
            self.remove(request)
        return expired

    def take_pinned(self, target: TargetState) -> list[PendingRequest]:
        """Remove and return the requests that wait for one target, in order."""
        requests = sorted(target.queue, key=lambda request: request.order)
        for request in requests:
            self.remove(request)
        return requests

    def take_next(
        self, target: TargetState, suits: Callable[[PendingRequest], bool]
    ) -> PendingRequest | None:
        """Remove and return the first request that a target may run."""
        heads = (target.queue.first_where(suits), self.unpinned.first_where(suits))
        waiting = [head for head in heads if head is not None]
        first = min(waiting, key=lambda request: request.order, default=None)
        if first is not None:
            self.remove(first)
        return first

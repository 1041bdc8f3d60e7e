"""Waiting requests of a service, grouped by the targets that may run them."""

from collections.abc import Callable, Hashable

from endivepick.core.dispatch.target import TargetState
from endivepick.core.dispatch.target_set import TargetSet
from endivepick.core.dispatch.waiting import PendingRequest, WaitingQueue
from endivepick.core.dispatch.waiting_allowance import WaitingAllowance

__all__ = ["Backlog"]


class Backlog:
    """Per-target queues of a service and one queue shared by all its targets.

    Parameters
    ----------
    service : str
        Name of the service.
    targets : TargetSet
        Targets with their queues.
    allowance : WaitingAllowance
        Limit on waiting requests, shared with other services.
    """

    def __init__(
        self, service: str, targets: TargetSet, allowance: WaitingAllowance
    ) -> None:
        self._service = service
        self._targets = targets
        self._allowance = allowance
        self._waiting: dict[Hashable, PendingRequest] = {}
        self._streams = 0
        self.unpinned = WaitingQueue()

    def __len__(self) -> int:
        return len(self._waiting)

    def get(self, request_id: Hashable) -> PendingRequest | None:
        """Return a waiting request, or ``None`` if its id is unknown."""
        return self._waiting.get(request_id)

    def queue_for(self, pinned: TargetState | None) -> WaitingQueue:
        """Return the queue of a target, or the shared queue for ``None``."""
        return self.unpinned if pinned is None else pinned.queue

    def push(self, request: PendingRequest, pinned: TargetState | None) -> bool:
        """Queue a request; return false if the limit on waiting requests is reached."""
        if not self._allowance.acquire(self._service):
            return False
        request.target = "" if pinned is None else pinned.name
        self.queue_for(pinned).push(request)
        self._waiting[request.intent.request_id] = request
        self._streams += request.intent.stream
        return True

    def remove(self, request: PendingRequest) -> None:
        """Remove a request from its queue, if it waits."""
        if self._waiting.pop(request.intent.request_id, None) is None:
            return
        pinned = self._targets[request.target] if request.target else None
        self.queue_for(pinned).remove(request)
        self._streams -= request.intent.stream
        self._allowance.release(self._service)

    def pop_expired(self, now_s: float) -> list[PendingRequest]:
        """Remove and return the requests whose deadline has passed."""
        expired = [
            request
            for request in self._waiting.values()
            if now_s >= request.intent.deadline_at_s
        ]
        return self._remove_all(expired)

    def pop_pinned(self, target: TargetState) -> list[PendingRequest]:
        """Remove and return the requests pinned to one target, in queue order."""
        return self._remove_all(list(target.queue))

    def pop_streams(self, target: TargetState) -> list[PendingRequest]:
        """Remove and return the streams that a target may serve, in queue order."""
        if self._streams == 0:
            return []
        waiting = [*target.queue, *self.unpinned]
        return self._remove_all(
            [request for request in waiting if request.intent.stream]
        )

    def pop_next(
        self,
        target: TargetState,
        shared: bool,
        accepts: Callable[[PendingRequest], bool],
    ) -> PendingRequest | None:
        """Remove and return the next request that a target may run.

        Parameters
        ----------
        target : TargetState
            Target with a free slot.
        shared : bool
            Whether requests of the shared queue are considered too.
        accepts : callable
            Returns whether the target may run a given request.
        """
        heads = [target.queue.first_where(accepts)]
        if shared:
            heads.append(self.unpinned.first_where(accepts))
        waiting = [head for head in heads if head is not None]
        first = min(waiting, key=lambda request: request.order, default=None)
        if first is not None:
            self.remove(first)
        return first

    def _remove_all(self, requests: list[PendingRequest]) -> list[PendingRequest]:
        for request in requests:
            self.remove(request)
        return requests

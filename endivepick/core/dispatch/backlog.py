"""All waiting requests of a service, by the targets that may take them."""

from collections.abc import Callable, Hashable

from endivepick.core.dispatch.target import TargetState
from endivepick.core.dispatch.target_set import TargetSet
from endivepick.core.dispatch.waiting import PendingRequest, WaitingQueue
from endivepick.core.dispatch.waiting_allowance import WaitingAllowance

__all__ = ["Backlog"]


class Backlog:
    """One queue for each target, and one that all targets serve.

    Parameters
    ----------
    service : str
        Name of the service.
    targets : TargetSet
        Targets with their queues.
    allowance : WaitingAllowance
        Places for waiting requests, shared with other services.
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
        """Return a waiting request."""
        return self._waiting.get(request_id)

    def queue_of(self, pinned: TargetState | None) -> WaitingQueue:
        """Return the queue of a target, or the one that all serve."""
        return self.unpinned if pinned is None else pinned.queue

    def push(self, request: PendingRequest, pinned: TargetState | None) -> bool:
        """Let a request wait for one target, or for any; false without a place."""
        if not self._allowance.take(self._service):
            return False
        request.target = "" if pinned is None else pinned.name
        self.queue_of(pinned).push(request)
        self._waiting[request.intent.request_id] = request
        self._streams += request.intent.stream
        return True

    def remove(self, request: PendingRequest) -> None:
        """End the wait of a request."""
        if self._waiting.pop(request.intent.request_id, None) is None:
            return
        pinned = self._targets[request.target] if request.target else None
        self.queue_of(pinned).remove(request)
        self._streams -= request.intent.stream
        self._allowance.release(self._service)

    def take_expired(self, now_s: float) -> list[PendingRequest]:
        """Remove and return the requests whose deadline has passed."""
        expired = [
            request
            for request in self._waiting.values()
            if now_s >= request.intent.deadline_at_s
        ]
        return self._take(expired)

    def take_pinned(self, target: TargetState) -> list[PendingRequest]:
        """Remove and return the requests that wait for one target, in order."""
        return self._take(list(target.queue))

    def take_streams(self, target: TargetState) -> list[PendingRequest]:
        """Remove and return the streams that a target may hold, in order."""
        if self._streams == 0:
            return []
        waiting = [*target.queue, *self.unpinned]
        return self._take([request for request in waiting if request.intent.stream])

    def take_next(
        self,
        target: TargetState,
        shared: bool,
        suits: Callable[[PendingRequest], bool],
    ) -> PendingRequest | None:
        """Remove and return the first request that a target may run.

        Parameters
        ----------
        target : TargetState
            The target.
        shared : bool
            Requests that wait for any target may run there too.
        suits : callable
            Tells whether the target may run a request.
        """
        heads = [target.queue.first_where(suits)]
        if shared:
            heads.append(self.unpinned.first_where(suits))
        waiting = [head for head in heads if head is not None]
        first = min(waiting, key=lambda request: request.order, default=None)
        if first is not None:
            self.remove(first)
        return first

    def _take(self, requests: list[PendingRequest]) -> list[PendingRequest]:
        for request in requests:
            self.remove(request)
        return requests

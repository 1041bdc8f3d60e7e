"""Deadlines for the answers to requests in progress."""

from collections import deque

from msgspec import Struct

from endivepick.forwarding.flows import FlowTable, ObservedFlow
from endivepick.forwarding.model import FlowKey

__all__ = ["AnswerDeadlines"]


class _Deadline(Struct, frozen=True):
    flow: FlowKey
    since_s: float
    due_s: float


class AnswerDeadlines:
    """Requests in progress with the times from which they are overdue."""

    def __init__(self) -> None:
        self._pending: deque[_Deadline] = deque()

    def add_deadline(self, flow: FlowKey, since_s: float, due_s: float) -> None:
        """Add the deadline of a request.

        Parameters
        ----------
        flow : FlowKey
            Flow of the request.
        since_s : float
            Start of the request, in seconds.
        due_s : float
            Time from which it is overdue, in seconds.
        """
        self._pending.append(_Deadline(flow, since_s, due_s))

    def clear(self) -> None:
        """Remove all deadlines."""
        self._pending.clear()

    def pop_overdue(self, flows: FlowTable, now_s: float) -> list[ObservedFlow]:
        """Remove and return flows whose requests are overdue, each once."""
        overdue = []
        # The time until a request is overdue differs by service, so the queue is only
        # nearly sorted and all entries are checked.
        waiting, self._pending = self._pending, deque()
        for deadline in waiting:
            if deadline.due_s > now_s:
                self._pending.append(deadline)
                continue
            flow = flows.get(deadline.flow)
            if flow is not None and flow.busy_since_s == deadline.since_s:
                overdue.append(flow)
        return overdue

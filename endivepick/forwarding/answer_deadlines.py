"""Requests whose answers have to begin by some time."""

from collections import deque

from msgspec import Struct

from endivepick.forwarding.flows import FlowTable, ObservedFlow
from endivepick.forwarding.model import FlowKey

__all__ = ["AwaitedAnswers"]


class _Awaited(Struct, frozen=True):
    flow: FlowKey
    since_s: float
    due_s: float


class AwaitedAnswers:
    """Requests in progress, with the time by which their answers are usually there."""

    def __init__(self) -> None:
        self._awaited: deque[_Awaited] = deque()

    def expect(self, flow: FlowKey, since_s: float, due_s: float) -> None:
        """Await the answer to a request.

        Parameters
        ----------
        flow : FlowKey
            Its flow.
        since_s : float
            When it began, in seconds.
        due_s : float
            From when on it is overdue, in seconds.
        """
        self._awaited.append(_Awaited(flow, since_s, due_s))

    def clear(self) -> None:
        """Await nothing any more."""
        self._awaited.clear()

    def take_overdue(self, flows: FlowTable, now_s: float) -> list[ObservedFlow]:
        """Return flows whose requests are overdue by now, each once."""
        overdue = []
        # Services differ in what is overdue, so the order is nearly that of time.
        waiting, self._awaited = self._awaited, deque()
        for awaited in waiting:
            if awaited.due_s > now_s:
                self._awaited.append(awaited)
                continue
            flow = flows.get(awaited.flow)
            if flow is not None and flow.busy_since_s == awaited.since_s:
                overdue.append(flow)
        return overdue

"""Recent openings: the targets that got opening packets of a flow.

A caller that gets no answer sends copies of its opening packet.  A copy may safely go
to another target: the flow opens at the target whose answer the caller accepts.
"""

from collections import OrderedDict, deque
from collections.abc import Iterator

from msgspec import Struct

from endivepick.forwarding.model import FlowKey
from endivepick.forwarding.settings import ForwardingSettings

__all__ = ["Opening", "RecentOpenings"]


class Opening(Struct):
    """Opening packets of one flow so far.

    Attributes
    ----------
    targets : tuple of str
        Targets that got one, in order.
    last_s : float
        When the last one was forwarded, in seconds.
    """

    targets: tuple[str, ...]
    last_s: float


class RecentOpenings:
    """Openings of the last seconds.

    Parameters
    ----------
    settings : ForwardingSettings
        Limits on the age and the number of openings.
    """

    def __init__(self, settings: ForwardingSettings) -> None:
        self._settings = settings
        self._openings: OrderedDict[FlowKey, Opening] = OrderedDict()
        self._unchecked: deque[tuple[float, FlowKey]] = deque()

    def get(self, flow: FlowKey) -> Opening | None:
        """Return the opening of a flow, None if it is not recorded."""
        return self._openings.get(flow)

    def record(self, flow: FlowKey, target: str, now_s: float) -> None:
        """Record that a target gets an opening packet."""
        opening = self._openings.pop(flow, None)
        if opening is None:
            self._unchecked.append((now_s, flow))
        targets = () if opening is None else opening.targets
        self._openings[flow] = Opening((*targets, target), now_s)
        if len(self._openings) > self._settings.observed_flows:
            self._openings.popitem(last=False)

    def pop_unanswered(self, now_s: float) -> Iterator[tuple[FlowKey, Opening]]:
        """Yield, once each, openings without a copy after `opening_answer_s`."""
        limit_s = now_s - self._settings.opening_answer_s
        while self._unchecked and self._unchecked[0][0] <= limit_s:
            _, flow = self._unchecked.popleft()
            opening = self._openings.get(flow)
            if opening is not None and len(opening.targets) == 1:
                yield flow, opening

    def expire(self, now_s: float) -> None:
        """Remove openings that their callers have given up."""
        limit_s = now_s - self._settings.opening_memory_s
        while self._openings:
            flow, opening = next(iter(self._openings.items()))
            if opening.last_s >= limit_s:
                return
            del self._openings[flow]

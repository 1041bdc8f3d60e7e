"""Flows that this instance sees, and whether their targets make progress.

Only callers' packets pass through an instance.  What a target did shows in them: a
caller acknowledges more than before, or it repeats data that the target should have
acknowledged.  All of this is soft state; packets are forwarded without it.
"""

from collections import OrderedDict, deque
from collections.abc import Iterator
from enum import Enum

from msgspec import Struct

from endivepick.forwarding.belief import TargetBelief
from endivepick.forwarding.model import FlowKey, Packet, RouteKind
from endivepick.forwarding.settings import ForwardingSettings

__all__ = ["SEQUENCE_NUMBERS", "FlowSign", "FlowTable", "ObservedFlow"]

SEQUENCE_NUMBERS = 2**32
"""Numbers of bytes begin anew after this many."""
_HALF = 2**31


class FlowSign(Enum):
    """What a packet says of its flow's target."""

    NOTHING = "nothing"
    PROGRESS = "progress"
    REPETITION = "repetition"


class ObservedFlow(Struct):
    """What the packets of one flow have shown.

    Attributes
    ----------
    key : FlowKey
        The flow.
    belief : TargetBelief
        Its target.
    kind : RouteKind
        Whether its requests may be repeated.
    acknowledged : int
        Newest acknowledgement of the caller.
    sent_end : int
        Number after the last byte that the caller sent.
    seen_s : float
        When the last packet came, in seconds.
    opened_s : float or None
        When the caller was first seen to have answered a target, in seconds; since then
        the flow is open at just that one.
    busy_since_s : float or None
        When the data that the target has not answered yet came first, in seconds.
    overdue : bool
        The request in progress is unanswered for longer than is usual.
    answered : bool
        A request was answered.
    served : bool
        One was answered at usual length.
    noted_doubt : str
        Doubt about the target that was noted of this flow last.
    """

    key: FlowKey
    belief: TargetBelief
    kind: RouteKind
    acknowledged: int
    sent_end: int
    seen_s: float
    opened_s: float | None
    busy_since_s: float | None = None
    overdue: bool = False
    answered: bool = False
    served: bool = False
    noted_doubt: str = ""

    @property
    def opened(self) -> bool:
        """Whether the flow is open at its target."""
        return self.opened_s is not None


def _ahead(number: int, other: int) -> bool:
    """Whether a 32-bit sequence number is newer than another.

    Examples
    --------
    >>> _ahead(1, 2**32 - 1), _ahead(5, 5)
    (True, False)
    """
    return 0 < (number - other) % SEQUENCE_NUMBERS < _HALF


class FlowTable:
    """Observed flows, the least recently seen first.

    Parameters
    ----------
    settings : ForwardingSettings
        Bounds.
    """

    def __init__(self, settings: ForwardingSettings) -> None:
        self._settings = settings
        self._flows: OrderedDict[FlowKey, ObservedFlow] = OrderedDict()
        self._progressed: deque[TargetBelief] = deque(maxlen=2)

    def __len__(self) -> int:
        return len(self._flows)

    def get(self, key: FlowKey) -> ObservedFlow | None:
        """Return an observed flow, None if it is not observed."""
        return self._flows.get(key)

    def of_target(self, belief: TargetBelief) -> Iterator[ObservedFlow]:
        """Yield the observed flows of a target; looks at none if it has none."""
        if not belief.flows:
            return iter(())
        return iter([f for f in self._flows.values() if f.belief is belief])

    def other_progressing_target(self, belief: TargetBelief) -> TargetBelief | None:
        """Return another target than this one that made progress last."""
        others = (other for other in reversed(self._progressed) if other is not belief)
        return next(others, None)

    def observe(
        self, packet: Packet, belief: TargetBelief, kind: RouteKind, now_s: float
    ) -> FlowSign:
        """Take in a packet on its way to a target.

        Parameters
        ----------
        packet : Packet
            The packet; an opening one says nothing of the target yet.
        belief : TargetBelief
            Where it goes.
        kind : RouteKind
            Whether the flow's requests may be repeated.
        now_s : float
            Present time, in seconds.
        """
        flow = self._flows.get(packet.flow)
        if packet.closing:
            self.end(packet.flow)
            return FlowSign.NOTHING
        if flow is None:
            self._start(packet, belief, kind, now_s)
            return FlowSign.NOTHING
        self._flows.move_to_end(packet.flow)
        flow.seen_s = now_s
        if flow.belief is not belief:
            self._reassign(flow, belief)
        if packet.opening:
            return FlowSign.NOTHING
        return self._compare(flow, packet, now_s)

    def end(self, key: FlowKey) -> None:
        """Forget a flow."""
        flow = self._flows.pop(key, None)
        if flow is None:
            return
        self._set_idle(flow)
        flow.belief.flows -= 1

    def forget_requests(self) -> None:
        """Take no request for one in progress any more; flows stay."""
        for flow in self._flows.values():
            flow.overdue = False
            self._set_idle(flow)

    def expire(self, idle_s: float, now_s: float) -> None:
        """Forget flows without packets for that long, in seconds."""
        limit_s = now_s - idle_s
        while self._flows:
            oldest = next(iter(self._flows.values()))
            if oldest.seen_s >= limit_s:
                return
            self.end(oldest.key)

    def _start(
        self, packet: Packet, belief: TargetBelief, kind: RouteKind, now_s: float
    ) -> None:
        end = (packet.sequence + packet.data_bytes) % SEQUENCE_NUMBERS
        acknowledged = 0 if packet.opening else packet.acknowledged
        opened_s = None if packet.opening else now_s
        flow = ObservedFlow(
            packet.flow, belief, kind, acknowledged, end, now_s, opened_s
        )
        self._flows[packet.flow] = flow
        belief.flows += 1
        if packet.data_bytes:
            self._set_busy(flow, now_s)
        if len(self._flows) > self._settings.observed_flows:
            self.end(next(iter(self._flows)))

    def _reassign(self, flow: ObservedFlow, belief: TargetBelief) -> None:
        busy_since_s = flow.busy_since_s
        self._set_idle(flow)
        flow.belief.flows -= 1
        flow.belief = belief
        belief.flows += 1
        if busy_since_s is not None:
            self._set_busy(flow, busy_since_s)

    def _compare(self, flow: ObservedFlow, packet: Packet, now_s: float) -> FlowSign:
        if flow.opened_s is None:
            flow.opened_s = now_s
        sign = FlowSign.NOTHING
        if flow.acknowledged == 0 or _ahead(packet.acknowledged, flow.acknowledged):
            flow.acknowledged = packet.acknowledged
            self._set_idle(flow)
            self._note_progress(flow.belief, now_s)
            sign = FlowSign.PROGRESS
        if not packet.data_bytes:
            return sign
        end = (packet.sequence + packet.data_bytes) % SEQUENCE_NUMBERS
        if _ahead(end, flow.sent_end):
            flow.sent_end = end
            self._set_busy(flow, now_s)
        elif sign is FlowSign.NOTHING:
            sign = FlowSign.REPETITION
        return sign

    def _note_progress(self, belief: TargetBelief, now_s: float) -> None:
        belief.progress_s = now_s
        if not self._progressed or self._progressed[-1] is not belief:
            self._progressed.append(belief)

    def _set_busy(self, flow: ObservedFlow, since_s: float) -> None:
        if flow.busy_since_s is None:
            flow.busy_since_s = since_s
            flow.belief.busy_flows += 1

    def _set_idle(self, flow: ObservedFlow) -> None:
        if flow.busy_since_s is not None:
            flow.busy_since_s = None
            flow.belief.busy_flows -= 1

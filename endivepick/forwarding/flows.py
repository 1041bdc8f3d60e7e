"""Flows that this instance observes, and whether their targets make progress.

Only packets from callers pass through an instance.  They show what a target did: the
caller either acknowledges more than before, or retransmits data that the target should
have acknowledged.  All of this is soft state; packets are forwarded without it.
"""

from collections import OrderedDict, deque
from collections.abc import Iterator
from enum import Enum

from msgspec import Struct, field

from endivepick.forwarding.belief import TargetBelief
from endivepick.forwarding.model import FlowKey, Packet, RouteKind
from endivepick.forwarding.settings import ForwardingSettings
from endivepick.forwarding.wait_history import WaitHistory

__all__ = ["SEQUENCE_NUMBERS", "FlowEvidence", "FlowTable", "ObservedFlow"]

SEQUENCE_NUMBERS = 2**32
"""Byte sequence numbers wrap around at this value."""
_HALF_RANGE = 2**31


class FlowEvidence(Enum):
    """What a packet shows about its flow's target."""

    NOTHING = "nothing"
    PROGRESS = "progress"
    RETRANSMISSION = "repetition"


class ObservedFlow(Struct):
    """State of one flow, as observed in its packets.

    Attributes
    ----------
    key : FlowKey
        The flow.
    belief : TargetBelief
        State of its target.
    kind : RouteKind
        Whether its requests may be repeated.
    acknowledged : int
        Latest acknowledgement number of the caller.
    sent_end : int
        Sequence number after the last byte that the caller sent.
    seen_s : float
        When the last packet arrived, in seconds.
    opened_s : float or None
        When the first packet after the opening arrived, in seconds.  The handshake is
        then complete, and the flow is open at exactly that target.
    busy_since_s : float or None
        When the data that the target has not answered yet first arrived, in seconds.
    overdue : bool
        The request in progress is unanswered for far longer than the baseline.
    counted_overdue : bool
        The request in progress is overdue, and this is evidence against its target.
    stalled : bool
        The request in progress is overdue and no longer counts as load of its target.
    served : bool
        At least one request got an answer that was not short.
    history : WaitHistory
        Waits of its answered requests at this target.
    answer_parts : int
        Acknowledgements of new data since its last request.
    longest_answer_parts : int
        Most acknowledgements of an earlier answer.
    logged_degraded_reason : str
        Latest degraded reason of the target that was logged for this flow.
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
    counted_overdue: bool = False
    stalled: bool = False
    served: bool = False
    history: WaitHistory = field(default_factory=WaitHistory)
    answer_parts: int = 0
    longest_answer_parts: int = 0
    logged_degraded_reason: str = ""

    @property
    def opened(self) -> bool:
        """Whether the flow is open at its target."""
        return self.opened_s is not None


def _is_newer(number: int, other: int) -> bool:
    """Whether a 32-bit sequence number is newer than another.

    Examples
    --------
    >>> _is_newer(1, 2**32 - 1), _is_newer(5, 5)
    (True, False)
    """
    return 0 < (number - other) % SEQUENCE_NUMBERS < _HALF_RANGE


def _is_answered_by(flow: ObservedFlow, closing: Packet) -> bool:
    """Whether a flow's last packet acknowledges an answer to its request in progress.

    A reset (RST) of a connection that its caller has forgotten acknowledges nothing,
    and its acknowledgement number is 0.
    """
    if flow.busy_since_s is None or not flow.opened or closing.acknowledged == 0:
        return False
    return _is_newer(closing.acknowledged, flow.acknowledged)


class FlowTable:
    """Observed flows, least recently seen first.

    Parameters
    ----------
    settings : ForwardingSettings
        Limits.
    """

    def __init__(self, settings: ForwardingSettings) -> None:
        self._settings = settings
        self._flows: OrderedDict[FlowKey, ObservedFlow] = OrderedDict()
        self._progressed: deque[TargetBelief] = deque(maxlen=2)
        self._used: dict[int, TargetBelief] = {}

    def __len__(self) -> int:
        return len(self._flows)

    def get(self, key: FlowKey) -> ObservedFlow | None:
        """Return an observed flow, None if it is not observed."""
        return self._flows.get(key)

    def of_target(self, belief: TargetBelief) -> Iterator[ObservedFlow]:
        """Iterate over the flows of a target; O(1) if it has none."""
        if not belief.flows:
            return iter(())
        return iter([f for f in self._flows.values() if f.belief is belief])

    def list_used_targets(self) -> list[TargetBelief]:
        """Return the targets that have flows here."""
        return list(self._used.values())

    def other_progressing_target(self, belief: TargetBelief) -> TargetBelief | None:
        """Return the target other than this one that made progress last."""
        others = (other for other in reversed(self._progressed) if other is not belief)
        return next(others, None)

    def observe(
        self, packet: Packet, belief: TargetBelief, kind: RouteKind, now_s: float
    ) -> FlowEvidence:
        """Update the table with a packet on its way to a target.

        Parameters
        ----------
        packet : Packet
            The packet; an opening packet does not show anything about the target yet.
        belief : TargetBelief
            State of the target that the packet is forwarded to.
        kind : RouteKind
            Whether the flow's requests may be repeated.
        now_s : float
            Current time, in seconds.
        """
        flow = self._flows.get(packet.flow)
        if packet.closing:
            return self._close(packet, belief, now_s)
        if flow is None:
            self._start(packet, belief, kind, now_s)
            return FlowEvidence.NOTHING
        self._flows.move_to_end(packet.flow)
        flow.seen_s = now_s
        if flow.belief is not belief:
            self._reassign(flow, belief)
        if packet.opening:
            return FlowEvidence.NOTHING
        return self._evaluate_packet(flow, packet, now_s)

    def _close(
        self, packet: Packet, belief: TargetBelief, now_s: float
    ) -> FlowEvidence:
        """Remove a flow; its last packet may acknowledge an answer.

        The caller of a flow with a single request acknowledges the answer only then.
        """
        flow = self._flows.get(packet.flow)
        if flow is None:
            return FlowEvidence.NOTHING
        answered = flow.belief is belief and _is_answered_by(flow, packet)
        self.end(packet.flow)
        if not answered:
            return FlowEvidence.NOTHING
        self._record_progress(belief, now_s)
        return FlowEvidence.PROGRESS

    def end(self, key: FlowKey) -> None:
        """Remove a flow."""
        flow = self._flows.pop(key, None)
        if flow is None:
            return
        self._set_idle(flow)
        self._remove_from_target(flow.belief)

    def mark_stalled(self, flow: ObservedFlow) -> None:
        """Record that the request in progress of a flow is no load of its target.

        Its target may have dropped the request, or reset the flow at its caller, which
        an instance does not see.
        """
        if flow.busy_since_s is not None and not flow.stalled:
            flow.stalled = True
            flow.belief.stalled_flows += 1

    def forget_requests(self) -> None:
        """Clear the requests in progress of all flows, but keep the flows."""
        for flow in self._flows.values():
            flow.overdue = flow.counted_overdue = False
            self._set_idle(flow)

    def expire(self, idle_s: float, now_s: float) -> None:
        """Remove flows without packets for that long, in seconds."""
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
        self._add_to_target(belief)
        if packet.data_bytes:
            self._set_busy(flow, now_s)
        if len(self._flows) > self._settings.observed_flows:
            self.end(next(iter(self._flows)))

    def _reassign(self, flow: ObservedFlow, belief: TargetBelief) -> None:
        busy_since_s = flow.busy_since_s
        self._set_idle(flow)
        self._remove_from_target(flow.belief)
        flow.belief = belief
        flow.history = WaitHistory()
        self._add_to_target(belief)
        if busy_since_s is not None:
            self._set_busy(flow, busy_since_s)

    def _add_to_target(self, belief: TargetBelief) -> None:
        belief.flows += 1
        # Two incarnations of a target have the same name.
        self._used[id(belief)] = belief

    def _remove_from_target(self, belief: TargetBelief) -> None:
        belief.flows -= 1
        if not belief.flows:
            self._used.pop(id(belief), None)

    def _evaluate_packet(
        self, flow: ObservedFlow, packet: Packet, now_s: float
    ) -> FlowEvidence:
        if flow.opened_s is None:
            flow.opened_s = now_s
        flow_evidence = FlowEvidence.NOTHING
        completes_opening = flow.acknowledged == 0
        if completes_opening or _is_newer(packet.acknowledged, flow.acknowledged):
            flow.acknowledged = packet.acknowledged
            flow.answer_parts += not completes_opening
            self._set_idle(flow)
            self._record_progress(flow.belief, now_s)
            flow_evidence = FlowEvidence.PROGRESS
        if not packet.data_bytes:
            return flow_evidence
        end = (packet.sequence + packet.data_bytes) % SEQUENCE_NUMBERS
        if _is_newer(end, flow.sent_end):
            flow.sent_end = end
            self._set_busy(flow, now_s)
        elif flow_evidence is FlowEvidence.NOTHING:
            flow_evidence = FlowEvidence.RETRANSMISSION
        return flow_evidence

    def _record_progress(self, belief: TargetBelief, now_s: float) -> None:
        belief.progress_s = now_s
        if not self._progressed or self._progressed[-1] is not belief:
            self._progressed.append(belief)

    def _set_busy(self, flow: ObservedFlow, since_s: float) -> None:
        if flow.busy_since_s is None:
            parts = max(flow.longest_answer_parts, flow.answer_parts)
            flow.longest_answer_parts, flow.answer_parts = parts, 0
            flow.busy_since_s = since_s
            flow.belief.busy_flows += 1

    def _set_idle(self, flow: ObservedFlow) -> None:
        if flow.busy_since_s is not None:
            flow.busy_since_s = None
            flow.belief.busy_flows -= 1
        if flow.stalled:
            flow.stalled = False
            flow.belief.stalled_flows -= 1
